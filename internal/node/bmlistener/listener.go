// Package bmlistener accepts the connections of a process.
//
// Invariants: the number of open connections of a listener is bounded, and those
// without a request make room for others; a listener that is closed for a planned stop
// first accepts what has been established; each failed accept call is counted by its
// reason.
package bmlistener

import (
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

// AcceptQueueTime is how long a listener that closes still accepts the connections that
// wait in the system's queue.
const AcceptQueueTime basilmoor.Millis = 100

// Config holds the settings and dependencies of a Listener.
type Config struct {
	Name    string // in logs and metrics
	Address string // IP address and port
	Clock   basilmoor.Clock
	Metrics *bmmetrics.Registry
	Log     zerolog.Logger

	// MaxConns is the number of connections that are served at the same time.
	MaxConns int
}

// Listener is a TCP listener that limits its connections, and that can be closed
// without a reset of the connections that wait to be accepted. It is safe for
// concurrent use.
type Listener struct {
	*net.TCPListener
	clock    basilmoor.Clock
	metrics  *bmmetrics.Registry
	name     string
	conns    *Conns
	failures *acceptFailures
	closing  atomic.Bool
}

// Listen opens a listener, and returns a function that closes it at once.
func Listen(cfg Config) (*Listener, func(), error) {
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen")
	}
	conns := NewConns(cfg.MaxConns)
	listener := &Listener{
		TCPListener: l.(*net.TCPListener), // as for every "tcp" network
		clock:       cfg.Clock,
		metrics:     cfg.Metrics,
		name:        cfg.Name,
		conns:       conns,
		failures:    newAcceptFailures(cfg, conns.Counts),
	}
	return listener, func() { _ = listener.Close() }, nil
}

// Conns returns the open connections. The owner of the listener must report the
// changes of their states.
func (l *Listener) Conns() *Conns {
	return l.conns
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.acceptNext()
		if err != nil {
			return nil, err
		}
		evict, added := l.conns.Add(c, l.clock.Now())
		if added {
			l.closeForLimit(evict, "evicted")
			return c, nil
		}
		l.closeForLimit(c, "rejected")
	}
}

// closeForLimit closes a connection because of the limit of connections, and counts it.
func (l *Listener) closeForLimit(c net.Conn, reason string) {
	if c == nil {
		return
	}
	l.metrics.Add("connections."+reason+"."+l.name, 1)
	_ = c.Close()
}

// acceptNext waits for a connection. While the listener closes, it returns those that
// are established already, and then net.ErrClosed.
func (l *Listener) acceptNext() (net.Conn, error) {
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
func (l *Listener) acceptEstablished() net.Conn {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	var fd int
	var acceptErr error
	err = raw.Control(func(listening uintptr) {
		fd, acceptErr = acceptUnaborted(func() (int, error) {
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

// acceptUnaborted calls accept until it returns a connection or fails for another reason
// than a signal or one connection that its peer has aborted: others may wait behind
// that one.
func acceptUnaborted(accept func() (fd int, err error)) (int, error) {
	for {
		fd, err := accept()
		if errors.Is(err, unix.ECONNABORTED) || errors.Is(err, unix.EINTR) {
			continue
		}
		return fd, err
	}
}

// CloseAfterQueue makes Accept return the connections of the next
// AcceptQueueTime and then close the listener.
func (l *Listener) CloseAfterQueue() {
	l.closing.Store(true)
	if l.SetDeadline(bmclock.WallDeadline(AcceptQueueTime)) != nil {
		_ = l.Close()
	}
}
