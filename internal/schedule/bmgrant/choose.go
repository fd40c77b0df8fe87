package bmgrant

import (
	"cmp"
	"slices"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmquarantine"
)

// chooseTarget returns the target with the lowest cost among the free targets
// that are fast enough for a demand and not excluded by it, or nil. A demand that
// the quarantine limits gets the one whose death would do the least harm. A demand
// that has excluded a target gets one whose last request failed only if there is no
// other: the few attempts that it may make must not all be trials of such targets.
func (p *Pool) chooseTarget(now basilmoor.Millis, q *queuedDemand) *target {
	level := p.quarantine.Level(q.demand.CrashKeys)
	limited := level >= bmquarantine.Limited
	if limited && !p.quarantine.Admits(q.demand.CrashKeys) {
		return nil
	}
	retried := len(q.demand.Excluded) > 0
	var best *target
	bestCost := 0.0
	for _, t := range p.listed {
		if !t.free(now) || slices.Contains(q.demand.Excluded, t.spec.Name) || !p.fastEnough(now, q, t) || !p.takesPrompt(q, t) || !p.admits(t, level) || !p.allowsVersion(now, t, retried) {
			continue
		}
		order := 0
		if retried && best != nil {
			order = compareFailed(t, best)
		}
		if order == 0 && limited && best != nil {
			order = harms(t, best)
		}
		if order == 0 && best != nil {
			order = p.compareVersions(t, best)
		}
		cost := p.cost(t, q.demand)
		if best == nil || order < 0 || order == 0 && cost < bestCost {
			best = t
			bestCost = cost
		}
	}
	return best
}

// compareFailed returns a negative number if the last request to t has not failed and
// that to other has, a positive one if it is the reverse, and 0 otherwise.
func compareFailed(t, other *target) int {
	return cmp.Compare(min(t.consecutiveFailures, 1), min(other.consecutiveFailures, 1))
}

// fastEnough reports whether a demand may be granted the target t. It may not if
// t would miss the objective or the deadline while the fastest target could
// still meet it.
func (p *Pool) fastEnough(now basilmoor.Millis, q *queuedDemand, t *target) bool {
	latency := p.tokenLatencyOf(t)
	first := now + p.firstTokenAt(latency, q.demand, t.backlog)
	if now <= q.lastOnTime && q.objective > 0 && first > q.objective {
		return false
	}
	end := first + basilmoor.Millis(latency*float64(q.demand.OutputTokens))
	return end <= q.deadline || now+p.fastestDuration(q.demand) > q.deadline
}

// cost returns the expected time of d on t in ms, increased by penalties for the
// load of t and for a target in another data centre.
func (p *Pool) cost(t *target, d basilmoor.Demand) float64 {
	latency := p.tokenLatencyOf(t)
	cost := float64(p.firstTokenAt(latency, d, t.backlog)) + latency*float64(d.OutputTokens)
	cost *= 1 + fullLoadPenalty*float64(len(t.inFlight))/float64(max(t.spec.Slots, 1))
	if t.spec.DataCentre != d.DataCentre {
		cost *= 1 + remotePenalty
	}
	return cost
}

// firstTokenAt returns the expected time to the first token of d on a target of
// the given token latency, or to the complete response of a plain service. The
// target processes backlog prompt tokens before those of d.
func (p *Pool) firstTokenAt(latency float64, d basilmoor.Demand, backlog int) basilmoor.Millis {
	if average, known := p.serviceTimes[d.Kind]; known && d.OutputTokens == 0 {
		return basilmoor.Millis(latency / defaultTokenLatency * average)
	}
	return timeToFirstToken(latency, d.PromptTokens+backlog)
}

// timeToFirstToken returns the expected time to first token at a token latency.
// promptTokens counts all prompt tokens that are processed before it.
func timeToFirstToken(latency float64, promptTokens int) basilmoor.Millis {
	return basilmoor.Millis(latency / defaultTokenLatency * (firstTokenBase + defaultPrefillPerToken*float64(promptTokens)))
}

// tokenLatencyOf returns the token latency of a target. Without a measurement,
// it is assumed to be as fast as the fastest target, so that it gets requests.
func (p *Pool) tokenLatencyOf(t *target) float64 {
	if t.tokenLatency > 0 {
		return t.tokenLatency
	}
	return p.lowestTokenLatency()
}

// lowestTokenLatency returns the shortest known time between tokens, or
// defaultTokenLatency if none is known.
func (p *Pool) lowestTokenLatency() float64 {
	best := 0.0
	for _, t := range p.listed {
		if t.tokenLatency > 0 && (best == 0 || t.tokenLatency < best) {
			best = t.tokenLatency
		}
	}
	if best == 0 {
		return defaultTokenLatency
	}
	return best
}

// fastestFirstToken returns the expected time from a grant to the first token on
// a target of the lowest token latency without a backlog.
func (p *Pool) fastestFirstToken(d basilmoor.Demand) basilmoor.Millis {
	return p.firstTokenAt(p.lowestTokenLatency(), d, 0)
}

// firstTokenReserve returns the time before the objective of a demand at which it
// has to be granted so that its first token is likely to be in time. At most half
// of the time that the fastest target would leave is reserved for delays.
func (p *Pool) firstTokenReserve(d basilmoor.Demand) basilmoor.Millis {
	fastest := p.fastestFirstToken(d)
	reserve := basilmoor.Millis(p.estimates.firstTokenFactor * float64(fastest))
	return max(fastest, min(reserve, (fastest+d.Objective)/2))
}

// fastestDuration returns the expected time from a grant to the end of the
// response on a target of the lowest token latency without a backlog.
func (p *Pool) fastestDuration(d basilmoor.Demand) basilmoor.Millis {
	return p.durationAt(p.lowestTokenLatency(), d)
}

// durationAt returns the expected time from a grant to the end of the response
// on a target of the given token latency without a backlog.
func (p *Pool) durationAt(latency float64, d basilmoor.Demand) basilmoor.Millis {
	return p.firstTokenAt(latency, d, 0) + basilmoor.Millis(latency*float64(d.OutputTokens))
}
