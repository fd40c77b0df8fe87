package bmexchange

import (
	"bufio"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"basilmoor.example/basilmoor"
)

const (
	// dialTimeout bounds the time to connect. The next data centre is 1 ms
	// away; a target that takes longer is down or cut off.
	dialTimeout basilmoor.Millis = 250

	// unackedTimeout ends a connection whose sent bytes are not acknowledged:
	// something between the two ends has lost track of it.
	unackedTimeout basilmoor.Millis = 800

	// keepAliveIdle, keepAliveInterval and keepAliveProbes find a peer that is
	// gone while a response is awaited, within about 3 s.
	keepAliveIdle     = 1 // s
	keepAliveInterval = 1 // s
	keepAliveProbes   = 2

	// readBufferBytes holds a head and several events of a stream.
	readBufferBytes = 4 << 10
)

// conn is one connection to a target.
type conn struct {
	net.Conn
	raw     syscall.RawConn
	reader  *bufio.Reader
	target  string // name of the target it was made for
	address string
	idle    basilmoor.Millis // since when it is idle
	keep    basilmoor.Millis // how long the target keeps it idle
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
	if err := setTimeouts(raw); err != nil {
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

func setTimeouts(raw syscall.RawConn) error {
	options := []struct {
		level, name, value int
	}{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, keepAliveIdle},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, keepAliveInterval},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes},
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout)},
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

// quiet reports whether nothing has arrived on an idle connection, neither
// bytes nor its end.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}
