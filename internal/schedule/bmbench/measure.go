package bmbench

import (
	"slices"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmscheduler"
)

// framingBytes is the size of the HTTP/2 frame header (9) and the gRPC message
// prefix (5).
const framingBytes = 9 + 5

// lateAdmissionDelay is how long a request of a higher tier must have waited
// before the admission of one of a lower tier counts against the policy: about
// two steps of a slow engine.
const lateAdmissionDelay = 100 * millisecond

// poolStats holds the counters of a pool.
type poolStats struct {
	accountedUntil micros
	idleTargetTime float64 // time of targets without any sequence while requests wait, microseconds
	idleSlotTime   float64 // time of free batch slots while requests wait, microseconds
	targetTime     float64
	slotTime       float64
	inversions     int // grants and refusals for lack of queue space that violate the order of tiers
	lateAdmissions int // admissions while a request of a higher tier had waited for lateAdmissionDelay
	messages       int
	bytes          int
}

// accountIdleTime adds the time since the previous call to the idle counters. It
// must be called before each change of pending requests or running sequences.
func (m *poolStats) accountIdleTime(p *poolRun) {
	now := p.sim.now
	from := max(m.accountedUntil, p.deployment.warmUp)
	until := min(now, p.deployment.arrivalPeriod)
	m.accountedUntil = now
	if until <= from {
		return
	}
	elapsed := float64(until - from)
	waiting := 0
	for _, set := range p.pendingByTier {
		waiting += len(set)
	}
	free, idle := 0, 0
	for _, e := range p.engines {
		free += e.maxBatch - len(e.running)
		if len(e.running) == 0 {
			idle++
		}
		m.slotTime += elapsed * float64(e.maxBatch)
	}
	m.targetTime += elapsed * float64(len(p.engines))
	m.idleSlotTime += elapsed * float64(min(free, waiting))
	m.idleTargetTime += elapsed * float64(min(idle, waiting))
}

// countGrant counts a grant, and an inversion if a request of a higher tier that
// the target can serve waits.
func (m *poolStats) countGrant(p *poolRun, r *request, g basilmoor.Grant) {
	if p.higherTierWaits(r, g.Target) {
		m.inversions++
	}
	m.countMessage(p, bmscheduler.DecisionBytes(basilmoor.Decision{
		Grant: &g,
	}))
}

// higherTierWaits reports whether any policy of the pool has a waiting demand of
// a higher tier that the target can serve.
func (p *poolRun) higherTierWaits(r *request, t basilmoor.Target) bool {
	if r.kind.tier == 0 {
		return false
	}
	for _, instance := range p.instances {
		for _, other := range instance.waiting {
			if other.kind.tier >= r.kind.tier || slices.Contains(other.excluded, t.Name) {
				continue
			}
			if t.Serves(other.kind.model, other.promptTokens+other.expectedOutput) {
				return true
			}
		}
	}
	return false
}

// countAdmission counts a late admission if a request of a higher tier that may
// use the engine has waited for lateAdmissionDelay.
func (m *poolStats) countAdmission(p *poolRun, e *engine, r *request) {
	for tier := range r.kind.tier {
		for other := range p.pendingByTier[tier] {
			if p.sim.now-other.at >= lateAdmissionDelay && !slices.Contains(other.excluded, e.target.Name) {
				m.lateAdmissions++
				return
			}
		}
	}
}

// countRefusal counts a refusal, and an inversion if it was for lack of queue
// space while a request of a lower tier waited.
func (m *poolStats) countRefusal(p *poolRun, r *request, refusal basilmoor.Refusal) {
	if refusal.Reason == basilmoor.ReasonQueueFull || refusal.Reason == basilmoor.ReasonDisplaced {
		for _, instance := range p.instances {
			for _, other := range instance.waiting {
				if other.kind.tier > r.kind.tier {
					m.inversions++
					break
				}
			}
		}
	}
	m.countMessage(p, bmscheduler.DecisionBytes(basilmoor.Decision{
		Refusal: &refusal,
	}))
}

func (m *poolStats) countDemand(p *poolRun, d basilmoor.Demand) {
	m.countMessage(p, bmscheduler.DemandBytes(d))
}

func (m *poolStats) countObservation(p *poolRun, o basilmoor.Observation) {
	m.countMessage(p, bmscheduler.ObservationBytes(o))
}

func (m *poolStats) countCancel(p *poolRun) {
	m.countMessage(p, bmscheduler.CancelBytes())
}

// countMessage counts a control message after the warm-up. Policies on entry
// hosts send none.
func (m *poolStats) countMessage(p *poolRun, bytes int) {
	if !p.scheme.Central || p.sim.now < p.deployment.warmUp || p.sim.now >= p.deployment.arrivalPeriod {
		return
	}
	m.messages++
	m.bytes += bytes + framingBytes
}
