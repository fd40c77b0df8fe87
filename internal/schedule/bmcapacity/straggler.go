package bmcapacity

import (
	"sort"

	"basilmoor.example/basilmoor"
)

// UpdateStragglers compares the time between tokens of each target with its
// hardware generation and reduces or restores targets.
func (p *Pool) UpdateStragglers(now basilmoor.Millis) {
	p.updateSteady(now)
	reference := p.references()
	slowness := make(map[*target]float64, len(p.order))
	var slow []*target
	for _, t := range p.order {
		s := p.slowness(now, t, reference[t.spec.Generation])
		slowness[t] = s
		if s >= p.cfg.StragglerFactor || t.reduced && s >= p.cfg.RecoveredFactor {
			slow = append(slow, t)
		} else {
			t.reduced = false
		}
	}
	// At most a third is reduced, so that a fault of the measurement can't take
	// away most of the pool. Targets that are reduced already come first: a
	// newly slow one is more often slow for a moment only, by a long prompt.
	sort.SliceStable(slow, func(i, j int) bool {
		if slow[i].reduced != slow[j].reduced {
			return slow[i].reduced
		}
		return slowness[slow[i]] > slowness[slow[j]]
	})
	for i, t := range slow {
		t.reduced = i < len(p.order)/3
	}
}

// updateSteady moves the long-run time between tokens of each target towards
// the recent one, by the time that has passed. Hosts report changes at once and
// else rarely, so that an average over reports would overstate short moments.
func (p *Pool) updateSteady(now basilmoor.Millis) {
	weight := min(float64(now-p.compared)/float64(steadyPeriod), 1)
	p.compared = now
	for _, t := range p.order {
		switch {
		case t.pace == 0:
		case t.reduced:
			// Without this, a generation whose targets are all reduced by
			// mistake would keep its reference and never be restored.
			t.steady = blend(t.steady, t.pace, weight/4)
		default:
			t.steady = blend(t.steady, t.pace, weight)
		}
	}
}

// references returns for each generation the time between tokens that is
// normal: the median over its targets' long-run speeds. The recent speeds would
// mislead in a moment in which most of a small generation is slow.
func (p *Pool) references() map[string]float64 {
	steady := map[string][]float64{}
	for _, t := range p.order {
		if t.steady > 0 {
			steady[t.spec.Generation] = append(steady[t.spec.Generation], t.steady)
		}
	}
	reference := make(map[string]float64, len(steady))
	for generation, paces := range steady {
		reference[generation] = median(paces)
	}
	return reference
}

// slowness is the time between tokens of t relative to the reference, or 0 if
// it is unknown.
func (p *Pool) slowness(now basilmoor.Millis, t *target, reference float64) float64 {
	if reference == 0 {
		return 0
	}
	quiet := now - t.sampled
	if quiet >= p.cfg.StalledAfter && t.streams() {
		return max(t.pace, float64(quiet)) / reference
	}
	if t.pace == 0 || quiet >= p.cfg.ForgetAfter {
		return 0
	}
	return t.pace / reference
}

func (t *target) streams() bool {
	for _, f := range t.flights {
		if f.streaming {
			return true
		}
	}
	return false
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[len(values)/2]
}
