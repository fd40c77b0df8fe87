package bmgrant

import (
	"basilmoor.example/basilmoor"
)

// permit allows one request to be sent to one target.
type permit struct {
	client *Client
	entry  *entry
}

// Target returns the target to which the request may be dispatched.
func (p *permit) Target() basilmoor.Target {
	return p.entry.target
}

// Valid reports whether the request may still be dispatched.
func (p *permit) Valid() bool {
	return p.client.clock.Now()-p.entry.grantedAt < grantTTL
}

// Observe reports a stage of the request. After the last stage, only the death of the
// target is reported.
func (p *permit) Observe(o basilmoor.Observation) {
	c := p.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.entry.closed {
		if o.TargetDied {
			c.report(p.entry, o)
		}
		return
	}
	if o.Stage.Terminal() {
		c.finish(p.entry, o)
		return
	}
	if o.Stage == basilmoor.StageFirstToken {
		p.entry.firstToken = max(o.Elapsed, 1)
	}
	c.report(p.entry, o)
}
