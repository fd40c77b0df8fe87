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
	"golang.org/x/sys/unix"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
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

// listener is an HTTP server together with its open network listener.
type listener struct {
	clock       basilmoor.Clock
	server      *http.Server
	netListener *queueListener
	closed      atomic.Bool

	mu   sync.Mutex
	busy map[net.Conn]basilmoor.Millis // by connection, until when it may have a request without a response
}

func newListener(clock basilmoor.Clock, address string, server *http.Server) (*listener, error) {
	nl, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l := &listener{
		clock:  clock,
		server: server,
		netListener: &queueListener{
			TCPListener: nl.(*net.TCPListener), // as for every "tcp" network
		},
		busy: map[net.Conn]basilmoor.Millis{},
	}
	server.ConnState = l.trackConn
	server.ConnContext = l.connContext
	return l, nil
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
		l.busy[c] = l.clock.Now() + newConnTime
	case http.StateActive:
		l.busy[c] = math.MaxInt64
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		delete(l.busy, c)
	}
}

// busyConns returns the number of connections that may have a request without a
// response.
func (l *listener) busyConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	busy := 0
	for _, until := range l.busy {
		if now < until {
			busy++
		}
	}
	return busy
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
	closing atomic.Bool
}

// Accept implements net.Listener.
func (l *queueListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if !l.closing.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
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
