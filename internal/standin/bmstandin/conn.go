package bmstandin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// trackingListener adds the connections it accepts to server.conns, so that
// the server can close or silence them.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection. If the server was suspended in the
// meantime, Accept closes the new connection and returns net.ErrClosed.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &conn{
		Conn:   c,
		server: l.server,
	}
	if !l.server.trackConn(l, wrapped) {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	return wrapped, nil
}

// trackConn adds c to the open connections. It returns false if l is no longer
// the server's current listener.
func (s *Server) trackConn(l *trackingListener, c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != net.Listener(l) {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) untrackConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// conn is a connection that can be silenced. Data written to a silenced
// connection is discarded, and the connection stays open until the client
// closes it or the server is suspended.
type conn struct {
	net.Conn
	server    *Server
	silenced  atomic.Bool
	drainOnce sync.Once
	closeOnce sync.Once
}

func (c *conn) silence() { c.silenced.Store(true) }

// Write sends p, or discards it if the connection is silenced.
func (c *conn) Write(p []byte) (int, error) {
	if c.silenced.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection, unless it is silenced: then it stays open and
// its input is discarded until the client closes it. The HTTP server calls
// Close.
func (c *conn) Close() error {
	if !c.silenced.Load() {
		return c.forceClose()
	}
	c.drainOnce.Do(func() { go c.loop() })
	return nil
}

// loop discards input until the client closes the connection.
func (c *conn) loop() {
	_ = c.SetReadDeadline(time.Time{}) // the HTTP server may have set one
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.forceClose()
}

// forceClose closes the connection, whether or not it is silenced.
func (c *conn) forceClose() error {
	c.closeOnce.Do(func() { c.server.untrackConn(c) })
	return c.Conn.Close()
}
