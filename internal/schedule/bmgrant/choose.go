package bmgrant

import (
	"slices"

	"basilmoor.example/basilmoor"
)

// choose returns the free target that is expected to serve a demand first
// among those that suit it, or nil.
func (p *Pool) choose(now basilmoor.Millis, i *item) *target {
	var best *target
	bestCost := 0.0
	for _, t := range p.order {
		if !t.free(now) || slices.Contains(i.demand.Excluded, t.spec.Name) || !p.suits(now, i, t) {
			continue
		}
		cost := p.cost(t, i.demand)
		if best == nil || cost < bestCost {
			best = t
			bestCost = cost
		}
	}
	return best
}

// suits reports whether a target is fast enough for a demand. One that would
// miss the objective is left to other demands while a faster one can still meet
// it, and one that would miss the deadline as long as a faster one would not.
func (p *Pool) suits(now basilmoor.Millis, i *item, t *target) bool {
	pace := p.paceOf(t)
	first := now + p.firstTokenAt(pace, i.demand, t.backlog)
	if now <= i.onTime && i.objective > 0 && first > i.objective {
		return false
	}
	end := first + basilmoor.Millis(pace*float64(i.demand.OutputTokens))
	return end <= i.deadline || now+p.duration(i.demand) > i.deadline
}

// cost is the expected time of d on t in ms, with the load and distance of t
// added.
func (p *Pool) cost(t *target, d basilmoor.Demand) float64 {
	pace := p.paceOf(t)
	cost := float64(p.firstTokenAt(pace, d, t.backlog)) + pace*float64(d.OutputTokens)
	cost *= 1 + loadCost*float64(len(t.flights))/float64(max(t.spec.Slots, 1))
	if t.spec.DataCentre != d.DataCentre {
		cost *= 1 + remoteCost
	}
	return cost
}

// firstTokenAt is the expected time at a pace until the first token of d, or
// until the response of a plain service, with the prompt tokens that the target
// reads before those of d.
func (p *Pool) firstTokenAt(pace float64, d basilmoor.Demand, backlog int) basilmoor.Millis {
	if work, known := p.work[d.Kind]; known && d.OutputTokens == 0 {
		return basilmoor.Millis(pace / defaultPace * work)
	}
	return firstTokenOf(pace, d.PromptTokens+backlog)
}

// firstTokenOf is the expected time to first token at a pace, with the prompt
// tokens that are read before it.
func firstTokenOf(pace float64, promptTokens int) basilmoor.Millis {
	return basilmoor.Millis(pace / defaultPace * (firstTokenBase + defaultPrefill*float64(promptTokens)))
}

// paceOf is the time between tokens of a target. One that has shown none is
// taken for a fast one, so that it is tried.
func (p *Pool) paceOf(t *target) float64 {
	if t.pace > 0 {
		return t.pace
	}
	return p.pace()
}

// pace is the fastest known time between tokens.
func (p *Pool) pace() float64 {
	best := 0.0
	for _, t := range p.order {
		if t.pace > 0 && (best == 0 || t.pace < best) {
			best = t.pace
		}
	}
	if best == 0 {
		return defaultPace
	}
	return best
}

// firstToken is the expected time from a grant to the first token.
func (p *Pool) firstToken(d basilmoor.Demand) basilmoor.Millis {
	return p.firstTokenAt(p.pace(), d, 0)
}

// duration is the expected time from a grant to the end of the response.
func (p *Pool) duration(d basilmoor.Demand) basilmoor.Millis {
	return p.durationAt(p.pace(), d)
}

// durationAt is the same for a target of a pace without a backlog.
func (p *Pool) durationAt(pace float64, d basilmoor.Demand) basilmoor.Millis {
	return p.firstTokenAt(pace, d, 0) + basilmoor.Millis(pace*float64(d.OutputTokens))
}
