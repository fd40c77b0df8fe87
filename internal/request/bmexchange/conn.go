package bmexchange

import (
	"bufio"
	"math"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"basilmoor.example/basilmoor"
)

const (
	// dialTimeout bounds the time to connect. The nearest data centre is 1 ms
	// away, so a target that takes longer is down or unreachable.
	dialTimeout basilmoor.Millis = 250

	// tcpUserTimeout closes a connection whose sent bytes are not
	// acknowledged, as when a middlebox has lost the connection's state.
	tcpUserTimeout basilmoor.Millis = 800

	// keepAliveIdle, keepAliveInterval and keepAliveProbes detect within about
	// 3 s that the peer is gone while a response is awaited.
	keepAliveIdle     = 1 // s
	keepAliveInterval = 1 // s
	keepAliveProbes   = 2

	// readBufferBytes is room for the response headers and several events of
	// a stream.
	readBufferBytes = 4 << 10

	// maxHeadBytes bounds the status line and headers of one response.
	maxHeadBytes = 64 << 10

	// maxForeignBytes bounds the bodies of other requests' responses that are
	// discarded before the response of a request.
	maxForeignBytes = 1 << 20

	// maxResponsesSkipped bounds the interim responses, and the responses of
	// other requests, that are skipped before the response of a request.
	maxResponsesSkipped = 16

	// unlimited is a read limit that is never reached.
	unlimited = math.MaxInt64
)

// conn is a connection to a target. raw is nil if it is not a TCP connection.
type conn struct {
	net.Conn
	readLimit   int64 // bytes that may still be read
	raw         syscall.RawConn
	reader      *bufio.Reader
	target      string // name of the target it was opened for
	address     string
	idleSince   basilmoor.Millis // time at which it became idle
	idleTimeout basilmoor.Millis // how long it may be reused
	onClose     func()           // called by the first Close; may be nil
	closeOnce   sync.Once
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.onClose != nil {
		c.closeOnce.Do(c.onClose)
	}
	return c.Conn.Close()
}

func newConn(c net.Conn, target, address string) (*conn, error) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return newConnWithoutTimeouts(c, nil, target, address), nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	if err := setSocketTimeouts(raw); err != nil {
		return nil, err
	}
	return newConnWithoutTimeouts(c, raw, target, address), nil
}

func newConnWithoutTimeouts(c net.Conn, raw syscall.RawConn, target, address string) *conn {
	cn := &conn{
		Conn:      c,
		raw:       raw,
		target:    target,
		address:   address,
		readLimit: unlimited,
	}
	cn.reader = bufio.NewReaderSize(cn, readBufferBytes)
	return cn
}

// Read reads from the connection until the read limit is reached. Then it returns
// a *TooLongError.
func (c *conn) Read(p []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, &TooLongError{}
	}
	if int64(len(p)) > c.readLimit {
		p = p[:c.readLimit]
	}
	n, err := c.Conn.Read(p)
	if c.readLimit != unlimited {
		c.readLimit -= int64(n)
	}
	return n, err
}

// setSocketTimeouts enables keep-alive probes and the TCP user timeout.
func setSocketTimeouts(raw syscall.RawConn) error {
	options := []struct {
		level, name, value int
	}{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, keepAliveIdle},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, keepAliveInterval},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes},
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout)},
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		for _, o := range options {
			if err := unix.SetsockoptInt(int(fd), o.level, o.name, o.value); err != nil {
				failed = err
			}
		}
	})
	if err != nil {
		return err
	}
	return failed
}

// checkEnd returns an *EarlyEndError if a target that has ended its side has reset the
// connection, or has not received all that was written. A read reports a clean end in
// both cases: if the end comes before the reset, or if a write gets the error of the
// reset first.
func (c *conn) checkEnd() error {
	if c.raw == nil {
		return nil
	}
	e := &EarlyEndError{}
	_ = c.raw.Control(func(fd uintptr) {
		if n, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); err == nil && n != 0 {
			e.Err = syscall.Errno(n)
		}
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			e.NotReceived = n
		}
	})
	if e.Err == nil && e.NotReceived == 0 {
		return nil
	}
	return e
}

// hasNoInput reports whether an idle connection has received neither bytes nor
// the end of the stream.
func (c *conn) hasNoInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	empty := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
	})
	return err == nil && empty
}
