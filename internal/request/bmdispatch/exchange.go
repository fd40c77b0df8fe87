package bmdispatch

import (
	"context"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

var (
	errReadTimeout    = errors.New("no bytes received from the target within the time limit")
	errConnectTimeout = errors.New("no connection to the target within the time limit")
	errExchangeClosed = errors.New("exchange is closed")
	errExpired        = errors.New("grant or claim expired before the request was sent")
)

// writeGate decides whether bytes of an attempt may still be written.
// *bmrequest.Request implements it.
type writeGate interface {
	BeginWrite(attempt int) error
	EndWrite(n int)
}

// controlGate is the writeGate of control requests, which resume or cancel a
// stream. It permits every write.
type controlGate struct{}

func (controlGate) BeginWrite(int) error { return nil }
func (controlGate) EndWrite(int)         {}

// exchange is one request and its response on one connection.
type exchange struct {
	clock            basilmoor.Clock
	settings         Settings
	firstByteTimeout basilmoor.Millis // limits the time to the first byte of the response
	gate             writeGate
	attempt          int
	valid            func() bool // called before the first write; may be nil
	onFirstWrite     func()      // called once, after the first bytes were written

	mu              sync.Mutex
	conn            *conn
	reused          bool // conn had served a request before
	closed          bool
	expired         bool             // valid returned false for the first write
	writeStarted    bool             // the first write has been permitted
	bytesWritten    bool             // at least one byte was written
	responseStarted bool             // the first byte of the response was received
	lastActivity    basilmoor.Millis // time of the last byte in either direction, of attach, or of creation
}

func newExchange(clock basilmoor.Clock, s Settings, g writeGate, attempt int, onFirstWrite func()) *exchange {
	return &exchange{
		clock:            clock,
		firstByteTimeout: s.FirstByteTimeout,
		settings:         s,
		gate:             g,
		attempt:          attempt,
		onFirstWrite:     onFirstWrite,
		lastActivity:     clock.Now(),
	}
}

// trace returns a context that makes the transport attach the exchange to the
// connection that it selects.
func (e *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				e.attach(c, info.Reused)
			}
		},
	})
}

// attach makes e the current exchange of c. After the first write, it ignores
// further connections, so that a retry by the transport cannot write.
func (e *exchange) attach(c *conn, reused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.writeStarted {
		return
	}
	e.conn = c
	e.reused = reused
	e.lastActivity = e.clock.Now()
	c.exchange.Store(e)
}

// close ends the exchange. No further write is permitted once it returns.
func (e *exchange) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.conn != nil {
		e.conn.exchange.CompareAndSwap(e, nil)
	}
}

func (e *exchange) beginWrite() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return errExchangeClosed
	}
	if !e.writeStarted && e.valid != nil && !e.valid() {
		e.expired = true
		return errExpired
	}
	if err := e.gate.BeginWrite(e.attempt); err != nil {
		return err
	}
	e.writeStarted = true
	return nil
}

func (e *exchange) endWrite(n int) {
	e.gate.EndWrite(n)
	if e.recordWrite(n) {
		e.onFirstWrite()
	}
}

// recordWrite records that n bytes were written and reports whether they are
// the first of the exchange.
func (e *exchange) recordWrite(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n == 0 {
		return false
	}
	first := !e.bytesWritten
	e.bytesWritten = true
	e.lastActivity = e.clock.Now()
	return first
}

// recordRead records that bytes were received. It returns false if no write has
// begun, since the bytes then belong to no request. It does not wait for the
// write to return, because a response may arrive earlier.
func (e *exchange) recordRead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.writeStarted {
		return false
	}
	e.responseStarted = true
	e.lastActivity = e.clock.Now()
	return true
}

// onReusedConn reports whether the connection had served a request before.
func (e *exchange) onReusedConn() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reused
}

// discardConn closes the connection, whose responses can't be told apart any more. The
// transport may have lent it to another request already, which then fails.
func (e *exchange) discardConn() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		_ = e.conn.Close()
	}
}

func (e *exchange) hasExpired() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.expired
}

func (e *exchange) hasResponse() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.responseStarted
}

// loop cancels the exchange when a time limit of its connection has passed.
func (e *exchange) loop(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		left, err := e.timeLeft()
		if left <= 0 {
			cancel(err)
			return
		}
		// The limit becomes shorter when the first byte arrives, so no sleep
		// may exceed ReadIdleTimeout.
		if e.clock.Sleep(ctx, min(left, e.settings.ReadIdleTimeout)) != nil {
			return
		}
	}
}

// timeLeft returns the time until the current limit passes, and the error that
// the exchange ends with in that case. While the transport does not read,
// because the caller is slow, the limit does not run.
func (e *exchange) timeLeft() (basilmoor.Millis, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if e.conn == nil {
		return e.lastActivity + e.settings.ConnectTimeout - now, errConnectTimeout
	}
	limit := e.firstByteTimeout
	if e.responseStarted {
		limit = e.settings.ReadIdleTimeout
	}
	since, reading := e.conn.readWaitStart()
	if !reading {
		return limit, errReadTimeout
	}
	return max(since, e.lastActivity) + limit - now, errReadTimeout
}
