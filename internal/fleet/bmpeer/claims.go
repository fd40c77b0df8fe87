package bmpeer

import (
	"context"
	"crypto/sha256"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// Committer commits claims for this host and for others.
type Committer interface {
	basilmoor.Claimer
	basilmoor.ClaimPeer
}

// claimServer exposes a Committer to other nodes.
type claimServer struct {
	bmpeerpb.UnimplementedClaimsServer
	claimer Committer
}

func (s *claimServer) Claim(ctx context.Context, in *bmpeerpb.ClaimRequest) (*bmpeerpb.ClaimResponse, error) {
	r := basilmoor.ClaimRequest{
		Workspace: in.GetWorkspace(),
		Key:       in.GetKey(),
		Host:      in.GetHost(),
		Request:   basilmoor.RequestID(in.GetRequest()),
	}
	if len(in.GetBodyDigest()) != sha256.Size {
		return nil, status.Error(codes.InvalidArgument, "body digest must have 32 bytes")
	}
	copy(r.BodyDigest[:], in.GetBodyDigest())
	claim, err := s.claimer.Claim(ctx, r)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &bmpeerpb.ClaimResponse{
		State:   string(claim.State),
		Holder:  claim.Holder,
		Request: string(claim.Request),
		Answer:  encodeAnswer(claim.Answer),
	}, nil
}

func (s *claimServer) Record(ctx context.Context, in *bmpeerpb.RecordRequest) (*bmpeerpb.RecordResponse, error) {
	err := s.claimer.Record(ctx, basilmoor.ClaimRecord{
		Workspace: in.GetWorkspace(),
		Key:       in.GetKey(),
		Request:   basilmoor.RequestID(in.GetRequest()),
		State:     basilmoor.ClaimState(in.GetState()),
		Answer:    decodeAnswer(in.GetAnswer()),
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &bmpeerpb.RecordResponse{}, nil
}

func (s *claimServer) Remember(ctx context.Context, in *bmpeerpb.RememberRequest) (*bmpeerpb.RememberResponse, error) {
	err := s.claimer.RememberClaims(ctx, basilmoor.ClaimSegment{
		Slot:     int(in.GetSlot()),
		Sequence: in.GetSequence(),
		Value:    in.GetValue(),
	})
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &bmpeerpb.RememberResponse{}, nil
}

func (s *claimServer) Verify(ctx context.Context, in *bmpeerpb.VerifyRequest) (*bmpeerpb.VerifyResponse, error) {
	v, err := s.claimer.VerifyClaims(ctx, int(in.GetSlot()), in.GetEnd())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &bmpeerpb.VerifyResponse{
		Complete: v.Complete,
		Last:     v.Last,
	}, nil
}

// claimerClient calls the Committer of another node. Its errors are of type
// *basilmoor.UnavailableError: the claim may have been made nevertheless.
type claimerClient struct {
	pool    *Pool
	address string
}

// Claimer returns a client of the Claimer of the node at address.
func (p *Pool) Claimer(address string) basilmoor.Claimer {
	return p.claimerClient(address)
}

// ClaimPeer returns a client of the ClaimPeer of the node at address.
func (p *Pool) ClaimPeer(address string) basilmoor.ClaimPeer {
	return p.claimerClient(address)
}

func (p *Pool) claimerClient(address string) *claimerClient {
	return &claimerClient{
		pool:    p,
		address: address,
	}
}

func (c *claimerClient) Claim(ctx context.Context, r basilmoor.ClaimRequest) (basilmoor.Claim, error) {
	in := &bmpeerpb.ClaimRequest{
		Workspace:  r.Workspace,
		Key:        r.Key,
		BodyDigest: r.BodyDigest[:],
		Host:       r.Host,
		Request:    string(r.Request),
	}
	var out *bmpeerpb.ClaimResponse
	err := c.pool.callWithRedial(ctx, c.address, claimTimeout, func(ctx context.Context, cc grpc.ClientConnInterface) error {
		var err error
		out, err = bmpeerpb.NewClaimsClient(cc).Claim(ctx, in)
		return err
	})
	if err != nil {
		return basilmoor.Claim{}, unavailable("claim at peer", err)
	}
	return basilmoor.Claim{
		State:   basilmoor.ClaimState(out.GetState()),
		Holder:  out.GetHolder(),
		Request: basilmoor.RequestID(out.GetRequest()),
		Answer:  decodeAnswer(out.GetAnswer()),
	}, nil
}

func (c *claimerClient) Record(ctx context.Context, r basilmoor.ClaimRecord) error {
	in := &bmpeerpb.RecordRequest{
		Workspace: r.Workspace,
		Key:       r.Key,
		Request:   string(r.Request),
		State:     string(r.State),
		Answer:    encodeAnswer(r.Answer),
	}
	err := c.pool.callWithRedial(ctx, c.address, claimTimeout, func(ctx context.Context, cc grpc.ClientConnInterface) error {
		_, err := bmpeerpb.NewClaimsClient(cc).Record(ctx, in)
		return err
	})
	if err != nil {
		return unavailable("record claim at peer", err)
	}
	return nil
}

func (c *claimerClient) RememberClaims(ctx context.Context, s basilmoor.ClaimSegment) error {
	in := &bmpeerpb.RememberRequest{
		Slot:     int32(s.Slot),
		Sequence: s.Sequence,
		Value:    s.Value,
	}
	err := c.pool.callWithRedial(ctx, c.address, rememberTimeout, func(ctx context.Context, cc grpc.ClientConnInterface) error {
		_, err := bmpeerpb.NewClaimsClient(cc).Remember(ctx, in)
		return err
	})
	if err != nil {
		return unavailable("tell peer of claims", err)
	}
	return nil
}

func (c *claimerClient) VerifyClaims(ctx context.Context, slot int, end string) (basilmoor.ClaimVerification, error) {
	in := &bmpeerpb.VerifyRequest{
		Slot: int32(slot),
		End:  end,
	}
	var out *bmpeerpb.VerifyResponse
	err := c.pool.callWithRedial(ctx, c.address, verifyTimeout, func(ctx context.Context, cc grpc.ClientConnInterface) error {
		var err error
		out, err = bmpeerpb.NewClaimsClient(cc).Verify(ctx, in)
		return err
	})
	if err != nil {
		return basilmoor.ClaimVerification{}, unavailable("verify claims at peer", err)
	}
	return basilmoor.ClaimVerification{
		Complete: out.GetComplete(),
		Last:     out.GetLast(),
	}, nil
}

func unavailable(operation string, err error) error {
	return &basilmoor.UnavailableError{
		Operation: operation,
		Err:       err,
	}
}

func encodeAnswer(a *basilmoor.Answer) *bmpeerpb.Answer {
	if a == nil {
		return nil
	}
	return &bmpeerpb.Answer{
		Status:      int32(a.Status),
		ContentType: a.ContentType,
		Body:        a.Body,
	}
}

func decodeAnswer(in *bmpeerpb.Answer) *basilmoor.Answer {
	if in == nil {
		return nil
	}
	return &basilmoor.Answer{
		Status:      int(in.GetStatus()),
		ContentType: in.GetContentType(),
		Body:        in.GetBody(),
	}
}
