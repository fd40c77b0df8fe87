package bmcapacity

// TargetStats holds the tracked state of a target.
type TargetStats struct {
	Name            string
	InFlight        int
	SlotLimit       int     // current limit on requests in flight
	TokenLatency    float64 // recent inter-token latency in milliseconds, 0 if unknown
	PrefillPerToken float64 // milliseconds per uncached prompt token, 0 if unknown
	Reduced         bool    // whether the slots are reduced because the target is a straggler
}

// Stats returns the tracked state of all listed targets, sorted by name.
func (p *Pool) Stats() []TargetStats {
	stats := make([]TargetStats, 0, len(p.order))
	for _, t := range p.order {
		stats = append(stats, TargetStats{
			Name:            t.spec.Name,
			InFlight:        len(t.reservations),
			SlotLimit:       t.slots(p.cfg),
			TokenLatency:    t.tokenLatency,
			PrefillPerToken: t.prefillPerToken,
			Reduced:         t.reduced,
		})
	}
	return stats
}
