package bmpeer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"

	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// Bounds of one attempt of a call.
const (
	beatBound  = 800 * time.Millisecond
	claimBound = 3 * time.Second
	fetchBound = 5 * time.Second

	// dialBound bounds the time to connect.
	dialBound = 800 * time.Millisecond

	// redialMax bounds the time between attempts to connect to a node that is
	// down; a restarted node is reached after at most this time.
	redialMax = 500 * time.Millisecond

	// idleAfter closes connections that no call uses.
	idleAfter = 5 * time.Minute
)

// PoolConfig are the settings of a Pool. Metrics may be nil.
type PoolConfig struct {
	Secret  string
	TLS     TLSFiles
	Metrics *bmmetrics.Registry
}

// Pool holds one connection for each node that is called. It is safe for
// concurrent use.
type Pool struct {
	cfg   PoolConfig
	creds credentials.TransportCredentials

	closing sync.WaitGroup // connections being closed

	mu     sync.Mutex
	conns  map[string]*peerConn
	closed bool
}

// peerConn is a gRPC connection with the count of bytes it has delivered.
type peerConn struct {
	cc       *grpc.ClientConn
	received atomic.Int64
	sent     atomic.Int64
}

// NewPool returns an empty pool and a function that closes its connections.
func NewPool(cfg PoolConfig) (*Pool, func(), error) {
	if cfg.Secret == "" {
		return nil, nil, errors.New("the fleet secret is empty")
	}
	creds, err := transportCredentials(cfg.TLS)
	if err != nil {
		return nil, nil, err
	}
	p := &Pool{
		cfg:   cfg,
		creds: creds,
		conns: make(map[string]*peerConn),
	}
	return p, p.close, nil
}

func (p *Pool) close() {
	defer p.closing.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		_ = c.cc.Close()
	}
	clear(p.conns)
}

// get returns the connection to address and makes it if there is none.
func (p *Pool) get(address string) (*peerConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.New("the pool of peer connections is closed")
	}
	if c, ok := p.conns[address]; ok {
		return c, nil
	}
	if err := checkAddress(address, p.cfg.TLS); err != nil {
		return nil, err
	}
	c := &peerConn{}
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(p.creds),
		grpc.WithPerRPCCredentials(secretCredentials{
			secret: p.cfg.Secret,
			secure: p.cfg.TLS.Enabled(),
		}),
		grpc.WithContextDialer(c.dial),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  50 * time.Millisecond,
				Multiplier: 2,
				Jitter:     0.2,
				MaxDelay:   redialMax,
			},
			MinConnectTimeout: dialBound,
		}),
		grpc.WithIdleTimeout(idleAfter),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	c.cc = cc
	p.conns[address] = c
	return c, nil
}

// drop closes the connection to address, if it is still conn, so that the next
// call dials anew.
func (p *Pool) drop(address string, conn *peerConn) {
	p.mu.Lock()
	if p.conns[address] == conn {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	p.discard(conn)
}

// discard closes a connection without waiting: gRPC waits up to 5 s for a
// connection that has stopped responding to take its last frame.
func (p *Pool) discard(conn *peerConn) {
	p.closing.Add(1)
	go conn.run(&p.closing)
}

func (c *peerConn) run(closing *sync.WaitGroup) {
	defer closing.Done()
	_ = c.cc.Close()
}

// CloseConnection closes the connection to address. A stream that got no keepalive on
// an open connection calls it before it is opened again.
func (p *Pool) CloseConnection(address string) {
	p.mu.Lock()
	conn, ok := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if ok {
		p.discard(conn)
	}
}

// Broker returns the client of the Broker service at address. Streams have no
// bound of their own; their user watches their keepalives.
func (p *Pool) Broker(address string) (bmpeerpb.BrokerClient, error) {
	c, err := p.get(address)
	if err != nil {
		return nil, err
	}
	return bmpeerpb.NewBrokerClient(c.cc), nil
}

// call makes a call with a bound. If the connection was open and delivered no
// byte within the bound, it is closed and the call made once more on a new
// one. Calls have to be repeatable.
func (p *Pool) call(ctx context.Context, address string, bound time.Duration, f func(context.Context, grpc.ClientConnInterface) error) error {
	conn, err := p.get(address)
	if err != nil {
		return err
	}
	before := conn.received.Load()
	err = attempt(ctx, conn, bound, f)
	if err == nil || ctx.Err() != nil {
		return err
	}
	silent := conn.cc.GetState() == connectivity.Ready && conn.received.Load() == before
	if !silent {
		return err
	}
	p.drop(address, conn)
	p.count("retries.peer-silent", 1)
	conn, err = p.get(address)
	if err != nil {
		return err
	}
	return attempt(ctx, conn, bound, f)
}

func attempt(ctx context.Context, conn *peerConn, bound time.Duration, f func(context.Context, grpc.ClientConnInterface) error) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	return f(ctx, conn.cc)
}

func (p *Pool) count(name string, n int64) {
	if p.cfg.Metrics != nil {
		p.cfg.Metrics.Add(name, n)
	}
}

// Bytes returns the bytes sent and received on the connections that are open.
func (p *Pool) Bytes() (sent, received int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		sent += c.sent.Load()
		received += c.received.Load()
	}
	return sent, received
}

func (c *peerConn) dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialBound,
	}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countedConn{
		Conn: conn,
		peer: c,
	}, nil
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	peer *peerConn
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.peer.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.peer.sent.Add(int64(n))
	return n, err
}
