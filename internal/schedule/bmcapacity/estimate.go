package bmcapacity

import "basilmoor.example/basilmoor"

// Assumed speeds of a target before any was measured.
const (
	assumedPace    = 25.0 // milliseconds between tokens
	assumedPrefill = 0.2  // milliseconds per uncached prompt token
)

// Estimate is the expected course of a demand on a target.
type Estimate struct {
	FirstToken float64 // milliseconds from now to the first token
	Completion float64 // milliseconds from now to the last token
}

// uncached returns the prompt tokens of d that the target must process.
func (t *target) uncached(d basilmoor.Demand) int {
	held := t.prefixes.match(d.PrefixDigests) * basilmoor.PrefixBlockTokens
	return max(d.PromptTokens-held, 0)
}

func (p *Pool) estimate(t *target, d basilmoor.Demand) Estimate {
	pace := t.pace
	if pace == 0 {
		pace = assumedPace
	}
	prefill := t.prefill
	if prefill == 0 {
		prefill = assumedPrefill
	}
	first := pace + prefill*float64(t.backlog+t.uncached(d))
	if d.Place != t.spec.Place {
		first += p.cfg.OtherPlacePenalty
	}
	return Estimate{
		FirstToken: first,
		Completion: first + pace*float64(d.OutputTokens),
	}
}

// Choose returns the free target that is accepted by fit and is expected to
// complete the demand first, or false if there is none.
func (p *Pool) Choose(d basilmoor.Demand, fit func(basilmoor.Target) bool) (basilmoor.Target, Estimate, bool) {
	var best *target
	var bestEstimate Estimate
	for _, t := range p.order {
		if !t.free(p.cfg) || !fit(t.spec) {
			continue
		}
		e := p.estimate(t, d)
		if best == nil || e.Completion < bestEstimate.Completion {
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
func (p *Pool) AnyFree(fit func(basilmoor.Target) bool) bool {
	for _, t := range p.order {
		if t.free(p.cfg) && fit(t.spec) {
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
