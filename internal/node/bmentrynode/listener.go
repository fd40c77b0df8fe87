package bmentrynode

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// listener is an HTTP server with its open listener.
type listener struct {
	server *http.Server
	net    net.Listener
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
		<-done
		return ctx.Err()
	case err := <-done:
		return err
	}
}

func (l *listener) run(done chan<- error) {
	done <- l.server.Serve(l.net)
}

func (l *listener) close() {
	_ = l.net.Close()
}
