package bmscheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

// model runs the state machines of entry hosts and brokers on a simulated clock,
// without goroutines. Its links deliver messages in order and with random delay
// until they are stalled.
type model struct {
	t         *rapid.T
	rng       *rand.Rand
	now       basilmoor.Millis
	brokers   []*modelBroker
	hosts     []*modelHost
	links     []*modelLink
	submitted int
	ended     int
}

type modelBroker struct {
	broker *broker
	policy *fakePolicy
	paused bool
}

type modelHost struct {
	name    string
	tracker *requestTracker
	link    *modelLink
	entries []*modelEntry
}

// modelEntry is one Acquire call and what its caller has observed.
type modelEntry struct {
	entry   *entry
	grants  int
	refused int
	stage   basilmoor.Stage
	endsAt  basilmoor.Millis
}

// message is in transit on a link until deliverAt.
type message struct {
	deliverAt basilmoor.Millis
	deliver   func()
}

// modelLink simulates one stream. It implements the uplink of a tracker and the
// session of a broker.
type modelLink struct {
	m             *model
	host          *modelHost
	to            *modelBroker
	epoch         int
	toBrokerQueue []message
	toHostQueue   []message
	stalled       bool // delivers nothing, and neither side is notified
	closed        bool
}

func (l *modelLink) send(queue *[]message, deliver func()) {
	deliverAt := l.m.now + basilmoor.Millis(1+l.m.rng.IntN(30))
	if n := len(*queue); n > 0 {
		deliverAt = max(deliverAt, (*queue)[n-1].deliverAt)
	}
	*queue = append(*queue, message{
		deliverAt: deliverAt,
		deliver:   deliver,
	})
}

func (l *modelLink) toBroker(f func(b *broker, now basilmoor.Millis)) {
	l.send(&l.toBrokerQueue, func() { f(l.to.broker, l.m.now) })
}

func (l *modelLink) submit(d basilmoor.Demand) {
	l.toBroker(func(b *broker, now basilmoor.Millis) { b.submit(now, l.host.name, l, d) })
}

func (l *modelLink) cancel(id basilmoor.RequestID) {
	l.toBroker(func(b *broker, now basilmoor.Millis) { b.cancel(now, l.host.name, l, id) })
}

func (l *modelLink) observe(o basilmoor.Observation) {
	l.toBroker(func(b *broker, now basilmoor.Millis) { b.observe(now, l.host.name, l, o) })
}

func (l *modelLink) endResubmission() {
	l.toBroker(func(b *broker, now basilmoor.Millis) { b.endResubmission(now, l.host.name, l) })
}

func (l *modelLink) keepalive() {
	l.toBroker(func(b *broker, now basilmoor.Millis) { b.keepalive(now, l.host.name, l) })
}

func (l *modelLink) flush() {}

// close closes the stream from either side. On a stalled link neither side is
// notified.
func (l *modelLink) close() {
	l.toBroker(func(b *broker, now basilmoor.Millis) { b.detach(now, l.host.name, l) })
	l.send(&l.toHostQueue, func() { l.closed = true })
}

func (l *modelLink) deliver(d basilmoor.Decision) bool {
	l.send(&l.toHostQueue, func() { l.host.tracker.handleDecision(l.m.now, l.epoch, d) })
	return true
}

func (l *modelLink) sendKeepalive() {
	l.send(&l.toHostQueue, func() { l.host.tracker.recordKeepalive(l.m.now, l.epoch) })
}

// deliverDue delivers the messages that are due. A paused broker receives nothing
// until it resumes.
func (l *modelLink) deliverDue() {
	if l.stalled {
		return
	}
	for !l.to.paused && len(l.toBrokerQueue) > 0 && l.toBrokerQueue[0].deliverAt <= l.m.now {
		next := l.toBrokerQueue[0]
		l.toBrokerQueue = l.toBrokerQueue[1:]
		next.deliver()
	}
	for len(l.toHostQueue) > 0 && l.toHostQueue[0].deliverAt <= l.m.now {
		next := l.toHostQueue[0]
		l.toHostQueue = l.toHostQueue[1:]
		next.deliver()
	}
}

func newModel(t *rapid.T) *model {
	m := &model{
		t:   t,
		rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
	}
	catalog := oneTarget(rapid.IntRange(1, 4).Draw(t, "slots"))
	for i := range 3 {
		name := fmt.Sprintf("host-%d", i)
		m.hosts = append(m.hosts, &modelHost{
			name:    name,
			tracker: newRequestTracker("models", newCodec(name, 1), catalog, bmmetrics.NewRegistry()),
		})
		policy := newFakePolicy()
		b := newBroker("models", policy, true, m.liveHosts)
		b.setTargets(0, catalog.targets)
		m.brokers = append(m.brokers, &modelBroker{
			broker: b,
			policy: policy,
		})
	}
	return m
}

func (m *model) liveHosts() []string { return []string{"host-0", "host-1", "host-2"} }

// connect opens a new stream from a host to a broker.
func (m *model) connect(h *modelHost, to *modelBroker) {
	l := &modelLink{
		m:     m,
		host:  h,
		to:    to,
		epoch: h.tracker.detach(),
	}
	h.link = l
	m.links = append(m.links, l)
	l.toBroker(func(b *broker, now basilmoor.Millis) { b.attach(now, h.name, "bole", l) })
	h.tracker.attach(m.now, l.epoch, l, grantsRemote)
}

// step advances the simulation by one tick.
func (m *model) step() {
	for range tickPeriod / 10 {
		m.now += 10
		for _, l := range m.links {
			l.deliverDue()
		}
	}
	m.links = slices.DeleteFunc(m.links, func(l *modelLink) bool {
		return l.stalled || l.host.link != l && len(l.toBrokerQueue) == 0 && len(l.toHostQueue) == 0
	})
	for _, b := range m.brokers {
		if !b.paused {
			b.broker.tick(m.now)
		}
	}
	for _, h := range m.hosts {
		m.stepHost(h)
	}
}

func (m *model) stepHost(h *modelHost) {
	h.tracker.tick(m.now)
	if h.link != nil && (h.link.closed || m.now-h.tracker.status().lastHeard >= silenceTimeout) {
		h.tracker.detach()
		h.link = nil
	}
	for _, e := range h.entries {
		m.stepCaller(h, e)
	}
}

// stepCaller simulates the caller of Acquire: it dispatches a granted request
// while the grant is valid, and ends it within 2 s of the grant.
func (m *model) stepCaller(h *modelHost, e *modelEntry) {
	select {
	case d := <-e.entry.decision:
		if d.Refusal != nil {
			e.refused++
			m.ended++
			return
		}
		e.grants++
		e.endsAt = m.now + basilmoor.Millis(m.rng.IntN(2000))
	default:
	}
	if e.grants == 0 || e.stage.Terminal() {
		return
	}
	if e.stage == "" && m.rng.IntN(3) == 0 {
		m.report(h, e, basilmoor.StageDispatched)
	}
	unused := e.stage == "" && m.now-e.entry.grantedAt >= e.entry.ttl
	if m.now >= e.endsAt || unused {
		stage := basilmoor.StageFinished
		if e.stage == "" {
			stage = basilmoor.StageReturned
		}
		m.report(h, e, stage)
		m.ended++
	}
}

func (m *model) report(h *modelHost, e *modelEntry, stage basilmoor.Stage) {
	e.stage = stage
	h.tracker.observe(m.now, e.entry, basilmoor.Observation{
		Stage: stage,
	})
}

func (m *model) submit(h *modelHost) {
	m.submitted++
	d := demand(fmt.Sprintf("r%d", m.submitted))
	d.Deadline = 10 * basilmoor.Minute
	h.entries = append(h.entries, &modelEntry{
		entry: h.tracker.add(m.now, d),
	})
}

// inUse returns the number of granted requests that have not ended.
func (m *model) inUse() int {
	n := 0
	for _, h := range m.hosts {
		for _, e := range h.entries {
			if e.grants > 0 && !e.stage.Terminal() {
				n++
			}
		}
	}
	return n
}

// perturb makes one random change to connections, brokers or load.
func (m *model) perturb() {
	h := m.hosts[rapid.IntRange(0, 2).Draw(m.t, "host")]
	b := m.brokers[rapid.IntRange(0, 2).Draw(m.t, "broker")]
	switch rapid.SampledFrom([]string{"connect", "stall", "pause", "resume", "restart", "submit", "move"}).Draw(m.t, "change") {
	case "connect":
		m.connect(h, b)
	case "stall":
		if h.link != nil {
			h.link.stalled = true
		}
	case "pause":
		b.paused = true
	case "resume":
		m.resume(b)
	case "restart":
		b.policy = newFakePolicy()
		b.broker = newBroker("models", b.policy, true, m.liveHosts)
		b.broker.setTargets(m.now, oneTarget(2).targets)
	case "move":
		for _, h := range m.hosts {
			m.connect(h, b)
		}
	case "submit":
		for range 4 {
			m.submit(h)
		}
	}
}

func (m *model) resume(b *modelBroker) {
	if b.paused {
		b.paused = false
		b.broker.reset(m.now)
	}
}

// Guards against demands that are lost or granted twice and against leaked slots
// when hosts change brokers, brokers pause or restart, and streams close or
// stall.
func TestNoDemandIsLostOrGrantedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			m.perturb()
			for range rapid.IntRange(1, 40).Draw(t, "ticks") {
				m.step()
			}
		}
		last := m.brokers[0]
		m.resume(last)
		for _, h := range m.hosts {
			m.connect(h, last)
		}
		for range 100_000 {
			if m.ended == m.submitted {
				break
			}
			m.step()
		}
		for range 10 * basilmoor.Second / tickPeriod {
			m.step()
		}
		for _, h := range m.hosts {
			for _, e := range h.entries {
				require.Equal(t, 1, e.grants+e.refused, "%s", e.entry.id)
				require.Zero(t, e.refused, "%s", e.entry.id)
			}
			require.Zero(t, h.tracker.status().entries)
		}
		waiting, running := last.policy.counts()
		require.Zero(t, waiting)
		require.Zero(t, running)
		require.Empty(t, last.broker.hostByRequest)
	})
}

// Guards against a broker that grants slots which are in use by dispatches that
// another broker granted. While all hosts switch brokers together, no target may
// exceed its slots.
func TestBrokerChangesDontExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		slots := m.brokers[0].policy.targets[0].Slots
		for range rapid.IntRange(1, 20).Draw(t, "moves") {
			for _, h := range m.hosts {
				for range rapid.IntRange(0, 3).Draw(t, "demands") {
					m.submit(h)
				}
			}
			to := m.brokers[rapid.IntRange(0, 2).Draw(t, "broker")]
			for _, h := range m.hosts {
				m.connect(h, to)
			}
			for range rapid.IntRange(1, 100).Draw(t, "ticks") {
				m.step()
				require.LessOrEqual(t, m.inUse(), slots)
			}
		}
	})
}
