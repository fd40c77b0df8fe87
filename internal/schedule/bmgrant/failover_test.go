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
	"basilmoor.example/basilmoor/internal/schedule/bmelection"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

// fixedFeed is a feed whose state of the platform never changes.
type fixedFeed struct {
	changes bmview.Changes
}

// revision returns a position in an era without a number.
func revision(n int64) basilmoor.Position {
	return basilmoor.Position{
		Revision: n,
	}
}

func (f *fixedFeed) Snapshot(context.Context) ([]basilmoor.Event, basilmoor.Position, error) {
	return []basilmoor.Event{{}}, revision(1), nil
}

func (f *fixedFeed) Watch(ctx context.Context, from basilmoor.Position, _ basilmoor.Millis) ([]basilmoor.Event, basilmoor.Position, error) {
	<-ctx.Done()
	return nil, from, ctx.Err()
}

func (f *fixedFeed) Decode([]basilmoor.Event) bmview.Changes { return f.changes }

// newFixedFeed returns a feed with one engine of the given slots and one plain
// service.
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

// testHost is a host's view, broker and client.
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
	h.broker = NewBroker(clock, h.keeper, bmcrash.New(clock), tolerance, metrics, zerolog.Nop())
	h.client = NewClient(clock, basilmoor.Member{
		Host: name,
	}, h.broker, Options{
		AssumeSpending: restarted,
	}, metrics, zerolog.Nop())
	require.True(t, h.keeper.ApplyRelayed([]bmview.Update{
		{
			To: revision(1),
		},
	}))
	return h
}

// testFleet is a set of hosts on one manual clock. Their sessions are in memory,
// and hosts can be made unreachable.
type testFleet struct {
	t     *testing.T
	clock *bmclock.Manual
	feed  *fixedFeed
	hosts map[string]*testHost

	restarted bool // Options.AssumeSpending of hosts that are added

	revision int64 // of the last change of the feed that hosts were told of

	mu     sync.Mutex
	silent map[string]bool // hosts that neither send nor receive anything
	broken map[[2]string]bool
}

func newTestFleet(t *testing.T, slots int, names ...string) *testFleet {
	f := &testFleet{
		t:      t,
		clock:  bmclock.NewManual(0), // as in a process that has just started
		hosts:  map[string]*testHost{},
		silent: map[string]bool{},
		broken: map[[2]string]bool{},
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
	h.client.ask = func(_ context.Context, to basilmoor.Member) (bmelection.Answer, error) {
		if !f.reachable(name, to.Host) {
			return bmelection.Answer{}, errors.New("unreachable")
		}
		return f.hosts[to.Host].client.followed(), nil
	}
	f.hosts[name] = h
}

func (f *testFleet) reachable(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.silent[a] && !f.silent[b] && !f.broken[[2]string{a, b}]
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
	session, ok := h.broker.attach(&bmgrantpb.Hello{
		Host:     from,
		Revision: 1,
	}, false)
	if !ok {
		return nil, &NotBrokerError{
			Answer: h.client.followed(),
		}
	}
	return &memoryLink{
		fleet:   f,
		from:    from,
		to:      to,
		broker:  h.broker,
		session: session,
		done:    make(chan struct{}),
	}, nil
}

// memoryLink is an in-memory session that drops all batches while either end is
// silent.
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
		l.broker.handleBatch(l.session, batch)
	}
	return nil
}

func (l *memoryLink) recv() (*bmgrantpb.BrokerBatch, error) {
	for {
		select {
		case <-l.done:
			return nil, errSessionEnded
		case <-l.session.ended:
			if l.fleet.reachable(l.from, l.to) {
				return nil, errSessionEnded
			}
			<-l.done
			return nil, errSessionEnded
		case <-l.session.wake:
			batch := l.broker.takePending(l.session)
			if l.fleet.reachable(l.from, l.to) {
				return batch, nil
			}
		}
	}
}

func (l *memoryLink) close() {
	l.once.Do(func() { close(l.done) })
}

// advanceUntil advances the clock and ticks the hosts until done returns true,
// and returns the time that took on the clock. It fails the test after limit.
func (f *testFleet) advanceUntil(limit basilmoor.Millis, done func() bool) basilmoor.Millis {
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

// settle waits until the goroutines of the sessions have no pending wake-ups, but
// not for more than 200 yields.
func (f *testFleet) settle() {
	for range 200 {
		if !f.pending() {
			return
		}
		f.yieldToGoroutines()
	}
}

// pending reports whether a session of a reachable host has a wake-up pending or is being
// opened.
func (f *testFleet) pending() bool {
	for name, h := range f.hosts {
		if !f.reachable(name, name) {
			continue
		}
		h.broker.mu.Lock()
		for _, s := range h.broker.sessions {
			if len(s.wake) > 0 {
				h.broker.mu.Unlock()
				return true
			}
		}
		h.broker.mu.Unlock()
		h.client.mu.Lock()
		busy := h.client.electing || h.client.uplink != nil && len(h.client.uplink.wake) > 0
		h.client.mu.Unlock()
		if busy {
			return true
		}
	}
	return false
}

// yieldToGoroutines sleeps for 1 ms of real time.
func (f *testFleet) yieldToGoroutines() {
	timer := bmclock.NewSystem().NewTimer(1)
	<-timer.C()
}

// brokerOf returns the host of the broker with which a host has a session, or
// "" if it has none.
func (f *testFleet) brokerOf(name string) string {
	c := f.hosts[name].client
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uplink == nil {
		return ""
	}
	return c.uplink.host
}

// commonBroker returns the broker of the hosts that are not silent, and whether
// they all have the same one and its host is reachable.
func (f *testFleet) commonBroker() (string, bool) {
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
	f.advanceUntil(limit, func() bool {
		_, ok := f.commonBroker()
		return ok
	})
	broker, _ := f.commonBroker()
	return broker
}

// acquire starts an Acquire for the engine pool on a host and returns its result.
func (f *testFleet) acquire(host string) <-chan error {
	return f.acquireFrom(host, "p")
}

func (f *testFleet) acquireFrom(host, pool string) <-chan error {
	d := testDemand("", 0)
	d.Pool = pool
	return f.acquireDemand(host, d)
}

// acquireDemand starts an Acquire on a host and returns its result once the demand
// has been submitted.
func (f *testFleet) acquireDemand(host string, d basilmoor.Demand) <-chan error {
	result := make(chan error, 1)
	waiting := f.submitted(host)
	go func() {
		_, err := f.hosts[host].client.Acquire(context.Background(), d)
		result <- err
	}()
	for f.submitted(host) == waiting && len(result) == 0 {
		f.yieldToGoroutines()
	}
	return result
}

// submitted returns the number of demands that a host has submitted.
func (f *testFleet) submitted(host string) int {
	c := f.hosts[host].client
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.lastNumber)
}

// Guards against a waiting request that misses its objective because the broker
// fell silent: the shortest objective of a streaming kind is 500 ms.
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
	took := f.advanceUntil(shortestObjective, func() bool { return len(result) > 0 })
	require.NoError(t, <-result)
	require.Less(t, took, shortestObjective)
}

// Guards against hosts that don't agree on a new broker after the broker is
// gone, and against a new broker that doesn't know the requests in progress.
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
		f.advanceUntil(500, func() bool { return len(result) > 0 })
		require.NoError(t, <-result)
	}
	f.setSilent(first)
	second := f.awaitBroker(3000)
	require.NotEqual(t, first, second)
	f.advanceUntil(1000, func() bool {
		b := f.hosts[second].broker
		b.mu.Lock()
		defer b.mu.Unlock()
		p := b.pools["p"]
		return p != nil && len(p.inFlight) == 2
	})
}

// Guards against a fleet whose hosts all restart at once and ignore the spending
// that the last broker stored: a workspace could spend its window's quota again,
// or would be refused for a while.
func TestStoredSpendingSurvivesRestart(t *testing.T) {
	before := newTestFleet(t, 3, "a", "b", "c")
	first := before.hosts[before.awaitBroker(2000)].broker
	first.mu.Lock()
	first.quotas.charge(before.clock.Now(), "w", 700_000)
	first.mu.Unlock()
	raw, ok, err := first.encodeSpending()
	require.NoError(t, err)
	require.True(t, ok)

	f := newTestFleet(t, 3)
	f.restarted = true
	f.feed.changes.Spending = raw
	for _, name := range []string{"a", "b", "c"} {
		f.addMember(name)
	}
	for _, name := range []string{"a", "b", "c"} {
		f.addHost(name)
		// The record is older than the processes that read it.
		f.hosts[name].broker.wallClock = func() int64 { return bmclock.UnixMillis() + int64(recordPeriod) }
	}
	b := f.hosts[f.awaitBroker(2000)].broker
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := b.quotas.used(b.quotas.accounts["w"])
	require.GreaterOrEqual(t, sum, 700_000.0)
	since := float64(recordPeriod+2*spendingResolution) / float64(testWindow)
	require.Less(t, sum, 700_000+since*b.quotas.windowQuota(b.quotas.accounts["w"]), "only the time since the record is assumed to be spent")
}

// Guards against hosts that schedule a plain service independently, each with its
// own count of requests: they would all choose the same target, which would
// reject requests that another target could serve.
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
	f.advanceUntil(1000, func() bool { return granted() >= slotsAndQueue })
	began := f.clock.Now()
	f.advanceUntil(2000, func() bool { return f.clock.Now()-began >= 200 })
	require.Equal(t, slotsAndQueue, granted())
}

// Guards against a quota that is spent twice, by the broker and by the hosts
// that are cut off from it.
func TestCutOffHostsShareTheQuota(t *testing.T) {
	f := newTestFleet(t, 3, "a", "b", "c", "d")
	broker := f.awaitBroker(2000)
	cut := "a"
	if broker == cut {
		cut = "b"
	}
	f.setSilent(cut)
	f.advanceUntil(2000, func() bool {
		b := f.hosts[broker].broker
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.sessions) == 3
	})
	b := f.hosts[broker].broker
	b.mu.Lock()
	defer b.mu.Unlock()
	require.InDelta(t, 0.75, b.quotas.share, 1e-9)
	require.InDelta(t, 0.25, f.hosts[cut].client.quotas.share, 1e-9)
}

// Guards against a workspace that can spend its window's quota again after all
// hosts restarted at once.
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
	acc := b.quotas.accounts["w"]
	bound := b.quotas.windowQuota(acc)
	require.InDelta(t, bound, float64(acc.ownTokens), 0.05*bound)
}

// assumedShare returns what the broker on a host counts as spent by the
// workspace, as a fraction of its quota for a window.
func (f *testFleet) assumedShare(broker string) float64 {
	b := f.hosts[broker].broker
	b.mu.Lock()
	defer b.mu.Unlock()
	acc := b.quotas.accounts["w"]
	return b.quotas.used(acc) / b.quotas.windowQuota(acc)
}

// Guards against a workspace that is refused for a whole window after most hosts
// were killed or a host was added. The broker that kept running knows what the
// killed hosts spent until their last batch, and that a new host has spent
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
				require.True(t, f.hosts[broker].keeper.ApplyRelayed([]bmview.Update{
					{
						From: revision(1),
						To:   revision(2),
					},
				}))
			}
			for _, name := range started {
				f.addHost(name)
			}
			f.advanceUntil(2000, func() bool {
				for _, name := range started {
					if f.brokerOf(name) != broker {
						return false
					}
				}
				return true
			})
			require.Less(t, f.assumedShare(broker), 0.05)
		})
	}
}
