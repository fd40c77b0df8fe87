package bmnode

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmacceptance"
	"basilmoor.example/basilmoor/internal/core/bmlistener"
	"basilmoor.example/basilmoor/internal/fleet/bmmember"
	"basilmoor.example/basilmoor/internal/fleet/bmpeer"
	"basilmoor.example/basilmoor/internal/node/bmadmin"
	"basilmoor.example/basilmoor/internal/platform/bmhostlist"
	"basilmoor.example/basilmoor/internal/platform/bmstore"
	"basilmoor.example/basilmoor/internal/request/bmdispatch"
	"basilmoor.example/basilmoor/internal/request/bmgateway"
	"basilmoor.example/basilmoor/internal/request/bmlimit"
	"basilmoor.example/basilmoor/internal/schedule/bmbroker"
	"basilmoor.example/basilmoor/internal/schedule/bmscheduler"
)

func (n *Node) buildPlatform() error {
	store, closeStore, err := bmstore.New(n.clock, n.metrics, bmstore.Settings{
		BaseURL:         n.settings.StoreURL,
		Timeout:         n.settings.StoreTimeout,
		ReadsPerSecond:  n.settings.StoreReads,
		WritesPerSecond: n.settings.StoreWrites,
	})
	if err != nil {
		return err
	}
	n.onClose(closeStore)
	list, closeList, err := bmhostlist.New(n.clock, bmhostlist.Settings{
		BaseURL: n.settings.HostListURL,
	})
	if err != nil {
		return err
	}
	n.onClose(closeList)
	n.store = store
	n.hostList = list
	n.acceptor = bmacceptance.New(store.WithPurpose("acceptance"), time.Now, n.latestVersion)
	n.leaving = newLeavingTargets(n.clock, list, n.log)
	return nil
}

func (n *Node) latestVersion() (int64, error) {
	return n.follower.LatestVersion()
}

func (n *Node) buildFleet() error {
	files := bmpeer.TLSFiles{
		Certificate: n.settings.PeerCertificate,
		Key:         n.settings.PeerKey,
		Authority:   n.settings.PeerAuthority,
	}
	pool, closePool, err := bmpeer.NewPool(bmpeer.PoolConfig{
		Secret:  n.settings.FleetSecret,
		TLS:     files,
		Metrics: n.metrics,
	})
	if err != nil {
		return err
	}
	n.onClose(closePool)
	n.peerPool = pool
	service := &peerService{
		node: n,
	}
	peers, closePeers, err := bmpeer.NewServer(bmpeer.ServerConfig{
		Address:       n.settings.PeersAddress,
		Secret:        n.settings.FleetSecret,
		TLS:           files,
		Clock:         n.clock,
		Metrics:       n.metrics,
		Log:           n.log,
		Broker:        service,
		Claims:        n.committer,
		Membership:    service,
		Configuration: service,
	})
	if err != nil {
		return err
	}
	n.onClose(closePeers)
	n.peerServer = peers
	n.membership = n.newMembership()
	return nil
}

func (n *Node) newMembership() *bmmember.Driver {
	address := n.settings.AdvertiseAddress
	if address == "" {
		address = n.peerServer.Address()
	}
	members, wait := bmmember.NewDriver(bmmember.Config{
		Clock: n.clock,
		Self: basilmoor.Member{
			Host:       n.settings.Host,
			Address:    address,
			DataCentre: n.settings.DataCentre,
			Region:     n.settings.Region,
			// Hosts have no persistent storage, so only the wall clock
			// orders the starts of a host. It is read once and never
			// compared with the clock of another host.
			Incarnation: uint64(time.Now().UnixMilli()),
		},
		Transport: &heartbeatTransport{
			node: n,
		},
		Logger:  n.log,
		List:    n.listMembers,
		Status:  n.memberStatus,
		Crashes: n.crashes,
	})
	n.onClose(wait)
	return members
}

func (n *Node) listMembers(ctx context.Context) ([]basilmoor.Member, error) {
	hosts, err := n.hostList.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	n.listedHostCount.Store(int64(len(hosts)))
	members := make([]basilmoor.Member, 0, len(hosts))
	for _, h := range hosts {
		members = append(members, basilmoor.Member{
			Host:       h.Host,
			Address:    h.Address,
			DataCentre: h.DataCentre,
			Region:     h.Region,
			Leaving:    h.Leaving,
		})
	}
	return members, nil
}

func (n *Node) memberStatus() bmmember.Status {
	s := bmmember.Status{
		Leaving: n.stopping.Load(),
	}
	if n.gateway != nil {
		s.Load = n.gateway.InProgress()
	}
	if held := n.follower.Held(); held != nil {
		s.ConfigVersion = held.Version()
		s.ConfigNote = held.NoteID()
	}
	return s
}

func (n *Node) newPolicy(string) basilmoor.Policy {
	cfg := bmbroker.DefaultConfig()
	cfg.Queue.MaxCount = n.settings.QueueRequests
	cfg.Queue.MaxBytes = n.settings.QueueBytes
	// No warm-up is needed: bmscheduler.Service already delays grants until
	// the other hosts have reported their open dispatches.
	cfg.WarmUp = 0
	return bmbroker.New(cfg)
}

func (n *Node) buildScheduling() error {
	brokers, closeBrokers := bmscheduler.NewService(bmscheduler.ServiceConfig{
		Clock:      n.clock,
		Membership: n.membership,
		Catalog:    n.follower,
		Metrics:    n.metrics,
		Logger:     n.log,
		NewPolicy:  n.newPolicy,
		Leaving:    n.leaving.isLeaving,
	})
	n.onClose(closeBrokers)
	client, closeClient := bmscheduler.NewClient(bmscheduler.ClientConfig{
		Clock:      n.clock,
		Membership: n.membership,
		Catalog:    n.follower,
		Metrics:    n.metrics,
		Logger:     n.log,
		Peers:      n.peerPool,
		Local:      brokers,
		NewPolicy:  n.newPolicy,
		Leaving:    n.leaving.isLeaving,
	})
	n.onClose(closeClient)
	n.brokers = brokers
	n.scheduler = client
	n.loadPoller = newLoadPoller(n.clock, n.follower, brokers)
	return nil
}

// The retry budget limits the extra attempts on a pool whose targets don't
// accept connections.
const (
	retryPercent = 10
	retryBurst   = 20
)

func (n *Node) liveHosts() int {
	return len(n.membership.Live())
}

func (n *Node) buildRequests() error {
	settings := bmdispatch.DefaultSettings()
	settings.FirstByteTimeout = n.settings.FirstByteTimeout
	settings.ReadIdleTimeout = n.settings.ReadIdleTimeout
	n.crashAnnouncer = &crashAnnouncer{
		Registry:   n.crashes,
		membership: n.membership,
	}
	dispatcher, closeDispatcher := bmdispatch.New(n.clock, settings)
	n.onClose(closeDispatcher)
	gateway, closeGateway := bmgateway.New(bmgateway.Config{
		Host:        n.settings.Host,
		DataCentre:  n.settings.DataCentre,
		Incarnation: n.membership.Self().Incarnation,
		Clock:       n.clock,
		Catalogs:    n.follower,
		Scheduler: &excludingScheduler{
			Scheduler: n.scheduler,
			leaving:   n.leaving,
		},
		OnTargetLeaving: n.leaving.recordReport,
		Dispatcher:      dispatcher,
		Claimer:         n.claimer,
		Crashes:         n.crashAnnouncer,
		Limiter:         bmlimit.New(n.clock, n.liveHosts),
		Retries:         bmlimit.NewRetryBudget(retryPercent, retryBurst),
		Metrics:         n.metrics,
		Log:             n.log,
		IsIsolated:      n.follower.Isolated,
	})
	n.onClose(closeGateway)
	n.gateway = gateway
	return nil
}

// ReadyPath is the path of the load balancer's readiness probe, served on the
// listener for callers.
const ReadyPath = "/basilmoor/ready"

func (n *Node) buildListeners() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ReadyPath, n.serveReady)
	mux.Handle("/", n.gateway)
	server := n.gateway.Server()
	server.Handler = mux
	callersConfig := n.listenerConfig("callers", n.settings.CallersAddress, bmlistener.NewBudget(0).Callers)
	callersConfig.Memory = n.memory
	callers, err := listen(callersConfig, server, http.HandlerFunc(n.gateway.ServeExcess))
	if err != nil {
		return errors.Wrap(err, "callers")
	}
	n.onClose(func() { _ = callers.listener.Close() })
	admin, err := listen(n.listenerConfig("admin", n.settings.AdminAddress, maxAdminConns), &http.Server{
		Handler:           bmadmin.New(n, n.settings.OperatorTokens, n.log),
		ReadHeaderTimeout: adminHeaderTimeout.Duration(),
		MaxHeaderBytes:    bmlistener.ProbeHeaderBytes,
	}, http.HandlerFunc(bmlistener.RefuseExcess))
	if err != nil {
		return errors.Wrap(err, "administration")
	}
	n.onClose(func() { _ = admin.listener.Close() })
	n.callerServer = callers
	n.adminServer = admin
	return nil
}

const (
	// memoryLimitFraction is the Go runtime's soft memory limit as a fraction of the
	// memory of the process.
	memoryLimitFraction = 0.6

	// requestMemoryDivisor: one part in so many of the process's memory may hold callers'
	// requests, beyond bmmemory.FreeBytes for each connection.
	requestMemoryDivisor = 4
)

const adminHeaderTimeout = 10 * basilmoor.Second

// maxAdminConns is the number of operators' connections that are served at the same
// time.
const maxAdminConns = 64

func (n *Node) listenerConfig(name, address string, maxConns int) bmlistener.Config {
	return bmlistener.Config{
		Name:     name,
		Address:  address,
		Clock:    n.clock,
		Metrics:  n.metrics,
		Log:      n.log,
		MaxConns: maxConns,
	}
}
