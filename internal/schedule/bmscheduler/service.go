package bmscheduler

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmmember"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// ServiceConfig holds the dependencies of a Service. Leaving may be nil.
type ServiceConfig struct {
	Clock      basilmoor.Clock
	Membership basilmoor.Membership
	Catalog    basilmoor.CatalogSource
	Metrics    *bmmetrics.Registry
	Logger     zerolog.Logger

	// NewPolicy creates the policy of a pool's broker.
	NewPolicy func(pool string) basilmoor.Policy

	// Leaving reports whether a target is draining and takes no new requests,
	// in addition to the Leaving field in the catalog.
	Leaving func(target string) bool
}

// Service runs the brokers of this host, one for each pool that a host has
// opened a session for. It is safe for concurrent use.
type Service struct {
	bmpeerpb.UnimplementedBrokerServer
	cfg ServiceConfig
	wg  sync.WaitGroup

	mu    sync.Mutex
	ctx   context.Context // context of Serve; nil while it is not running
	loops map[string]*brokerLoop
}

var _ bmpeerpb.BrokerServer = (*Service)(nil)

// errNotServing is returned before Serve has started and after it has stopped.
var errNotServing = errors.New("the broker service is not running")

// NewService returns a service without brokers, and a function that waits for
// its brokers to stop.
func NewService(cfg ServiceConfig) (*Service, func()) {
	s := &Service{
		cfg:   cfg,
		loops: make(map[string]*brokerLoop),
	}
	return s, s.wg.Wait
}

// Serve accepts sessions until ctx is done, and then stops all brokers.
func (s *Service) Serve(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	<-ctx.Done()
	s.mu.Lock()
	s.ctx = nil
	clear(s.loops)
	s.mu.Unlock()
	s.wg.Wait()
	return ctx.Err()
}

// Report passes a target's load report to the pool's broker, if this host runs
// it.
func (s *Service) Report(pool string, r basilmoor.LoadReport) {
	s.mu.Lock()
	l, ok := s.loops[pool]
	s.mu.Unlock()
	if ok {
		l.enqueue(func(b *broker, now basilmoor.Millis) { b.report(now, r) })
	}
}

// Brokers returns the names of the pools whose broker runs on this host.
func (s *Service) Brokers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sortedKeys(s.loops)
}

// attach starts a session with the pool's broker, and starts the broker if it
// isn't running. If the broker's loop is stopping, it waits for its end and
// tries again with a new one.
func (s *Service) attach(pool, host, dataCentre string, sess session) (*brokerLoop, error) {
	for {
		l, err := s.brokerLoop(pool)
		if err != nil {
			return nil, err
		}
		if l.enqueue(func(b *broker, now basilmoor.Millis) { b.attach(now, host, dataCentre, sess) }) {
			return l, nil
		}
		<-l.done
	}
}

// brokerLoop returns the running loop of the pool's broker, or starts one.
func (s *Service) brokerLoop(pool string) (*brokerLoop, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil || s.ctx.Err() != nil {
		return nil, errNotServing
	}
	if l, ok := s.loops[pool]; ok {
		return l, nil
	}
	source := &targetSource{
		pool:    pool,
		catalog: s.cfg.Catalog,
		leaving: s.cfg.Leaving,
	}
	l := newBrokerLoop(s.cfg.Clock, newBroker(pool, s.cfg.NewPolicy(pool), true, s.liveHosts), source.targets)
	l.isOwner = func() bool { return s.ownsPool(pool) }
	l.retire = s.retireFunc(pool)
	s.loops[pool] = l
	s.wg.Add(1)
	go s.run(s.ctx, l)
	return l, nil
}

func (s *Service) run(ctx context.Context, l *brokerLoop) {
	defer s.wg.Done()
	l.run(ctx)
}

// retireFunc returns the function that removes a pool's idle loop. The loop is
// kept if an action was queued in the meantime.
func (s *Service) retireFunc(pool string) func(*brokerLoop) bool {
	return func(l *brokerLoop) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !l.inbox.closeIfEmpty() {
			return false
		}
		if s.loops[pool] == l {
			delete(s.loops, pool)
		}
		return true
	}
}

func (s *Service) liveHosts() []string {
	live := s.cfg.Membership.Live()
	hosts := make([]string, 0, len(live))
	for _, m := range live {
		hosts = append(hosts, m.Host)
	}
	return hosts
}

// ownsPool reports whether this host should run the pool's broker; true also if
// no owner can be determined.
func (s *Service) ownsPool(pool string) bool {
	m, ok := brokerForPool(pool, s.cfg.Catalog, s.cfg.Membership)
	return !ok || m.Host == s.cfg.Membership.Self().Host
}

// brokerForPool returns the host that should run the pool's broker. It is chosen
// by rendezvous hashing among the live members in the pool's region, or among
// all live members if that region has none.
func brokerForPool(pool string, source basilmoor.CatalogSource, membership basilmoor.Membership) (basilmoor.Member, bool) {
	live := membership.Live()
	region := poolRegion(pool, source)
	inRegion := make([]basilmoor.Member, 0, len(live))
	for _, m := range live {
		if m.Region == region {
			inRegion = append(inRegion, m)
		}
	}
	if len(inRegion) > 0 {
		live = inRegion
	}
	return bmmember.Owner("pool/"+pool, live)
}

func poolRegion(pool string, source basilmoor.CatalogSource) string {
	c, ok := source.Catalog()
	if !ok {
		return ""
	}
	for _, p := range c.Pools() {
		if p.Name == pool {
			return p.Region
		}
	}
	return ""
}
