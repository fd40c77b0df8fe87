package bmscheduler

import "basilmoor.example/basilmoor"

// permit implements basilmoor.Permit for a granted entry.
type permit struct {
	clock   basilmoor.Clock
	tracker *requestTracker
	entry   *entry
	target  basilmoor.Target
}

var _ basilmoor.Permit = (*permit)(nil)

func (p *permit) Target() basilmoor.Target { return p.target }

// Valid reports whether no stage has been reported yet and the grant's TTL,
// counted from its receipt, has not expired.
func (p *permit) Valid() bool {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	return p.entry.state == entryGranted && p.clock.Now()-p.entry.grantedAt < p.entry.ttl
}

func (p *permit) Observe(o basilmoor.Observation) {
	p.tracker.observe(p.clock.Now(), p.entry, o)
}
