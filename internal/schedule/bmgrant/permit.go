package bmgrant

import (
	"basilmoor.example/basilmoor"
)

// permit is the right to send one request to one target.
type permit struct {
	client *Client
	entry  *entry
}

// Target is where the request may be dispatched.
func (p *permit) Target() basilmoor.Target {
	return p.entry.target
}

// Valid reports whether the grant may still be used.
func (p *permit) Valid() bool {
	return p.client.clock.Now()-p.entry.received < grantTTL
}

// Observe reports a stage of the request.
func (p *permit) Observe(o basilmoor.Observation) {
	c := p.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.entry.closed {
		return
	}
	if o.Stage.Terminal() {
		c.end(p.entry, o)
		return
	}
	if o.Stage == basilmoor.StageFirstToken {
		p.entry.first = max(o.Elapsed, 1)
	}
	c.report(p.entry, o)
}
