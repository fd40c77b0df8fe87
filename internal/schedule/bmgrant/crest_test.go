package bmgrant

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// The simulated pool: engines whose slots serve a request each, and callers of
// three tiers that come back once after a refusal.
const (
	crestTargets  = 20
	crestSlots    = 6
	crestBegin    = 4 * basilmoor.Second
	crestEnd      = 9 * basilmoor.Second
	crestDuration = 14 * basilmoor.Second
	crestTick     = tickPeriod
)

// crestTier describes the requests of one tier.
type crestTier struct {
	share     float64 // of the requests
	objective basilmoor.Millis
	prompt    int
	output    int     // median tokens
	value     float64 // of a response in time
}

func crestTiers() []crestTier {
	return []crestTier{
		{share: 0.45, objective: 800, prompt: 3700, output: 90, value: 4.8},
		{share: 0.15, objective: 600, prompt: 2900, output: 40, value: 2.4},
		{share: 0.40, objective: 500, prompt: 1100, output: 130, value: 0.33},
	}
}

// crestRequest is a request with what really becomes of it, which the pool does
// not know.
type crestRequest struct {
	id        int
	tier      int
	spec      crestTier
	workspace int
	arrival   basilmoor.Millis // of the caller's first attempt
	submit    basilmoor.Millis // of this attempt
	first     basilmoor.Millis // from the grant to the first token on a target of speed 1
	hold      basilmoor.Millis // from the grant to the end on a target of speed 1
	tokens    int
	repeated  bool
	host      int
}

// crestPattern is a load pattern.
type crestPattern struct {
	load      float64 // offered load in the crest, relative to the capacity
	hotShare  float64 // part of the crest's load that one workspace sends
	dark      int     // targets that break off every request in the crest
	comebacks bool    // refused callers return together, at the end of a second
	cutHost   bool    // one of four hosts is cut off in the crest
}

// newCrestRequests draws the arrivals of a pattern.
func newCrestRequests(rng *rand.Rand, p crestPattern) []*crestRequest {
	tiers := crestTiers()
	meanHold := 0.0
	for _, s := range tiers {
		meanHold += s.share * (110 + float64(s.output)*1.4*6)
	}
	full := crestTargets * crestSlots / meanHold // requests per ms
	var all []*crestRequest
	at := 0.0
	for {
		load := 0.7
		crest := basilmoor.Millis(at) >= crestBegin && basilmoor.Millis(at) < crestEnd
		if crest {
			load = p.load
		}
		at += rng.ExpFloat64() / (full * load)
		if basilmoor.Millis(at) >= crestDuration {
			return all
		}
		r := &crestRequest{
			id:        len(all),
			workspace: rng.IntN(4),
			arrival:   basilmoor.Millis(at),
			submit:    basilmoor.Millis(at),
			host:      rng.IntN(4),
		}
		if crest && rng.Float64() < p.hotShare {
			r.workspace = 4
		}
		for x := rng.Float64(); r.tier < len(tiers)-1 && x >= tiers[r.tier].share; r.tier++ {
			x -= tiers[r.tier].share
		}
		r.spec = tiers[r.tier]
		size := math.Exp(0.5 * rng.NormFloat64())
		r.first = basilmoor.Millis((60 + float64(r.spec.prompt)/54) * (0.9 + 0.6*rng.ExpFloat64()))
		r.tokens = max(int(float64(r.spec.output)*size), 9)
		r.hold = r.first + basilmoor.Millis(6*float64(r.tokens))
		all = append(all, r)
	}
}

// crestResult sums up a run.
type crestResult struct {
	offered, inTime [3]int // by tier
	value           float64
	inversions      int // grants to a tier while a higher one waited in time
	refusedLate     int // refusals after half of the objective
	refused         int
}

// crestDecider is a scheduler under test or a reference.
type crestDecider interface {
	submit(now basilmoor.Millis, r *crestRequest) []basilmoor.Decision
	tick(now basilmoor.Millis) []basilmoor.Decision
	firstToken(now basilmoor.Millis, r *crestRequest, elapsed basilmoor.Millis) []basilmoor.Decision
	finished(now basilmoor.Millis, r *crestRequest, elapsed basilmoor.Millis, failed bool) []basilmoor.Decision
	cut(now basilmoor.Millis, host int) []basilmoor.Decision
}

// crestEvent is something that happens at a time.
type crestEvent struct {
	at basilmoor.Millis
	do func(now basilmoor.Millis) []basilmoor.Decision
}

// crestRun plays a pattern against a decider.
type crestRun struct {
	decider  crestDecider
	pattern  crestPattern
	events   []crestEvent
	requests map[string]*crestRequest
	waiting  map[string]*crestRequest
	result   crestResult
}

func (c *crestRun) at(t basilmoor.Millis, do func(now basilmoor.Millis) []basilmoor.Decision) {
	e := crestEvent{
		at: t,
		do: do,
	}
	n, _ := slices.BinarySearchFunc(c.events, e, func(a, b crestEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), -1)
	})
	c.events = slices.Insert(c.events, n, e)
}

func requestName(r *crestRequest) string {
	again := ""
	if r.repeated {
		again = "-again"
	}
	return fmt.Sprintf("h%d/%d%s", r.host, r.id, again)
}

func crestSpeed(target string) float64 {
	n := 0
	_, _ = fmt.Sscanf(target, "t%d", &n)
	return 1 + 0.15*float64(n%4)
}

func (c *crestRun) isDark(now basilmoor.Millis, target string) bool {
	n := 0
	_, _ = fmt.Sscanf(target, "t%d", &n)
	return n < c.pattern.dark && now >= crestBegin && now < crestEnd
}

// play runs all events.
func (c *crestRun) play(arrivals []*crestRequest) crestResult {
	for _, r := range arrivals {
		c.result.offered[r.tier]++
		c.at(r.submit, func(now basilmoor.Millis) []basilmoor.Decision { return c.submit(now, r) })
	}
	for t := basilmoor.Millis(0); t < crestDuration+4000; t += crestTick {
		c.at(t, c.decider.tick)
	}
	if c.pattern.cutHost {
		c.at((crestBegin+crestEnd)/2, func(now basilmoor.Millis) []basilmoor.Decision {
			for name, r := range c.waiting {
				if r.host == 0 {
					delete(c.waiting, name)
				}
			}
			return c.decider.cut(now, 0)
		})
	}
	for len(c.events) > 0 {
		e := c.events[0]
		c.events = c.events[1:]
		for _, d := range e.do(e.at) {
			c.apply(e.at, d)
		}
	}
	return c.result
}

func (c *crestRun) submit(now basilmoor.Millis, r *crestRequest) []basilmoor.Decision {
	if c.pattern.cutHost && r.host == 0 && now >= (crestBegin+crestEnd)/2 {
		return nil
	}
	c.requests[requestName(r)] = r
	c.waiting[requestName(r)] = r
	return c.decider.submit(now, r)
}

func (c *crestRun) apply(now basilmoor.Millis, d basilmoor.Decision) {
	if d.Refusal != nil {
		c.refuse(now, c.requests[string(d.Refusal.Request)], d.Refusal.RetryAfter)
		return
	}
	r := c.requests[string(d.Grant.Request)]
	delete(c.waiting, requestName(r))
	for _, other := range c.waiting {
		// A target may be too slow for the objective of the other request, but
		// none is so slow that three times the time would not do.
		if other.tier < r.tier && now+3*other.first < other.submit+other.spec.objective {
			c.result.inversions++
			break
		}
	}
	target := d.Grant.Target.Name
	if c.isDark(now, target) {
		c.at(now+5, func(now basilmoor.Millis) []basilmoor.Decision {
			return c.decider.finished(now, r, 5, true)
		})
		return
	}
	speed := crestSpeed(target)
	first := basilmoor.Millis(float64(r.first) * speed)
	hold := basilmoor.Millis(float64(r.hold) * speed)
	c.at(now+first, func(now basilmoor.Millis) []basilmoor.Decision {
		if now <= r.arrival+r.spec.objective {
			c.result.inTime[r.tier]++
			c.result.value += r.spec.value
		}
		return c.decider.firstToken(now, r, first)
	})
	c.at(now+hold, func(now basilmoor.Millis) []basilmoor.Decision {
		return c.decider.finished(now, r, hold, false)
	})
}

// refuse lets the caller come back once.
func (c *crestRun) refuse(now basilmoor.Millis, r *crestRequest, after basilmoor.Millis) {
	delete(c.waiting, requestName(r))
	c.result.refused++
	if now-r.submit > r.spec.objective/2 {
		c.result.refusedLate++
	}
	if r.repeated {
		return
	}
	again := *r
	again.repeated = true
	again.submit = now + after
	if c.pattern.comebacks {
		again.submit = (again.submit/basilmoor.Second + 1) * basilmoor.Second
	}
	c.at(again.submit, func(now basilmoor.Millis) []basilmoor.Decision { return c.submit(now, &again) })
}

// poolDecider is the pool under test.
type poolDecider struct {
	pool *Pool
}

func newPoolDecider() *poolDecider {
	p := &poolDecider{
		pool: NewPool(0),
	}
	p.pool.SetTargets(0, crestTargetList())
	return p
}

func crestTargetList() []basilmoor.Target {
	var targets []basilmoor.Target
	for n := range crestTargets {
		targets = append(targets, testTarget(fmt.Sprintf("t%d", n), crestSlots))
	}
	return targets
}

func (p *poolDecider) submit(now basilmoor.Millis, r *crestRequest) []basilmoor.Decision {
	return p.pool.Submit(now, basilmoor.Demand{
		Request:          basilmoor.RequestID(requestName(r)),
		Host:             fmt.Sprintf("h%d", r.host),
		DataCentre:       "a",
		Pool:             "p",
		Workspace:        fmt.Sprintf("w%d", r.workspace),
		Kind:             fmt.Sprintf("k%d", r.tier),
		Tier:             r.tier,
		PromptTokens:     r.spec.prompt,
		OutputTokens:     r.spec.output,
		Objective:        max(r.arrival+r.spec.objective-r.submit, -1),
		FirstByteTimeout: 2400,
		Deadline:         10_000,
	})
}

func (p *poolDecider) tick(now basilmoor.Millis) []basilmoor.Decision { return p.pool.Tick(now) }

func (p *poolDecider) observe(now basilmoor.Millis, r *crestRequest, stage basilmoor.Stage, elapsed basilmoor.Millis) []basilmoor.Decision {
	return p.pool.Observe(now, basilmoor.Observation{
		Request: basilmoor.RequestID(requestName(r)),
		Stage:   stage,
		Elapsed: elapsed,
		Tokens:  r.tokens,
	})
}

func (p *poolDecider) firstToken(now basilmoor.Millis, r *crestRequest, elapsed basilmoor.Millis) []basilmoor.Decision {
	return p.observe(now, r, basilmoor.StageFirstToken, elapsed)
}

func (p *poolDecider) finished(now basilmoor.Millis, r *crestRequest, elapsed basilmoor.Millis, failed bool) []basilmoor.Decision {
	if failed {
		return p.observe(now, r, basilmoor.StageFailed, elapsed)
	}
	return p.observe(now, r, basilmoor.StageFinished, elapsed)
}

func (p *poolDecider) cut(now basilmoor.Millis, host int) []basilmoor.Decision {
	return p.pool.DropHost(now, fmt.Sprintf("h%d", host))
}

// clairvoyant is the reference. It knows how long each request takes and which
// targets are dark, and serves the highest tier that it can serve in time, the
// shortest request first.
type clairvoyant struct {
	run     *crestRun
	free    map[string]int
	held    map[string]string // target by request
	waiting []*crestRequest
}

func newClairvoyant() *clairvoyant {
	c := &clairvoyant{
		free: map[string]int{},
		held: map[string]string{},
	}
	for _, t := range crestTargetList() {
		c.free[t.Name] = crestSlots
	}
	return c
}

func (c *clairvoyant) submit(now basilmoor.Millis, r *crestRequest) []basilmoor.Decision {
	c.waiting = append(c.waiting, r)
	return c.tick(now)
}

func (c *clairvoyant) tick(now basilmoor.Millis) []basilmoor.Decision {
	var decisions []basilmoor.Decision
	for {
		target, ok := c.fastestFree(now)
		if !ok {
			return decisions
		}
		speed := crestSpeed(target.Name)
		best := -1
		for n, r := range c.waiting {
			if now+basilmoor.Millis(float64(r.first)*speed) > r.arrival+r.spec.objective {
				continue
			}
			if best < 0 || r.tier < c.waiting[best].tier || r.tier == c.waiting[best].tier && r.hold < c.waiting[best].hold {
				best = n
			}
		}
		if best < 0 {
			return decisions
		}
		r := c.waiting[best]
		c.waiting = slices.Delete(c.waiting, best, best+1)
		c.free[target.Name]--
		c.held[requestName(r)] = target.Name
		decisions = append(decisions, basilmoor.Decision{
			Grant: &basilmoor.Grant{
				Request: basilmoor.RequestID(requestName(r)),
				Target:  target,
			},
		})
	}
}

func (c *clairvoyant) fastestFree(now basilmoor.Millis) (basilmoor.Target, bool) {
	var best basilmoor.Target
	for _, t := range crestTargetList() {
		if c.free[t.Name] > 0 && !c.run.isDark(now, t.Name) && (best.Name == "" || crestSpeed(t.Name) < crestSpeed(best.Name)) {
			best = t
		}
	}
	return best, best.Name != ""
}

func (c *clairvoyant) firstToken(basilmoor.Millis, *crestRequest, basilmoor.Millis) []basilmoor.Decision {
	return nil
}

func (c *clairvoyant) finished(now basilmoor.Millis, r *crestRequest, _ basilmoor.Millis, _ bool) []basilmoor.Decision {
	c.free[c.held[requestName(r)]]++
	return c.tick(now)
}

func (c *clairvoyant) cut(now basilmoor.Millis, host int) []basilmoor.Decision {
	c.waiting = slices.DeleteFunc(c.waiting, func(r *crestRequest) bool { return r.host == host })
	return c.tick(now)
}

func playCrest(seed uint64, p crestPattern, decider crestDecider) crestResult {
	run := &crestRun{
		decider:  decider,
		pattern:  p,
		requests: map[string]*crestRequest{},
		waiting:  map[string]*crestRequest{},
	}
	if c, ok := decider.(*clairvoyant); ok {
		c.run = run
	}
	return run.play(newCrestRequests(rand.New(rand.NewPCG(seed, 2)), p))
}

// Guards against a crest in which capacity goes into responses that come too
// late, because requests are granted at the last moment at which they are thought
// to be in time, one after the other, and in which callers wait for a refusal that
// was certain when they came. The bounds are relative to a scheduler that knows
// how long each request takes.
func TestCrest(t *testing.T) {
	const (
		minHighestTier = 0.9
		minValue       = 0.85
	)
	tests := map[string]crestPattern{
		"three times the capacity for 5 s":        {load: 3},
		"a hot workspace beside four calm ones":   {load: 2.5, hotShare: 0.6},
		"a third of the targets dark":             {load: 2, dark: crestTargets / 3},
		"refused callers come back in a wave":     {load: 3, comebacks: true},
		"a host is cut off while the crest lasts": {load: 3, cutHost: true},
	}
	for name, p := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				got := playCrest(seed, p, newPoolDecider())
				best := playCrest(seed, p, newClairvoyant())
				t.Logf("seed %d: in time %v of %v, reference %v, value %.3f, highest tier %.3f; refused %d, late %d", seed,
					got.inTime, got.offered, best.inTime, got.value/best.value, float64(got.inTime[0])/float64(best.inTime[0]), got.refused, got.refusedLate)
				require.Zero(t, got.inversions, "grants to a tier while a higher one could be in time")
				require.GreaterOrEqual(t, float64(got.inTime[0])/float64(best.inTime[0]), minHighestTier, "highest tier")
				require.GreaterOrEqual(t, got.value/best.value, minValue, "value in time")
				require.LessOrEqual(t, got.refusedLate, got.refused/4, "refusals after half of the objective")
			}
		})
	}
}
