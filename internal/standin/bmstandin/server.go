package bmstandin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// readHeaderTimeout bounds how long a connection may take to send a request
// header.
const readHeaderTimeout = 10 * time.Second

// Server serves a handler on a TCP address and can fail as a process or a
// network does. It is safe for concurrent use.
//
// The optional control listener serves the same handler and is not affected by
// the faults, so that a suspended server can be resumed.
type Server struct {
	http    *http.Server
	control *http.Server

	mu             sync.Mutex
	address        string
	controlAddress string
	listener       net.Listener // nil while suspended
	conns          map[*conn]struct{}
	closed         bool
	wg             sync.WaitGroup
}

// Listen serves h on address, and on controlAddress unless it is empty. The
// returned function closes every listener and connection and waits for the
// accept loops to end.
func Listen(address, controlAddress string, h http.Handler) (*Server, func(), error) {
	s := &Server{
		http: &http.Server{
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

func (s *Server) serve(l net.Listener) {
	s.listener = &listener{
		Listener: l,
		server:   s,
	}
	loop := &acceptLoop{
		server:   s.http,
		listener: s.listener,
		wg:       &s.wg,
	}
	s.wg.Add(1)
	go loop.run()
}

func (s *Server) serveControl(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for control")
	}
	s.controlAddress = l.Addr().String()
	s.control = &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       controlContext,
	}
	loop := &acceptLoop{
		server:   s.control,
		listener: l,
		wg:       &s.wg,
	}
	s.wg.Add(1)
	go loop.run()
	return nil
}

type acceptLoop struct {
	server   *http.Server
	listener net.Listener
	wg       *sync.WaitGroup
}

func (a *acceptLoop) run() {
	defer a.wg.Done()
	_ = a.server.Serve(a.listener) // ends when the listener is closed
}

type controlKey struct{}

func controlContext(net.Listener) context.Context {
	return context.WithValue(context.Background(), controlKey{}, true)
}

// FromControl reports whether the request came over a control listener.
func FromControl(r *http.Request) bool {
	return r.Context().Value(controlKey{}) != nil
}

// Address returns the address and port of the listener. It stays the same
// while the server is suspended.
func (s *Server) Address() string { return s.address }

// ControlAddress returns the address of the control listener, empty for none.
func (s *Server) ControlAddress() string { return s.controlAddress }

// Suspend closes the listener and all its connections, as the death of a
// process does. Connection attempts are refused until Resume.
func (s *Server) Suspend() {
	s.mu.Lock()
	l := s.listener
	s.listener = nil
	conns := s.open()
	s.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	for _, c := range conns {
		_ = c.end()
	}
}

// Resume listens again on the same address. It has no effect on a server that
// is not suspended.
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

// Silence makes the open connections stop responding without closing them:
// requests are still read and run, and nothing is sent any more. The
// connection with the remote address except is left alone. New connections
// work. The error tells that s is nil, that is, that the handler is served by
// something else.
func (s *Server) Silence(except string) error {
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

// open returns the open connections. The caller holds mu.
func (s *Server) open() []*conn {
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

func (s *Server) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Suspend()
	_ = s.http.Close()
	if s.control != nil {
		_ = s.control.Close()
	}
	s.wg.Wait()
}
