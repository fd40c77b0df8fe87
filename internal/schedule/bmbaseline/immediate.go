package bmbaseline

import (
	"math/rand/v2"

	"basilmoor.example/basilmoor"
)

// Immediate is a policy that dispatches each request immediately to a target's own
// queue.
type Immediate struct {
	view   hostView
	choose func(v *hostView, usable []basilmoor.Target) basilmoor.Target
}

var _ basilmoor.Policy = (*Immediate)(nil)

// NewRandom returns a policy that chooses targets uniformly at random.
func NewRandom(seed uint64) *Immediate {
	rng := newRand(seed)
	return &Immediate{
		view: newHostView(),
		choose: func(_ *hostView, usable []basilmoor.Target) basilmoor.Target {
			return usable[rng.IntN(len(usable))]
		},
	}
}

// NewRoundRobin returns a policy that chooses the targets in turn, starting after
// index first. Hosts use different values, so that they do not all choose the same
// target at the same time.
func NewRoundRobin(first int) *Immediate {
	next := first
	return &Immediate{
		view: newHostView(),
		choose: func(_ *hostView, usable []basilmoor.Target) basilmoor.Target {
			next++
			return usable[next%len(usable)]
		},
	}
}

// NewLeastLoad returns a policy that chooses the target with the lowest reported
// load, corrected by the host's own requests since the report. Ties are broken at
// random.
func NewLeastLoad(seed uint64) *Immediate {
	rng := newRand(seed)
	return &Immediate{
		view: newHostView(),
		choose: func(v *hostView, usable []basilmoor.Target) basilmoor.Target {
			return leastLoad(v, usable, rng)
		},
	}
}

func leastLoad(v *hostView, usable []basilmoor.Target, rng *rand.Rand) basilmoor.Target {
	best := usable[0]
	bestLoad := v.load(best)
	ties := 1
	for _, t := range usable[1:] {
		load := v.load(t)
		if load > bestLoad {
			continue
		}
		if load < bestLoad {
			ties = 0
		}
		ties++
		if rng.IntN(ties) == 0 {
			best = t
		}
		bestLoad = load
	}
	return best
}

// NewTwoChoices returns a policy that chooses the less loaded of two random targets
// (power of two choices).
func NewTwoChoices(seed uint64) *Immediate {
	rng := newRand(seed)
	return &Immediate{
		view: newHostView(),
		choose: func(v *hostView, usable []basilmoor.Target) basilmoor.Target {
			i := rng.IntN(len(usable))
			j := rng.IntN(len(usable))
			if v.load(usable[j]) < v.load(usable[i]) {
				i = j
			}
			return usable[i]
		},
	}
}

// SetTargets implements basilmoor.Policy.
func (p *Immediate) SetTargets(_ basilmoor.Millis, targets []basilmoor.Target) []basilmoor.Decision {
	p.view.targets = targets
	return nil
}

// Submit implements basilmoor.Policy.
func (p *Immediate) Submit(now basilmoor.Millis, d basilmoor.Demand) []basilmoor.Decision {
	if d.Deadline <= 0 {
		return []basilmoor.Decision{refuse(d, basilmoor.ReasonDeadline)}
	}
	usable := p.view.eligible(d)
	if len(usable) == 0 {
		return []basilmoor.Decision{refuse(d, basilmoor.ReasonNoTarget)}
	}
	t := p.choose(&p.view, usable)
	p.view.add(now, d.Request, t.Name)
	return []basilmoor.Decision{grant(d, t)}
}

// Cancel implements basilmoor.Policy.
func (p *Immediate) Cancel(_ basilmoor.Millis, id basilmoor.RequestID) []basilmoor.Decision {
	p.view.remove(id)
	return nil
}

// Observe implements basilmoor.Policy.
func (p *Immediate) Observe(_ basilmoor.Millis, o basilmoor.Observation) []basilmoor.Decision {
	p.view.observe(o)
	return nil
}

// Report implements basilmoor.Policy.
func (p *Immediate) Report(now basilmoor.Millis, r basilmoor.LoadReport) []basilmoor.Decision {
	p.view.report(now, r)
	return nil
}

// Tick implements basilmoor.Policy.
func (p *Immediate) Tick(basilmoor.Millis) []basilmoor.Decision {
	return nil
}
