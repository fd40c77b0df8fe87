package bmentrynode

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/node/bmlistener"
	"basilmoor.example/basilmoor/internal/request/bmentry"
)

// newConnTime is how long a connection on which nothing was received may
// still be about to send a request.
const newConnTime basilmoor.Millis = 500

// listener is an HTTP server together with its open network listener.
type listener struct {
	name        string
	clock       basilmoor.Clock
	metrics     *bmmetrics.Registry
	server      *http.Server
	netListener *bmlistener.Listener
	closed      atomic.Bool

	mu   sync.Mutex
	open int                           // connections that were accepted and are not closed
	busy map[net.Conn]basilmoor.Millis // by connection, until when it may have a request without a response
}

func newListener(cfg bmlistener.Config, server *http.Server) (*listener, error) {
	l := &listener{
		name:    cfg.Name,
		clock:   cfg.Clock,
		metrics: cfg.Metrics,
		server:  server,
		busy:    map[net.Conn]basilmoor.Millis{},
	}
	cfg.ConnCounts = l.connCounts
	var err error
	if l.netListener, _, err = bmlistener.Listen(cfg); err != nil {
		return nil, err
	}
	server.ConnState = l.trackConn
	server.ConnContext = l.connContext
	server.ErrorLog = bmlistener.NewServerLog(cfg)
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

// trackConn records the connections that may have a request without a response:
// those that were just accepted and those whose request is being read or served.
func (l *listener) trackConn(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.open++
		l.busy[c] = l.clock.Now() + newConnTime
	case http.StateActive:
		l.busy[c] = math.MaxInt64
	case http.StateIdle:
		delete(l.busy, c)
	case http.StateClosed, http.StateHijacked:
		l.open--
		delete(l.busy, c)
	}
}

// busyConns returns the number of connections that may have a request without a
// response.
func (l *listener) busyConns() int {
	_, busy := l.connCounts()
	return busy
}

// setGauges updates the gauges of the listener's connections.
func (l *listener) setGauges() {
	open, busy := l.connCounts()
	l.metrics.Set("connections.open."+l.name, int64(open))
	l.metrics.Set("connections.busy."+l.name, int64(busy))
}

// connCounts returns the number of open connections, and of those that may have a
// request without a response.
func (l *listener) connCounts() (open, busy int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, until := range l.busy {
		if now < until {
			busy++
		}
	}
	return l.open, busy
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
