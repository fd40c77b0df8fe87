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

// ServiceConfig are the parts that a Service works with. Leaving may be nil.
type ServiceConfig struct {
	Clock      basilmoor.Clock
	Membership basilmoor.Membership
	Catalog    basilmoor.CatalogSource
	Metrics    *bmmetrics.Registry
	Logger     zerolog.Logger

	// NewPolicy makes the policy of a pool.
	NewPolicy func(pool string) basilmoor.Policy

	// Leaving reports whether a target takes no new requests, in addition to
	// the mark in the catalog.
	Leaving func(target string) bool
}

// Service hosts the brokers of this node, one for each pool that a host has
// opened a stream for. It is safe for concurrent use.
type Service struct {
	bmpeerpb.UnimplementedBrokerServer
	cfg ServiceConfig
	wg  sync.WaitGroup

	mu    sync.Mutex
	ctx   context.Context // of Serve; nil before and after
	loops map[string]*poolLoop
}

var _ bmpeerpb.BrokerServer = (*Service)(nil)

// errNotServing tells that the service has not started or has stopped.
var errNotServing = errors.New("the broker service is not running")

// NewService returns a service without brokers, and a function that waits for
// the brokers to end.
func NewService(cfg ServiceConfig) (*Service, func()) {
	s := &Service{
		cfg:   cfg,
		loops: make(map[string]*poolLoop),
	}
	return s, s.wg.Wait
}

// Serve accepts streams until ctx ends, and then ends them.
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

// Report passes a target's load report to the pool's broker, if it is here.
func (s *Service) Report(pool string, r basilmoor.LoadReport) {
	s.mu.Lock()
	l, ok := s.loops[pool]
	s.mu.Unlock()
	if ok {
		l.do(func(b *broker, now basilmoor.Millis) { b.report(now, r) })
	}
}

// Brokers returns the pools that have a broker here.
func (s *Service) Brokers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sortedKeys(s.loops)
}

// attach begins a session with the pool's broker.
func (s *Service) attach(pool, host, dataCentre string, sess session) (*poolLoop, error) {
	for {
		l, err := s.loop(pool)
		if err != nil {
			return nil, err
		}
		if l.do(func(b *broker, now basilmoor.Millis) { b.attach(now, host, dataCentre, sess) }) {
			return l, nil
		}
		<-l.done
	}
}

func (s *Service) loop(pool string) (*poolLoop, error) {
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
	l := newPoolLoop(s.cfg.Clock, newBroker(pool, s.cfg.NewPolicy(pool), true, s.liveHosts), source.targets)
	l.owned = func() bool { return s.owns(pool) }
	l.retire = s.retire(pool)
	s.loops[pool] = l
	s.wg.Add(1)
	go s.run(s.ctx, l)
	return l, nil
}

func (s *Service) run(ctx context.Context, l *poolLoop) {
	defer s.wg.Done()
	l.run(ctx)
}

func (s *Service) retire(pool string) func(*poolLoop) bool {
	return func(l *poolLoop) bool {
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

func (s *Service) owns(pool string) bool {
	m, ok := brokerOf(pool, s.cfg.Catalog, s.cfg.Membership)
	return !ok || m.Host == s.cfg.Membership.Self().Host
}

// brokerOf returns the host that is to be the pool's broker: by rendezvous
// among the live members of the pool's region, or of all regions if it has
// none.
func brokerOf(pool string, source basilmoor.CatalogSource, membership basilmoor.Membership) (basilmoor.Member, bool) {
	live := membership.Live()
	region := poolRegion(pool, source)
	near := make([]basilmoor.Member, 0, len(live))
	for _, m := range live {
		if m.Region == region {
			near = append(near, m)
		}
	}
	if len(near) > 0 {
		live = near
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
