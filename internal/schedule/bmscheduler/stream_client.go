package bmscheduler

import (
	"context"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

type scheduleClient = grpc.BidiStreamingClient[bmpeerpb.ScheduleRequest, bmpeerpb.ScheduleResponse]

// streamUplink connects a client to a broker on another host.
type streamUplink struct {
	stream       scheduleClient
	codec        codec
	cancelStream context.CancelFunc
	outbox       *mailbox[*bmpeerpb.ScheduleRequest]
	clock        basilmoor.Clock
	metrics      *bmmetrics.Registry
	tracker      *requestTracker
	epoch        int
	onLost       func(epoch int)
	wg           sync.WaitGroup
}

var _ uplink = (*streamUplink)(nil)

// openStream opens a stream and waits for the broker's first message. The stream
// lives until ctx is cancelled.
func openStream(ctx context.Context, client bmpeerpb.BrokerClient, hello *bmpeerpb.Hello) (scheduleClient, error) {
	stream, err := client.Schedule(ctx)
	if err != nil {
		return nil, err
	}
	err = stream.Send(&bmpeerpb.ScheduleRequest{
		Message: &bmpeerpb.ScheduleRequest_Hello{
			Hello: hello,
		},
	})
	if err != nil {
		return nil, err
	}
	if _, err := stream.Recv(); err != nil {
		return nil, err
	}
	return stream, nil
}

// run sends queued messages until the stream ends.
func (u *streamUplink) run() {
	defer u.wg.Done()
	for {
		select {
		case <-u.stream.Context().Done():
			return
		case <-u.outbox.ready:
		}
		for _, m := range u.outbox.drain() {
			if u.stream.Send(m) != nil {
				return
			}
			u.metrics.Add("control.messages-sent", 1)
			u.metrics.Add("control.bytes-sent", int64(proto.Size(m)))
		}
	}
}

// loop receives messages until the stream ends.
func (u *streamUplink) loop() {
	defer u.wg.Done()
	for {
		m, err := u.stream.Recv()
		if err != nil {
			u.onLost(u.epoch)
			return
		}
		u.metrics.Add("control.messages-received", 1)
		u.metrics.Add("control.bytes-received", int64(proto.Size(m)))
		d, ok := u.codec.decodeDecision(m)
		if !ok {
			u.tracker.recordKeepalive(u.clock.Now(), u.epoch)
			continue
		}
		u.tracker.handleDecision(u.clock.Now(), u.epoch, d)
	}
}

// queueWithoutWake queues a message that is sent together with the next one or
// at the next flush.
func (u *streamUplink) queueWithoutWake(m *bmpeerpb.ScheduleRequest) {
	if u.outbox.putWithoutWake(m) > maxQueuedMessages {
		u.close()
	}
}

func (u *streamUplink) flush() {
	if !u.outbox.empty() {
		u.outbox.wake()
	}
}

func (u *streamUplink) queue(m *bmpeerpb.ScheduleRequest) {
	if u.outbox.put(m) > maxQueuedMessages {
		u.close()
	}
}

func (u *streamUplink) submit(d basilmoor.Demand) {
	u.queue(&bmpeerpb.ScheduleRequest{
		Message: &bmpeerpb.ScheduleRequest_Demand{
			Demand: u.codec.encodeDemand(d),
		},
	})
}

func (u *streamUplink) cancel(id basilmoor.RequestID) {
	u.queue(&bmpeerpb.ScheduleRequest{
		Message: &bmpeerpb.ScheduleRequest_Cancel{
			Cancel: u.codec.requestNumber(id),
		},
	})
}

func (u *streamUplink) observe(o basilmoor.Observation) {
	m := &bmpeerpb.ScheduleRequest{
		Message: &bmpeerpb.ScheduleRequest_Observation{
			Observation: u.codec.encodeObservation(o),
		},
	}
	if o.Stage == basilmoor.StageFirstToken || o.Stage == basilmoor.StageProgress {
		u.queueWithoutWake(m)
		return
	}
	u.queue(m)
}

func (u *streamUplink) endResubmission() {
	u.queue(&bmpeerpb.ScheduleRequest{
		Message: &bmpeerpb.ScheduleRequest_Resubmitted{
			Resubmitted: true,
		},
	})
}

func (u *streamUplink) keepalive() {
	u.queue(&bmpeerpb.ScheduleRequest{
		Message: &bmpeerpb.ScheduleRequest_Keepalive{
			Keepalive: true,
		},
	})
}

func (u *streamUplink) close() {
	u.outbox.close()
	u.cancelStream()
}
