package bmquarantine

import (
	"math"

	"basilmoor.example/basilmoor"
)

// neverAnswered is earlier than any time.
const neverAnswered basilmoor.Millis = math.MinInt64

// survivals holds when targets last answered under a key. It keeps the keys noted
// last, between one and two times maxSurvivalsPerInterval.
type survivals struct {
	recent, earlier map[uint64]basilmoor.Millis
}

func newSurvivals() survivals {
	return survivals{
		recent: map[uint64]basilmoor.Millis{},
	}
}

func (s *survivals) note(now basilmoor.Millis, key uint64) {
	if len(s.recent) >= maxSurvivalsPerInterval {
		s.earlier = s.recent
		s.recent = map[uint64]basilmoor.Millis{}
	}
	s.recent[key] = now
}

// last returns when the latest answer under a key was noted, or neverAnswered.
func (s *survivals) last(key uint64) basilmoor.Millis {
	if at, ok := s.recent[key]; ok {
		return at
	}
	if at, ok := s.earlier[key]; ok {
		return at
	}
	return neverAnswered
}
