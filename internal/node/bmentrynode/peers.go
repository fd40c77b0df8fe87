package bmentrynode

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"basilmoor.example/basilmoor/internal/schedule/bmgrant"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

// peerServer serves the sessions of other hosts with this host's broker.
type peerServer struct {
	grpc *grpc.Server
	net  net.Listener
}

func newPeerServer(address string, broker *bmgrant.Broker) (*peerServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &peerServer{
		grpc: grpc.NewServer(bmgrant.ServerOptions()...),
		net:  l,
	}
	bmgrantpb.RegisterBrokerServer(p.grpc, bmgrant.NewServer(broker))
	return p, nil
}

// Serve implements suture.Service.
func (p *peerServer) Serve(ctx context.Context) error {
	done := make(chan error, 1)
	go p.run(done)
	select {
	case <-ctx.Done():
		p.grpc.Stop()
		if err := <-done; err != nil {
			return errors.Wrap(err, "serve other hosts")
		}
		return ctx.Err()
	case err := <-done:
		return err
	}
}

func (p *peerServer) run(done chan<- error) {
	done <- p.grpc.Serve(p.net)
}

func (p *peerServer) close() {
	p.grpc.Stop()
}
