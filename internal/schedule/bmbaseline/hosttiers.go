package bmbaseline

import (
	"slices"

	"basilmoor.example/basilmoor"
)

// waiting is a demand in a host's queue.
type waiting struct {
	demand  basilmoor.Demand
	expires basilmoor.Millis
}

// tierQueue orders demands by tier and then by arrival.
type tierQueue struct {
	tiers [][]waiting
}

func (q *tierQueue) push(now basilmoor.Millis, d basilmoor.Demand) {
	for len(q.tiers) <= d.Tier {
		q.tiers = append(q.tiers, nil)
	}
	q.tiers[d.Tier] = append(q.tiers[d.Tier], waiting{
		demand:  d,
		expires: now + d.Deadline,
	})
}

func (q *tierQueue) remove(id basilmoor.RequestID) {
	for i := range q.tiers {
		q.tiers[i] = slices.DeleteFunc(q.tiers[i], func(w waiting) bool { return w.demand.Request == id })
	}
}

func (q *tierQueue) expire(now basilmoor.Millis) []basilmoor.Decision {
	var decisions []basilmoor.Decision
	for i := range q.tiers {
		q.tiers[i] = slices.DeleteFunc(q.tiers[i], func(w waiting) bool {
			if w.expires > now {
				return false
			}
			decisions = append(decisions, refuse(w.demand, basilmoor.ReasonDeadline))
			return true
		})
	}
	return decisions
}

// HostTiers orders the requests of one entry host by tier and uses an equal
// share of each target's slots.
type HostTiers struct {
	view  hostView
	queue tierQueue
	host  int
	hosts int
}

var _ basilmoor.Policy = (*HostTiers)(nil)

// NewHostTiers returns the policy of one of several hosts, counted from 0.
func NewHostTiers(host, hosts int) *HostTiers {
	return &HostTiers{
		view:  newHostView(),
		host:  host,
		hosts: hosts,
	}
}

// share is the host's part of a target's slots. What does not divide evenly
// goes to hosts in turn, beginning at another host for each target. Every host
// may use at least one slot of each target.
func (p *HostTiers) share(index int, t basilmoor.Target) int {
	share := t.Slots / p.hosts
	if (p.host+index)%p.hosts < t.Slots%p.hosts {
		share++
	}
	return max(share, 1)
}

// SetTargets implements basilmoor.Policy.
func (p *HostTiers) SetTargets(now basilmoor.Millis, targets []basilmoor.Target) []basilmoor.Decision {
	p.view.targets = targets
	return p.step(now)
}

// Submit implements basilmoor.Policy.
func (p *HostTiers) Submit(now basilmoor.Millis, d basilmoor.Demand) []basilmoor.Decision {
	if len(p.view.usable(d)) == 0 {
		return []basilmoor.Decision{refuse(d, basilmoor.ReasonNoTarget)}
	}
	p.queue.push(now, d)
	return p.step(now)
}

// Cancel implements basilmoor.Policy.
func (p *HostTiers) Cancel(now basilmoor.Millis, id basilmoor.RequestID) []basilmoor.Decision {
	p.queue.remove(id)
	p.view.remove(id)
	return p.step(now)
}

// Observe implements basilmoor.Policy.
func (p *HostTiers) Observe(now basilmoor.Millis, o basilmoor.Observation) []basilmoor.Decision {
	p.view.observe(o)
	return p.step(now)
}

// Report implements basilmoor.Policy.
func (p *HostTiers) Report(now basilmoor.Millis, r basilmoor.LoadReport) []basilmoor.Decision {
	p.view.report(now, r)
	return p.step(now)
}

// Tick implements basilmoor.Policy.
func (p *HostTiers) Tick(now basilmoor.Millis) []basilmoor.Decision {
	return p.step(now)
}

func (p *HostTiers) step(now basilmoor.Millis) []basilmoor.Decision {
	decisions := p.queue.expire(now)
	if !p.anyFree() {
		return decisions
	}
	for i := range p.queue.tiers {
		p.queue.tiers[i] = slices.DeleteFunc(p.queue.tiers[i], func(w waiting) bool {
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

func (p *HostTiers) anyFree() bool {
	for i, t := range p.view.targets {
		if p.view.perName[t.Name] < p.share(i, t) {
			return true
		}
	}
	return false
}

// choose returns the target with the least used part of the host's share, the
// reported load deciding between equals.
func (p *HostTiers) choose(d basilmoor.Demand) (basilmoor.Target, bool) {
	var best basilmoor.Target
	bestUsed, bestLoad := 1.0, 0.0
	found := false
	for i, t := range p.view.targets {
		if !t.Serves(d.Model, d.Tokens()) || slices.Contains(d.Excluded, t.Name) {
			continue
		}
		used := float64(p.view.perName[t.Name]) / float64(p.share(i, t))
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
