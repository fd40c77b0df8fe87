package bmpeer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmmember"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// Heartbeater handles received heartbeats and returns the responses.
type Heartbeater interface {
	Handle(b bmmember.Heartbeat) bmmember.Heartbeat
}

type membershipServer struct {
	bmpeerpb.UnimplementedMembershipServer
	handler Heartbeater
}

func (s *membershipServer) Beat(_ context.Context, in *bmpeerpb.Heartbeat) (*bmpeerpb.Heartbeat, error) {
	if in.GetSelf().GetHost() == "" {
		return nil, status.Error(codes.InvalidArgument, "heartbeat names no host")
	}
	return EncodeHeartbeat(s.handler.Handle(DecodeHeartbeat(in))), nil
}

var _ bmmember.Transport = (*Pool)(nil)

// Exchange sends a heartbeat to a peer and returns the heartbeat of its response.
func (p *Pool) Exchange(ctx context.Context, to basilmoor.Member, b bmmember.Heartbeat) (bmmember.Heartbeat, error) {
	in := EncodeHeartbeat(b)
	var out *bmpeerpb.Heartbeat
	err := p.callWithRedial(ctx, to.Address, heartbeatTimeout, func(ctx context.Context, cc grpc.ClientConnInterface) error {
		var err error
		out, err = bmpeerpb.NewMembershipClient(cc).Beat(ctx, in)
		return err
	})
	if err != nil {
		return bmmember.Heartbeat{}, err
	}
	return DecodeHeartbeat(out), nil
}
