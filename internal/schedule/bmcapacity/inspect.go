package bmcapacity

// TargetStats is what the pool has learned of a target.
type TargetStats struct {
	Name     string
	InFlight int
	Slots    int     // requests that may be in flight now
	Pace     float64 // recent milliseconds between tokens, 0 if unknown
	Prefill  float64 // milliseconds per uncached prompt token, 0 if unknown
	Reduced  bool    // a straggler
}

// Stats returns what the pool has learned, in the order of target names.
func (p *Pool) Stats() []TargetStats {
	stats := make([]TargetStats, 0, len(p.order))
	for _, t := range p.order {
		stats = append(stats, TargetStats{
			Name:     t.spec.Name,
			InFlight: len(t.flights),
			Slots:    t.slots(p.cfg),
			Pace:     t.pace,
			Prefill:  t.prefill,
			Reduced:  t.reduced,
		})
	}
	return stats
}
