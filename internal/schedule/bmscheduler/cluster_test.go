package bmscheduler

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmpeer"
)

// catalogMethods lets fakeCatalog embed the Catalog methods that the tests don't
// call.
type catalogMethods = basilmoor.Catalog

// fakeCatalog is both a Catalog and its CatalogSource.
type fakeCatalog struct {
	catalogMethods
	targets []basilmoor.Target
}

func (c fakeCatalog) Pools() []basilmoor.Pool {
	return []basilmoor.Pool{{
		Name:   "models",
		Region: "addis",
	}}
}

func (c fakeCatalog) Targets(string) []basilmoor.Target { return c.targets }

func (c fakeCatalog) Catalog() (basilmoor.Catalog, bool) { return c, true }

func oneTarget(slots int) fakeCatalog {
	return fakeCatalog{
		targets: []basilmoor.Target{{
			Name:       "engine-1",
			Pool:       "models",
			Address:    "127.0.0.1:1",
			DataCentre: "bole",
			Slots:      slots,
		}},
	}
}

// fakeMembers is a list of live members that a test can change.
type fakeMembers struct {
	mu   sync.Mutex
	live []basilmoor.Member
}

func (m *fakeMembers) set(live ...basilmoor.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.live = live
}

// membershipView is the membership as seen by one host.
type membershipView struct {
	*fakeMembers
	self basilmoor.Member
}

func (v membershipView) Self() basilmoor.Member { return v.self }

func (v membershipView) Live() []basilmoor.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.live
}

// node is one host with a gRPC server, a service and a client.
type node struct {
	member  basilmoor.Member
	metrics *bmmetrics.Registry
	service *Service
	client  *Client
	stop    func()

	mu       sync.Mutex
	policies []*fakePolicy
}

func (n *node) newPolicy(string) basilmoor.Policy {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := newFakePolicy()
	n.policies = append(n.policies, p)
	return p
}

// running returns the number of running requests in the policies of the node's
// brokers.
func (n *node) running() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := 0
	for _, p := range n.policies {
		_, running := p.counts()
		total += running
	}
	return total
}

type fleet struct {
	t       *testing.T
	clock   *bmclock.Manual
	members *fakeMembers
	catalog basilmoor.CatalogSource
}

func newFleet(t *testing.T, catalog basilmoor.CatalogSource) *fleet {
	return &fleet{
		t:       t,
		clock:   bmclock.NewManual(0),
		members: &fakeMembers{},
		catalog: catalog,
	}
}

// start starts a node. It is stopped at the end of the test unless the test
// stops it earlier.
func (f *fleet) start(host string) *node {
	n := &node{
		metrics: bmmetrics.NewRegistry(),
	}
	n.member = basilmoor.Member{
		Host:       host,
		DataCentre: "bole",
		Region:     "addis",
	}
	self := &nodeMembership{
		membershipView: membershipView{
			fakeMembers: f.members,
		},
		node: n,
	}
	service, waitService := NewService(ServiceConfig{
		Clock:      f.clock,
		Membership: self,
		Catalog:    f.catalog,
		Metrics:    n.metrics,
		Logger:     zerolog.Nop(),
		NewPolicy:  n.newPolicy,
	})
	server, closeServer, err := bmpeer.NewServer(bmpeer.ServerConfig{
		Address: "127.0.0.1:0",
		Secret:  "secret",
		Clock:   f.clock,
		Metrics: n.metrics,
		Log:     zerolog.Nop(),
		Broker:  service,
	})
	require.NoError(f.t, err)
	n.member.Address = server.Address()
	pool, closePool, err := bmpeer.NewPool(bmpeer.PoolConfig{
		Secret: "secret",
	})
	require.NoError(f.t, err)
	client, waitClient := NewClient(ClientConfig{
		Clock:      f.clock,
		Membership: self,
		Catalog:    f.catalog,
		Metrics:    n.metrics,
		Logger:     zerolog.Nop(),
		Peers:      pool,
		Local:      service,
		NewPolicy:  n.newPolicy,
	})
	n.service = service
	n.client = client
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, serve := range []func(context.Context) error{service.Serve, client.Serve, server.Serve} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = serve(ctx)
		}()
	}
	n.stop = sync.OnceFunc(func() {
		cancel()
		closePool()
		closeServer()
		wg.Wait()
		waitClient()
		waitService()
	})
	f.t.Cleanup(n.stop)
	return n
}

// nodeMembership is the membership as seen by a running node.
type nodeMembership struct {
	membershipView
	node *node
}

func (v *nodeMembership) Self() basilmoor.Member { return v.node.member }

// until advances the clock in small steps until the condition holds. It sleeps
// between steps so that the loopback connections keep up with the clock.
func (f *fleet) until(condition func() bool) {
	for !condition() {
		f.clock.Advance(2)
		time.Sleep(time.Millisecond)
	}
}

// acquired is the result of an Acquire call.
type acquired struct {
	permit basilmoor.Permit
	err    error
}

func acquire(ctx context.Context, n *node, d basilmoor.Demand) <-chan acquired {
	ch := make(chan acquired, 1)
	go func() {
		p, err := n.client.Acquire(ctx, d)
		ch <- acquired{
			permit: p,
			err:    err,
		}
	}()
	return ch
}

func (f *fleet) await(ch <-chan acquired) acquired {
	var a acquired
	f.until(func() bool {
		select {
		case a = <-ch:
			return true
		default:
			return false
		}
	})
	return a
}

func demand(id string) basilmoor.Demand {
	return basilmoor.Demand{
		Request:  basilmoor.RequestID(id),
		Pool:     "models",
		Weight:   1,
		Deadline: basilmoor.Minute,
	}
}

// Guards against a grant that doesn't reach a caller on another node, and against
// a release that doesn't reach the broker.
func TestTwoNodesOverLoopback(t *testing.T) {
	f := newFleet(t, oneTarget(1))
	a, b := f.start("host-a"), f.start("host-b")
	f.members.set(a.member, b.member)
	broker, ok := brokerForPool("models", f.catalog, membershipView{
		fakeMembers: f.members,
	})
	require.True(t, ok)
	owner, other := a, b
	if broker.Host == b.member.Host {
		owner, other = b, a
	}

	remote := f.await(acquire(context.Background(), other, demand("r1")))
	require.NoError(t, remote.err)
	require.Equal(t, "engine-1", remote.permit.Target().Name)
	require.True(t, remote.permit.Valid())
	second := acquire(context.Background(), owner, demand("r2"))
	remote.permit.Observe(basilmoor.Observation{
		Stage: basilmoor.StageDispatched,
	})
	require.False(t, remote.permit.Valid())
	remote.permit.Observe(basilmoor.Observation{
		Stage: basilmoor.StageFinished,
	})
	local := f.await(second)
	require.NoError(t, local.err)
	local.permit.Observe(basilmoor.Observation{
		Stage: basilmoor.StageReturned,
	})
	f.until(func() bool { return owner.running() == 0 })
	require.Equal(t, int64(1), other.metrics.Snapshot()[grantsRemote])
	require.Equal(t, int64(1), owner.metrics.Snapshot()[grantsLocal])
}

// owner returns the node that is the pool's broker, and the others.
func (f *fleet) owner(nodes ...*node) (*node, []*node) {
	broker, ok := brokerForPool("models", f.catalog, membershipView{
		fakeMembers: f.members,
	})
	require.True(f.t, ok)
	var others []*node
	var owner *node
	for _, n := range nodes {
		if n.member.Host == broker.Host {
			owner = n
		} else {
			others = append(others, n)
		}
	}
	return owner, others
}

// Guards against a waiting demand that is lost when its broker stops, and against
// an open dispatch that the next broker doesn't count.
func TestBrokerDies(t *testing.T) {
	f := newFleet(t, oneTarget(1))
	a, b, c := f.start("host-a"), f.start("host-b"), f.start("host-c")
	f.members.set(a.member, b.member, c.member)
	owner, others := f.owner(a, b, c)
	running := f.await(acquire(context.Background(), others[0], demand("r1")))
	require.NoError(t, running.err)
	running.permit.Observe(basilmoor.Observation{
		Stage: basilmoor.StageDispatched,
	})
	waiting := acquire(context.Background(), others[1], demand("r2"))
	f.until(func() bool { return owner.running() == 1 && others[1].client.pool("models").tracker.status().attached })

	owner.stop()
	f.members.set(others[0].member, others[1].member)
	next, _ := f.owner(others...)
	f.until(func() bool { return next.running() == 1 })
	select {
	case <-waiting:
		t.Fatal("r2 was granted while the slot is in use")
	default:
	}
	running.permit.Observe(basilmoor.Observation{
		Stage: basilmoor.StageFinished,
	})
	granted := f.await(waiting)
	require.NoError(t, granted.err)
	require.Positive(t, others[1].metrics.Snapshot()["retries.broker-lost"])
	granted.permit.Observe(basilmoor.Observation{
		Stage: basilmoor.StageReturned,
	})
	f.until(func() bool { return next.running() == 0 })
}

// Guards against a host that grants nothing while no broker is reachable, and
// against dispatches from that time that the broker doesn't count once it is
// reachable again.
func TestFallbackWhileNoBrokerIsReachable(t *testing.T) {
	f := newFleet(t, oneTarget(4))
	a, b := f.start("host-a"), f.start("host-b")
	f.members.set(a.member, b.member)
	owner, others := f.owner(a, b)
	lost := owner.member
	lost.Address = "127.0.0.1:1"
	f.members.set(others[0].member, lost)
	first := f.await(acquire(context.Background(), others[0], demand("r1")))
	second := f.await(acquire(context.Background(), others[0], demand("r2")))
	require.NoError(t, first.err)
	require.NoError(t, second.err)
	first.permit.Observe(basilmoor.Observation{
		Stage: basilmoor.StageDispatched,
	})
	third := acquire(context.Background(), others[0], demand("r3"))
	f.until(func() bool { return others[0].client.pool("models").tracker.status().entries == 3 })
	require.Equal(t, int64(2), others[0].metrics.Snapshot()[grantsFallback], "half of four slots")

	f.members.set(others[0].member, owner.member)
	granted := f.await(third)
	require.NoError(t, granted.err)
	require.Equal(t, 3, owner.running())
	require.Equal(t, int64(1), others[0].metrics.Snapshot()[grantsRemote])
}

// Guards against a cancelled demand that is still granted a slot, and against a
// refusal that doesn't reach the caller.
func TestCancelAndRefusal(t *testing.T) {
	f := newFleet(t, oneTarget(1))
	a, b := f.start("host-a"), f.start("host-b")
	f.members.set(a.member, b.member)
	owner, others := f.owner(a, b)
	held := f.await(acquire(context.Background(), owner, demand("r1")))
	require.NoError(t, held.err)
	ctx, cancel := context.WithCancel(context.Background())
	left := acquire(ctx, others[0], demand("r2"))
	late := demand("r3")
	late.Deadline = basilmoor.Second
	refused := f.await(acquire(context.Background(), others[0], late))
	var refusal *basilmoor.RefusalError
	require.ErrorAs(t, refused.err, &refusal)
	require.Equal(t, basilmoor.ReasonDeadline, refusal.Refusal.Reason)
	require.Equal(t, basilmoor.RequestID("r3"), refusal.Refusal.Request)
	cancel()
	require.ErrorIs(t, f.await(left).err, context.Canceled)
	held.permit.Observe(basilmoor.Observation{
		Stage: basilmoor.StageReturned,
	})
	f.until(func() bool { return owner.running() == 0 })
	require.Zero(t, others[0].client.pool("models").tracker.status().entries)
}

// Guards against a caller that waits forever when its node stops.
func TestStopRefusesWaitingDemands(t *testing.T) {
	f := newFleet(t, oneTarget(0))
	a := f.start("host-a")
	f.members.set(a.member)
	waiting := acquire(context.Background(), a, demand("r1"))
	f.until(func() bool { return a.client.pool("models").tracker.status().attached })
	a.stop()
	var refusal *basilmoor.RefusalError
	require.ErrorAs(t, (<-waiting).err, &refusal)
	require.Equal(t, basilmoor.ReasonStopping, refusal.Refusal.Reason)
	require.Empty(t, a.service.Brokers())
}
