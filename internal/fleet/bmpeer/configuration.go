package bmpeer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// configurationServer exposes a ConfigPeer to other nodes.
type configurationServer struct {
	bmpeerpb.UnimplementedConfigurationServer
	peer basilmoor.ConfigPeer
}

func (s *configurationServer) Fetch(ctx context.Context, in *bmpeerpb.FetchRequest) (*bmpeerpb.FetchResponse, error) {
	head, parts, err := s.peer.Fetch(ctx, in.GetHeld())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	out := &bmpeerpb.FetchResponse{
		Head: head,
	}
	for _, p := range parts {
		out.Parts = append(out.Parts, &bmpeerpb.Part{
			Digest: p.Digest,
			Value:  p.Value,
		})
	}
	return out, nil
}

type configPeerClient struct {
	pool    *Pool
	address string
}

// ConfigPeer returns a client of the ConfigPeer of the node at address. Its errors
// are of type *basilmoor.UnavailableError.
func (p *Pool) ConfigPeer(address string) basilmoor.ConfigPeer {
	return &configPeerClient{
		pool:    p,
		address: address,
	}
}

func (c *configPeerClient) Fetch(ctx context.Context, held []string) ([]byte, []basilmoor.ConfigPart, error) {
	in := &bmpeerpb.FetchRequest{
		Held: held,
	}
	var out *bmpeerpb.FetchResponse
	err := c.pool.callWithRedial(ctx, c.address, fetchTimeout, func(ctx context.Context, cc grpc.ClientConnInterface) error {
		var err error
		out, err = bmpeerpb.NewConfigurationClient(cc).Fetch(ctx, in, grpc.MaxCallRecvMsgSize(maxFetchBytes))
		return err
	})
	if err != nil {
		return nil, nil, unavailable("fetch configuration from peer", err)
	}
	var parts []basilmoor.ConfigPart
	for _, p := range out.GetParts() {
		parts = append(parts, basilmoor.ConfigPart{
			Digest: p.GetDigest(),
			Value:  p.GetValue(),
		})
	}
	return out.GetHead(), parts, nil
}
