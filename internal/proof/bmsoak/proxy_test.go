package bmsoak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// proxyMode determines how a proxy treats the data on its connections.
type proxyMode int

const (
	modeForward       proxyMode = iota
	modeDelay                   // delays each chunk by 150 ms
	modeDropAll                 // drops all data and keeps connections open
	modeDropResponses           // forwards requests and drops responses
)

// proxy is a TCP proxy on the loopback interface in front of a listener.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{
		listener: l,
		target:   target,
		conns:    map[net.Conn]bool{},
	}
	go p.run()
	t.Cleanup(func() {
		_ = l.Close()
		p.reset()
	})
	return p
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

func (p *proxy) set(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetOnClose(c)
		_ = c.Close()
	}
}

// resetOnClose makes the close of a connection reset it.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *proxy) untrack(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *proxy) run() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.track(in)
		p.track(out)
		go p.loop(in, out, false)
		go p.loop(out, in, true)
	}
}

// loop copies data in one direction. response reports whether that is from the
// target to the client. A close in order is passed on as such only if all data before
// it was: TCP does not deliver the end of a stream that has lost bytes.
func (p *proxy) loop(from, to net.Conn, response bool) {
	defer p.untrack(from)
	defer p.untrack(to)
	if !p.copyAll(from, to, response) {
		resetOnClose(to)
	}
}

// copyAll copies data until from ends, and reports whether it ended in order and all
// of its data was written to the other connection.
func (p *proxy) copyAll(from, to net.Conn, response bool) bool {
	dropped := false
	chunk := make([]byte, 16<<10)
	for {
		n, err := from.Read(chunk)
		if err != nil {
			return errors.Is(err, io.EOF) && !dropped
		}
		if !p.applyMode(response) {
			dropped = true
			continue
		}
		if _, err := to.Write(chunk[:n]); err != nil {
			return false
		}
	}
}

// applyMode applies the mode to a chunk and reports whether to forward it.
func (p *proxy) applyMode(response bool) bool {
	p.mu.Lock()
	mode := p.mode
	p.mu.Unlock()
	switch mode {
	case modeDelay:
		time.Sleep(150 * time.Millisecond)
	case modeDropAll:
		return false
	case modeDropResponses:
		return !response
	}
	return true
}
