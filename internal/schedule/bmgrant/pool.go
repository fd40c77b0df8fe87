package bmgrant

import (
	"slices"
	"sync"

	"basilmoor.example/basilmoor"
)

// Ranks are compared in half steps. A demand that has missed its objective
// counts lateSteps lower.
const (
	rankSteps = 2
	lateSteps = 3
)

const (
	// maxWaiting bounds the demands that wait in one pool.
	maxWaiting = 20_000

	// lapseAfter frees the slot of a request of which nothing was heard.
	lapseAfter = 30 * basilmoor.Second

	// maxKinds bounds the kinds of request whose work is remembered.
	maxKinds = 4096

	// minRetryAfter and maxRetryAfter bound the hint to a refused caller.
	minRetryAfter basilmoor.Millis = 300
	maxRetryAfter                  = 3 * basilmoor.Second
)

// item is a waiting demand.
type item struct {
	demand    basilmoor.Demand
	objective basilmoor.Millis // instant at which the first token is due; 0 for none
	deadline  basilmoor.Millis // instant at which the response has to be complete
	onTime    basilmoor.Millis // last instant of a grant that meets the objective
	expires   basilmoor.Millis // last instant of a grant that can still be served
}

// Pool is the policy of one pool of targets. It is not safe for concurrent
// use.
type Pool struct {
	targets  map[string]*target
	order    []*target // listed targets by name
	flights  map[basilmoor.RequestID]*target
	waiting  []*item
	holdOff  basilmoor.Millis // no grants before this instant
	swept    basilmoor.Millis
	forecast basilmoor.Millis   // when it was made last
	work     map[string]float64 // ms that a plain service takes for each kind
	granted  map[int]int        // by rank, since the last summary
	refused  map[int]int

	decisions []basilmoor.Decision
}

var _ basilmoor.Policy = (*Pool)(nil)

// NewPool returns a pool without targets that grants nothing before holdOff.
func NewPool(holdOff basilmoor.Millis) *Pool {
	return &Pool{
		targets: map[string]*target{},
		flights: map[basilmoor.RequestID]*target{},
		work:    map[string]float64{},
		granted: map[int]int{},
		refused: map[int]int{},
		holdOff: holdOff,
	}
}

// SetTargets implements basilmoor.Policy.
func (p *Pool) SetTargets(now basilmoor.Millis, targets []basilmoor.Target) []basilmoor.Decision {
	listed := make(map[string]bool, len(targets))
	p.order = p.order[:0]
	for _, spec := range targets {
		listed[spec.Name] = true
		t, known := p.targets[spec.Name]
		if !known {
			t = newTarget(spec)
			p.targets[spec.Name] = t
		}
		t.spec = spec
		p.order = append(p.order, t)
	}
	for name, t := range p.targets {
		if listed[name] {
			continue
		}
		t.spec.Leaving = true
		if len(t.flights) == 0 {
			delete(p.targets, name)
		}
	}
	return p.step(now)
}

// Submit implements basilmoor.Policy.
func (p *Pool) Submit(now basilmoor.Millis, d basilmoor.Demand) []basilmoor.Decision {
	if _, held := p.flights[d.Request]; held {
		return p.step(now)
	}
	p.remove(d.Request)
	i := &item{
		demand:    d,
		objective: now + d.Objective,
		deadline:  now + d.Deadline,
		onTime:    now + d.Objective - p.firstToken(d),
		expires:   now + d.Deadline - p.duration(d),
	}
	if d.Patience != 0 {
		i.expires = min(i.expires, now+d.Patience-p.firstToken(d))
	}
	if d.Objective == 0 {
		i.objective = 0
		i.onTime = i.expires
	}
	if slices.ContainsFunc(p.order, func(t *target) bool { return t.free(now) }) {
		// An idle target tries what it looks too slow for: nothing else would
		// show that it has become faster.
		i.expires = max(i.expires, now)
	}
	if len(p.waiting) >= maxWaiting {
		p.refuse(d, basilmoor.ReasonQueueFull, p.drainTime())
		return p.step(now)
	}
	if p.excludesAll(d) {
		p.refuse(d, basilmoor.ReasonNoTarget, p.drainTime())
		return p.step(now)
	}
	p.waiting = append(p.waiting, i)
	return p.step(now)
}

// excludesAll reports whether a demand was tried at every listed target: it
// would wait in vain.
func (p *Pool) excludesAll(d basilmoor.Demand) bool {
	if len(d.Excluded) == 0 {
		return false
	}
	return !slices.ContainsFunc(p.order, func(t *target) bool {
		return !t.spec.Leaving && !slices.Contains(d.Excluded, t.spec.Name)
	})
}

// Cancel implements basilmoor.Policy.
func (p *Pool) Cancel(now basilmoor.Millis, id basilmoor.RequestID) []basilmoor.Decision {
	p.remove(id)
	p.release(id)
	return p.step(now)
}

// Observe implements basilmoor.Policy.
func (p *Pool) Observe(now basilmoor.Millis, o basilmoor.Observation) []basilmoor.Decision {
	t, held := p.flights[o.Request]
	if !held {
		if o.Demand == nil || o.Stage.Terminal() {
			return p.step(now)
		}
		t = p.adopt(now, o)
	}
	f := t.flights[o.Request]
	switch o.Stage {
	case basilmoor.StageDispatched:
		f.dispatched = true
	case basilmoor.StageFirstToken:
		f.dispatched = true
		if f.first == 0 {
			t.guess(o.Elapsed, p.pace())
			f.first = max(o.Elapsed, 1)
			t.backlog -= f.demand.PromptTokens
		}
		t.failures = 0
	case basilmoor.StageFinished:
		t.failures = 0
		if f.demand.OutputTokens == 0 {
			p.learnPlain(t, f.demand.Kind, o.Elapsed)
		} else {
			t.learn(f, o.Tokens, o.Elapsed)
		}
	case basilmoor.StageUnreachable, basilmoor.StageFailed:
		t.fail(now)
	}
	if o.Stage.Terminal() {
		p.release(o.Request)
	}
	return p.step(now)
}

// learnPlain takes the time of a request of a plain service, which has no
// tokens. Kinds of request differ in work, so that the pace of a target follows
// from the time that the kind usually takes. Elapsed is 0 if it tells nothing.
func (p *Pool) learnPlain(t *target, kind string, elapsed basilmoor.Millis) {
	if elapsed == 0 {
		return
	}
	work, known := p.work[kind]
	if !known {
		if len(p.work) < maxKinds {
			p.work[kind] = float64(elapsed)
		}
		return
	}
	t.learnPlain(defaultPace * float64(elapsed) / max(work, 1))
	p.work[kind] += plainWeight * (float64(elapsed) - work)
}

// adopt counts a request that another broker granted.
func (p *Pool) adopt(now basilmoor.Millis, o basilmoor.Observation) *target {
	p.remove(o.Request)
	t, known := p.targets[o.Target]
	if !known {
		t = newTarget(basilmoor.Target{
			Name:    o.Target,
			Leaving: true,
		})
		p.targets[o.Target] = t
	}
	f := &flight{
		demand:  *o.Demand,
		granted: now,
	}
	f.demand.Request = o.Request
	t.add(f)
	p.flights[o.Request] = t
	return t
}

// Report implements basilmoor.Policy. Reports are some hundred milliseconds
// old when they arrive; the pool goes by its own count of requests.
func (p *Pool) Report(now basilmoor.Millis, _ basilmoor.LoadReport) []basilmoor.Decision {
	return p.step(now)
}

// Tick implements basilmoor.Policy.
func (p *Pool) Tick(now basilmoor.Millis) []basilmoor.Decision {
	return p.step(now)
}

// DropHost forgets the demands and grants of a host.
func (p *Pool) DropHost(now basilmoor.Millis, host string) []basilmoor.Decision {
	p.waiting = slices.DeleteFunc(p.waiting, func(i *item) bool { return i.demand.Host == host })
	for id, t := range p.flights {
		if t.flights[id].demand.Host == host {
			p.release(id)
		}
	}
	return p.step(now)
}

// EndHoldOff lets the pool grant from now on.
func (p *Pool) EndHoldOff() {
	p.holdOff = 0
}

// Holds reports whether a request has a grant.
func (p *Pool) Holds(id basilmoor.RequestID) bool {
	_, held := p.flights[id]
	return held
}

// Waiting returns the number of waiting demands.
func (p *Pool) Waiting() int {
	return len(p.waiting)
}

func (p *Pool) remove(id basilmoor.RequestID) {
	p.waiting = slices.DeleteFunc(p.waiting, func(i *item) bool { return i.demand.Request == id })
}

func (p *Pool) release(id basilmoor.RequestID) {
	t, held := p.flights[id]
	if !held {
		return
	}
	t.remove(t.flights[id])
	delete(p.flights, id)
	if t.spec.Leaving && len(t.flights) == 0 && !slices.Contains(p.order, t) {
		delete(p.targets, t.spec.Name)
	}
}

// step refuses what can't be served any more, grants what can be, and returns
// the decisions since the last call.
func (p *Pool) step(now basilmoor.Millis) []basilmoor.Decision {
	p.sweep(now)
	p.expire(now)
	if now >= p.holdOff {
		p.match(now)
		p.shed(now)
	}
	decisions := p.decisions
	p.decisions = nil
	return decisions
}

// sweep frees slots whose holders have fallen silent.
func (p *Pool) sweep(now basilmoor.Millis) {
	if now-p.swept < basilmoor.Second {
		return
	}
	p.swept = now
	for id, t := range p.flights {
		f := t.flights[id]
		bound := lapseAfter
		if !f.dispatched {
			bound = 2 * grantTTL
		}
		if now-f.granted > bound {
			p.release(id)
		}
	}
}

func (p *Pool) expire(now basilmoor.Millis) {
	wait := sync.OnceValue(p.drainTime)
	p.waiting = slices.DeleteFunc(p.waiting, func(i *item) bool {
		if now <= i.expires {
			return false
		}
		p.refuse(i.demand, basilmoor.ReasonDeadline, wait())
		return true
	})
}

// match grants free slots to the waiting demands in their order.
func (p *Pool) match(now basilmoor.Millis) {
	for len(p.waiting) > 0 {
		n := p.first(now)
		if n < 0 {
			return
		}
		i := p.waiting[n]
		t := p.choose(now, i)
		p.waiting = slices.Delete(p.waiting, n, n+1)
		p.grant(now, i.demand, t)
	}
}

// first returns the index of the first demand in order for which a target is
// free, or -1.
func (p *Pool) first(now basilmoor.Millis) int {
	if !slices.ContainsFunc(p.order, func(t *target) bool { return t.free(now) }) {
		return -1
	}
	best := -1
	for n, i := range p.waiting {
		if best >= 0 && !i.before(p.waiting[best], now) {
			continue
		}
		if p.choose(now, i) != nil {
			best = n
		}
	}
	return best
}

// before reports whether i is granted before other.
func (i *item) before(other *item, now basilmoor.Millis) bool {
	if a, b := i.class(now), other.class(now); a != b {
		return a < b
	}
	if a, b := i.demand.WorkspaceRank, other.demand.WorkspaceRank; a != b {
		return a < b
	}
	return i.onTime < other.onTime
}

func (i *item) class(now basilmoor.Millis) int {
	class := rankSteps * i.demand.Tier
	if now > i.onTime {
		class += lateSteps
	}
	return class
}

func (p *Pool) grant(now basilmoor.Millis, d basilmoor.Demand, t *target) {
	p.granted[d.Tier]++
	t.add(&flight{
		demand:  d,
		granted: now,
	})
	p.flights[d.Request] = t
	p.decisions = append(p.decisions, basilmoor.Decision{
		Grant: &basilmoor.Grant{
			Request: d.Request,
			Target:  t.spec,
			TTL:     grantTTL,
		},
	})
}

// refuse answers a demand that can come back after a wait.
func (p *Pool) refuse(d basilmoor.Demand, reason basilmoor.Reason, wait basilmoor.Millis) {
	p.refused[d.Tier]++
	p.decisions = append(p.decisions, basilmoor.Decision{
		Refusal: &basilmoor.Refusal{
			Request:    d.Request,
			Reason:     reason,
			RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
			Workspace:  d.Workspace,
			Charge:     d.Charge,
		},
	})
}
