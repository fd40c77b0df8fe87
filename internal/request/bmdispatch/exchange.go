package bmdispatch

import (
	"context"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

var (
	errSilent         = errors.New("target delivered no byte within the bound")
	errConnectTimeout = errors.New("no connection within the bound")
	errExchangeOver   = errors.New("exchange is over")
	errNotValid       = errors.New("grant or claim has expired")
)

// gate decides whether the bytes of an attempt may still be handed over. The
// request aggregate implements it.
type gate interface {
	BeginWrite(attempt int) error
	EndWrite(n int)
}

// openGate lets control requests (resume, cancel) pass.
type openGate struct{}

func (openGate) BeginWrite(int) error { return nil }
func (openGate) EndWrite(int)         {}

// exchange is one request and its response on one connection.
type exchange struct {
	clock     basilmoor.Clock
	settings  Settings
	firstByte basilmoor.Millis // bound of the time to the first byte
	gate      gate
	attempt   int
	valid     func() bool // asked before the first byte is handed over; may be nil
	onHanded  func()      // called once, after the first byte was handed over

	mu       sync.Mutex
	conn     *conn
	closed   bool
	expired  bool             // valid has refused the first write
	writing  bool             // the first write has begun
	handed   bool             // and has handed over bytes
	answered bool             // the first byte of the response arrived
	activity basilmoor.Millis // last byte in either direction
}

func newExchange(clock basilmoor.Clock, s Settings, g gate, attempt int, onHanded func()) *exchange {
	return &exchange{
		clock:     clock,
		firstByte: s.FirstByte,
		settings:  s,
		gate:      g,
		attempt:   attempt,
		onHanded:  onHanded,
		activity:  clock.Now(),
	}
}

// trace returns a context that attaches the exchange to its connection.
func (e *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				e.attach(c)
			}
		},
	})
}

// attach lets c carry the exchange. A second connection after the first write
// gets no exchange, so that its writes fail whatever the transport does.
func (e *exchange) attach(c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.writing {
		return
	}
	e.conn = c
	e.activity = e.clock.Now()
	c.exchange.Store(e)
}

// close ends the exchange. Once it returns, no further byte is handed over.
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
		return errExchangeOver
	}
	if !e.writing && e.valid != nil && !e.valid() {
		e.expired = true
		return errNotValid
	}
	if err := e.gate.BeginWrite(e.attempt); err != nil {
		return err
	}
	e.writing = true
	return nil
}

func (e *exchange) endWrite(n int) {
	e.gate.EndWrite(n)
	if e.wrote(n) {
		e.onHanded()
	}
}

// wrote reports whether these are the first bytes of the exchange.
func (e *exchange) wrote(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n == 0 {
		return false
	}
	first := !e.handed
	e.handed = true
	e.activity = e.clock.Now()
	return first
}

// received records bytes of the response; false if there was no request yet. A
// response may arrive before the write of its request has returned.
func (e *exchange) received() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.writing {
		return false
	}
	e.answered = true
	e.activity = e.clock.Now()
	return true
}

func (e *exchange) hasExpired() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.expired
}

func (e *exchange) hasAnswer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answered
}

// loop abandons the exchange when its connection is silent for too long.
func (e *exchange) loop(ctx context.Context, abandon context.CancelCauseFunc) {
	for {
		left, err := e.left()
		if left <= 0 {
			abandon(err)
			return
		}
		// The bound shrinks when the first byte arrives, so that no sleep may
		// be longer than the smaller one.
		if e.clock.Sleep(ctx, min(left, e.settings.BetweenBytes)) != nil {
			return
		}
	}
}

// left returns the time until the exchange counts as silent, and the error it
// then ends with.
func (e *exchange) left() (basilmoor.Millis, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if e.conn == nil {
		return e.activity + e.settings.Connect - now, errConnectTimeout
	}
	bound := e.firstByte
	if e.answered {
		bound = e.settings.BetweenBytes
	}
	since, reading := e.conn.quietSince()
	if !reading {
		return bound, errSilent
	}
	return max(since, e.activity) + bound - now, errSilent
}
