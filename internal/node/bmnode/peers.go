package bmnode

import (
	"context"

	"google.golang.org/grpc"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmmember"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// peerService passes the calls of peers on to the parts of the node. These are
// made after the listener, because the members need its address.
type peerService struct {
	bmpeerpb.UnimplementedBrokerServer
	node *Node
}

// Schedule implements bmpeerpb.BrokerServer.
func (s *peerService) Schedule(stream grpc.BidiStreamingServer[bmpeerpb.ScheduleRequest, bmpeerpb.ScheduleResponse]) error {
	return s.node.brokers.Schedule(stream)
}

// Handle implements bmpeer.Beater.
func (s *peerService) Handle(beat bmmember.Beat) bmmember.Beat {
	reply := s.node.members.Handle(beat)
	s.node.heard(beat.Self.Host)
	return reply
}

// Fetch implements basilmoor.ConfigPeer.
func (s *peerService) Fetch(ctx context.Context, held []string) ([]byte, []basilmoor.ConfigPart, error) {
	return s.node.config.Fetch(ctx, held)
}
