package bmgrant

import (
	"basilmoor.example/basilmoor"
)

// Summary is the state of a pool for the log.
type Summary struct {
	Waiting map[int]int // by rank
	Granted map[int]int // by rank, since the last summary
	Refused map[int]int
	Slots   int // of targets that take requests
	InUse   int
	Suspect int // targets that failed lately
}

// Summarize returns the state of the pool and starts the next period.
func (p *Pool) Summarize(now basilmoor.Millis) Summary {
	s := Summary{
		Waiting: map[int]int{},
		Granted: p.granted,
		Refused: p.refused,
		InUse:   len(p.flights),
	}
	for _, i := range p.waiting {
		s.Waiting[i.demand.Tier]++
	}
	for _, t := range p.order {
		if t.spec.Leaving {
			continue
		}
		s.Slots += t.spec.Slots
		if t.failures > 0 && now < t.suspect {
			s.Suspect++
		}
	}
	p.granted = map[int]int{}
	p.refused = map[int]int{}
	return s
}
