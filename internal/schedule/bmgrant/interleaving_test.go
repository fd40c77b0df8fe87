package bmgrant

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

// Sizes of the model: three hosts, one target, and requests that each take a
// third of what the workspace may spend in a window.
const (
	modelSlots   = 3
	modelRate    = 100
	modelBurst   = 100
	modelCharge  = 300
	modelPeriod  = keepalivePeriod
	modelExcess  = 0.1
	modelSlack   = 300
	modelPause   = 2 * basilmoor.Second
	modelRecover = 15 * basilmoor.Second // over every suspicion and time limit
)

// modelHost is a host of the model. Nothing in it runs by itself: the model
// moves each batch.
type modelHost struct {
	*testHost
	name    string
	started []runner // goroutines that the model runs when it chooses
	cut     bool     // nothing reaches it or leaves it
	entries []*modelEntry
}

// modelEntry is a request of the model.
type modelEntry struct {
	entry   *entry
	granted bool
	done    bool // refused, or granted and finished
}

// modelLink is a session. It carries batches when the model pumps it.
type modelLink struct {
	from, to *modelHost
	session  *session
	closed   bool
}

func (l *modelLink) send(*bmgrantpb.HostBatch) error { return errors.New("pumped by the model") }

func (l *modelLink) recv() (*bmgrantpb.BrokerBatch, error) {
	return nil, errors.New("pumped by the model")
}

func (l *modelLink) close() {
	l.closed = true
	if !l.from.cut && !l.to.cut {
		l.to.broker.detach(l.session)
	}
}

// model is three hosts on a manual clock.
type model struct {
	t     require.TestingT
	clock *bmclock.Manual
	feed  *fixedFeed
	hosts []*modelHost
	spent []spending // by grants of all hosts
}

func newModel(t require.TestingT) *model {
	m := &model{
		t:     t,
		clock: bmclock.NewManual(0),
		feed:  newFixedFeed(modelSlots, limited(modelRate, modelBurst)),
	}
	for _, name := range []string{"a", "b", "c"} {
		m.feed.changes.Hosts[name] = &basilmoor.Member{
			Host: name,
		}
		m.hosts = append(m.hosts, &modelHost{
			name: name,
		})
	}
	for _, h := range m.hosts {
		m.boot(h, false)
	}
	m.advance(2 * modelPeriod)
	return m
}

// boot starts the process of a host.
func (m *model) boot(h *modelHost, again bool) {
	h.started = nil
	h.entries = nil
	h.testHost = newTestHost(m.t, m.clock, m.feed, h.name, Tolerance{
		Window: testWindow,
		Excess: modelExcess,
		Slack:  modelSlack,
	}, again)
	h.client.start = func(r runner) { h.started = append(h.started, r) }
	h.client.dial = func(_ context.Context, to basilmoor.Member) (link, error) { return m.dial(h, to.Host) }
}

func (m *model) host(name string) *modelHost {
	for _, h := range m.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (m *model) dial(from *modelHost, to string) (link, error) {
	h := m.host(to)
	if from.cut || h.cut {
		return nil, errors.New("unreachable")
	}
	return &modelLink{
		from: from,
		to:   h,
		session: h.broker.attach(&bmgrantpb.Hello{
			Host:     from.name,
			Revision: 1,
		}, false),
	}, nil
}

// kill ends the process of a host and starts it again. Those that it can reach
// see its connections break.
func (m *model) kill(h *modelHost) {
	for _, other := range m.hosts {
		if other == h || other.cut || h.cut {
			continue
		}
		if up := h.client.up; up != nil && up.host == other.name {
			if l, ok := up.link.(*modelLink); ok {
				other.broker.detach(l.session)
			}
		}
		if up := other.client.up; up != nil && up.host == h.name {
			other.client.lost(up, errors.New("connection reset"))
		}
	}
	m.boot(h, true)
}

// settle runs what was started and moves batches until nothing is left to move.
func (m *model) settle() {
	for moved := true; moved; {
		moved = false
		for _, h := range m.hosts {
			moved = m.runStarted(h) || moved
			moved = m.pump(h) || moved
		}
		m.collect()
	}
}

func (m *model) runStarted(h *modelHost) bool {
	started := h.started
	h.started = nil
	for _, r := range started {
		switch r.(type) {
		case *opener, *linkClose:
			r.run()
		}
	}
	return len(started) > 0
}

// pump moves one batch each way on the session of a host with its broker, if
// one of them has something to send.
func (m *model) pump(h *modelHost) bool {
	up := h.client.up
	if up == nil {
		return false
	}
	to := m.host(up.host)
	var s *session
	switch l := up.link.(type) {
	case *localLink:
		s = l.session
	case *modelLink:
		if h.cut || to.cut || l.closed {
			return false
		}
		s = l.session
	}
	if to.broker.sessions[h.name] != s {
		h.client.lost(up, errEnded)
		return true
	}
	moved := false
	select {
	case <-up.wake:
		to.broker.handle(s, h.client.take(up))
		moved = true
	default:
	}
	select {
	case <-s.wake:
		h.client.receive(up, to.broker.take(s))
		moved = true
	default:
	}
	return moved
}

// collect notes what was decided.
func (m *model) collect() {
	for _, h := range m.hosts {
		for _, e := range h.entries {
			select {
			case d := <-e.entry.decided:
				require.False(m.t, e.granted || e.done, "decided twice")
				if d.Refusal != nil {
					e.done = true
					continue
				}
				e.granted = true
				m.spent = append(m.spent, spending{
					at:     m.clock.Now(),
					tokens: modelCharge,
				})
				m.checkAllowance()
			default:
			}
		}
	}
}

// checkAllowance checks what the hosts spent in the window that ends now.
func (m *model) checkAllowance() {
	sum := 0
	for _, s := range m.spent {
		if m.clock.Now()-s.at < testWindow {
			sum += s.tokens
		}
	}
	window := float64(testWindow) / float64(basilmoor.Second)
	allowed := (modelRate*window+modelBurst)*(1+modelExcess) + modelSlack
	require.LessOrEqual(m.t, float64(sum), allowed, "tokens in a window")
}

// advance lets time pass in steps of a keepalive.
func (m *model) advance(d basilmoor.Millis) {
	for left := d; left > 0; left -= modelPeriod {
		m.clock.Advance(modelPeriod)
		for _, h := range m.hosts {
			h.client.tick(context.Background())
			h.broker.tick()
		}
		m.settle()
	}
}

// submit begins a request on a host.
func (m *model) submit(h *modelHost) {
	d := testDemand("", 0)
	d.Workspace = "w"
	d.Charge = modelCharge
	h.entries = append(h.entries, &modelEntry{
		entry: h.client.submit(d),
	})
	m.settle()
}

// finish ends the oldest request in progress on a host.
func (m *model) finish(h *modelHost) {
	for _, e := range h.entries {
		if !e.granted || e.done {
			continue
		}
		e.done = true
		p := &permit{
			client: h.client,
			entry:  e.entry,
		}
		p.Observe(basilmoor.Observation{
			Stage: basilmoor.StageFinished,
		})
		m.settle()
		return
	}
}

// modelActions are what may happen, by name.
func modelActions() map[string]func(m *model) {
	actions := map[string]func(m *model){
		"time passes":   func(m *model) { m.advance(modelPeriod) },
		"a long pause":  func(m *model) { m.advance(modelPause) },
		"all restarted": func(m *model) { m.killAll() },
	}
	for i, name := range []string{"a", "b", "c"} {
		actions["request at "+name] = func(m *model) { m.submit(m.hosts[i]) }
		actions["response at "+name] = func(m *model) { m.finish(m.hosts[i]) }
		actions["cut or heal "+name] = func(m *model) {
			m.hosts[i].cut = !m.hosts[i].cut
			m.settle()
		}
		actions["restart "+name] = func(m *model) {
			m.kill(m.hosts[i])
			m.settle()
		}
	}
	return actions
}

// killAll ends all processes at one moment: none learns of another's end.
func (m *model) killAll() {
	for _, h := range m.hosts {
		m.boot(h, true)
	}
	m.settle()
}

// checkRecovery heals everything, ends every request and checks that all were
// decided, that one broker serves all hosts and that no slot is lost.
func (m *model) checkRecovery() {
	for _, h := range m.hosts {
		h.cut = false
	}
	for range modelRecover / modelPause {
		m.advance(modelPause)
		for _, h := range m.hosts {
			for range h.entries {
				m.finish(h)
			}
		}
	}
	broker := m.hosts[0].client.up
	require.NotNil(m.t, broker, "a host without a broker")
	for _, h := range m.hosts {
		require.NotNil(m.t, h.client.up, "a host without a broker")
		require.Equal(m.t, broker.host, h.client.up.host, "two brokers")
		for _, e := range h.entries {
			require.True(m.t, e.done, "a request of %s was never decided", h.name)
		}
	}
	pool := m.host(broker.host).broker.pools["p"]
	require.Empty(m.t, pool.flights, "slots are lost")
	require.Zero(m.t, pool.Waiting())
	// The allowance is whole again, so that all slots can be had at once.
	for range modelSlots {
		m.submit(m.hosts[0])
	}
	require.Len(m.t, pool.flights, modelSlots)
}

// Guards against interleavings of broker changes, cuts and restarts in which a
// workspace exceeds its allowance, a request is decided twice or never, or a
// slot is lost. Every series of three actions is tried, on idle hosts and on
// hosts that have spent all but one request of the allowance, and longer ones at
// random.
func TestInterleavings(t *testing.T) {
	actions := modelActions()
	starts := map[string][]string{
		"idle":  {},
		"spent": {"request at a", "request at b", "request at c"},
	}
	for name, start := range starts {
		for first := range actions {
			t.Run(name+"/"+first, func(t *testing.T) {
				t.Parallel()
				for second := range actions {
					for third := range actions {
						steps := append(slices.Clone(start), first, second, third)
						runModel(t, actions, steps)
					}
				}
			})
		}
	}
	t.Run("random", rapid.MakeCheck(func(t *rapid.T) {
		m := newModel(t)
		steps := map[string]func(*rapid.T){
			"": func(*rapid.T) { m.collect() },
		}
		for name, act := range actions {
			steps[name] = func(*rapid.T) { act(m) }
		}
		t.Repeat(steps)
		m.checkRecovery()
	}))
}

// runModel takes the steps on a new model and checks that it recovers.
func runModel(t *testing.T, actions map[string]func(m *model), steps []string) {
	m := newModel(&described{
		T:     t,
		steps: steps,
	})
	for _, name := range steps {
		actions[name](m)
	}
	m.checkRecovery()
}

// described adds the steps to a failure.
type described struct {
	*testing.T
	steps []string
}

// Errorf implements require.TestingT.
func (d *described) Errorf(format string, args ...any) {
	d.T.Errorf("after %q: %s", d.steps, fmt.Sprintf(format, args...))
}
