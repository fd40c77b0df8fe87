package bmstandin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// readHeaderTimeout limits how long a client may take to send a request header.
const readHeaderTimeout = 10 * time.Second

// Server serves an HTTP handler on a TCP address and can simulate process and
// network failures. It is safe for concurrent use.
//
// The optional control listener serves the same handler and is not affected by
// injected faults, so that a client can resume a suspended server.
type Server struct {
	httpServer    *http.Server
	controlServer *http.Server

	mu             sync.Mutex
	address        string
	controlAddress string
	listener       net.Listener // nil while suspended
	conns          map[*conn]struct{}
	closed         bool
	wg             sync.WaitGroup
}

// Listen serves h on address, and on controlAddress unless it is empty. The
// returned function closes all listeners and connections and waits for the
// accept loops to return.
func Listen(address, controlAddress string, h http.Handler) (*Server, func(), error) {
	s := &Server{
		httpServer: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: readHeaderTimeout,
		},
		conns: make(map[*conn]struct{}),
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen")
	}
	s.address = l.Addr().String()
	s.serve(l)
	if controlAddress == "" {
		return s, s.close, nil
	}
	if err := s.serveControl(controlAddress, h); err != nil {
		s.close()
		return nil, nil, err
	}
	return s, s.close, nil
}

// serve starts the accept loop of the main listener.
func (s *Server) serve(l net.Listener) {
	s.listener = &trackingListener{
		Listener: l,
		server:   s,
	}
	loop := &acceptLoop{
		server:   s.httpServer,
		listener: s.listener,
		wg:       &s.wg,
	}
	s.wg.Add(1)
	go loop.run()
}

// serveControl starts the control listener and its accept loop.
func (s *Server) serveControl(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "open control listener")
	}
	s.controlAddress = l.Addr().String()
	s.controlServer = &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       newControlContext,
	}
	loop := &acceptLoop{
		server:   s.controlServer,
		listener: l,
		wg:       &s.wg,
	}
	s.wg.Add(1)
	go loop.run()
	return nil
}

// acceptLoop serves the connections of one listener.
type acceptLoop struct {
	server   *http.Server
	listener net.Listener
	wg       *sync.WaitGroup
}

func (a *acceptLoop) run() {
	defer a.wg.Done()
	_ = a.server.Serve(a.listener) // returns when the listener is closed
}

// controlContextKey marks the contexts of requests from the control listener.
type controlContextKey struct{}

func newControlContext(net.Listener) context.Context {
	return context.WithValue(context.Background(), controlContextKey{}, true)
}

// FromControl reports whether the request arrived on the control listener.
func FromControl(r *http.Request) bool {
	return r.Context().Value(controlContextKey{}) != nil
}

// Address returns the address and port of the main listener, which also stays
// the same while the server is suspended.
func (s *Server) Address() string { return s.address }

// ControlAddress returns the address and port of the control listener, or "" if
// there is none.
func (s *Server) ControlAddress() string { return s.controlAddress }

// Suspend closes the main listener and all its connections, as happens when a
// process dies. New connections are refused until Resume.
func (s *Server) Suspend() {
	s.mu.Lock()
	l := s.listener
	s.listener = nil
	conns := s.openConns()
	s.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	for _, c := range conns {
		_ = c.forceClose()
	}
}

// Resume reopens the main listener on the same address. It has no effect if the
// server is not suspended or was closed.
func (s *Server) Resume() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil || s.closed {
		return nil
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "listen again")
	}
	s.serve(l)
	return nil
}

// StopResponding makes the open connections stop responding without closing
// them: requests are still read and executed, but nothing more is sent. It
// skips the connection whose remote address is except and does not affect new
// connections. It returns an error if s is nil, which means that the handler is
// not served by a Server.
func (s *Server) StopResponding(except string) error {
	if s == nil {
		return errors.New("stop-responding needs a server of this package")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.RemoteAddr().String() != except {
			c.silence()
		}
	}
	return nil
}

// openConns returns the open connections. The caller must hold mu.
func (s *Server) openConns() []*conn {
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// close closes all listeners and connections and waits for the accept loops.
func (s *Server) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Suspend()
	_ = s.httpServer.Close()
	if s.controlServer != nil {
		_ = s.controlServer.Close()
	}
	s.wg.Wait()
}
