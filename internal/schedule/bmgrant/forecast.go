package bmgrant

import (
	"slices"

	"basilmoor.example/basilmoor"
)

// forecastPeriod is the time between two forecasts of a pool. It is a fraction
// of the shortest objective, 100 ms, so that a demand that can't be served is
// refused early.
const forecastPeriod basilmoor.Millis = 50

// minBacklog is the time for which the waiting demands that are kept can fill all
// slots, so that no slot is idle when the load falls sooner than expected.
const minBacklog basilmoor.Millis = 200

// shed refuses the demands that are not expected to get a slot before they
// expire, given the demands ahead of them and the rate at which those of higher
// tiers arrive. Their callers are refused now instead
// of at their first byte timeout, and can retry later or elsewhere.
func (p *Pool) shed(now basilmoor.Millis) {
	if now-p.lastForecast < forecastPeriod || len(p.waiting) < 2 {
		return
	}
	p.lastForecast = now
	latency := p.lowestTokenLatency()
	capacity := p.effectiveSlots(latency)
	if capacity == 0 {
		return
	}
	order := slices.Clone(p.waiting)
	slices.SortStableFunc(order, func(a, b *queuedDemand) int {
		switch {
		case a.precedes(b, now):
			return -1
		case b.precedes(a, now):
			return 1
		}
		return 0
	})
	ahead := 0.0                                       // slot time in ms of the demands ahead
	unservable := map[*queuedDemand]basilmoor.Millis{} // expected wait for a slot
	for _, q := range order {
		wait := basilmoor.Millis(ahead / capacity / p.estimates.freeShare(now, q.demand.Tier, capacity))
		if now+wait > q.expires && ahead >= float64(minBacklog)*capacity {
			unservable[q] = wait
			continue
		}
		ahead += p.estimates.holdFactor() * float64(p.durationAt(latency, q.demand))
	}
	if len(unservable) == 0 {
		return
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(q *queuedDemand) bool {
		wait, found := unservable[q]
		if found {
			p.refuse(q.demand, q.expiryReason, basilmoor.SourceForecast, wait)
		}
		return found
	})
}

// effectiveSlots returns the number of slots of the usable targets. The slots of
// slower targets count in proportion to their speed relative to the fastest one.
func (p *Pool) effectiveSlots(fastest float64) float64 {
	sum := 0.0
	for _, t := range p.listed {
		if t.spec.Leaving || t.consecutiveFailures > 0 {
			continue
		}
		sum += float64(t.spec.Slots) * fastest / p.tokenLatencyOf(t)
	}
	return sum
}

// drainTime returns the expected time until the demands that wait now are served.
func (p *Pool) drainTime() basilmoor.Millis {
	latency := p.lowestTokenLatency()
	work := 0.0
	for _, q := range p.waiting {
		work += float64(p.durationAt(latency, q.demand))
	}
	return basilmoor.Millis(work * p.estimates.holdFactor() / max(p.effectiveSlots(latency), 1))
}
