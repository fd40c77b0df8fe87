package bmbench

import (
	"slices"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmscheduler"
)

// frameBytes is what HTTP/2 and gRPC add to each message.
const frameBytes = 9 + 5

// admissionGrace is how long a request of a higher tier must have waited for a
// lower admission to count as late: about two steps of a slow engine.
const admissionGrace = 100 * millisecond

// measure counts what happens in one pool.
type measure struct {
	accounted     micros
	idleTargets   float64 // target time without any sequence while work waits
	idleSlots     float64 // slot time free while work waits
	targetTime    float64
	slotTime      float64
	inversions    int // grants that pass over a waiting higher tier
	lateAdmission int // admissions that pass over a higher tier anywhere
	messages      int
	bytes         int
}

// account adds the time since the last change to the idle counters. It must
// be called before each change of pending requests or running sequences.
func (m *measure) account(p *poolRun) {
	now := p.sim.now
	from := max(m.accounted, p.d.measured)
	until := min(now, p.d.length)
	m.accounted = now
	if until <= from {
		return
	}
	elapsed := float64(until - from)
	waiting := 0
	for _, set := range p.pending {
		waiting += len(set)
	}
	free, idle := 0, 0
	for _, e := range p.engines {
		free += e.batch - len(e.running)
		if len(e.running) == 0 {
			idle++
		}
		m.slotTime += elapsed * float64(e.batch)
	}
	m.targetTime += elapsed * float64(len(p.engines))
	m.idleSlots += elapsed * float64(min(free, waiting))
	m.idleTargets += elapsed * float64(min(idle, waiting))
}

func (m *measure) grant(p *poolRun, r *request, g basilmoor.Grant) {
	if p.higherWaits(r, g.Target) {
		m.inversions++
	}
	m.message(p, bmscheduler.DecisionBytes(basilmoor.Decision{
		Grant: &g,
	}))
}

// higherWaits tells whether a demand of a higher tier waits in any policy of
// the pool that the target can serve.
func (p *poolRun) higherWaits(r *request, t basilmoor.Target) bool {
	if r.kind.tier == 0 {
		return false
	}
	for _, in := range p.instances {
		for _, other := range in.waiting {
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

func (m *measure) admission(p *poolRun, e *engine, r *request) {
	for tier := range r.kind.tier {
		for other := range p.pending[tier] {
			if p.sim.now-other.at >= admissionGrace && !slices.Contains(other.excluded, e.target.Name) {
				m.lateAdmission++
				return
			}
		}
	}
}

func (m *measure) refusal(p *poolRun, r *request, refusal basilmoor.Refusal) {
	if refusal.Reason == basilmoor.ReasonQueueFull || refusal.Reason == basilmoor.ReasonDisplaced {
		for _, in := range p.instances {
			for _, other := range in.waiting {
				if other.kind.tier > r.kind.tier {
					m.inversions++
					break
				}
			}
		}
	}
	m.message(p, bmscheduler.DecisionBytes(basilmoor.Decision{
		Refusal: &refusal,
	}))
}

func (m *measure) demandMessage(p *poolRun, d basilmoor.Demand) {
	m.message(p, bmscheduler.DemandBytes(d))
}

func (m *measure) observationMessage(p *poolRun, o basilmoor.Observation) {
	m.message(p, bmscheduler.ObservationBytes(o))
}

func (m *measure) cancelMessage(p *poolRun) {
	m.message(p, bmscheduler.CancelBytes())
}

// message counts a control message. Policies on the entry hosts send none.
func (m *measure) message(p *poolRun, bytes int) {
	if !p.scheme.Central || p.sim.now < p.d.measured || p.sim.now >= p.d.length {
		return
	}
	m.messages++
	m.bytes += bytes + frameBytes
}
