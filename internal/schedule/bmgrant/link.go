package bmgrant

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmelection"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

const (
	// dialTimeout is the time limit for opening a session with a broker. The
	// farthest host of a region is a few milliseconds away.
	dialTimeout basilmoor.Millis = 300

	// askTimeout is the time limit for asking a host which broker it follows.
	// It is short because the requests of a host that lost its broker wait for
	// the answers.
	askTimeout basilmoor.Millis = 200
)

// link transports the batches of a session. send and recv are each called by a
// single goroutine.
type link interface {
	send(batch *bmgrantpb.HostBatch) error
	recv() (*bmgrantpb.BrokerBatch, error)
	close()
}

// dialer opens a session with the broker of a host.
// The error is a *NotBrokerError if that host is not the broker.
type dialer func(ctx context.Context, to basilmoor.Member) (link, error)

// asker asks a host which broker it follows.
type asker func(ctx context.Context, to basilmoor.Member) (bmelection.Answer, error)

var errSessionEnded = errors.New("the session has ended")

// localLink is a session with the broker on this host.
type localLink struct {
	broker  *Broker
	session *session
	done    chan struct{}
}

// newLocalLink returns an error if the term of b has ended already.
func newLocalLink(b *Broker, hello *bmgrantpb.Hello) (*localLink, error) {
	s, ok := b.attach(hello, true)
	if !ok {
		return nil, errSessionEnded
	}
	return &localLink{
		broker:  b,
		session: s,
		done:    make(chan struct{}),
	}, nil
}

func (l *localLink) send(batch *bmgrantpb.HostBatch) error {
	l.broker.handleBatch(l.session, batch)
	return nil
}

func (l *localLink) recv() (*bmgrantpb.BrokerBatch, error) {
	select {
	case <-l.done:
		return nil, errSessionEnded
	case <-l.session.ended:
		return nil, errSessionEnded
	case <-l.session.wake:
		return l.broker.takePending(l.session), nil
	}
}

func (l *localLink) close() {
	l.broker.detach(l.session)
	close(l.done)
}

// streamLink is a session over gRPC.
type streamLink struct {
	conn   *grpc.ClientConn
	stream sessionStream
	cancel context.CancelFunc
}

// sessionStream is the host's side of a session's stream.
type sessionStream = grpc.BidiStreamingClient[bmgrantpb.HostBatch, bmgrantpb.BrokerBatch]

// dialStream opens a session with the broker of a host over gRPC. Each session
// has its own connection, so that a connection that has gone silent is never
// reused.
func dialStream(ctx context.Context, to basilmoor.Member) (link, error) {
	conn, err := newPeerConn(to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &streamLink{
		conn:   conn,
		cancel: cancel,
	}
	// A host that is reached and doesn't answer is given up as well.
	timer := time.AfterFunc(dialTimeout.Duration(), cancel)
	defer timer.Stop()
	if l.stream, err = openSession(ctx, conn); err != nil {
		l.close()
		return nil, errors.Wrapf(err, "open session with %s", to.Host)
	}
	return l, nil
}

// openSession opens a session and waits until the broker has accepted it.
func openSession(ctx context.Context, conn *grpc.ClientConn) (sessionStream, error) {
	stream, err := bmgrantpb.NewBrokerClient(conn).Session(ctx)
	if err != nil {
		return nil, err
	}
	header, err := stream.Header()
	if err != nil {
		return nil, err
	}
	if header != nil {
		return stream, nil
	}
	// The session has ended without having been accepted.
	_, err = stream.Recv()
	if answer, ok := answerIn(stream.Trailer()); ok {
		return nil, &NotBrokerError{
			Answer: answer,
		}
	}
	return nil, err
}

// askFollowed asks a host which broker it follows.
func askFollowed(ctx context.Context, to basilmoor.Member) (bmelection.Answer, error) {
	conn, err := newPeerConn(to)
	if err != nil {
		return bmelection.Answer{}, err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	reply, err := bmgrantpb.NewBrokerClient(conn).Followed(ctx, &bmgrantpb.FollowedRequest{})
	if err != nil {
		return bmelection.Answer{}, errors.Wrapf(err, "ask %s for its broker", to.Host)
	}
	return decodeAnswer(reply), nil
}

// newPeerConn returns a connection to the gRPC server of a host, which is opened
// at the first call.
func newPeerConn(to basilmoor.Member) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+to.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dialTCP),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", to.Address)
	}
	return conn, nil
}

const (
	// windowBytes is the flow-control window. It is fixed because gRPC's
	// dynamic estimate adds two pings to every short message.
	windowBytes = 256 << 10

	// bufferBytes is the size of a connection's read and write buffers. Batches
	// are small.
	bufferBytes = 4 << 10

	// maxHeaderBytes limits the header fields of a call.
	maxHeaderBytes = 16 << 10
)

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout.Duration(),
	}
	return d.DialContext(ctx, "tcp", address)
}

// ServerOptions returns the options of the gRPC server that serves sessions.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.MaxHeaderListSize(maxHeaderBytes),
	}
}

func (l *streamLink) send(batch *bmgrantpb.HostBatch) error {
	return l.stream.Send(batch)
}

func (l *streamLink) recv() (*bmgrantpb.BrokerBatch, error) {
	return l.stream.Recv()
}

func (l *streamLink) close() {
	l.cancel()
	go l.run()
}

// run closes the connection, which may block while the peer is silent.
func (l *streamLink) run() {
	_ = l.conn.Close()
}
