package bmentrynode

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"basilmoor.example/basilmoor/internal/core/bmlistener"
	"basilmoor.example/basilmoor/internal/schedule/bmgrant"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

// peerServer is the gRPC server for the sessions of other hosts with this host's
// broker.
type peerServer struct {
	server      *grpc.Server
	netListener net.Listener
}

func newPeerServer(cfg bmlistener.Config, scheduler *bmgrant.Client) (*peerServer, error) {
	l, _, err := bmlistener.Listen(cfg)
	if err != nil {
		return nil, err
	}
	p := &peerServer{
		server:      grpc.NewServer(bmgrant.ServerOptions()...),
		netListener: l,
	}
	bmgrantpb.RegisterBrokerServer(p.server, bmgrant.NewServer(scheduler))
	return p, nil
}

// Serve implements suture.Service.
func (p *peerServer) Serve(ctx context.Context) error {
	done := make(chan error, 1)
	go p.run(done)
	select {
	case <-ctx.Done():
		p.server.Stop()
		if err := <-done; err != nil {
			return errors.Wrap(err, "peer server")
		}
		return ctx.Err()
	case err := <-done:
		return err
	}
}

// run sends the result of the gRPC server to done.
func (p *peerServer) run(done chan<- error) {
	done <- p.server.Serve(p.netListener)
}

func (p *peerServer) close() {
	p.server.Stop()
}
