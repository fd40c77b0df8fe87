package bmstandin

import (
	"net"
	"sync"
	"sync/atomic"
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

// conn is a connection whose writes can be discarded.
type conn struct {
	net.Conn
	server *Server
	silent atomic.Bool
	once   sync.Once
}

func (c *conn) silence() { c.silent.Store(true) }

// Write sends p, or discards it if the connection was silenced.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection. The server closes a silenced connection only
// after the client did, or when it is suspended.
func (c *conn) Close() error {
	c.once.Do(func() { c.server.unregister(c) })
	return c.Conn.Close()
}
