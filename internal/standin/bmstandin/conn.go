package bmstandin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener registers the connections that it accepts with its server.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection. A connection that was accepted while the
// server was being suspended is closed.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &conn{
		Conn:   c,
		server: l.server,
	}
	if !l.server.register(l, wrapped) {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	return wrapped, nil
}

func (s *Server) register(l *listener, c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != net.Listener(l) {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) unregister(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// conn is a connection that can be silenced: what the server writes is
// discarded, and the connection stays open until the client closes it or the
// server is suspended.
type conn struct {
	net.Conn
	server *Server
	silent atomic.Bool
	drain  sync.Once
	shut   sync.Once
}

func (c *conn) silence() { c.silent.Store(true) }

// Write sends p, or discards it if the connection was silenced.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close is called by the HTTP server. It keeps a silenced connection open.
func (c *conn) Close() error {
	if !c.silent.Load() {
		return c.end()
	}
	c.drain.Do(func() { go c.loop() })
	return nil
}

// loop reads what the client still sends, until the client closes.
func (c *conn) loop() {
	_ = c.SetReadDeadline(time.Time{}) // the HTTP server may have set one
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.end()
}

// end closes the connection.
func (c *conn) end() error {
	c.shut.Do(func() { c.server.unregister(c) })
	return c.Conn.Close()
}
