package bmgrant

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

// dialTimeout is the time limit for connecting to a broker's host.
const dialTimeout basilmoor.Millis = 500

// link transports the batches of a session. send and recv are each called by a
// single goroutine.
type link interface {
	send(batch *bmgrantpb.HostBatch) error
	recv() (*bmgrantpb.BrokerBatch, error)
	close()
}

// dialer opens a session with the broker of a host.
type dialer func(ctx context.Context, to basilmoor.Member) (link, error)

var errSessionEnded = errors.New("the session has ended")

// localLink is a session with the broker on this host.
type localLink struct {
	broker  *Broker
	session *session
	done    chan struct{}
}

func newLocalLink(b *Broker, hello *bmgrantpb.Hello) *localLink {
	return &localLink{
		broker:  b,
		session: b.attach(hello, true),
		done:    make(chan struct{}),
	}
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
	stream grpc.BidiStreamingClient[bmgrantpb.HostBatch, bmgrantpb.BrokerBatch]
	cancel context.CancelFunc
}

// dialStream opens a session with the broker of a host over gRPC. Each session
// has its own connection, so that a connection that has gone silent is never
// reused.
func dialStream(ctx context.Context, to basilmoor.Member) (link, error) {
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
	ctx, cancel := context.WithCancel(ctx)
	stream, err := bmgrantpb.NewBrokerClient(conn).Session(ctx)
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, errors.Wrapf(err, "open session with %s", to.Host)
	}
	return &streamLink{
		conn:   conn,
		stream: stream,
		cancel: cancel,
	}, nil
}

const (
	// windowBytes is the flow-control window. It is fixed because gRPC's
	// dynamic estimate adds two pings to every short message.
	windowBytes = 256 << 10

	// bufferBytes is the size of a connection's read and write buffers. Batches
	// are small.
	bufferBytes = 4 << 10
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
