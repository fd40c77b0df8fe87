package bmentrynode

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmlistener"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/request/bmentry"
)

// listener is an HTTP server together with its open network listener.
type listener struct {
	name        string
	clock       basilmoor.Clock
	metrics     *bmmetrics.Registry
	server      *http.Server
	netListener *bmlistener.Listener
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
	}
	var err error
	if l.netListener, _, err = bmlistener.Listen(cfg); err != nil {
		return nil, err
	}
	server.ConnContext = l.connContext
	l.netListener.Attach(server, refuse)
	return l, nil
}

// String returns the name by which the supervisor logs the listener.
func (l *listener) String() string {
	return "listener-" + l.name
}

// connContext records a connection and when it was accepted.
func (l *listener) connContext(ctx context.Context, c net.Conn) context.Context {
	return bmentry.WithConn(ctx, c, l.clock.Now())
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
