package bmnode

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmacceptance"
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
	n.marks = newLeavingMarks(n.clock, list, n.log)
	return nil
}

func (n *Node) latestVersion() (int64, error) {
	return n.config.Latest()
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
	n.pool = pool
	service := &peerService{
		node: n,
	}
	peers, closePeers, err := bmpeer.NewServer(bmpeer.ServerConfig{
		Address:       n.settings.PeersAddress,
		Secret:        n.settings.FleetSecret,
		TLS:           files,
		Clock:         n.clock,
		Broker:        service,
		Claims:        n.committer,
		Membership:    service,
		Configuration: service,
	})
	if err != nil {
		return err
	}
	n.onClose(closePeers)
	n.peers = peers
	n.members = n.newMembers()
	return nil
}

func (n *Node) newMembers() *bmmember.Driver {
	address := n.settings.AdvertiseAddress
	if address == "" {
		address = n.peers.Address()
	}
	members, wait := bmmember.NewDriver(bmmember.Config{
		Clock: n.clock,
		Self: basilmoor.Member{
			Host:       n.settings.Host,
			Address:    address,
			DataCentre: n.settings.DataCentre,
			Region:     n.settings.Region,
			// Hosts keep nothing, so that only the wall clock orders the
			// starts of a host. It is read once and never compared with
			// another host's.
			Incarnation: uint64(time.Now().UnixMilli()),
		},
		Transport: &beatTransport{
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
	n.listedHosts.Store(int64(len(hosts)))
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
	if held := n.config.Held(); held != nil {
		s.ConfigVersion = held.Version()
		s.ConfigNote = held.NoteID()
	}
	return s
}

func (n *Node) newPolicy(string) basilmoor.Policy {
	cfg := bmbroker.DefaultConfig()
	cfg.Queue.MaxCount = n.settings.QueueRequests
	cfg.Queue.MaxBytes = n.settings.QueueBytes
	// The service that hosts the brokers holds grants back until the other
	// hosts have reported their open dispatches.
	cfg.WarmUp = 0
	return bmbroker.New(cfg)
}

func (n *Node) buildScheduling() error {
	brokers, closeBrokers := bmscheduler.NewService(bmscheduler.ServiceConfig{
		Clock:      n.clock,
		Membership: n.members,
		Catalog:    n.config,
		Metrics:    n.metrics,
		Logger:     n.log,
		NewPolicy:  n.newPolicy,
		Leaving:    n.marks.leaving,
	})
	n.onClose(closeBrokers)
	client, closeClient := bmscheduler.NewClient(bmscheduler.ClientConfig{
		Clock:      n.clock,
		Membership: n.members,
		Catalog:    n.config,
		Metrics:    n.metrics,
		Logger:     n.log,
		Peers:      n.pool,
		Local:      brokers,
		NewPolicy:  n.newPolicy,
		Leaving:    n.marks.leaving,
	})
	n.onClose(closeClient)
	n.brokers = brokers
	n.client = client
	n.loads = newLoadPoller(n.clock, n.config, brokers)
	return nil
}

// The retry budget keeps a pool whose targets don't accept connections from
// being asked several times for each request.
const (
	retryPercent = 10
	retryBurst   = 20
)

func (n *Node) liveHosts() int {
	return len(n.members.Live())
}

func (n *Node) buildRequests() error {
	settings := bmdispatch.DefaultSettings()
	settings.FirstByte = n.settings.FirstByte
	settings.BetweenBytes = n.settings.BetweenBytes
	n.announced = &announcedCrashes{
		Registry: n.crashes,
		members:  n.members,
	}
	dispatcher, closeDispatcher := bmdispatch.New(n.clock, settings)
	n.onClose(closeDispatcher)
	gateway, closeGateway := bmgateway.New(bmgateway.Config{
		Host:        n.settings.Host,
		DataCentre:  n.settings.DataCentre,
		Incarnation: n.members.Self().Incarnation,
		Clock:       n.clock,
		Catalogs:    n.config,
		Scheduler: &excludingScheduler{
			Scheduler: n.client,
			marks:     n.marks,
		},
		TargetLeaves: n.marks.answer,
		Dispatcher:   dispatcher,
		Claimer:      n.claimer,
		Crashes:      n.announced,
		Limiter:      bmlimit.New(n.clock, n.liveHosts),
		Retries:      bmlimit.NewRetryBudget(retryPercent, retryBurst),
		Metrics:      n.metrics,
		Log:          n.log,
		Isolated:     n.config.Isolated,
	})
	n.onClose(closeGateway)
	n.gateway = gateway
	return nil
}

// ReadyPath answers the balancer's probe on the callers' listener.
const ReadyPath = "/basilmoor/ready"

func (n *Node) buildListeners() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ReadyPath, n.serveReady)
	mux.Handle("/", n.gateway)
	server := n.gateway.Server()
	server.Handler = mux
	callers, err := listen(n.settings.CallersAddress, server)
	if err != nil {
		return errors.Wrap(err, "callers")
	}
	n.onClose(func() { _ = callers.listener.Close() })
	admin, err := listen(n.settings.AdminAddress, &http.Server{
		Handler:           bmadmin.New(n, n.settings.OperatorTokens, n.log),
		ReadHeaderTimeout: adminHeaderTimeout.Duration(),
	})
	if err != nil {
		return errors.Wrap(err, "administration")
	}
	n.onClose(func() { _ = admin.listener.Close() })
	n.callers = callers
	n.admin = admin
	return nil
}

const adminHeaderTimeout = 10 * basilmoor.Second
