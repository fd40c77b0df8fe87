package bmlistener

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// Attach prepares an HTTP server to serve the listener: it reports the states of its
// connections, and writes its messages to the structured log. Requests on connections
// beyond the limit, and requests evicted from the memory budget after their head was read,
// go to refuse instead of the server's handler. The responses of refuse must close the
// connection. Attach must be called once, before the server serves.
func (l *Listener) Attach(server *http.Server, refuse http.Handler) {
	a := &admitter{
		conns:   l.conns,
		handler: server.Handler,
		refuse:  refuse,
	}
	server.Handler = a
	server.ErrorLog = l.serverLog()
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*accountedConn); ok {
			c.setState(state)
		}
		l.conns.SetState(c, state, l.clock.Now())
	}
	connContext := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
}

// admitter serves the requests of admitted connections.
type admitter struct {
	conns   *Conns
	handler http.Handler
	refuse  http.Handler
}

// ServeHTTP implements http.Handler.
func (a *admitter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	if AccountOf(r.Context()).Evicted() {
		a.refuse.ServeHTTP(w, r)
		return
	}
	switch a.conns.Admission(c) {
	case Admitted:
		a.handler.ServeHTTP(w, r)
	case Excess:
		a.refuse.ServeHTTP(w, r)
	case Closed:
		panic(http.ErrAbortHandler)
	}
}

// RefuseExcess answers 503 and closes the connection. It serves as the handler of
// connections beyond the limit where their requests are not accounted for.
func RefuseExcess(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// refusedReadTime is how long the rest of a refused request is read. Bytes that were not
// read would reset the connection when it closes, and the client would not see the answer.
const refusedReadTime = basilmoor.Second

// DiscardRest reads the rest of the body of a request that is refused, without keeping it.
// If it has more than limit bytes, or takes too long, the server closes the connection
// after the answer.
func DiscardRest(w http.ResponseWriter, body io.Reader, limit int64) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(bmclock.WallDeadline(refusedReadTime))
	if _, err := io.CopyN(io.Discard, body, limit+1); errors.Is(err, io.EOF) {
		_ = controller.SetReadDeadline(bmclock.NoDeadline)
		return
	}
	w.Header().Set("Connection", "close")
	// net/http reads some more after the answer.
	_ = controller.SetReadDeadline(bmclock.WallDeadline(0))
}
