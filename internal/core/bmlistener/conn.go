package bmlistener

import (
	"bytes"
	"context"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmemory"
)

const (
	// receiveBufferBytes is the size of a connection's receive buffer. The kernel reserves
	// twice this size and charges unread data to the process.
	receiveBufferBytes = 24 << 10

	// headCopies is the number of copies of a request's head that are held: as it was
	// parsed, and as it is sent.
	headCopies = 2

	// headLineBytes is what each line of a head takes beside its text.
	headLineBytes = 256

	// unknownRank is the rank of a request before its head is parsed: below all others.
	unknownRank = math.MaxInt
)

// errNoRoom ends a connection whose request head has no room. It is a net.OpError because
// net/http answers other read errors with 400, which would blame the request.
var errNoRoom = &net.OpError{
	Op:  "read",
	Err: bmmemory.ErrNoRoom,
}

// accountedConn is a connection whose requests take memory of a budget. Read counts the
// bytes of a head as they arrive, since net/http parses them before any handler runs.
type accountedConn struct {
	*net.TCPConn
	listener *Listener
	account  *bmmemory.Account
	inHead   atomic.Bool // the bytes that are read belong to a head
}

func newAccountedConn(l *Listener, tcp *net.TCPConn, budget *bmmemory.Budget) *accountedConn {
	c := &accountedConn{
		TCPConn:  tcp,
		listener: l,
	}
	c.inHead.Store(true)
	c.account = budget.NewAccount(c.interrupt)
	return c
}

// interrupt makes reads fail.
func (c *accountedConn) interrupt() {
	_ = c.SetReadDeadline(bmclock.WallDeadline(0))
}

// Read implements net.Conn. net/http also reads from another goroutine, but only while no
// head is being read, so that the account has one user.
func (c *accountedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.inHead.Load() && !c.countHead(p[:n]) {
		c.listener.recordNoRoom()
		return 0, errNoRoom
	}
	return n, err
}

// countHead takes the memory for a part of a head.
func (c *accountedConn) countHead(part []byte) bool {
	cost := int64(headCopies*len(part) + headLineBytes*bytes.Count(part, []byte{'\n'}))
	if !c.account.Grow(cost, unknownRank, c.listener.clock) {
		return false
	}
	c.account.Received(len(part), c.listener.clock)
	return true
}

// setState follows the HTTP server's state of the connection. It is called by the
// goroutine that serves it. The server is active once it has read a head, before another
// goroutine watches the connection for its end.
func (c *accountedConn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.inHead.Store(false)
		c.account.Complete()
	case http.StateIdle:
		c.account.Release()
		c.inHead.Store(true)
	case http.StateClosed, http.StateHijacked:
		c.account.Release()
	}
}

// AccountOf returns the memory account of the connection of a request; nil if it has none.
func AccountOf(ctx context.Context) *bmmemory.Account {
	c, ok := ctx.Value(connKey{}).(*accountedConn)
	if !ok {
		return nil
	}
	return c.account
}

// limitReceiveBuffer sets the size of the receive buffers of the connections that a
// listening socket will accept.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	})
	if err == nil {
		err = setErr
	}
	return errors.Wrap(err, "receive buffer")
}

// noRoomLogPeriod is the shortest time between two lines about heads without room.
const noRoomLogPeriod = basilmoor.Second

// recordNoRoom counts a connection whose head has no room, and logs it once in a while.
func (l *Listener) recordNoRoom() {
	l.metrics.Add("connections.no-memory."+l.name, 1)
	now := l.clock.Now()
	last := l.noRoomLoggedAt.Load()
	if now-basilmoor.Millis(last) < noRoomLogPeriod || !l.noRoomLoggedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	stats := l.memory.Stats()
	l.log.Warn().
		Str("listener", l.name).
		Int64("used-bytes", stats.Used).
		Int64("evicted", stats.Evicted).
		Int64("refused", stats.Refused).
		Msg("no memory for the head of a request")
}
