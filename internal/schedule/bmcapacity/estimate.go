package bmcapacity

import "basilmoor.example/basilmoor"

// Assumed speeds of a target before any was measured.
const (
	assumedPace    = 25.0 // milliseconds between tokens
	assumedPrefill = 0.2  // milliseconds per uncached prompt token
)

// promptWeight is the weight of PromptCost against the time to completion. In
// trials, 2 gave the least tail of the time to first token: a long prompt also
// delays the first tokens of the requests behind it.
const promptWeight = 2

// hintKept is the age at which a load report says nothing any more.
const hintKept = 5 * basilmoor.Second

// Estimate is the expected course of a demand on a target.
type Estimate struct {
	FirstToken float64 // milliseconds from now to the first token
	Completion float64 // milliseconds from now to the last token

	// PromptCost is the time that processing the uncached part of the prompt
	// takes from all requests on the target, in milliseconds of a slot.
	PromptCost float64
}

func (e Estimate) cost() float64 {
	return e.Completion + promptWeight*e.PromptCost
}

// uncached returns the prompt tokens of d that the target must process.
func (t *target) uncached(d basilmoor.Demand) int {
	held := t.prefixes.match(d.PrefixDigests) * basilmoor.PrefixBlockTokens
	return max(d.PromptTokens-held, 0)
}

// foreign is a hint at the load that others put on the target: what it reported
// beyond the pool's own requests, fading with the age of the measurement.
func (t *target) foreign(now basilmoor.Millis) float64 {
	age := now - t.reported
	if !t.hasLoad || age >= hintKept {
		return 0
	}
	beyond := max(t.report.Running+t.report.Waiting-t.spec.Slots, 0)
	return float64(beyond) * (1 - float64(age)/float64(hintKept))
}

func (p *Pool) estimate(now basilmoor.Millis, t *target, d basilmoor.Demand) Estimate {
	pace := t.pace
	if pace == 0 {
		pace = assumedPace
	}
	prefill := t.prefill
	if prefill == 0 {
		prefill = assumedPrefill
	}
	uncached := t.uncached(d)
	first := pace*(1+t.foreign(now)) + prefill*float64(t.backlog+uncached)
	if d.DataCentre != t.spec.DataCentre {
		first += p.cfg.OtherDataCentrePenalty
	}
	return Estimate{
		FirstToken: first,
		Completion: first + pace*float64(d.OutputTokens),
		PromptCost: prefill * float64(uncached) * float64(1+len(t.flights)),
	}
}

// CollectFree notes which targets are free now. AnyFree and Choose look at these
// only, because most targets of a busy pool are full.
func (p *Pool) CollectFree(now basilmoor.Millis) {
	p.candidates = p.candidates[:0]
	for _, t := range p.order {
		if t.free(p.cfg) && t.accepts(now) {
			p.candidates = append(p.candidates, t)
		}
	}
}

// Choose returns the free target that is accepted by fit and where the demand
// costs the least, or false if there is none. The cost is the time until the
// demand completes, and the time that processing its prompt takes from the
// other requests on the target.
func (p *Pool) Choose(now basilmoor.Millis, d basilmoor.Demand, fit func(basilmoor.Target) bool) (basilmoor.Target, Estimate, bool) {
	var best *target
	var bestEstimate Estimate
	for _, t := range p.candidates {
		if !t.free(p.cfg) || !t.accepts(now) || !fit(t.spec) {
			continue
		}
		e := p.estimate(now, t, d)
		if best == nil || e.cost() < bestEstimate.cost() {
			best = t
			bestEstimate = e
		}
	}
	if best == nil {
		return basilmoor.Target{}, Estimate{}, false
	}
	return best.spec, bestEstimate, true
}

// AnyFree reports whether a free target is accepted by fit.
func (p *Pool) AnyFree(now basilmoor.Millis, fit func(basilmoor.Target) bool) bool {
	for _, t := range p.candidates {
		if t.free(p.cfg) && t.accepts(now) && fit(t.spec) {
			return true
		}
	}
	return false
}

// Listed returns the listed targets by name.
func (p *Pool) Listed() []basilmoor.Target {
	specs := make([]basilmoor.Target, 0, len(p.order))
	for _, t := range p.order {
		specs = append(specs, t.spec)
	}
	return specs
}
