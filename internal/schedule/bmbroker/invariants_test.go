package bmbroker

import (
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
)

// check verifies after each action that the broker counted no inversions and that
// no slot is free while a demand that its target can serve is waiting.
func (s *simulation) check(rt *rapid.T) {
	stats := s.broker.Stats()
	if stats.Inversions != 0 {
		rt.Fatalf("the broker counted %d inversions", stats.Inversions)
	}
	if s.broker.warmingUp(s.now) {
		return
	}
	for _, t := range stats.Targets {
		if t.InFlight >= t.SlotLimit {
			continue
		}
		for id, k := range s.knowledge {
			if k.waiting && serves(s.target(t.Name), k.demand) {
				rt.Fatalf("%s waits while %s has %d of %d slots in use", id, t.Name, t.InFlight, t.SlotLimit)
			}
		}
	}
}

func (s *simulation) target(name string) basilmoor.Target {
	for _, t := range s.targets {
		if t.Name == name {
			return t
		}
	}
	return basilmoor.Target{}
}

// settle delivers all messages until all requests have ended, and verifies that
// every demand was granted or refused and that no capacity is held.
func (s *simulation) settle(rt *rapid.T) {
	for range 12 {
		for _, host := range testHosts {
			s.resubmit(host)
		}
		s.deliverAll(rt)
		s.check(rt)
		s.now += basilmoor.Second
		s.decide(rt, s.broker.Tick(s.now))
	}
	for id, k := range s.knowledge {
		if k.waiting {
			rt.Fatalf("%s was neither granted nor refused by the broker", id)
		}
	}
	for id, r := range s.requests {
		if !r.resolved {
			rt.Fatalf("host of %s received neither a grant nor a refusal", id)
		}
	}
	if stats := s.broker.Stats(); s.idle(stats) {
		return
	}
	if !s.messageLost {
		rt.Fatalf("%d requests hold capacity although no report was lost", s.broker.Stats().InFlight)
	}
	// If final reports were lost, the silence timeout frees the capacity.
	for range 300 {
		s.now += basilmoor.Second
		s.decide(rt, s.broker.Tick(s.now))
	}
	if stats := s.broker.Stats(); !s.idle(stats) {
		rt.Fatalf("%d requests still hold capacity and %v wait", stats.InFlight, stats.Waiting)
	}
}

// idle reports whether no request holds capacity and no demand waits.
func (s *simulation) idle(stats Stats) bool {
	return stats.InFlight == 0 && len(stats.Waiting) == 0
}

// deliverAll delivers all messages until none is left. Each dispatched request
// finishes immediately.
func (s *simulation) deliverAll(rt *rapid.T) {
	for len(s.toBroker) > 0 || len(s.toHost) > 0 {
		for len(s.toBroker) > 0 {
			m := s.toBroker[0]
			s.toBroker = s.toBroker[1:]
			s.decide(rt, m.call())
		}
		for len(s.toHost) > 0 {
			s.deliverToHost(rt)
		}
		for _, id := range s.order {
			r := s.requests[id]
			if !r.resolved && r.target != "" {
				r.resolved = true
				s.observe(r, r.target, basilmoor.StageFinished, false)
			}
		}
	}
}
