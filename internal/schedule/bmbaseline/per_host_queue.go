package bmbaseline

import (
	"slices"

	"basilmoor.example/basilmoor"
)

// queuedDemand is a demand in a tierQueue.
type queuedDemand struct {
	demand  basilmoor.Demand
	expires basilmoor.Millis
}

// tierQueue holds waiting demands by tier, in the order of arrival.
type tierQueue struct {
	tiers [][]queuedDemand
}

func (q *tierQueue) push(now basilmoor.Millis, d basilmoor.Demand) {
	for len(q.tiers) <= d.Tier {
		q.tiers = append(q.tiers, nil)
	}
	q.tiers[d.Tier] = append(q.tiers[d.Tier], queuedDemand{
		demand:  d,
		expires: now + d.Deadline,
	})
}

func (q *tierQueue) remove(id basilmoor.RequestID) {
	for i := range q.tiers {
		q.tiers[i] = slices.DeleteFunc(q.tiers[i], func(w queuedDemand) bool { return w.demand.Request == id })
	}
}

// expire removes the demands whose deadline has passed and returns their refusals.
func (q *tierQueue) expire(now basilmoor.Millis) []basilmoor.Decision {
	var decisions []basilmoor.Decision
	for i := range q.tiers {
		q.tiers[i] = slices.DeleteFunc(q.tiers[i], func(w queuedDemand) bool {
			if w.expires > now {
				return false
			}
			decisions = append(decisions, refuse(w.demand, basilmoor.ReasonDeadline))
			return true
		})
	}
	return decisions
}

// PerHostQueue is a policy that queues the requests of one entry host by tier
// and uses an equal share of each target's slots.
type PerHostQueue struct {
	view  hostView
	queue tierQueue
	host  int
	hosts int
}

var _ basilmoor.Policy = (*PerHostQueue)(nil)

// NewPerHostQueue returns the policy of the host with the given index, counted
// from 0, out of hosts.
func NewPerHostQueue(host, hosts int) *PerHostQueue {
	return &PerHostQueue{
		view:  newHostView(),
		host:  host,
		hosts: hosts,
	}
}

// slotShare returns the host's share of a target's slots. The remainder of the
// division is distributed to hosts in turn, starting at a different host for each
// target. Every host may use at least one slot of each target.
func (p *PerHostQueue) slotShare(index int, t basilmoor.Target) int {
	share := t.Slots / p.hosts
	if (p.host+index)%p.hosts < t.Slots%p.hosts {
		share++
	}
	return max(share, 1)
}

// SetTargets implements basilmoor.Policy.
func (p *PerHostQueue) SetTargets(now basilmoor.Millis, targets []basilmoor.Target) []basilmoor.Decision {
	p.view.targets = targets
	return p.advance(now)
}

// Submit implements basilmoor.Policy.
func (p *PerHostQueue) Submit(now basilmoor.Millis, d basilmoor.Demand) []basilmoor.Decision {
	if len(p.view.eligible(d)) == 0 {
		return []basilmoor.Decision{refuse(d, basilmoor.ReasonNoTarget)}
	}
	p.queue.push(now, d)
	return p.advance(now)
}

// Cancel implements basilmoor.Policy.
func (p *PerHostQueue) Cancel(now basilmoor.Millis, id basilmoor.RequestID) []basilmoor.Decision {
	p.queue.remove(id)
	p.view.remove(id)
	return p.advance(now)
}

// Observe implements basilmoor.Policy.
func (p *PerHostQueue) Observe(now basilmoor.Millis, o basilmoor.Observation) []basilmoor.Decision {
	p.view.observe(o)
	return p.advance(now)
}

// Report implements basilmoor.Policy.
func (p *PerHostQueue) Report(now basilmoor.Millis, r basilmoor.LoadReport) []basilmoor.Decision {
	p.view.report(now, r)
	return p.advance(now)
}

// Tick implements basilmoor.Policy.
func (p *PerHostQueue) Tick(now basilmoor.Millis) []basilmoor.Decision {
	return p.advance(now)
}

// advance refuses expired demands and grants all demands that fit into the host's
// share, in the order of tiers.
func (p *PerHostQueue) advance(now basilmoor.Millis) []basilmoor.Decision {
	decisions := p.queue.expire(now)
	if !p.anyFree() {
		return decisions
	}
	for i := range p.queue.tiers {
		p.queue.tiers[i] = slices.DeleteFunc(p.queue.tiers[i], func(w queuedDemand) bool {
			t, ok := p.choose(w.demand)
			if !ok {
				return false
			}
			p.view.add(now, w.demand.Request, t.Name)
			decisions = append(decisions, grant(w.demand, t))
			return true
		})
	}
	return decisions
}

func (p *PerHostQueue) anyFree() bool {
	for i, t := range p.view.targets {
		if p.view.ownByTarget[t.Name] < p.slotShare(i, t) {
			return true
		}
	}
	return false
}

// choose returns the eligible target with the lowest utilisation of the host's
// share. Ties are broken by the lower reported load.
func (p *PerHostQueue) choose(d basilmoor.Demand) (basilmoor.Target, bool) {
	var best basilmoor.Target
	bestUsed, bestLoad := 1.0, 0.0
	found := false
	for i, t := range p.view.targets {
		if !t.Serves(d.Model, d.Tokens()) || slices.Contains(d.Excluded, t.Name) {
			continue
		}
		used := float64(p.view.ownByTarget[t.Name]) / float64(p.slotShare(i, t))
		if used >= 1 {
			continue
		}
		load := p.view.load(t)
		if used < bestUsed || found && used == bestUsed && load < bestLoad {
			best = t
			bestUsed = used
			bestLoad = load
			found = true
		}
	}
	return best, found
}
