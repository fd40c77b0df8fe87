// Package bmlistener accepts the connections of a process.
//
// Invariants: the number of open connections of a listener is bounded, and those
// without a request make room for others; accept calls are tried again after any error,
// and a dead socket is opened again; a listener that is closed for a planned stop
// first accepts what has been established; each failed accept call is counted by its
// reason; with a memory budget, the head of a request takes memory from it before it is
// parsed, and what was not read is bounded by the receive buffers.
package bmlistener

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmemory"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

const (
	// AcceptQueueTime is how long a listener that closes still accepts the connections
	// that wait in the system's queue.
	AcceptQueueTime basilmoor.Millis = 100

	// acceptRetryDelay is the pause after a failed accept call. net/http would wait
	// up to 1 s.
	acceptRetryDelay basilmoor.Millis = 10

	// maxAcceptFailure is how long accept calls may fail until the host is not ready.
	maxAcceptFailure = basilmoor.Second
)

// Config holds the settings and dependencies of a Listener.
type Config struct {
	Name    string // in logs and metrics
	Address string // IP address and port
	Clock   basilmoor.Clock
	Metrics *bmmetrics.Registry
	Log     zerolog.Logger

	// MaxConns is the number of connections that are served at the same time; 0 for
	// no limit, without Attach.
	MaxConns int

	// Memory is what the requests on the connections may take together; nil for no
	// limit, without Attach. With it, receive buffers are small as well.
	Memory *bmmemory.Budget
}

// Listener is a TCP listener that limits its connections, and that can be closed
// without a reset of the connections that wait to be accepted. Accept fails only after
// it was closed. It is safe for concurrent use.
type Listener struct {
	clock    basilmoor.Clock
	metrics  *bmmetrics.Registry
	log      zerolog.Logger
	name     string
	address  string
	conns    *Conns           // nil without a limit
	memory   *bmmemory.Budget // nil without a limit
	failures *acceptFailures

	noRoomLoggedAt atomic.Int64 // time of the last line about a head without room

	mu      sync.Mutex
	tcp     *net.TCPListener // replaced if it is dead
	closing bool             // CloseAfterQueue or Close was called
	closed  bool             // Close was called
}

// Listen opens a listener, and returns a function that closes it at once.
func Listen(cfg Config) (*Listener, func(), error) {
	tcp, err := listenTCP(cfg.Address, cfg.Memory != nil)
	if err != nil {
		return nil, nil, err
	}
	l := &Listener{
		clock:   cfg.Clock,
		metrics: cfg.Metrics,
		log:     cfg.Log,
		name:    cfg.Name,
		address: tcp.Addr().String(),
		tcp:     tcp,
		memory:  cfg.Memory,
	}
	if cfg.MaxConns > 0 {
		l.conns = NewConns(cfg.MaxConns)
	}
	l.failures = newAcceptFailures(cfg, l.conns.Counts)
	return l, func() { _ = l.Close() }, nil
}

func listenTCP(address string, smallBuffers bool) (*net.TCPListener, error) {
	var cfg net.ListenConfig
	if smallBuffers {
		cfg.Control = limitReceiveBuffer
	}
	l, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return l.(*net.TCPListener), nil // as for every "tcp" network
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr {
	return l.socket().Addr()
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	l.closed = true
	return l.tcp.Close()
}

// Accepting reports whether connections are accepted, as far as is known: accept calls
// have not failed for as long as maxAcceptFailure.
func (l *Listener) Accepting() bool {
	return l.failures.duration() < maxAcceptFailure
}

func (l *Listener) socket() *net.TCPListener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tcp
}

func (l *Listener) states() (closing, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing, l.closed
}

// Conns returns the open connections; nil without a limit.
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
		if tcp, ok := c.(*net.TCPConn); ok && l.memory != nil {
			c = newAccountedConn(l, tcp, l.memory)
		}
		if l.conns == nil {
			return c, nil
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
// are established already, and then net.ErrClosed. It tries again after other errors: a
// host that is ready must accept connections as soon as it can.
func (l *Listener) acceptNext() (net.Conn, error) {
	for {
		socket := l.socket()
		c, err := socket.Accept()
		closing, closed := l.states()
		switch {
		case err == nil:
			l.failures.record(nil)
			return c, nil
		case closed:
			return nil, net.ErrClosed
		case closing && errors.Is(err, os.ErrDeadlineExceeded):
			// Connections may have been established since the deadline, before this
			// goroutine ran.
			if c := acceptEstablished(socket); c != nil {
				return c, nil
			}
			_ = l.Close()
			return nil, net.ErrClosed
		}
		l.failures.record(err)
		if !closing && !isShortage(err) && !l.Accepting() {
			l.reopen(socket)
		}
		_ = l.clock.Sleep(context.Background(), acceptRetryDelay)
	}
}

// reopen replaces a socket whose accept calls fail for no shortage of descriptors or
// memory, so that they would fail for good.
func (l *Listener) reopen(dead *net.TCPListener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return
	}
	_ = dead.Close()
	tcp, err := listenTCP(l.address, l.memory != nil)
	if err != nil {
		l.log.Error().Err(err).Str("listener", l.name).Msg("opening the listener again failed")
		return
	}
	l.metrics.Add("connections.listener-reopened."+l.name, 1)
	l.log.Warn().Str("listener", l.name).Msg("listener opened again")
	l.tcp = tcp
}

// acceptEstablished returns a connection that is established already, or nil if
// there is none.
func acceptEstablished(socket *net.TCPListener) net.Conn {
	raw, err := socket.SyscallConn()
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

// CloseAfterQueue makes Accept return the connections of the next AcceptQueueTime and
// then close the listener.
func (l *Listener) CloseAfterQueue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	if l.tcp.SetDeadline(bmclock.WallDeadline(AcceptQueueTime)) != nil {
		l.closed = true
		_ = l.tcp.Close()
	}
}
