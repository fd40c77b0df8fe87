package bmpeer

import (
	"context"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmlistener"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

const (
	// maxMessageBytes limits the messages of all calls except Fetch. The largest
	// one carries a recorded response, which must fit into a value of the store.
	maxMessageBytes = basilmoor.MaxValueBytes + 64<<10

	// maxFetchBytes limits the response of Fetch, which carries up to a whole
	// configuration: a head and 32 parts.
	maxFetchBytes = 40 * basilmoor.MaxValueBytes

	// windowBytes is the fixed HTTP/2 flow-control window. A fixed window disables
	// gRPC's bandwidth estimation, which adds two pings to every short call.
	windowBytes = 1 << 20

	// maxHeaderBytes limits the header fields of a call.
	maxHeaderBytes = 16 << 10

	// gracefulStopTimeout is the time that calls in progress get to finish when
	// the server stops.
	gracefulStopTimeout = 2 * basilmoor.Second
)

// ServerConfig configures a Server. A service whose implementation is nil is not
// registered.
type ServerConfig struct {
	Address string // IP address and port to listen on
	Secret  string
	TLS     TLSFiles
	Clock   basilmoor.Clock
	Metrics *bmmetrics.Registry
	Log     zerolog.Logger

	Broker        bmpeerpb.BrokerServer
	Claims        Committer
	Membership    Heartbeater
	Configuration basilmoor.ConfigPeer
}

// Server handles the calls of other nodes.
type Server struct {
	grpc     *grpc.Server
	listener *bmlistener.Listener
	clock    basilmoor.Clock
}

// NewServer returns a server that listens on the configured address, and a
// function that closes the listener and all connections.
func NewServer(cfg ServerConfig) (*Server, func(), error) {
	if cfg.Secret == "" {
		return nil, nil, errors.New("the fleet secret is empty")
	}
	if err := checkAddress(cfg.Address, cfg.TLS); err != nil {
		return nil, nil, err
	}
	creds, err := transportCredentials(cfg.TLS)
	if err != nil {
		return nil, nil, err
	}
	listener, _, err := bmlistener.Listen(bmlistener.Config{
		Name:    "peers",
		Address: cfg.Address,
		Clock:   cfg.Clock,
		Metrics: cfg.Metrics,
		Log:     cfg.Log,
	})
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for peers")
	}
	verifier := newSecretVerifier(cfg.Secret)
	s := &Server{
		grpc: grpc.NewServer(
			grpc.Creds(creds),
			grpc.UnaryInterceptor(verifier.unary),
			grpc.StreamInterceptor(verifier.stream),
			grpc.MaxRecvMsgSize(maxMessageBytes),
			grpc.StaticStreamWindowSize(windowBytes),
			grpc.StaticConnWindowSize(windowBytes),
			grpc.MaxHeaderListSize(maxHeaderBytes),
		),
		listener: listener,
		clock:    cfg.Clock,
	}
	s.register(cfg)
	return s, s.grpc.Stop, nil
}

func (s *Server) register(cfg ServerConfig) {
	if cfg.Broker != nil {
		bmpeerpb.RegisterBrokerServer(s.grpc, cfg.Broker)
	}
	if cfg.Claims != nil {
		bmpeerpb.RegisterClaimsServer(s.grpc, &claimServer{
			claimer: cfg.Claims,
		})
	}
	if cfg.Membership != nil {
		bmpeerpb.RegisterMembershipServer(s.grpc, &membershipServer{
			handler: cfg.Membership,
		})
	}
	if cfg.Configuration != nil {
		bmpeerpb.RegisterConfigurationServer(s.grpc, &configurationServer{
			peer: cfg.Configuration,
		})
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve handles calls until ctx ends. Calls in progress then have
// gracefulStopTimeout to finish; Schedule streams end when the Broker service
// stops.
func (s *Server) Serve(ctx context.Context) error {
	done := make(chan error, 1)
	go s.run(done)
	select {
	case err := <-done:
		return errors.Wrap(err, "serve peers")
	case <-ctx.Done():
	}
	stop := &gracefulStopper{
		grpc: s.grpc,
		done: make(chan struct{}),
	}
	go stop.run()
	timer := s.clock.NewTimer(gracefulStopTimeout)
	defer timer.Stop()
	select {
	case <-stop.done:
	case <-timer.C():
		s.grpc.Stop()
	}
	if err := <-done; err != nil {
		return errors.Wrap(err, "serve peers")
	}
	return ctx.Err()
}

func (s *Server) run(done chan<- error) {
	done <- s.grpc.Serve(s.listener)
}

// gracefulStopper stops a gRPC server once its calls in progress have finished.
type gracefulStopper struct {
	grpc *grpc.Server
	done chan struct{} // closed once the server has stopped
}

func (g *gracefulStopper) run() {
	g.grpc.GracefulStop()
	close(g.done)
}
