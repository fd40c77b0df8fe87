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
	clock    basilmoor.Clock
	dialer   net.Dialer
	maxConns int // from which idle connections make room for new ones

	mu     sync.Mutex
	open   int                // connections, idle or not
	idle   map[string][]*conn // by target name, most recently used last
	closed bool
}

func newPool(clock basilmoor.Clock, maxConns int) *pool {
	return &pool{
		clock:    clock,
		maxConns: maxConns,
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
	if c := p.popExcess(); c != nil {
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
	p.addOpen(1)
	c.onClose = func() { p.addOpen(-1) }
	return c, false, nil
}

func (p *pool) addOpen(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open += n
}

// counts returns the number of connections that are in use and that are idle.
func (p *pool) counts() (inUse, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		idle += len(conns)
	}
	return p.open - idle, idle
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

// popExcess removes and returns the connection that has been idle the longest, if there
// is no room for one more. It returns nil if there is room, or if none is idle.
func (p *pool) popExcess() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.maxConns {
		return nil
	}
	oldest := ""
	for target, conns := range p.idle {
		if len(conns) > 0 && (oldest == "" || conns[0].idleSince < p.idle[oldest][0].idleSince) {
			oldest = target
		}
	}
	if oldest == "" {
		return nil
	}
	c := p.idle[oldest][0]
	p.idle[oldest] = p.idle[oldest][1:]
	return c
}

// put adds a connection to the pool for the given time, or closes it if the
// pool has no room.
func (p *pool) put(c *conn, idleTimeout basilmoor.Millis) {
	c.idleSince = p.clock.Now()
	c.idleTimeout = idleTimeout
	if !p.keep(c) {
		_ = c.Close()
	}
}

// keep adds c to the idle connections, and reports whether there was room.
func (p *pool) keep(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.idleTimeout <= 0 || len(p.idle[c.target]) >= maxIdlePerTarget {
		return false
	}
	p.idle[c.target] = append(p.idle[c.target], c)
	return true
}

// closeIdleExcept closes the idle connections to targets for which keep returns
// false.
func (p *pool) closeIdleExcept(keep func(target string) bool) {
	for _, c := range p.removeIdleExcept(keep) {
		_ = c.Close()
	}
}

// removeIdleExcept removes and returns the idle connections to targets for which keep
// returns false.
func (p *pool) removeIdleExcept(keep func(target string) bool) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var removed []*conn
	for target, conns := range p.idle {
		if !keep(target) {
			removed = append(removed, conns...)
			delete(p.idle, target)
		}
	}
	return removed
}

// close closes all idle connections, and makes put close those that follow.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdleExcept(func(string) bool { return false })
}
