package bmview

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmrollout"
)

// applyRollouts merges the orders and statuses of an update that leads to an era. Older
// ones are ignored. An order that the operator writes again, as it was, after the store
// came back from a copy is still the same one.
func (s *state) applyRollouts(c Changes, era int64, now basilmoor.Millis) {
	for pool, o := range c.Orders {
		o.At.Era = era
		known, ordered := s.rollouts[pool]
		if ordered && (!known.Order.At.Before(o.At) || isRewritten(known.Order, o)) {
			continue
		}
		known.Order = o
		known.LearnedAt = now
		s.rollouts[pool] = known
	}
	for pool, status := range c.Statuses {
		status.At.Era = era
		if known := s.rollouts[pool]; known.Status.At.Before(status.At) {
			known.Status = status
			known.StatusLearnedAt = now
			s.rollouts[pool] = known
		}
	}
}

// isRewritten reports whether an order of a later era is the known one.
func isRewritten(known, o bmrollout.Order) bool {
	return known.At.Era != o.At.Era && known.Version == o.Version && known.Duration == o.Duration
}
