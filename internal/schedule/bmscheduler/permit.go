package bmscheduler

import "basilmoor.example/basilmoor"

// permit is a grant as its caller sees it.
type permit struct {
	clock  basilmoor.Clock
	ledger *ledger
	entry  *entry
	target basilmoor.Target
}

var _ basilmoor.Permit = (*permit)(nil)

func (p *permit) Target() basilmoor.Target { return p.target }

// Valid is true until the first stage is reported or the grant's time, from its
// receipt, is over.
func (p *permit) Valid() bool {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	return p.entry.state == entryGranted && p.clock.Now()-p.entry.received < p.entry.ttl
}

func (p *permit) Observe(o basilmoor.Observation) {
	p.ledger.observe(p.clock.Now(), p.entry, o)
}
