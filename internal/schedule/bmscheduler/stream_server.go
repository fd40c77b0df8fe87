package bmscheduler

import (
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// maxQueuedMessages limits the messages queued for a slow stream. A stream that
// exceeds it is closed, and its host resubmits on a new one.
const maxQueuedMessages = 1 << 16

type scheduleServer = grpc.BidiStreamingServer[bmpeerpb.ScheduleRequest, bmpeerpb.ScheduleResponse]

// streamSession is the broker's side of a remote host's stream.
type streamSession struct {
	stream    scheduleServer
	codec     codec
	host      string
	loop      *brokerLoop
	outbox    *mailbox[*bmpeerpb.ScheduleResponse]
	done      chan struct{}
	closeOnce sync.Once
}

// Schedule serves one host's stream for one pool.
func (s *Service) Schedule(stream scheduleServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello.GetPool() == "" || hello.GetHost() == "" {
		return status.Error(codes.InvalidArgument, "the first message must be a hello with pool and host")
	}
	sess := &streamSession{
		stream: stream,
		codec:  newCodec(hello.GetHost(), hello.GetIncarnation()),
		host:   hello.GetHost(),
		outbox: newMailbox[*bmpeerpb.ScheduleResponse](),
		done:   make(chan struct{}),
	}
	loop, err := s.attach(hello.GetPool(), hello.GetHost(), hello.GetDataCentre(), sess)
	if err != nil {
		return status.Error(codes.Unavailable, err.Error())
	}
	sess.loop = loop
	go sess.run()
	err = sess.sendLoop()
	loop.enqueue(func(b *broker, now basilmoor.Millis) { b.detach(now, sess.host, sess) })
	return err
}

// sendLoop sends queued messages until the stream or the session ends.
func (s *streamSession) sendLoop() error {
	for {
		select {
		case <-s.stream.Context().Done():
			return s.stream.Context().Err()
		case <-s.done:
			return status.Error(codes.Unavailable, "this host is not the broker")
		case <-s.outbox.ready:
		}
		for _, m := range s.outbox.drain() {
			if err := s.stream.Send(m); err != nil {
				return err
			}
		}
	}
}

// run receives messages until the stream ends, and queues them on the
// broker's loop.
func (s *streamSession) run() {
	defer s.close()
	for {
		m, err := s.stream.Recv()
		if err != nil {
			return
		}
		if !s.loop.enqueue(s.action(m)) {
			return
		}
	}
}

// action returns the broker call for a received message.
func (s *streamSession) action(m *bmpeerpb.ScheduleRequest) action {
	return func(b *broker, now basilmoor.Millis) {
		switch m := m.GetMessage().(type) {
		case *bmpeerpb.ScheduleRequest_Demand:
			b.submit(now, s.host, s, s.codec.decodeDemand(m.Demand))
		case *bmpeerpb.ScheduleRequest_Cancel:
			b.cancel(now, s.host, s, s.codec.requestID(m.Cancel))
		case *bmpeerpb.ScheduleRequest_Observation:
			b.observe(now, s.host, s, s.codec.decodeObservation(m.Observation))
		case *bmpeerpb.ScheduleRequest_Resubmitted:
			b.endResubmission(now, s.host, s)
		default:
			b.keepalive(now, s.host, s)
		}
	}
}

func (s *streamSession) deliver(d basilmoor.Decision) bool {
	return s.queue(s.codec.encodeDecision(d))
}

func (s *streamSession) sendKeepalive() {
	s.queue(&bmpeerpb.ScheduleResponse{
		Message: &bmpeerpb.ScheduleResponse_Keepalive{
			Keepalive: true,
		},
	})
}

func (s *streamSession) queue(m *bmpeerpb.ScheduleResponse) bool {
	n := s.outbox.put(m)
	if n > maxQueuedMessages {
		s.close()
	}
	return n > 0 && n <= maxQueuedMessages
}

func (s *streamSession) close() {
	s.closeOnce.Do(func() {
		s.outbox.close()
		close(s.done)
	})
}
