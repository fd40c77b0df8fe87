package bmcapacity

import (
	"sort"

	"basilmoor.example/basilmoor"
)

// UpdateStragglers compares the time between tokens of each target with its
// hardware generation and reduces or restores targets.
func (p *Pool) UpdateStragglers(now basilmoor.Millis) {
	reference := p.references(now)
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
	// Only the slowest third is reduced, so that a fault of the measurement
	// can't take away most of the pool.
	sort.SliceStable(slow, func(i, j int) bool { return slowness[slow[i]] > slowness[slow[j]] })
	for i, t := range slow {
		t.reduced = i < len(p.order)/3
	}
}

// references returns for each generation the time between tokens that is
// normal now.
func (p *Pool) references(now basilmoor.Millis) map[string]float64 {
	recent := map[string][]float64{}
	steady := map[string][]float64{}
	for _, t := range p.order {
		generation := t.spec.Generation
		if t.pace > 0 && now-t.sampled < p.cfg.ForgetAfter {
			recent[generation] = append(recent[generation], t.pace)
		}
		if t.steady > 0 {
			steady[generation] = append(steady[generation], t.steady)
		}
	}
	reference := make(map[string]float64, len(recent))
	for generation, paces := range recent {
		reference[generation] = median(paces)
		// Most of a small generation can be slow at once. Its long-run speed
		// then tells more than its median.
		if long := 1.25 * median(steady[generation]); long > 0 && long < reference[generation] {
			reference[generation] = long
		}
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
