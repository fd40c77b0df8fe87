package bmscheduler

import (
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// maxQueuedMessages bounds the messages that wait for a slow stream. A stream
// that exceeds it is ended, and its host resubmits.
const maxQueuedMessages = 1 << 16

type scheduleServer = grpc.BidiStreamingServer[bmpeerpb.ScheduleRequest, bmpeerpb.ScheduleResponse]

// streamSession is the session of a remote host.
type streamSession struct {
	stream scheduleServer
	codec  codec
	host   string
	loop   *poolLoop
	outbox *mailbox[*bmpeerpb.ScheduleResponse]
	over   chan struct{}
	once   sync.Once
}

// Schedule serves the stream of one host for one pool.
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
		over:   make(chan struct{}),
	}
	loop, err := s.attach(hello.GetPool(), hello.GetHost(), hello.GetDataCentre(), sess)
	if err != nil {
		return status.Error(codes.Unavailable, err.Error())
	}
	sess.loop = loop
	go sess.run()
	err = sess.send()
	loop.do(func(b *broker, now basilmoor.Millis) { b.detach(now, sess.host, sess) })
	return err
}

// send sends queued messages until the stream or the session ends.
func (s *streamSession) send() error {
	for {
		select {
		case <-s.stream.Context().Done():
			return s.stream.Context().Err()
		case <-s.over:
			return status.Error(codes.Unavailable, "this host is not the broker")
		case <-s.outbox.ready:
		}
		for _, m := range s.outbox.take() {
			if err := s.stream.Send(m); err != nil {
				return err
			}
		}
	}
}

// run receives messages until the stream ends.
func (s *streamSession) run() {
	defer s.end()
	for {
		m, err := s.stream.Recv()
		if err != nil {
			return
		}
		if !s.loop.do(s.action(m)) {
			return
		}
	}
}

func (s *streamSession) action(m *bmpeerpb.ScheduleRequest) action {
	return func(b *broker, now basilmoor.Millis) {
		switch m := m.GetMessage().(type) {
		case *bmpeerpb.ScheduleRequest_Demand:
			b.submit(now, s.host, s, s.codec.decodeDemand(m.Demand))
		case *bmpeerpb.ScheduleRequest_Cancel:
			b.cancel(now, s.host, s, s.codec.id(m.Cancel))
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

func (s *streamSession) alive() {
	s.queue(&bmpeerpb.ScheduleResponse{
		Message: &bmpeerpb.ScheduleResponse_Keepalive{
			Keepalive: true,
		},
	})
}

func (s *streamSession) queue(m *bmpeerpb.ScheduleResponse) bool {
	n := s.outbox.put(m)
	if n > maxQueuedMessages {
		s.end()
	}
	return n > 0 && n <= maxQueuedMessages
}

func (s *streamSession) end() {
	s.once.Do(func() {
		s.outbox.close()
		close(s.over)
	})
}
