package bmgrant

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"basilmoor.example/basilmoor/internal/schedule/bmelection"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

// Server serves a broker's sessions with other hosts over gRPC.
type Server struct {
	bmgrantpb.UnimplementedBrokerServer
	broker *Broker
	client *Client
}

var _ bmgrantpb.BrokerServer = (*Server)(nil)

// NewServer returns a server for the sessions of the broker on the host of c.
func NewServer(c *Client) *Server {
	return &Server{
		broker: c.broker,
		client: c,
	}
}

// followedTrailer is the trailer of a refused session that holds the encoded
// FollowedReply.
const followedTrailer = "basilmoor-followed-bin"

// answerIn returns the answer in the trailer of a refused session.
func answerIn(trailer metadata.MD) (bmelection.Answer, bool) {
	values := trailer.Get(followedTrailer)
	if len(values) == 0 {
		return bmelection.Answer{}, false
	}
	var reply bmgrantpb.FollowedReply
	if proto.Unmarshal([]byte(values[0]), &reply) != nil {
		return bmelection.Answer{}, false
	}
	return decodeAnswer(&reply), true
}

// Followed implements bmgrantpb.BrokerServer.
func (v *Server) Followed(context.Context, *bmgrantpb.FollowedRequest) (*bmgrantpb.FollowedReply, error) {
	return encodeAnswer(v.client.followed()), nil
}

// refuse ends a session that is not accepted.
func (v *Server) refuse(stream serverStream) error {
	raw, err := proto.Marshal(encodeAnswer(v.client.followed()))
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}
	stream.SetTrailer(metadata.Pairs(followedTrailer, string(raw)))
	return status.Error(codes.FailedPrecondition, "not the broker")
}

// serverStream is the broker's side of a session's stream.
type serverStream = grpc.BidiStreamingServer[bmgrantpb.HostBatch, bmgrantpb.BrokerBatch]

// Session implements bmgrantpb.BrokerServer.
func (v *Server) Session(stream serverStream) error {
	if !v.client.leads() {
		return v.refuse(stream)
	}
	if err := stream.SendHeader(metadata.MD{}); err != nil {
		return err
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetHello().GetHost() == "" {
		return errors.New("the first batch names no host")
	}
	s, ok := v.broker.attach(first.GetHello(), false)
	if !ok {
		return v.refuse(stream)
	}
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
