package bmnode

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmacceptance"
	"basilmoor.example/basilmoor/internal/config/bmfollower"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmlistener"
	"basilmoor.example/basilmoor/internal/core/bmmemory"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmmember"
	"basilmoor.example/basilmoor/internal/fleet/bmpeer"
	"basilmoor.example/basilmoor/internal/node/bmadmin"
	"basilmoor.example/basilmoor/internal/node/bmsettings"
	"basilmoor.example/basilmoor/internal/platform/bmhostlist"
	"basilmoor.example/basilmoor/internal/platform/bmstore"
	"basilmoor.example/basilmoor/internal/request/bmclaim"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
	"basilmoor.example/basilmoor/internal/request/bmgateway"
	"basilmoor.example/basilmoor/internal/schedule/bmscheduler"
)

// Addresses holds the listening addresses of a node.
type Addresses struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Admin   string `json:"admin"`
}

// Node holds the components of the process on one entry host.
type Node struct {
	settings bmsettings.NodeSettings
	clock    basilmoor.Clock
	log      zerolog.Logger
	metrics  *bmmetrics.Registry
	memory   *bmmemory.Budget // of callers' requests

	store          *bmstore.Client
	hostList       *bmhostlist.Client
	peerPool       *bmpeer.Pool
	membership     *bmmember.Driver
	peerServer     *bmpeer.Server
	follower       *bmfollower.Follower
	acceptor       *bmacceptance.Acceptor
	committer      *bmclaim.Committer
	claimer        *bmclaim.Router
	crashes        *bmcrash.Registry
	crashAnnouncer *crashAnnouncer
	leaving        *leavingTargets
	loadPoller     *loadPoller
	brokers        *bmscheduler.Service
	scheduler      *bmscheduler.Client
	gateway        *bmgateway.Gateway

	callerServer *httpServer
	adminServer  *httpServer

	stopping        atomic.Bool
	listedHostCount atomic.Int64 // number of hosts in the last read of the host list
	cleanups        []func()
}

// New opens the listeners of a node and builds its components. The returned
// function releases everything that New opened; call it only after Serve has
// returned.
func New(s bmsettings.NodeSettings, log zerolog.Logger) (*Node, func(), error) {
	n := &Node{
		settings: s,
		clock:    bmclock.NewSystem(),
		log:      log.With().Str("host", s.Host).Logger(),
		metrics:  bmmetrics.NewRegistry(),
	}
	memoryBytes := int64(s.MemoryMB) << 20
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memoryBytes)))
	n.memory = bmmemory.NewBudget(memoryBytes / requestMemoryDivisor)
	n.crashes = bmcrash.New(n.clock)
	for _, build := range []func() error{
		n.buildPlatform,
		n.buildClaims,
		n.buildConfiguration,
		n.buildFleet,
		n.buildScheduling,
		n.buildRequests,
		n.buildListeners,
	} {
		if err := build(); err != nil {
			n.close()
			return nil, nil, err
		}
	}
	return n, n.close, nil
}

// Addresses returns the listening addresses of the node.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Callers: n.callerServer.address(),
		Peers:   n.peerServer.Address(),
		Admin:   n.adminServer.address(),
	}
}

func (n *Node) onClose(f func()) {
	n.cleanups = append(n.cleanups, f)
}

func (n *Node) close() {
	for i := len(n.cleanups) - 1; i >= 0; i-- {
		n.cleanups[i]()
	}
}

// ready reports whether the load balancer may send requests to this host.
func (n *Node) ready() bool {
	if n.stopping.Load() || n.follower.Isolated() || !n.callerServer.listener.Accepting() {
		return false
	}
	_, ok := n.follower.Catalog()
	return ok
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// httpServer is an HTTP server together with its open listener.
type httpServer struct {
	server   *http.Server
	listener *bmlistener.Listener
	stopped  atomic.Bool // shutdown was called
}

// listen opens a listener for a server. refuse serves the requests on connections beyond
// the limit.
func listen(cfg bmlistener.Config, server *http.Server, refuse http.Handler) (*httpServer, error) {
	l, _, err := bmlistener.Listen(cfg)
	if err != nil {
		return nil, err
	}
	l.Attach(server, refuse)
	return &httpServer{
		server:   server,
		listener: l,
	}, nil
}

func (s *httpServer) address() string {
	return s.listener.Addr().String()
}

// Serve implements suture.Service.
func (s *httpServer) Serve(ctx context.Context) error {
	done := make(chan error, 1)
	go s.run(done)
	select {
	case <-ctx.Done():
		_ = s.server.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return ctx.Err()
	case err := <-done:
		if !s.stopped.Load() {
			return err
		}
		// shutdown has closed the listener. Connections with a request stay open
		// until ctx ends.
		<-ctx.Done()
		_ = s.server.Close()
		return ctx.Err()
	}
}

// shutdown stops accepting connections, closes the idle ones, and waits until the
// requests in progress are answered or ctx is done.
func (s *httpServer) shutdown(ctx context.Context) {
	s.stopped.Store(true)
	_ = s.server.Shutdown(ctx) // fails if ctx ends first; Serve closes what is left
}

func (s *httpServer) run(done chan<- error) {
	done <- s.server.Serve(s.listener)
}

var _ bmadmin.Backend = (*Node)(nil)
