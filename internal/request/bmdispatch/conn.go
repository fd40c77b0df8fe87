package bmdispatch

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

var (
	errNoExchange  = errors.New("connection has no open exchange")
	errUnsolicited = errors.New("target sent bytes before a request")
)

// conn counts what passes through a connection on behalf of its current
// exchange. The transport reads and writes in goroutines of its own.
type conn struct {
	net.Conn
	pool     *connections
	clock    basilmoor.Clock
	exchange atomic.Pointer[exchange]

	mu        sync.Mutex
	reading   bool // a read is in progress
	readSince basilmoor.Millis
}

// Write hands p to the connection if the current exchange allows it.
func (c *conn) Write(p []byte) (int, error) {
	e := c.exchange.Load()
	if e == nil {
		return 0, errNoExchange
	}
	if err := e.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	e.endWrite(n)
	return n, err
}

// Read reads from the connection. Bytes that arrive before the current request
// was written belong to no request and break the connection.
func (c *conn) Read(p []byte) (int, error) {
	c.setReading(true)
	n, err := c.Conn.Read(p)
	c.setReading(false)
	if n == 0 {
		return n, err
	}
	e := c.exchange.Load()
	if e == nil || !e.received() {
		return 0, errUnsolicited
	}
	return n, err
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.pool.remove(c)
	return c.Conn.Close()
}

func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
	c.readSince = c.clock.Now()
}

// quietSince returns the instant since which the transport has been waiting
// for bytes; false while it does not read because the caller is slow.
func (c *conn) quietSince() (basilmoor.Millis, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readSince, c.reading
}

// connections knows the open connections by address.
type connections struct {
	mu   sync.Mutex
	open map[string]map[*conn]struct{}
}

func (p *connections) add(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr := c.RemoteAddr().String()
	if p.open[addr] == nil {
		p.open[addr] = make(map[*conn]struct{})
	}
	p.open[addr][c] = struct{}{}
}

func (p *connections) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr := c.RemoteAddr().String()
	delete(p.open[addr], c)
	if len(p.open[addr]) == 0 {
		delete(p.open, addr)
	}
}

// closeIdle closes the connections to addr that carry no exchange. Connections
// that stopped responding without closing tend to do so together.
func (p *connections) closeIdle(addr string) {
	for _, c := range p.idle(addr) {
		_ = c.Close()
	}
}

func (p *connections) idle(addr string) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var idle []*conn
	for c := range p.open[addr] {
		if c.exchange.Load() == nil {
			idle = append(idle, c)
		}
	}
	return idle
}
