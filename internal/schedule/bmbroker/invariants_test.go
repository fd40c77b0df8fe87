package bmbroker

import (
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
)

// check runs after each step: the broker's own count of inversions, and that
// no usable slot is free while a fitting demand waits.
func (w *world) check(rt *rapid.T) {
	stats := w.broker.Stats()
	if stats.Inversions != 0 {
		rt.Fatalf("the broker counted %d inversions", stats.Inversions)
	}
	if w.broker.warming(w.now) {
		return
	}
	for _, t := range stats.Targets {
		if t.InFlight >= t.Slots {
			continue
		}
		for id, k := range w.known {
			if k.waiting && serves(w.target(t.Name), k.demand) {
				rt.Fatalf("%s waits while %s has %d of %d slots in use", id, t.Name, t.InFlight, t.Slots)
			}
		}
	}
}

func (w *world) target(name string) basilmoor.Target {
	for _, t := range w.targets {
		if t.Name == name {
			return t
		}
	}
	return basilmoor.Target{}
}

// settle lets messages flow again until all requests have ended, and checks
// that every demand was decided and that everything is free.
func (w *world) settle(rt *rapid.T) {
	for range 12 {
		for _, host := range testHosts {
			w.resubmit(host)
		}
		w.flow(rt)
		w.check(rt)
		w.now += basilmoor.Second
		w.decide(rt, w.broker.Tick(w.now))
	}
	for id, k := range w.known {
		if k.waiting {
			rt.Fatalf("%s got no decision", id)
		}
	}
	for id, r := range w.requests {
		if !r.resolved {
			rt.Fatalf("%s was neither granted nor refused", id)
		}
	}
	if stats := w.broker.Stats(); w.lossless(stats) {
		return
	}
	if !w.lost {
		rt.Fatalf("%d requests hold capacity although no report was lost", w.broker.Stats().InFlight)
	}
	// Final reports that were lost are made up for by the bound on silence.
	for range 300 {
		w.now += basilmoor.Second
		w.decide(rt, w.broker.Tick(w.now))
	}
	if stats := w.broker.Stats(); !w.lossless(stats) {
		rt.Fatalf("%d requests still hold capacity and %v wait", stats.InFlight, stats.Waiting)
	}
}

func (w *world) lossless(stats Stats) bool {
	return stats.InFlight == 0 && len(stats.Waiting) == 0
}

// flow delivers all messages; each dispatched request ends at once.
func (w *world) flow(rt *rapid.T) {
	for len(w.toBroker) > 0 || len(w.toHost) > 0 {
		for len(w.toBroker) > 0 {
			m := w.toBroker[0]
			w.toBroker = w.toBroker[1:]
			w.decide(rt, m.call())
		}
		for len(w.toHost) > 0 {
			w.deliverToHost(rt)
		}
		for _, id := range w.order {
			r := w.requests[id]
			if !r.resolved && r.target != "" {
				r.resolved = true
				w.observe(r, r.target, basilmoor.StageFinished, false)
			}
		}
	}
}
