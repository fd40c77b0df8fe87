package bmgrant

import (
	"math"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmlimits"
)

// toleratedStall is the ratio of the times that a prompt takes on a target and on the
// fastest one up to which waiting for a faster target gains nothing.
const toleratedStall = 1.5

// capacityModel is what a pool learns about how much work its targets take well. It
// learns and changes nothing unless it is enabled.
type capacityModel struct {
	enabled bool
	pauses  bmlimits.Pauses
	fastest float64 // token latency of the fastest target that is in use
	changes []limitChange
}

// targetCapacity is what a pool has learned about one target.
type targetCapacity struct {
	curve    bmlimits.Curve
	speed    bmlimits.Speed
	slowdown float64 // by the target's latest report; 0 or 1 for none
	limit    int     // concurrency limit; 0 for the target's slots
}

// grantedLoad is what is known at the grant of a request about its target, and what is
// granted beside it later.
type grantedLoad struct {
	reported float64 // slowdown by the target's report
	atOnce   int     // requests in progress, this one included; 0 if another broker granted it
	stall    float64 // longest time in ms that prompts granted beside it take
}

// limitChange is a change of a target's concurrency limit from or to its slots.
type limitChange struct {
	target string
	limit  int
	slots  int
}

// LearnCapacity makes the pool learn how much work its targets take well, and grant
// accordingly.
func (p *Pool) LearnCapacity() {
	p.capacity.enabled = true
	p.capacity.pauses = bmlimits.NewPauses()
}

// LearnCapacity makes the pools of the broker, and those of the host's client, learn how
// much work their targets take well. It must be called before there is a pool.
func (b *Broker) LearnCapacity() {
	b.learnsCapacity = true
}

func (b *Broker) newPool(holdOff basilmoor.Millis) *Pool {
	p := NewPool(holdOff)
	if b.learnsCapacity {
		p.LearnCapacity()
	}
	return p
}

// reportCapacity logs the changes of the concurrency limits of a pool and sets its
// gauges.
func (b *Broker) reportCapacity(name string, p *Pool) {
	if !p.capacity.enabled {
		return
	}
	for _, c := range p.takeLimitChanges() {
		b.log.Info().
			Str("pool", name).
			Str("target", c.target).
			Int("limit", c.limit).
			Int("slots", c.slots).
			Msg("concurrency limit of a target changed")
	}
	limited := 0
	for _, t := range p.listed {
		if t.capacity.limit > 0 {
			limited++
		}
	}
	b.metrics.Set("targets.limited."+name, int64(limited))
	b.metrics.Set("targets.pause-percent."+name, int64(100*p.capacity.pauses.Factor()))
}

// takeLimitChanges returns the changes since the last call.
func (p *Pool) takeLimitChanges() []limitChange {
	changes := p.capacity.changes
	p.capacity.changes = nil
	return changes
}

// refreshCapacity applies what was learned to the grants that follow.
func (p *Pool) refreshCapacity(now basilmoor.Millis) {
	if !p.capacity.enabled {
		return
	}
	p.capacity.fastest = 0
	for _, t := range p.listed {
		t.capacity.slowdown = t.capacity.speed.Slowdown(now)
		p.refreshLimit(now, t)
		if t.spec.Leaving || t.consecutiveFailures > 0 || t.tokenLatency == 0 {
			continue
		}
		if p.capacity.fastest == 0 || t.tokenLatency < p.capacity.fastest {
			p.capacity.fastest = t.tokenLatency
		}
	}
}

func (p *Pool) refreshLimit(now basilmoor.Millis, t *target) {
	limit := t.capacity.curve.Limit(now, t.spec.Slots)
	if limit == t.spec.Slots {
		limit = 0
	}
	if (limit == 0) != (t.capacity.limit == 0) {
		change := limitChange{
			target: t.spec.Name,
			limit:  limit,
			slots:  t.spec.Slots,
		}
		if limit == 0 {
			change.limit = t.spec.Slots
		}
		p.capacity.changes = append(p.capacity.changes, change)
	}
	t.capacity.limit = limit
}

// slots returns the number of requests that the target may be granted.
func (t *target) slots() int {
	if t.capacity.limit > 0 {
		return min(t.capacity.limit, t.spec.Slots)
	}
	return t.spec.Slots
}

// currentLatency returns the token latency of a target with a known one, as it is by
// the target's latest report.
func (t *target) currentLatency() float64 {
	if t.capacity.slowdown == 0 {
		return t.tokenLatency
	}
	return t.tokenLatency * t.capacity.slowdown
}

// stall returns the time in ms for which a target of the given token latency processes
// prompts before and with that of d, which streams on it wait for.
func stall(latency float64, d basilmoor.Demand, backlog int) float64 {
	return latency / defaultTokenLatency * defaultPrefillPerToken * float64(backlog+d.PromptTokens)
}

// takesWell reports whether a target can be granted a demand without making a stream on
// it late by a pause, or whether no other target would do clearly better.
func (p *Pool) takesWell(t *target, d basilmoor.Demand) bool {
	if !p.capacity.enabled || d.OutputTokens == 0 {
		return true
	}
	latency := p.tokenLatencyOf(t)
	expected := stall(latency, d, t.backlog)
	if expected <= toleratedStall*stall(p.capacity.fastest, d, 0) || p.capacity.fastest == 0 {
		return true
	}
	pause := p.capacity.pauses.Expected(expected + latency)
	for _, r := range t.inFlight {
		if r.demand.MaxPause > 0 && pause > float64(r.demand.MaxPause) {
			return false
		}
	}
	return true
}

// recordLoad records, at the grant of r, what it runs beside. It must be called before
// the target has r.
func (p *Pool) recordLoad(now basilmoor.Millis, t *target, r *grantedRequest) {
	if !p.capacity.enabled {
		return
	}
	r.load.reported = t.capacity.speed.Reported(now)
	r.load.atOnce = len(t.inFlight) + 1
	latency := p.tokenLatencyOf(t)
	for _, other := range t.inFlight {
		other.load.stall = max(other.load.stall, stall(latency, r.demand, t.backlog)+latency)
	}
}

// learnCapacity learns from an observation of a request. It must be called before the
// target's averages and the request's state are updated.
func (p *Pool) learnCapacity(now basilmoor.Millis, t *target, r *grantedRequest, o basilmoor.Observation) {
	if !p.capacity.enabled {
		return
	}
	c := &t.capacity
	c.speed = c.speed.WithReport(now, o.Slowness)
	if r.load.atOnce == 0 {
		return
	}
	switch {
	case o.Stage == basilmoor.StageFirstToken && r.firstToken == 0 && t.tokenLatency > 0:
		expected := timeToFirstToken(t.tokenLatency, t.backlog)
		c.speed = c.speed.WithOutcome(r.load.reported, expected, o.Elapsed)
	case o.Stage == basilmoor.StageFinished && o.Elapsed > 0:
		p.capacity.pauses = p.capacity.pauses.WithPause(r.load.stall, o.LongestPause)
		if expected := p.unitTime(r.demand, o.Tokens); expected > 0 {
			atOnce := (r.load.atOnce + len(t.inFlight) + 1) / 2
			time := float64(o.Elapsed) / expected / math.Max(t.capacity.speed.Slowdown(now), 1)
			c.curve = c.curve.WithSample(now, atOnce, time)
		}
	}
}

// unitTime returns the time in ms that a response with the given number of tokens is
// expected to take on any one target, so that the times of unlike requests can be
// compared; 0 if it is unknown.
func (p *Pool) unitTime(d basilmoor.Demand, tokens int) float64 {
	if d.OutputTokens == 0 {
		return p.serviceTimes[d.Kind]
	}
	if tokens < minLatencyTokens {
		return 0
	}
	return float64(timeToFirstToken(defaultTokenLatency, d.PromptTokens)) + defaultTokenLatency*float64(tokens)
}
