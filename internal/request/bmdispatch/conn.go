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
	errUnsolicited = errors.New("target sent bytes before the request was written")
)

// conn is a connection that reports reads and writes to its current exchange
// and fails them if there is none. The transport reads and writes in its own
// goroutines.
type conn struct {
	net.Conn
	tracker  *connTracker
	clock    basilmoor.Clock
	exchange atomic.Pointer[exchange]

	mu          sync.Mutex
	reading     bool             // a read is in progress
	readChanged basilmoor.Millis // time at which reading was last set
}

// Write writes p to the connection if the current exchange permits it.
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
// is written belong to no request, so Read returns an error for them.
func (c *conn) Read(p []byte) (int, error) {
	c.setReading(true)
	n, err := c.Conn.Read(p)
	c.setReading(false)
	if n == 0 {
		return n, err
	}
	e := c.exchange.Load()
	if e == nil || !e.recordRead() {
		return 0, errUnsolicited
	}
	return n, err
}

// Close closes the connection and removes it from its tracker.
func (c *conn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}

func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
	c.readChanged = c.clock.Now()
}

// readWaitStart returns the time since which the transport has been waiting for
// bytes. It returns false while the transport does not read, which happens when
// the caller is slow.
func (c *conn) readWaitStart() (basilmoor.Millis, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readChanged, c.reading
}

// connTracker tracks the open connections by remote address.
type connTracker struct {
	mu        sync.Mutex
	byAddress map[string]map[*conn]struct{}
}

func (t *connTracker) add(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	addr := c.RemoteAddr().String()
	if t.byAddress[addr] == nil {
		t.byAddress[addr] = make(map[*conn]struct{})
	}
	t.byAddress[addr][c] = struct{}{}
}

func (t *connTracker) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	addr := c.RemoteAddr().String()
	delete(t.byAddress[addr], c)
	if len(t.byAddress[addr]) == 0 {
		delete(t.byAddress, addr)
	}
}

// closeIdle closes the connections to addr that have no current exchange.
// Connections to one target tend to stop responding at the same time.
func (t *connTracker) closeIdle(addr string) {
	for _, c := range t.idle(addr) {
		_ = c.Close()
	}
}

func (t *connTracker) idle(addr string) []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var idle []*conn
	for c := range t.byAddress[addr] {
		if c.exchange.Load() == nil {
			idle = append(idle, c)
		}
	}
	return idle
}
