package bmexchange

import (
	"context"
	"net"
	"sync"

	"basilmoor.example/basilmoor"
)

const (
	// maxIdlePerTarget is the maximum number of idle connections to a target.
	maxIdlePerTarget = 16

	// defaultIdleTimeout is how long an idle connection may be reused if the
	// target does not declare its idle timeout.
	defaultIdleTimeout = 10 * basilmoor.Second

	// idleTimeoutMargin is subtracted from the target's idle timeout, so that
	// a request is not sent while the target closes the connection.
	idleTimeoutMargin = basilmoor.Second
)

// pool holds idle connections for reuse.
type pool struct {
	clock  basilmoor.Clock
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn // by target name, most recently used last
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

// get returns an idle or new connection to t, and whether it is a reused one.
func (p *pool) get(ctx context.Context, t basilmoor.Target) (*conn, bool, error) {
	for {
		c := p.popIdle(t.Name)
		if c == nil {
			break
		}
		if c.address == t.Address && p.clock.Now()-c.idleSince < c.idleTimeout && c.hasNoInput() {
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

// popIdle removes and returns the connection that became idle last, or nil.
func (p *pool) popIdle(target string) *conn {
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

// put adds a connection to the pool for the given time, or closes it if the
// pool has no room.
func (p *pool) put(c *conn, idleTimeout basilmoor.Millis) {
	c.idleSince = p.clock.Now()
	c.idleTimeout = idleTimeout
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || idleTimeout <= 0 || len(p.idle[c.target]) >= maxIdlePerTarget {
		_ = c.Close()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
}

// closeIdleExcept closes the idle connections to targets for which keep returns
// false.
func (p *pool) closeIdleExcept(keep func(target string) bool) {
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

// close closes all idle connections, and makes put close those that follow.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdleExcept(func(string) bool { return false })
}
