package bmcapacity

import (
	"sort"

	"basilmoor.example/basilmoor"
)

// UpdateStragglers compares the inter-token latency of each target with the
// reference of its hardware generation, and reduces or restores its slots.
func (p *Pool) UpdateStragglers(now basilmoor.Millis) {
	p.updateLongTerm(now)
	reference := p.referenceLatencies()
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
	// At most a third of the targets are reduced, so that a measurement error
	// can't disable most of the pool. Targets that are already reduced come
	// first: a target that has just become slow is more often slow only briefly,
	// because of a long prompt.
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

// updateLongTerm moves the long-term latency of each target towards the recent
// one, weighted by the time since the last update. It is not an average over
// reports: hosts report changes immediately and otherwise rarely, so such an
// average would overweight short periods of slowness.
func (p *Pool) updateLongTerm(now basilmoor.Millis) {
	weight := min(float64(now-p.longTermUpdated)/float64(longTermPeriod), 1)
	p.longTermUpdated = now
	for _, t := range p.order {
		switch {
		case t.tokenLatency == 0:
		case t.reduced:
			// Reduced targets are updated too, at a lower weight. Otherwise a
			// generation whose targets were all reduced by mistake would keep
			// its reference and never be restored.
			t.longTermLatency = ewma(t.longTermLatency, t.tokenLatency, weight/4)
		default:
			t.longTermLatency = ewma(t.longTermLatency, t.tokenLatency, weight)
		}
	}
}

// referenceLatencies returns the normal inter-token latency of each hardware
// generation: the median of the long-term latencies of its targets. The median of
// recent latencies would be too high while most targets of a small generation are
// slow.
func (p *Pool) referenceLatencies() map[string]float64 {
	longTerm := map[string][]float64{}
	for _, t := range p.order {
		if t.longTermLatency > 0 {
			longTerm[t.spec.Generation] = append(longTerm[t.spec.Generation], t.longTermLatency)
		}
	}
	reference := make(map[string]float64, len(longTerm))
	for generation, latencies := range longTerm {
		reference[generation] = median(latencies)
	}
	return reference
}

// slowness returns the inter-token latency of t relative to the reference, or 0 if
// it is unknown. If t has open streams but no progress for StallTimeout, the time
// since the last sample is taken as the latency if it is longer.
func (p *Pool) slowness(now basilmoor.Millis, t *target, reference float64) float64 {
	if reference == 0 {
		return 0
	}
	sinceSample := now - t.lastSample
	if sinceSample >= p.cfg.StallTimeout && t.hasStreams() {
		return max(t.tokenLatency, float64(sinceSample)) / reference
	}
	if t.tokenLatency == 0 || sinceSample >= p.cfg.SampleTTL {
		return 0
	}
	return t.tokenLatency / reference
}

// hasStreams reports whether any request in flight has received its first token.
func (t *target) hasStreams() bool {
	for _, r := range t.reservations {
		if r.streaming {
			return true
		}
	}
	return false
}

// median returns the median of values, the upper one if their number is even, or
// 0 if there are none. It sorts values in place.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[len(values)/2]
}
