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
	"basilmoor.example/basilmoor/internal/schedule/bmelection"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

// Parameters of the model: three hosts, one target, and requests that are each
// charged a third of what the workspace may spend in a window.
const (
	modelSlots   = 3
	modelRate    = 100
	modelBurst   = 100
	modelCharge  = 300
	modelStep    = keepalivePeriod
	modelExcess  = 0.1
	modelSlack   = 300
	modelPause   = 2 * basilmoor.Second
	modelRecover = 15 * basilmoor.Second // longer than every suspicion and time limit
)

// modelHost is a host of the model. It starts no goroutines: the model moves each
// batch.
type modelHost struct {
	*testHost
	name     string
	started  []runner // goroutines to run when the model chooses
	isolated bool     // it neither sends nor receives anything
	entries  []*modelEntry
}

// modelEntry is a request of the model.
type modelEntry struct {
	entry   *entry
	granted bool
	done    bool // refused, or finished after its grant
}

// modelLink is a session whose batches are moved by exchangeBatches, not by send
// and recv.
type modelLink struct {
	from, to *modelHost
	session  *session
	closed   bool
}

func (l *modelLink) send(*bmgrantpb.HostBatch) error {
	return errors.New("the model moves the batches")
}

func (l *modelLink) recv() (*bmgrantpb.BrokerBatch, error) {
	return nil, errors.New("the model moves the batches")
}

func (l *modelLink) close() {
	l.closed = true
	if !l.from.isolated && !l.to.isolated {
		l.to.broker.detach(l.session)
	}
}

// model is three hosts on a manual clock.
type model struct {
	t     require.TestingT
	clock *bmclock.Manual
	feed  *fixedFeed
	hosts []*modelHost
	spent []spending // charges of the grants of all hosts
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
		m.startProcess(h, false)
	}
	m.advance(2 * modelStep)
	return m
}

// startProcess starts the process of a host with empty state.
func (m *model) startProcess(h *modelHost, again bool) {
	h.started = nil
	h.entries = nil
	h.testHost = newTestHost(m.t, m.clock, m.feed, h.name, Tolerance{
		Window: testWindow,
		Excess: modelExcess,
		Slack:  modelSlack,
	}, again)
	h.client.start = func(r runner) { h.started = append(h.started, r) }
	h.client.dial = func(_ context.Context, to basilmoor.Member) (link, error) { return m.dial(h, to.Host) }
	h.client.ask = func(_ context.Context, to basilmoor.Member) (bmelection.Answer, error) {
		other := m.host(to.Host)
		if h.isolated || other.isolated {
			return bmelection.Answer{}, errors.New("unreachable")
		}
		return other.client.followed(), nil
	}
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
	if from.isolated || h.isolated {
		return nil, errors.New("unreachable")
	}
	session, ok := h.broker.attach(&bmgrantpb.Hello{
		Host:     from.name,
		Revision: 1,
	}, false)
	if !ok {
		return nil, &NotBrokerError{
			Answer: h.client.followed(),
		}
	}
	return &modelLink{
		from:    from,
		to:      h,
		session: session,
	}, nil
}

// restart ends the process of a host and starts it again. The hosts that can
// reach it see their connections break.
func (m *model) restart(h *modelHost) {
	for _, other := range m.hosts {
		if other == h || other.isolated || h.isolated {
			continue
		}
		if up := h.client.uplink; up != nil && up.host == other.name {
			if l, ok := up.link.(*modelLink); ok {
				other.broker.detach(l.session)
			}
		}
		if up := other.client.uplink; up != nil && up.host == h.name {
			other.client.sessionLost(up, errors.New("connection reset"))
		}
	}
	m.startProcess(h, true)
}

// settle runs the started goroutines and moves batches until nothing is pending.
func (m *model) settle() {
	for moved := true; moved; {
		moved = false
		for _, h := range m.hosts {
			moved = m.runStarted(h) || moved
			moved = m.exchangeBatches(h) || moved
		}
		m.collectDecisions()
	}
}

// runStarted opens and closes sessions in place of the goroutines that the client
// of a host started. It drops senders and receivers: exchangeBatches does their
// work.
func (m *model) runStarted(h *modelHost) bool {
	started := h.started
	h.started = nil
	for _, r := range started {
		switch r.(type) {
		case *electionStep, *linkCloser:
			r.run()
		}
	}
	return len(started) > 0
}

// exchangeBatches moves one batch in each direction between a host and its
// broker if one is pending. It reports whether anything changed.
func (m *model) exchangeBatches(h *modelHost) bool {
	up := h.client.uplink
	if up == nil {
		return false
	}
	to := m.host(up.host)
	var s *session
	switch l := up.link.(type) {
	case *localLink:
		s = l.session
	case *modelLink:
		if h.isolated || to.isolated || l.closed {
			return false
		}
		s = l.session
	}
	if to.broker.sessions[h.name] != s {
		h.client.sessionLost(up, errSessionEnded)
		return true
	}
	moved := false
	select {
	case <-up.wake:
		to.broker.handleBatch(s, h.client.takePending(up))
		moved = true
	default:
	}
	select {
	case <-s.wake:
		h.client.handleBatch(up, to.broker.takePending(s))
		moved = true
	default:
	}
	return moved
}

// collectDecisions takes the decisions that have arrived, and checks that none is
// the second one for a request.
func (m *model) collectDecisions() {
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
				m.checkQuota()
			default:
			}
		}
	}
}

// checkQuota checks that the tokens spent in the window that ends now are
// within the quota and its tolerance.
func (m *model) checkQuota() {
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

// advance advances the clock in steps of modelStep and ticks all hosts.
func (m *model) advance(d basilmoor.Millis) {
	for left := d; left > 0; left -= modelStep {
		m.clock.Advance(modelStep)
		for _, h := range m.hosts {
			h.client.tick(context.Background())
			h.broker.tick()
		}
		m.settle()
	}
}

// submit submits a request on a host.
func (m *model) submit(h *modelHost) {
	d := testDemand("", 0)
	d.Workspace = "w"
	d.Charge = modelCharge
	h.entries = append(h.entries, &modelEntry{
		entry: h.client.submit(d),
	})
	m.settle()
}

// finish finishes the oldest request in progress on a host.
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

// modelActions returns the actions of the model by name.
func modelActions() map[string]func(m *model) {
	actions := map[string]func(m *model){
		"time passes":   func(m *model) { m.advance(modelStep) },
		"a long pause":  func(m *model) { m.advance(modelPause) },
		"all restarted": func(m *model) { m.restartAll() },
	}
	for i, name := range []string{"a", "b", "c"} {
		actions["request at "+name] = func(m *model) { m.submit(m.hosts[i]) }
		actions["response at "+name] = func(m *model) { m.finish(m.hosts[i]) }
		actions["cut or heal "+name] = func(m *model) {
			m.hosts[i].isolated = !m.hosts[i].isolated
			m.settle()
		}
		actions["restart "+name] = func(m *model) {
			m.restart(m.hosts[i])
			m.settle()
		}
	}
	return actions
}

// restartAll restarts all hosts at the same time: no host sees a connection to
// another one break.
func (m *model) restartAll() {
	for _, h := range m.hosts {
		m.startProcess(h, true)
	}
	m.settle()
}

// checkRecovery reconnects all hosts, finishes every request, and checks that all
// requests were decided, that all hosts have the same broker, and that no slot is
// lost.
func (m *model) checkRecovery() {
	for _, h := range m.hosts {
		h.isolated = false
	}
	for range modelRecover / modelPause {
		m.advance(modelPause)
		for _, h := range m.hosts {
			for range h.entries {
				m.finish(h)
			}
		}
	}
	broker := m.hosts[0].client.uplink
	require.NotNil(m.t, broker, "a host without a broker")
	for _, h := range m.hosts {
		require.NotNil(m.t, h.client.uplink, "a host without a broker")
		require.Equal(m.t, broker.host, h.client.uplink.host, "two brokers")
		for _, e := range h.entries {
			require.True(m.t, e.done, "a request of %s was never decided", h.name)
		}
	}
	pool := m.host(broker.host).broker.pools["p"]
	require.Empty(m.t, pool.inFlight, "slots are lost")
	require.Zero(m.t, pool.Waiting())
	// The quota is unspent by now, so all slots can be granted at once.
	for range modelSlots {
		m.submit(m.hosts[0])
	}
	require.Len(m.t, pool.inFlight, modelSlots)
}

// Guards against interleavings of broker changes, network partitions and restarts
// in which a workspace exceeds its quota, a request is decided twice or
// never, or a slot is lost. It tries every sequence of three actions, on idle
// hosts and on hosts that have spent all but one request of the quota, and
// longer random sequences.
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
			"": func(*rapid.T) { m.collectDecisions() },
		}
		for name, act := range actions {
			steps[name] = func(*rapid.T) { act(m) }
		}
		t.Repeat(steps)
		m.checkRecovery()
	}))
}

// runModel applies the steps to a new model and checks that it recovers.
func runModel(t *testing.T, actions map[string]func(m *model), steps []string) {
	m := newModel(&stepReporter{
		T:     t,
		steps: steps,
	})
	for _, name := range steps {
		actions[name](m)
	}
	m.checkRecovery()
}

// stepReporter adds the steps to the message of a failure.
type stepReporter struct {
	*testing.T
	steps []string
}

// Errorf implements require.TestingT.
func (d *stepReporter) Errorf(format string, args ...any) {
	d.T.Errorf("after %q: %s", d.steps, fmt.Sprintf(format, args...))
}
