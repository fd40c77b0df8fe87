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

// step is what a raw target does with one request after it read it.
type step struct {
	skipRead  bool          // ends the connection before it reads
	onlyHead  bool          // does not read the body
	send      string        // bytes of the response
	reset     bool          // ends with a reset
	silent    bool          // keeps the connection open without a further byte
	keepAlive bool          // goes on with the next request
	feed      <-chan string // further bytes of the response, until the peer leaves
}

// rawTarget speaks TCP and counts the requests that carry its marker.
type rawTarget struct {
	ln     net.Listener
	silent chan struct{} // receives when a step stops responding
	done   chan struct{}
	wg     sync.WaitGroup

	mu    sync.Mutex
	seen  bytes.Buffer
	conns int
	// script answers the n-th request line that names a path.
	script func(r *rawTarget, head string) step
}

func newRawTarget(t *testing.T, script func(r *rawTarget, head string) step) *rawTarget {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &rawTarget{
		ln:     ln,
		silent: make(chan struct{}, 100),
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

// count returns how often s was received, whole requests or not.
func (r *rawTarget) count(s string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Count(r.seen.String(), s)
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
		go r.serve(c)
	}
}

func (r *rawTarget) serve(c net.Conn) {
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
		head, ok := r.read(c)
		if !ok {
			return
		}
		s := r.script(r, head)
		if !s.onlyHead && strings.Contains(head, "Content-Length: 4") {
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

// read reads byte by byte up to the end of a head.
func (r *rawTarget) read(c net.Conn) (string, bool) {
	var head []byte
	b := make([]byte, 1)
	for !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		if _, err := c.Read(b); err != nil {
			return "", false
		}
		head = append(head, b[0])
		r.mu.Lock()
		r.seen.WriteByte(b[0])
		r.mu.Unlock()
	}
	return string(head), true
}

func (r *rawTarget) finish(c net.Conn, s step) {
	if s.silent {
		r.silent <- struct{}{}
		<-r.done
	}
	if s.reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// memorySink keeps the response.
type memorySink struct {
	status int
	header http.Header
	body   bytes.Buffer
	wrote  chan struct{} // receives at the start of each write if it is set
	resume chan struct{} // each write waits for it if it is set
	err    error
}

func (s *memorySink) Start(status int, h http.Header, _ int64) error {
	s.status = status
	s.header = h
	return s.err
}

func (s *memorySink) Write(p []byte) error {
	s.body.Write(p)
	if s.wrote != nil {
		s.wrote <- struct{}{}
	}
	if s.resume != nil {
		<-s.resume
	}
	return s.err
}

// granted returns an aggregate that may be dispatched.
func granted(t *testing.T, id basilmoor.RequestID) *bmrequest.Request {
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

// tickWhenSilent moves the clock only once the target has stopped responding,
// so that a slow test machine can't look like a silent target.
func tickWhenSilent(t *testing.T, r *rawTarget, clock *bmclock.Manual) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		select {
		case <-stop:
			return
		case <-r.silent:
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

func newManual() *bmclock.Manual {
	return bmclock.NewManual(0)
}

func noProgress(Progress) {}
