package bmgrant

import (
	"context"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmview"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

// fixedFeed has one state of the platform.
type fixedFeed struct {
	changes bmview.Changes
}

func (f *fixedFeed) Snapshot(context.Context) ([]basilmoor.Event, int64, error) {
	return []basilmoor.Event{{}}, 1, nil
}

func (f *fixedFeed) Watch(ctx context.Context, revision int64, _ basilmoor.Millis) ([]basilmoor.Event, int64, error) {
	<-ctx.Done()
	return nil, revision, ctx.Err()
}

func (f *fixedFeed) Decode([]basilmoor.Event) bmview.Changes { return f.changes }

// newFixedFeed has one engine with the given slots and one plain service.
func newFixedFeed(slots int, workspaces []bmrouting.Workspace) *fixedFeed {
	target := testTarget("t", slots)
	plain := testTarget("s", 2)
	plain.Pool = "plain"
	return &fixedFeed{
		changes: bmview.Changes{
			Table: bmrouting.NewTable(bmrouting.Content{
				Version:    1,
				Workspaces: workspaces,
				Pools: []bmrouting.Pool{
					{
						Name:   "p",
						Engine: &bmrouting.Engine{},
					},
					{
						Name: "plain",
					},
				},
			}),
			Targets: map[string]*basilmoor.Target{
				"t": &target,
				"s": &plain,
			},
			Hosts: map[string]*basilmoor.Member{},
		},
	}
}

// testHost is one host with its broker and client.
type testHost struct {
	keeper *bmview.Keeper
	broker *Broker
	client *Client
}

func newTestHost(t require.TestingT, clock basilmoor.Clock, feed *fixedFeed, name string, tolerance Tolerance, restarted bool) *testHost {
	metrics := bmmetrics.NewRegistry()
	h := &testHost{}
	h.keeper = bmview.NewKeeper(clock, feed, zerolog.Nop(), metrics,
		func(v *bmview.View) {
			h.broker.SetView(v)
			h.client.SetView(v)
		},
		func(u bmview.Update) { h.broker.Relay(u) })
	h.broker = NewBroker(clock, h.keeper, bmcrash.New(clock), tolerance, zerolog.Nop())
	h.client = NewClient(clock, basilmoor.Member{
		Host: name,
	}, h.broker, Options{
		Restarted: restarted,
	}, metrics, zerolog.Nop())
	require.True(t, h.keeper.Relay([]bmview.Update{
		{
			To: 1,
		},
	}))
	return h
}

// testFleet is several hosts on one manual clock, whose sessions pass through
// memory and can be made to go silent.
type testFleet struct {
	t     *testing.T
	clock *bmclock.Manual
	feed  *fixedFeed
	hosts map[string]*testHost

	restarted bool // of hosts that are added

	mu     sync.Mutex
	silent map[string]bool // hosts that nothing reaches and that send nothing
}

func newTestFleet(t *testing.T, slots int, names ...string) *testFleet {
	f := &testFleet{
		t:      t,
		clock:  bmclock.NewManual(0), // as in a process that has just started
		hosts:  map[string]*testHost{},
		silent: map[string]bool{},
		feed:   newFixedFeed(slots, limited(100, 1_000_000)),
	}
	for _, name := range names {
		f.addMember(name)
	}
	for _, name := range names {
		f.addHost(name)
	}
	return f
}

func (f *testFleet) addMember(name string) {
	f.feed.changes.Hosts[name] = &basilmoor.Member{
		Host: name,
	}
}

func (f *testFleet) addHost(name string) {
	h := newTestHost(f.t, f.clock, f.feed, name, Tolerance{
		Window: testWindow,
	}, f.restarted)
	h.client.dial = func(_ context.Context, to basilmoor.Member) (link, error) {
		return f.dial(name, to.Host)
	}
	f.hosts[name] = h
}

func (f *testFleet) reachable(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.silent[a] && !f.silent[b]
}

func (f *testFleet) setSilent(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[name] = true
}

func (f *testFleet) dial(from, to string) (link, error) {
	if !f.reachable(from, to) {
		return nil, errors.New("unreachable")
	}
	h := f.hosts[to]
	return &memoryLink{
		fleet:  f,
		from:   from,
		to:     to,
		broker: h.broker,
		session: h.broker.attach(&bmgrantpb.Hello{
			Host:     from,
			Revision: 1,
		}, false),
		done: make(chan struct{}),
	}, nil
}

// memoryLink is a session that loses everything while an end is silent.
type memoryLink struct {
	fleet    *testFleet
	from, to string
	broker   *Broker
	session  *session
	once     sync.Once
	done     chan struct{}
}

func (l *memoryLink) send(batch *bmgrantpb.HostBatch) error {
	if l.fleet.reachable(l.from, l.to) {
		l.broker.handle(l.session, batch)
	}
	return nil
}

func (l *memoryLink) recv() (*bmgrantpb.BrokerBatch, error) {
	for {
		select {
		case <-l.done:
			return nil, errEnded
		case <-l.session.wake:
			batch := l.broker.take(l.session)
			if l.fleet.reachable(l.from, l.to) {
				return batch, nil
			}
		}
	}
}

func (l *memoryLink) close() {
	l.once.Do(func() { close(l.done) })
}

// until ticks the fleet until done holds, at most for limit on its clock, and
// returns how long that took.
func (f *testFleet) until(limit basilmoor.Millis, done func() bool) basilmoor.Millis {
	f.t.Helper()
	began := f.clock.Now()
	for !done() {
		require.Less(f.t, f.clock.Now()-began, limit, "condition not met in time")
		f.clock.Advance(tickPeriod)
		for name, h := range f.hosts {
			if f.reachable(name, name) {
				h.client.tick(context.Background())
				h.broker.tick()
			}
		}
		f.settle()
	}
	return f.clock.Now() - began
}

// settle lets the goroutines of the sessions take what was sent: it waits until
// no wake-up is pending.
func (f *testFleet) settle() {
	for range 200 {
		if !f.pending() {
			return
		}
		f.yield()
	}
}

func (f *testFleet) pending() bool {
	for _, h := range f.hosts {
		h.broker.mu.Lock()
		for _, s := range h.broker.sessions {
			if len(s.wake) > 0 {
				h.broker.mu.Unlock()
				return true
			}
		}
		h.broker.mu.Unlock()
		h.client.mu.Lock()
		busy := h.client.opening || h.client.up != nil && len(h.client.up.wake) > 0
		h.client.mu.Unlock()
		if busy {
			return true
		}
	}
	return false
}

func (f *testFleet) yield() {
	timer := bmclock.NewSystem().NewTimer(1)
	<-timer.C()
}

// brokerOf returns the host whose broker a host has a session with, empty for
// none.
func (f *testFleet) brokerOf(name string) string {
	c := f.hosts[name].client
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.up == nil {
		return ""
	}
	return c.up.host
}

// agreed reports whether all hosts but the silent ones have the same broker,
// and which.
func (f *testFleet) agreed() (string, bool) {
	broker := ""
	for name := range f.hosts {
		if !f.reachable(name, name) {
			continue
		}
		b := f.brokerOf(name)
		if b == "" || broker != "" && b != broker {
			return "", false
		}
		broker = b
	}
	return broker, f.reachable(broker, broker)
}

func (f *testFleet) awaitBroker(limit basilmoor.Millis) string {
	f.t.Helper()
	f.until(limit, func() bool {
		_, ok := f.agreed()
		return ok
	})
	broker, _ := f.agreed()
	return broker
}

// acquire begins an Acquire on a host.
func (f *testFleet) acquire(host string) <-chan error {
	return f.acquireFrom(host, "p")
}

func (f *testFleet) acquireFrom(host, pool string) <-chan error {
	d := testDemand("", 0)
	d.Pool = pool
	result := make(chan error, 1)
	waiting := f.waiting(host)
	go func() {
		_, err := f.hosts[host].client.Acquire(context.Background(), d)
		result <- err
	}()
	for f.waiting(host) == waiting && len(result) == 0 {
		f.yield()
	}
	return result
}

func (f *testFleet) waiting(host string) int {
	c := f.hosts[host].client
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.next)
}

// Guards against a broker's silence that costs a waiting request its
// objective: the shortest one of a streaming kind is 500 ms.
func TestSilentBroker(t *testing.T) {
	const shortestObjective basilmoor.Millis = 500
	f := newTestFleet(t, 3, "a", "b", "c")
	broker := f.awaitBroker(2000)
	other := "a"
	if broker == other {
		other = "b"
	}
	f.setSilent(broker)
	result := f.acquire(other)
	took := f.until(shortestObjective, func() bool { return len(result) > 0 })
	require.NoError(t, <-result)
	require.Less(t, took, shortestObjective)
}

// Guards against hosts that stay without a common order after their broker has
// gone, and against a successor that forgets what is in progress.
func TestSuccessorKnowsOpenGrants(t *testing.T) {
	f := newTestFleet(t, 3, "a", "b", "c")
	first := f.awaitBroker(2000)
	var others []string
	for name := range f.hosts {
		if name != first {
			others = append(others, name)
		}
	}
	for _, host := range others {
		result := f.acquire(host)
		f.until(500, func() bool { return len(result) > 0 })
		require.NoError(t, <-result)
	}
	f.setSilent(first)
	second := f.awaitBroker(3000)
	require.NotEqual(t, first, second)
	f.until(1000, func() bool {
		b := f.hosts[second].broker
		b.mu.Lock()
		defer b.mu.Unlock()
		p := b.pools["p"]
		return p != nil && len(p.flights) == 2
	})
}

// Guards against a fleet that starts anew, all at once, and does not know what
// the last broker recorded: a workspace would get its window once more, or
// nothing for a while.
func TestRecordOutlivesAllHosts(t *testing.T) {
	before := newTestFleet(t, 3, "a", "b", "c")
	first := before.hosts[before.awaitBroker(2000)].broker
	first.mu.Lock()
	first.allowances.spend(before.clock.Now(), "w", 700_000)
	first.mu.Unlock()
	raw, worth, err := first.spendingRecord()
	require.NoError(t, err)
	require.True(t, worth)

	f := newTestFleet(t, 3)
	f.restarted = true
	f.feed.changes.Spending = raw
	for _, name := range []string{"a", "b", "c"} {
		f.addMember(name)
	}
	for _, name := range []string{"a", "b", "c"} {
		f.addHost(name)
		// The record is older than the processes that read it.
		f.hosts[name].broker.wall = func() int64 { return bmclock.WallMillis() + int64(recordPeriod) }
	}
	b := f.hosts[f.awaitBroker(2000)].broker
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := b.allowances.used(b.allowances.accounts["w"])
	require.GreaterOrEqual(t, sum, 700_000.0)
	since := float64(recordPeriod+2*spendingStep) / float64(testWindow)
	require.Less(t, sum, 700_000+since*b.allowances.bound(b.allowances.accounts["w"]), "only the time since the record is assumed to be spent")
}

// Guards against a fleet that stays with a broker that is cut off from the
// store: each host would ask the store for itself, and hosts that are cut off
// as well would refuse keyed requests although others could prove their view.
func TestBrokerThatLostTheStore(t *testing.T) {
	f := newTestFleet(t, 3, "a", "b", "c", "d", "e")
	first := f.awaitBroker(2000)
	for _, h := range f.hosts {
		h.keeper.Confirm(f.clock.Now())
	}
	cut := map[string]bool{first: true}
	for name := range f.hosts {
		if len(cut) < 2 {
			cut[name] = true
		}
	}
	f.until(10_000, func() bool {
		for name, h := range f.hosts {
			if !cut[name] {
				h.keeper.Confirm(f.clock.Now())
			}
		}
		broker, ok := f.agreed()
		return ok && !cut[broker]
	})
	f.until(1000, func() bool {
		for name, h := range f.hosts {
			if !cut[name] {
				h.keeper.Confirm(f.clock.Now())
			}
		}
		for name := range cut {
			if age, known := f.hosts[name].keeper.Age(); !known || age >= staleProof {
				return false
			}
		}
		return true
	})
}

// Guards against hosts that all choose the same target of a plain service,
// each with its own count, and have it reject what another target could serve.
func TestHostsShareThePlainServices(t *testing.T) {
	f := newTestFleet(t, 1, "a", "b", "c", "d")
	f.awaitBroker(2000)
	const slotsAndQueue = 3
	var results []<-chan error
	for name := range f.hosts {
		results = append(results, f.acquireFrom(name, "plain"))
	}
	granted := func() int {
		n := 0
		for _, r := range results {
			n += len(r)
		}
		return n
	}
	f.until(1000, func() bool { return granted() >= slotsAndQueue })
	began := f.clock.Now()
	f.until(2000, func() bool { return f.clock.Now()-began >= 200 })
	require.Equal(t, slotsAndQueue, granted())
}

// Guards against allowances that the broker and cut-off hosts spend twice.
func TestCutOffHostsShareTheAllowance(t *testing.T) {
	f := newTestFleet(t, 3, "a", "b", "c", "d")
	broker := f.awaitBroker(2000)
	cut := "a"
	if broker == cut {
		cut = "b"
	}
	f.setSilent(cut)
	f.until(2000, func() bool {
		b := f.hosts[broker].broker
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.sessions) == 3
	})
	b := f.hosts[broker].broker
	b.mu.Lock()
	defer b.mu.Unlock()
	require.InDelta(t, 0.75, b.allowances.share, 1e-9)
	require.InDelta(t, 0.25, f.hosts[cut].client.allowances.share, 1e-9)
}

// Guards against a fleet that starts anew, all at once, and gives a workspace
// its whole window once more.
func TestRestartedFleetAssumesSpending(t *testing.T) {
	f := newTestFleet(t, 3)
	f.restarted = true
	for _, name := range []string{"a", "b", "c"} {
		f.addMember(name)
	}
	for _, name := range []string{"a", "b", "c"} {
		f.addHost(name)
	}
	broker := f.awaitBroker(2000)
	b := f.hosts[broker].broker
	b.mu.Lock()
	defer b.mu.Unlock()
	acc := b.allowances.accounts["w"]
	bound := b.allowances.bound(acc)
	require.InDelta(t, bound, float64(acc.sum), 0.05*bound)
}

// assumed returns what the broker of a host counts as spent by the workspace,
// as a part of its bound.
func (f *testFleet) assumed(broker string) float64 {
	b := f.hosts[broker].broker
	b.mu.Lock()
	defer b.mu.Unlock()
	acc := b.allowances.accounts["w"]
	return b.allowances.used(acc) / b.allowances.bound(acc)
}

// Guards against a workspace that is refused for a whole window after a kill of
// most hosts, or after hosts were added: the broker that has outlived them knows
// what they spent until it heard from them last, and that a new one has spent
// nothing.
func TestOnlyUnknownSpendingIsAssumed(t *testing.T) {
	tests := map[string]struct {
		restart bool // the hosts that are not the broker's
		add     bool // another host
	}{
		"restarted hosts": {restart: true},
		"a new host":      {add: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 3, "a", "b", "c")
			broker := f.awaitBroker(2000)
			f.restarted = true
			started := []string{}
			for _, name := range []string{"a", "b", "c"} {
				if tt.restart && name != broker {
					started = append(started, name)
				}
			}
			if tt.add {
				started = append(started, "d")
				f.addMember("d")
				require.True(t, f.hosts[broker].keeper.Relay([]bmview.Update{
					{
						From: 1,
						To:   2,
					},
				}))
			}
			for _, name := range started {
				f.addHost(name)
			}
			f.until(2000, func() bool {
				for _, name := range started {
					if f.brokerOf(name) != broker {
						return false
					}
				}
				return true
			})
			require.Less(t, f.assumed(broker), 0.05)
		})
	}
}
