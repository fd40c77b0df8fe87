package bmentrynode

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/node/bmlistener"
	"basilmoor.example/basilmoor/internal/request/bmentry"
)

// listener is an HTTP server together with its open network listener.
type listener struct {
	name        string
	clock       basilmoor.Clock
	metrics     *bmmetrics.Registry
	server      *http.Server
	netListener *bmlistener.Listener
	handler     http.Handler
	refuse      http.Handler // serves requests on connections beyond the limit
	closed      atomic.Bool
}

// newListener opens a listener for a server. refuse serves the requests on connections
// beyond the limit; its responses must close them.
func newListener(cfg bmlistener.Config, server *http.Server, refuse http.Handler) (*listener, error) {
	l := &listener{
		name:    cfg.Name,
		clock:   cfg.Clock,
		metrics: cfg.Metrics,
		server:  server,
		handler: server.Handler,
		refuse:  refuse,
	}
	var err error
	if l.netListener, _, err = bmlistener.Listen(cfg); err != nil {
		return nil, err
	}
	server.Handler = http.HandlerFunc(l.serveAdmitted)
	server.ConnState = l.trackConn
	server.ConnContext = l.connContext
	server.ErrorLog = bmlistener.NewServerLog(cfg)
	return l, nil
}

// String returns the name by which the supervisor logs the listener.
func (l *listener) String() string {
	return "listener-" + l.name
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// connContext records a connection and when it was accepted.
func (l *listener) connContext(ctx context.Context, c net.Conn) context.Context {
	return bmentry.WithConn(context.WithValue(ctx, connKey{}, c), c, l.clock.Now())
}

// serveAdmitted serves a request, unless the limit of connections forbids it.
func (l *listener) serveAdmitted(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	switch l.netListener.Conns().Admission(c) {
	case bmlistener.Admitted:
		l.handler.ServeHTTP(w, r)
	case bmlistener.Excess:
		l.refuse.ServeHTTP(w, r)
	case bmlistener.Closed:
		panic(http.ErrAbortHandler)
	}
}

// trackConn records the state of a connection.
func (l *listener) trackConn(c net.Conn, state http.ConnState) {
	l.netListener.Conns().SetState(c, state, l.clock.Now())
}

// busyConns returns the number of connections that may have a request without a
// response.
func (l *listener) busyConns() int {
	_, busy := l.netListener.Conns().Counts(l.clock.Now())
	return busy
}

// setGauges updates the gauges of the listener's connections.
func (l *listener) setGauges() {
	open, busy := l.netListener.Conns().Counts(l.clock.Now())
	l.metrics.Set("connections.open."+l.name, int64(open))
	l.metrics.Set("connections.busy."+l.name, int64(busy))
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
	l.netListener.CloseAfterQueue()
}
