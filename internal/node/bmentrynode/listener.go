package bmentrynode

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// listener is an HTTP server together with its open network listener.
type listener struct {
	server      *http.Server
	netListener net.Listener
	closed      atomic.Bool
}

func newListener(address string, server *http.Server) (*listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &listener{
		server:      server,
		netListener: l,
	}, nil
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

// close stops accepting connections but keeps the open ones.
func (l *listener) close() {
	l.closed.Store(true)
	_ = l.netListener.Close()
}
