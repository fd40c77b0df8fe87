package bmgrant

import (
	"basilmoor.example/basilmoor"
)

// Summary is the state of a pool for the log.
type Summary struct {
	Waiting   map[int]int // demands by tier
	Granted   map[int]int // by tier, since the last summary
	Refused   map[int]int // by tier, since the last summary
	Slots     int         // of targets that are not leaving
	InUse     int         // slots with a granted request
	InBackoff int         // targets in backoff after a failure

	// HeldBack is the number of demands, since the last summary, that were granted
	// after a free target could not take their prompt beside its streams.
	HeldBack int
	// PausePercent is the learned ratio of the longest pauses of streams to the
	// expected ones, in percent; 0 if the pool does not learn it.
	PausePercent int
}

// Summarize returns the state of the pool and resets the counts of grants and
// refusals.
func (p *Pool) Summarize(now basilmoor.Millis) Summary {
	s := Summary{
		Waiting: map[int]int{},
		Granted: p.grantedByTier,
		Refused: p.refusedByTier,
		InUse:   len(p.inFlight),

		HeldBack:     p.prefill.heldBack,
		PausePercent: int(100 * p.prefill.pauses.Factor()),
	}
	for _, q := range p.waiting {
		s.Waiting[q.demand.Tier]++
	}
	for _, t := range p.listed {
		if t.spec.Leaving {
			continue
		}
		s.Slots += t.spec.Slots
		if t.consecutiveFailures > 0 && now < t.retryAt {
			s.InBackoff++
		}
	}
	p.grantedByTier = map[int]int{}
	p.refusedByTier = map[int]int{}
	p.prefill.heldBack = 0
	return s
}
