package bmgrant

import (
	"slices"

	"basilmoor.example/basilmoor"
)

// forecastPeriod is the time between two forecasts of a pool. It is a fraction
// of the shortest objectives, 100 ms, so that a caller learns early that it
// waits in vain.
const forecastPeriod basilmoor.Millis = 50

// shed refuses the demands that will not get a slot before they expire, from
// what waits ahead of them: their callers learn it now instead of at the end
// of their patience, and can come back or go elsewhere.
func (p *Pool) shed(now basilmoor.Millis) {
	if now-p.forecast < forecastPeriod || len(p.waiting) < 2 {
		return
	}
	p.forecast = now
	pace := p.pace()
	capacity := p.capacity(pace)
	if capacity == 0 {
		return
	}
	order := slices.Clone(p.waiting)
	slices.SortStableFunc(order, func(a, b *item) int {
		switch {
		case a.before(b, now):
			return -1
		case b.before(a, now):
			return 1
		}
		return 0
	})
	ahead := 0.0                             // ms of slots
	hopeless := map[*item]basilmoor.Millis{} // with the wait for a slot
	for _, i := range order {
		wait := basilmoor.Millis(ahead / capacity)
		if now+wait > i.expires {
			hopeless[i] = wait
			continue
		}
		ahead += float64(p.durationAt(pace, i.demand))
	}
	if len(hopeless) == 0 {
		return
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(i *item) bool {
		wait, found := hopeless[i]
		if found {
			p.refuse(i.demand, basilmoor.ReasonDeadline, wait)
		}
		return found
	})
}

// capacity is the number of slots, those of slow targets counted by their pace
// against the fastest one.
func (p *Pool) capacity(fastest float64) float64 {
	sum := 0.0
	for _, t := range p.order {
		if t.spec.Leaving || t.failures > 0 {
			continue
		}
		sum += float64(t.spec.Slots) * fastest / p.paceOf(t)
	}
	return sum
}

// drainTime is the expected time until the demands that wait now are served.
func (p *Pool) drainTime() basilmoor.Millis {
	pace := p.pace()
	work := 0.0
	for _, i := range p.waiting {
		work += float64(p.durationAt(pace, i.demand))
	}
	return basilmoor.Millis(work / max(p.capacity(pace), 1))
}
