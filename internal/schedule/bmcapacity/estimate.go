package bmcapacity

import "basilmoor.example/basilmoor"

// Latencies assumed for a target without samples.
const (
	defaultTokenLatency    = 25.0 // milliseconds between tokens
	defaultPrefillPerToken = 0.2  // milliseconds per uncached prompt token
)

// promptWeight is the weight of PromptCost relative to Completion. It is above 1
// to limit the tail of the time to first token: a long prompt also delays the
// first tokens of the requests behind it.
const promptWeight = 2

// loadReportTTL is the age at which a load report is ignored.
const loadReportTTL = 5 * basilmoor.Second

// Estimate is the expected latency and cost of serving a demand on a target.
type Estimate struct {
	FirstToken float64 // milliseconds from now to the first token
	Completion float64 // milliseconds from now to the last token

	// PromptCost is the time to process the uncached part of the prompt,
	// multiplied by the number of requests that it delays: those in flight on
	// the target and the demand itself. The unit is slot-milliseconds.
	PromptCost float64
}

// cost returns the value that Choose minimizes.
func (e Estimate) cost() float64 {
	return e.Completion + promptWeight*e.PromptCost
}

// uncachedTokens returns the number of prompt tokens of d that the target must
// process.
func (t *target) uncachedTokens(d basilmoor.Demand) int {
	held := t.prefixes.match(d.PrefixDigests) * basilmoor.PrefixBlockTokens
	return max(d.PromptTokens-held, 0)
}

// externalLoad estimates the load on the target from other sources: the number of
// reported requests beyond the target's slots, decreasing linearly with the age
// of the report.
func (t *target) externalLoad(now basilmoor.Millis) float64 {
	age := now - t.reportedAt
	if !t.hasReport || age >= loadReportTTL {
		return 0
	}
	beyond := max(t.report.Running+t.report.Waiting-t.spec.Slots, 0)
	return float64(beyond) * (1 - float64(age)/float64(loadReportTTL))
}

// estimate returns the expected latency and cost of serving d on t.
func (p *Pool) estimate(now basilmoor.Millis, t *target, d basilmoor.Demand) Estimate {
	tokenLatency := t.tokenLatency
	if tokenLatency == 0 {
		tokenLatency = defaultTokenLatency
	}
	prefillPerToken := t.prefillPerToken
	if prefillPerToken == 0 {
		prefillPerToken = defaultPrefillPerToken
	}
	uncached := t.uncachedTokens(d)
	first := tokenLatency*(1+t.externalLoad(now)) + prefillPerToken*float64(t.promptBacklog+uncached)
	if d.DataCentre != t.spec.DataCentre {
		first += p.cfg.OtherDataCentrePenalty
	}
	return Estimate{
		FirstToken: first,
		Completion: first + tokenLatency*float64(d.OutputTokens),
		PromptCost: prefillPerToken * float64(uncached) * float64(1+len(t.reservations)),
	}
}

// CollectFree records which targets are free now. AnyFree and Choose consider only
// these targets, because most targets of a busy pool are full.
func (p *Pool) CollectFree(now basilmoor.Millis) {
	p.candidates = p.candidates[:0]
	for _, t := range p.order {
		if t.hasFreeSlot(p.cfg) && t.connectable(now) {
			p.candidates = append(p.candidates, t)
		}
	}
}

// Choose returns the free target that satisfies fit and has the lowest cost for
// the demand, or false if there is none. The cost is the time until the demand
// completes plus the weighted PromptCost, which is the delay that processing its
// prompt causes to all requests on the target.
func (p *Pool) Choose(now basilmoor.Millis, d basilmoor.Demand, fit func(basilmoor.Target) bool) (basilmoor.Target, Estimate, bool) {
	var best *target
	var bestEstimate Estimate
	for _, t := range p.candidates {
		if !t.hasFreeSlot(p.cfg) || !t.connectable(now) || !fit(t.spec) {
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

// AnyFree reports whether any free target satisfies fit.
func (p *Pool) AnyFree(now basilmoor.Millis, fit func(basilmoor.Target) bool) bool {
	for _, t := range p.candidates {
		if t.hasFreeSlot(p.cfg) && t.connectable(now) && fit(t.spec) {
			return true
		}
	}
	return false
}

// Listed returns the listed targets, sorted by name.
func (p *Pool) Listed() []basilmoor.Target {
	specs := make([]basilmoor.Target, 0, len(p.order))
	for _, t := range p.order {
		specs = append(specs, t.spec)
	}
	return specs
}
