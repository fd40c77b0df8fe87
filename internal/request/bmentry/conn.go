package bmentry

import (
	"context"
	"net"

	"basilmoor.example/basilmoor"
)

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// callerConn is a connection that a listener accepted.
type callerConn struct {
	conn       net.Conn
	acceptedAt basilmoor.Millis
}

// WithConn returns a context for the requests on a caller's connection that was
// accepted at a time.
func WithConn(ctx context.Context, conn net.Conn, acceptedAt basilmoor.Millis) context.Context {
	return context.WithValue(ctx, connKey{}, callerConn{
		conn:       conn,
		acceptedAt: acceptedAt,
	})
}

// AcceptTime returns the time at which the connection of a request was accepted, if
// the listener has recorded it.
func AcceptTime(ctx context.Context) (at basilmoor.Millis, known bool) {
	c, known := ctx.Value(connKey{}).(callerConn)
	return c.acceptedAt, known
}

// resetOnClose makes a close of the connection of a request reset it, also the one by
// the system if this process ends. With reset false, closing ends it in order.
func resetOnClose(ctx context.Context, reset bool) {
	c, _ := ctx.Value(connKey{}).(callerConn)
	tcp, ok := c.conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	linger := -1 // the system's default
	if reset {
		linger = 0
	}
	_ = tcp.SetLinger(linger)
}
