package bmgrant

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
	"basilmoor.example/basilmoor/internal/schedule/bmprefill"
)

// prefillLimits is what a pool knows of the prompts that its targets take beside running
// streams. It changes nothing unless it is enabled.
type prefillLimits struct {
	enabled     bool
	eventTokens float64 // tokens per event of a stream
	pauses      bmprefill.Pauses
	fastest     float64 // token latency in ms of the fastest target in use; 0 if unknown
	heldBack    int     // demands granted after they were held back, since the last summary
}

// LimitPrefill keeps prompts that are expected to delay running streams from slow targets.
// eventTokens is the number of tokens of a stream's event.
func (p *Pool) LimitPrefill(eventTokens int) {
	p.prefill.enabled = true
	p.prefill.eventTokens = float64(eventTokens)
	p.prefill.pauses = bmprefill.NewPauses()
}

// EnablePrefillLimits makes pools that are created later, by the broker and by the host's
// client, limit prompts beside streams. It must be called before there is a pool.
func (b *Broker) EnablePrefillLimits() {
	b.limitsPrefill = true
}

func (b *Broker) newPool(spec bmrouting.Pool, holdOff basilmoor.Millis) *Pool {
	p := NewPool(holdOff)
	if b.limitsPrefill && spec.Engine != nil {
		p.LimitPrefill(spec.Engine.EventTokens)
	}
	p.restore(b.clock.Now(), b.knownDeaths(b.clock.Now()))
	return p
}

// updateFastest finds the fastest target that doesn't fail or leave, for the grants that
// follow.
func (p *Pool) updateFastest() {
	if !p.prefill.enabled || len(p.waiting) == 0 {
		return
	}
	p.prefill.fastest = 0
	for _, t := range p.listed {
		if t.spec.Leaving || t.consecutiveFailures > 0 || t.tokenLatency == 0 {
			continue
		}
		if p.prefill.fastest == 0 || t.tokenLatency < p.prefill.fastest {
			p.prefill.fastest = t.tokenLatency
		}
	}
}

// eventTime returns the time in ms that a target of the given token latency needs for an
// event of a stream and for prompts beside it.
func (l prefillLimits) eventTime(latency float64, promptTokens int) float64 {
	return latency * (l.eventTokens + defaultPrefillPerToken/defaultTokenLatency*float64(promptTokens))
}

// takesPrompt reports whether a target may be granted a demand without harm to the streams
// on it, or whether no faster target would take its prompt better. Otherwise the demand is
// held back: it waits for a faster target, or until the streams have ended.
func (p *Pool) takesPrompt(q *queuedDemand, t *target) bool {
	d := q.demand
	if !p.prefill.enabled || d.OutputTokens == 0 || p.prefill.fastest == 0 {
		return true
	}
	event := p.prefill.eventTime(p.tokenLatencyOf(t), t.backlog+d.PromptTokens)
	fastest := p.prefill.eventTime(p.prefill.fastest, d.PromptTokens)
	if !bmprefill.ClearlySlower(event, fastest) || p.prefill.pauses.Allows(event, t.strictestPause()) {
		return true
	}
	q.heldBack = true
	return false
}

// strictestPause returns the shortest objective for pauses of the streams on the target;
// 0 if there is none.
func (t *target) strictestPause() basilmoor.Millis {
	strictest := basilmoor.Millis(0)
	for _, r := range t.inFlight {
		if m := r.demand.MaxPause; m > 0 && (strictest == 0 || m < strictest) {
			strictest = m
		}
	}
	return strictest
}

// recordPrompt records, for the streams on a target, that it is granted a demand beside
// them.
func (p *Pool) recordPrompt(t *target, q *queuedDemand) {
	if !p.prefill.enabled || q.demand.OutputTokens == 0 {
		return
	}
	if q.heldBack {
		p.prefill.heldBack++
	}
	event := p.prefill.eventTime(p.tokenLatencyOf(t), t.backlog+q.demand.PromptTokens)
	for _, r := range t.inFlight {
		r.longestEvent = max(r.longestEvent, event)
	}
}

// learnPause learns from the longest pause of a stream that has ended.
func (p *Pool) learnPause(r *grantedRequest, longest basilmoor.Millis) {
	if p.prefill.enabled {
		p.prefill.pauses = p.prefill.pauses.WithPause(r.longestEvent, longest)
	}
}
