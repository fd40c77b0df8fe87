package bmexchange

import (
	"bufio"
	"net"
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
)

// conn is a connection to a target. raw is nil if it is not a TCP connection.
type conn struct {
	net.Conn
	raw         syscall.RawConn
	reader      *bufio.Reader
	target      string // name of the target it was opened for
	address     string
	idleSince   basilmoor.Millis // time at which it became idle
	idleTimeout basilmoor.Millis // how long it may be reused
}

func newConn(c net.Conn, target, address string) (*conn, error) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return &conn{
			Conn:    c,
			reader:  bufio.NewReaderSize(c, readBufferBytes),
			target:  target,
			address: address,
		}, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	if err := setSocketTimeouts(raw); err != nil {
		return nil, err
	}
	return &conn{
		Conn:    c,
		raw:     raw,
		reader:  bufio.NewReaderSize(c, readBufferBytes),
		target:  target,
		address: address,
	}, nil
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
