package bmexchange

import (
	"context"
	"net"
	"sync"

	"basilmoor.example/basilmoor"
)

const (
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 16

	// defaultKeep is how long an idle connection is used again if the target
	// does not say how long it keeps it.
	defaultKeep = 10 * basilmoor.Second

	// keepMargin is the part of the target's idle timeout that is not used, so
	// that a request does not cross the target's close.
	keepMargin = basilmoor.Second
)

// pool keeps idle connections by target.
type pool struct {
	clock  basilmoor.Clock
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn // by target
	closed bool
}

func newPool(clock basilmoor.Clock) *pool {
	return &pool{
		clock: clock,
		dialer: net.Dialer{
			Timeout: dialTimeout.Duration(),
		},
		idle: map[string][]*conn{},
	}
}

// get returns a connection to t, and whether it was used before.
func (p *pool) get(ctx context.Context, t basilmoor.Target) (*conn, bool, error) {
	for {
		c := p.take(t.Name)
		if c == nil {
			break
		}
		if c.address == t.Address && p.clock.Now()-c.idle < c.keep && c.quiet() {
			return c, true, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, false, err
	}
	c, err := newConn(raw, t.Name, t.Address)
	if err != nil {
		_ = raw.Close()
		return nil, false, err
	}
	return c, false, nil
}

// take removes the connection that became idle last.
func (p *pool) take(target string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[target]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[target] = conns[:len(conns)-1]
	return c
}

// put keeps a connection for the next request.
func (p *pool) put(c *conn, keep basilmoor.Millis) {
	c.idle = p.clock.Now()
	c.keep = keep
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || keep <= 0 || len(p.idle[c.target]) >= maxIdlePerTarget {
		_ = c.Close()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
}

// forget closes the idle connections to targets that keep does not name.
func (p *pool) forget(keep func(target string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, conns := range p.idle {
		if keep(target) {
			continue
		}
		for _, c := range conns {
			_ = c.Close()
		}
		delete(p.idle, target)
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.forget(func(string) bool { return false })
}
