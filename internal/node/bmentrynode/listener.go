package bmentrynode

import (
	"context"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/request/bmentry"
)

const (
	// acceptQueueTime is how long a listener that closes still accepts the
	// connections that wait in the system's queue.
	acceptQueueTime basilmoor.Millis = 100

	// newConnTime is how long a connection on which nothing was received may
	// still be about to send a request.
	newConnTime basilmoor.Millis = 500
)

// listenerConfig holds the dependencies of a listener.
type listenerConfig struct {
	Name    string // in logs and metrics
	Address string
	Clock   basilmoor.Clock
	Metrics *bmmetrics.Registry
	Log     zerolog.Logger
}

// listener is an HTTP server together with its open network listener.
type listener struct {
	name        string
	clock       basilmoor.Clock
	metrics     *bmmetrics.Registry
	server      *http.Server
	netListener *queueListener
	closed      atomic.Bool

	mu   sync.Mutex
	open int                           // connections that were accepted and are not closed
	busy map[net.Conn]basilmoor.Millis // by connection, until when it may have a request without a response
}

func newListener(cfg listenerConfig, server *http.Server) (*listener, error) {
	nl, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l := &listener{
		name:    cfg.Name,
		clock:   cfg.Clock,
		metrics: cfg.Metrics,
		server:  server,
		busy:    map[net.Conn]basilmoor.Millis{},
	}
	l.netListener = &queueListener{
		TCPListener: nl.(*net.TCPListener), // as for every "tcp" network
		failures:    newAcceptFailures(cfg, l.connCounts),
	}
	server.ConnState = l.trackConn
	server.ConnContext = l.connContext
	server.ErrorLog = newServerLog(cfg)
	return l, nil
}

// String returns the name by which the supervisor logs the listener.
func (l *listener) String() string {
	return "listener-" + l.name
}

// connContext records a connection and when it was accepted.
func (l *listener) connContext(ctx context.Context, c net.Conn) context.Context {
	return bmentry.WithConn(ctx, c, l.clock.Now())
}

// trackConn records the connections that may have a request without a response:
// those that were just accepted and those whose request is being read or served.
func (l *listener) trackConn(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.open++
		l.busy[c] = l.clock.Now() + newConnTime
	case http.StateActive:
		l.busy[c] = math.MaxInt64
	case http.StateIdle:
		delete(l.busy, c)
	case http.StateClosed, http.StateHijacked:
		l.open--
		delete(l.busy, c)
	}
}

// busyConns returns the number of connections that may have a request without a
// response.
func (l *listener) busyConns() int {
	_, busy := l.connCounts()
	return busy
}

// setGauges updates the gauges of the listener's connections.
func (l *listener) setGauges() {
	open, busy := l.connCounts()
	l.metrics.Set("connections.open."+l.name, int64(open))
	l.metrics.Set("connections.busy."+l.name, int64(busy))
}

// connCounts returns the number of open connections, and of those that may have a
// request without a response.
func (l *listener) connCounts() (open, busy int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, until := range l.busy {
		if now < until {
			busy++
		}
	}
	return l.open, busy
}

// Serve implements suture.Service.
func (l *listener) Serve(ctx context.Context) error {
	done := make(chan error, 1)
	go l.run(done)
	select {
	case <-ctx.Done():
		_ = l.server.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return ctx.Err()
	case err := <-done:
		if !l.closed.Load() {
			return err
		}
		// close has ended the accept loop for a planned stop. Open
		// connections are served until ctx ends.
		<-ctx.Done()
		_ = l.server.Close()
		return ctx.Err()
	}
}

// run sends the result of the HTTP server to done.
func (l *listener) run(done chan<- error) {
	done <- l.server.Serve(l.netListener)
}

// close stops accepting connections, once the queue of those that are already
// established is empty, but keeps the open ones.
func (l *listener) close() {
	l.closed.Store(true)
	l.netListener.closeAfterQueue()
}

// queueListener is a listener that can be closed without a reset of the
// connections that wait to be accepted.
type queueListener struct {
	*net.TCPListener
	failures *acceptFailures
	closing  atomic.Bool
}

// Accept implements net.Listener.
func (l *queueListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if !l.closing.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		l.failures.record(err)
		return c, err
	}
	// Connections may have been established since the deadline, before this
	// goroutine ran.
	if c := l.acceptEstablished(); c != nil {
		return c, nil
	}
	_ = l.Close()
	return nil, net.ErrClosed
}

// acceptEstablished returns a connection that is established already, or nil if
// there is none.
func (l *queueListener) acceptEstablished() net.Conn {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	var fd int
	var acceptErr error
	err = raw.Control(func(listening uintptr) {
		fd, acceptErr = acceptNext(func() (int, error) {
			fd, _, err := unix.Accept4(int(listening), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			return fd, err
		})
	})
	if err != nil || acceptErr != nil {
		return nil
	}
	f := os.NewFile(uintptr(fd), "accepted")
	defer func() { _ = f.Close() }()
	c, err := net.FileConn(f)
	if err != nil {
		return nil
	}
	return c
}

// acceptNext calls accept until it returns a connection or fails for another reason
// than a signal or one connection that its peer has aborted: others may wait behind
// that one.
func acceptNext(accept func() (fd int, err error)) (int, error) {
	for {
		fd, err := accept()
		if errors.Is(err, unix.ECONNABORTED) || errors.Is(err, unix.EINTR) {
			continue
		}
		return fd, err
	}
}

// closeAfterQueue makes Accept return the connections of the next
// acceptQueueTime and then close the listener.
func (l *queueListener) closeAfterQueue() {
	l.closing.Store(true)
	if l.SetDeadline(bmclock.WallDeadline(acceptQueueTime)) != nil {
		_ = l.Close()
	}
}
