package bmnode

import (
	"context"

	"google.golang.org/grpc"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmmember"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// peerService forwards the calls of peers to the components of the node. It
// looks them up on each call, because they are built after the peer server,
// whose address the membership needs.
type peerService struct {
	bmpeerpb.UnimplementedBrokerServer
	node *Node
}

// Schedule implements bmpeerpb.BrokerServer.
func (s *peerService) Schedule(stream grpc.BidiStreamingServer[bmpeerpb.ScheduleRequest, bmpeerpb.ScheduleResponse]) error {
	return s.node.brokers.Schedule(stream)
}

// Handle implements bmpeer.Heartbeater.
func (s *peerService) Handle(in bmmember.Heartbeat) bmmember.Heartbeat {
	reply := s.node.membership.Handle(in)
	s.node.recordHeartbeat(in.Self.Host)
	return reply
}

// Fetch implements basilmoor.ConfigPeer.
func (s *peerService) Fetch(ctx context.Context, held []string) ([]byte, []basilmoor.ConfigPart, error) {
	return s.node.follower.Fetch(ctx, held)
}
