package bmdispatch

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/request/bmrequest"
)

// targetAction describes how a rawTarget handles one request.
type targetAction struct {
	skipRead  bool          // ends the connection without reading
	skipBody  bool          // reads the head but not the body
	send      string        // bytes to send as the response
	reset     bool          // resets the connection instead of closing it
	hang      bool          // keeps the connection open without sending more bytes
	keepAlive bool          // reads the next request
	feed      <-chan string // further bytes of the response, until the peer disconnects
}

// rawTarget is a target on a TCP listener. It records the heads of the requests
// that it receives.
type rawTarget struct {
	ln   net.Listener
	hung chan struct{} // receives a value when an action with hang stops responding
	done chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	received bytes.Buffer
	conns    int
	// script returns the action for a request with the given head. It is also
	// called with an empty head before each request is read; of that action,
	// only skipRead, reset and hang apply.
	script func(r *rawTarget, head string) targetAction
}

func newRawTarget(t *testing.T, script func(r *rawTarget, head string) targetAction) *rawTarget {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &rawTarget{
		ln:     ln,
		hung:   make(chan struct{}, 100),
		done:   make(chan struct{}),
		script: script,
	}
	r.wg.Add(1)
	go r.loop()
	t.Cleanup(func() {
		close(r.done)
		_ = ln.Close()
		r.wg.Wait()
	})
	return r
}

func (r *rawTarget) target(kind basilmoor.TargetType) basilmoor.Target {
	return basilmoor.Target{
		Name:    "t",
		Type:    kind,
		Address: r.ln.Addr().String(),
	}
}

// count returns how often s occurs in the received heads, including incomplete
// ones.
func (r *rawTarget) count(s string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Count(r.received.String(), s)
}

func (r *rawTarget) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns
}

func (r *rawTarget) loop() {
	defer r.wg.Done()
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns++
		r.mu.Unlock()
		r.wg.Add(1)
		go r.run(c)
	}
}

func (r *rawTarget) run(c net.Conn) {
	defer r.wg.Done()
	defer c.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-stop:
		case <-r.done:
			_ = c.Close()
		}
	}()
	for {
		if s := r.script(r, ""); s.skipRead {
			r.finish(c, s)
			return
		}
		head, ok := r.readHead(c)
		if !ok {
			return
		}
		s := r.script(r, head)
		if !s.skipBody && strings.Contains(head, "Content-Length: 4") {
			body := make([]byte, 4)
			for n := 0; n < 4; {
				m, err := c.Read(body[n:])
				if err != nil {
					return
				}
				n += m
			}
		}
		_, _ = c.Write([]byte(s.send))
		if s.feed != nil {
			r.feed(c, s.feed)
		}
		if s.keepAlive {
			continue
		}
		r.finish(c, s)
		return
	}
}

func (r *rawTarget) feed(c net.Conn, parts <-chan string) {
	for {
		select {
		case <-r.done:
			return
		case p := <-parts:
			if _, err := c.Write([]byte(p)); err != nil {
				return
			}
		}
	}
}

// readHead reads byte by byte, so that it does not read beyond the head.
func (r *rawTarget) readHead(c net.Conn) (string, bool) {
	var head []byte
	b := make([]byte, 1)
	for !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		if _, err := c.Read(b); err != nil {
			return "", false
		}
		head = append(head, b[0])
		r.mu.Lock()
		r.received.WriteByte(b[0])
		r.mu.Unlock()
	}
	return string(head), true
}

func (r *rawTarget) finish(c net.Conn, s targetAction) {
	if s.hang {
		r.hung <- struct{}{}
		<-r.done
	}
	if s.reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// recordingSink records the response.
type recordingSink struct {
	status       int
	header       http.Header
	body         bytes.Buffer
	writeStarted chan struct{} // if not nil, receives a value during each write
	unblockWrite chan struct{} // if not nil, each write blocks until it receives a value
	err          error
}

func (s *recordingSink) Start(status int, h http.Header, _ int64) error {
	s.status = status
	s.header = h
	return s.err
}

func (s *recordingSink) Write(p []byte) error {
	s.body.Write(p)
	if s.writeStarted != nil {
		s.writeStarted <- struct{}{}
	}
	if s.unblockWrite != nil {
		<-s.unblockWrite
	}
	return s.err
}

// newGrantedRequest returns a request in state Granted.
func newGrantedRequest(t *testing.T, id basilmoor.RequestID) *bmrequest.Request {
	a := bmrequest.New(id)
	require.NoError(t, a.Wait())
	require.NoError(t, a.Grant("t"))
	return a
}

func newTestDispatcher(t *testing.T) (*Dispatcher, *bmclock.Manual) {
	clock := bmclock.NewManual(0)
	d, closeDispatcher := New(clock, DefaultSettings())
	t.Cleanup(closeDispatcher)
	return d, clock
}

// advanceClockOnHang starts to advance the clock once the target has stopped
// responding, so that time limits do not pass because the test machine is slow.
func advanceClockOnHang(t *testing.T, r *rawTarget, clock *bmclock.Manual) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		select {
		case <-stop:
			return
		case <-r.hung:
		}
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				clock.Advance(basilmoor.Second)
			}
		}
	}()
}

func newManualClock() *bmclock.Manual {
	return bmclock.NewManual(0)
}

func ignoreProgress(Progress) {}
