package bmgrant

import (
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

// Server serves a broker's sessions with other hosts over gRPC.
type Server struct {
	bmgrantpb.UnimplementedBrokerServer
	broker *Broker
}

var _ bmgrantpb.BrokerServer = (*Server)(nil)

// NewServer returns a server for the sessions of b.
func NewServer(b *Broker) *Server {
	return &Server{
		broker: b,
	}
}

// serverStream is the broker's side of a session's stream.
type serverStream = grpc.BidiStreamingServer[bmgrantpb.HostBatch, bmgrantpb.BrokerBatch]

// Session implements bmgrantpb.BrokerServer.
func (v *Server) Session(stream serverStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetHello().GetHost() == "" {
		return errors.New("the first batch names no host")
	}
	s := v.broker.attach(first.GetHello(), false)
	sender := &sessionSender{
		broker:  v.broker,
		session: s,
		stream:  stream,
	}
	sender.wg.Add(1)
	go sender.run()
	defer sender.wg.Wait()
	defer v.broker.detach(s)
	v.broker.handleBatch(s, first)
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		v.broker.handleBatch(s, batch)
	}
}

// sessionSender sends the pending batches of a session until it ends.
type sessionSender struct {
	broker  *Broker
	session *session
	stream  serverStream
	wg      sync.WaitGroup
}

func (s *sessionSender) run() {
	defer s.wg.Done()
	for {
		select {
		case <-s.session.ended:
			return
		case <-s.session.wake:
		}
		if s.stream.Send(s.broker.takePending(s.session)) != nil {
			return
		}
	}
}
