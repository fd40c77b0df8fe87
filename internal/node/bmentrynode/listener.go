package bmentrynode

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// listener is an HTTP server with its open listener.
type listener struct {
	server *http.Server
	net    net.Listener
	closed atomic.Bool
}

func newListener(address string, server *http.Server) (*listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &listener{
		server: server,
		net:    l,
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
		// The listener was closed for the stop; connections go on.
		<-ctx.Done()
		_ = l.server.Close()
		return ctx.Err()
	}
}

func (l *listener) run(done chan<- error) {
	done <- l.server.Serve(l.net)
}

// close stops accepting connections.
func (l *listener) close() {
	l.closed.Store(true)
	_ = l.net.Close()
}
