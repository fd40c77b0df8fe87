package bmnode

import (
	"google.golang.org/grpc"

	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// lateBroker passes streams on to the broker service, which is made after the
// listener because it needs the members, and these need the listener's address.
type lateBroker struct {
	bmpeerpb.UnimplementedBrokerServer
	node *Node
}

// Schedule implements bmpeerpb.BrokerServer.
func (b *lateBroker) Schedule(s grpc.BidiStreamingServer[bmpeerpb.ScheduleRequest, bmpeerpb.ScheduleResponse]) error {
	return b.node.brokers.Schedule(s)
}
