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

// Timeouts of one attempt of a call, and settings of the connections.
const (
	heartbeatTimeout = 800 * time.Millisecond
	claimTimeout     = 3 * time.Second
	// rememberTimeout and verifyTimeout hold up claims while a host that still counts
	// as live does not answer.
	rememberTimeout = 100 * time.Millisecond
	verifyTimeout   = 500 * time.Millisecond
	fetchTimeout    = 5 * time.Second

	// dialTimeout limits the time to establish a connection.
	dialTimeout = 800 * time.Millisecond

	// maxRedialDelay limits the backoff between attempts to connect to a node
	// that is down; a restarted node is reached after at most this time.
	maxRedialDelay = 500 * time.Millisecond

	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 5 * time.Minute
)

// PoolConfig configures a Pool. Metrics may be nil.
type PoolConfig struct {
	Secret  string
	TLS     TLSFiles
	Metrics *bmmetrics.Registry
}

// Pool holds one connection to each node that it calls. It is safe for
// concurrent use.
type Pool struct {
	cfg   PoolConfig
	creds credentials.TransportCredentials

	pendingCloses sync.WaitGroup // connections being closed

	mu     sync.Mutex
	conns  map[string]*peerConn
	closed bool
}

// peerConn is a gRPC connection that counts the bytes it sent and received.
type peerConn struct {
	cc       *grpc.ClientConn
	received atomic.Int64
	sent     atomic.Int64
}

// NewPool returns an empty pool and a function that closes the pool and its
// connections.
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
	defer p.pendingCloses.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		_ = c.cc.Close()
	}
	clear(p.conns)
}

// connTo returns the connection to address, and creates it if there is none.
func (p *Pool) connTo(address string) (*peerConn, error) {
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
			secret:     p.cfg.Secret,
			requireTLS: p.cfg.TLS.Enabled(),
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
				MaxDelay:   maxRedialDelay,
			},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithIdleTimeout(idleTimeout),
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

// dropConn closes conn. If conn is still the pool's connection to address, it is
// removed, so that the next call opens a new one.
func (p *Pool) dropConn(address string, conn *peerConn) {
	p.mu.Lock()
	if p.conns[address] == conn {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	p.closeAsync(conn)
}

// closeAsync closes a connection in the background, because gRPC waits up to 5 s
// for the last frame to be written to a connection that has stopped responding.
func (p *Pool) closeAsync(conn *peerConn) {
	p.pendingCloses.Add(1)
	go conn.run(&p.pendingCloses)
}

func (c *peerConn) run(done *sync.WaitGroup) {
	defer done.Done()
	_ = c.cc.Close()
}

// CloseConnection closes and removes the connection to address. The user of a
// stream calls it before reopening a stream that received no keepalives on an
// open connection.
func (p *Pool) CloseConnection(address string) {
	p.mu.Lock()
	conn, ok := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if ok {
		p.closeAsync(conn)
	}
}

// Broker returns a client of the Broker service at address. The pool sets no
// timeout on streams; their user must monitor the keepalives.
func (p *Pool) Broker(address string) (bmpeerpb.BrokerClient, error) {
	c, err := p.connTo(address)
	if err != nil {
		return nil, err
	}
	return bmpeerpb.NewBrokerClient(c.cc), nil
}

// callWithRedial makes a call with a timeout. If the call fails on an open
// connection that delivered no byte meanwhile, it closes the connection and
// retries the call once on a new one. Calls must be idempotent.
func (p *Pool) callWithRedial(ctx context.Context, address string, timeout time.Duration, f func(context.Context, grpc.ClientConnInterface) error) error {
	conn, err := p.connTo(address)
	if err != nil {
		return err
	}
	receivedBefore := conn.received.Load()
	err = callOnce(ctx, conn, timeout, f)
	if err == nil || ctx.Err() != nil {
		return err
	}
	unresponsive := conn.cc.GetState() == connectivity.Ready && conn.received.Load() == receivedBefore
	if !unresponsive {
		return err
	}
	p.dropConn(address, conn)
	p.count("retries.peer-silent", 1)
	conn, err = p.connTo(address)
	if err != nil {
		return err
	}
	return callOnce(ctx, conn, timeout, f)
}

func callOnce(ctx context.Context, conn *peerConn, timeout time.Duration, f func(context.Context, grpc.ClientConnInterface) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f(ctx, conn.cc)
}

func (p *Pool) count(name string, n int64) {
	if p.cfg.Metrics != nil {
		p.cfg.Metrics.Add(name, n)
	}
}

// Bytes returns the number of bytes sent and received on the connections that the
// pool currently holds.
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
		Timeout: dialTimeout,
	}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countedConn{
		Conn:     conn,
		counters: c,
	}, nil
}

// countedConn adds the bytes of a network connection to the counters of a
// peerConn.
type countedConn struct {
	net.Conn
	counters *peerConn
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.sent.Add(int64(n))
	return n, err
}
