package bmview

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

const (
	simHosts = 3
	simWait  = basilmoor.Second // of a watch

	// simMaxCopyAge is the age of the oldest copy. Deletions are remembered longer.
	simMaxCopyAge = 20 * basilmoor.Second
)

// simState is what a store holds at one time.
type simState struct {
	at       basilmoor.Millis
	revision int64
	items    map[string]basilmoor.Entry
	events   []basilmoor.Event
}

func (s simState) clone() simState {
	s.items = maps.Clone(s.items)
	s.events = slices.Clone(s.events)
	return s
}

// simulation is a store that comes back from copies, its operator, one target, and the
// hosts that read the store or hear of it from each other.
type simulation struct {
	clock    *bmclock.Manual
	era      int64
	store    simState
	copies   []simState                 // ordered by time
	ackedAt  map[int64]basilmoor.Millis // by version of the desired state
	version  int64
	target   string           // value of the target's entry, empty if it is gone
	restored bool             // the operator and the target have to write again
	rewrite  basilmoor.Millis // when they do
	hosts    []*simHost
}

// simHost is a process that keeps a view.
type simHost struct {
	sim       *simulation
	keeper    *Keeper
	version   int64           // that it had last
	leaving   map[string]bool // births of targets that it has seen leaving or gone
	lastBirth string
	reads     []simRead
	messages  []simMessage
}

// simRead is a response that a host has not handled yet.
type simRead struct {
	update Update
	sent   basilmoor.Millis
}

// simMessage is what another host has sent and this one has not received yet.
type simMessage struct {
	updates  []Update
	era      int64
	provenAt basilmoor.Millis
	proven   bool
}

func newSimulation() *simulation {
	s := &simulation{
		clock:   bmclock.NewManual(100_000),
		era:     FirstEra,
		ackedAt: map[int64]basilmoor.Millis{},
		target:  "ready:1",
		store: simState{
			items: map[string]basilmoor.Entry{},
		},
	}
	s.put("target", s.target)
	s.change()
	for range simHosts {
		h := &simHost{sim: s}
		h.start()
		s.hosts = append(s.hosts, h)
	}
	return s
}

func (s *simulation) put(key, value string) {
	s.store.revision++
	e := basilmoor.Entry{
		Key:      key,
		Value:    []byte(value),
		Version:  s.store.revision,
		Revision: s.store.revision,
	}
	s.store.items[key] = e
	s.store.events = append(s.store.events, basilmoor.Event{
		Entry: e,
	})
}

func (s *simulation) remove(key string) {
	if _, ok := s.store.items[key]; !ok {
		return
	}
	s.store.revision++
	delete(s.store.items, key)
	s.store.events = append(s.store.events, basilmoor.Event{
		Entry: basilmoor.Entry{
			Key:      key,
			Revision: s.store.revision,
		},
		Deleted: true,
	})
}

// change writes the next version of the desired state.
func (s *simulation) change() {
	s.version++
	s.put("config", strconv.FormatInt(s.version, 10))
	s.ackedAt[s.version] = s.clock.Now()
}

// moveTarget takes the target a step further: it leaves, is gone, or starts again.
func (s *simulation) moveTarget() {
	state, birth, _ := strings.Cut(s.target, ":")
	n, _ := strconv.Atoi(birth)
	switch state {
	case "ready":
		s.target = fmt.Sprint("leaving:", n)
	case "leaving":
		s.target = fmt.Sprint("gone:", n)
	default:
		s.target = fmt.Sprint("ready:", n+1)
	}
	s.writeTarget()
}

func (s *simulation) writeTarget() {
	if strings.HasPrefix(s.target, "gone") {
		s.remove("target")
		return
	}
	s.put("target", s.target)
}

// restore replaces the store by a copy. The operator and the target write again after
// a delay.
func (s *simulation) restore(c simState, delay basilmoor.Millis) {
	s.store = c.clone()
	s.era++
	s.restored = true
	s.rewrite = s.clock.Now() + delay
}

// advance lets time pass, and the writers write again when they have to.
func (s *simulation) advance(d basilmoor.Millis) {
	s.clock.Advance(d)
	now := s.clock.Now()
	if s.restored && now >= s.rewrite {
		s.restored = false
		if string(s.store.items["config"].Value) != strconv.FormatInt(s.version, 10) {
			s.put("config", strconv.FormatInt(s.version, 10))
		}
		if string(s.store.items["target"].Value) != s.target {
			s.writeTarget()
		}
	}
	c := s.store.clone()
	c.at = now
	s.copies = append(s.copies, c)
	for now-s.copies[0].at > simMaxCopyAge {
		s.copies = s.copies[1:]
	}
}

func (s *simulation) position() basilmoor.Position {
	return basilmoor.Position{
		Era:      s.era,
		Revision: s.store.revision,
	}
}

func (h *simHost) start() {
	h.keeper = NewKeeper(h.sim.clock, h, zerolog.Nop(), bmmetrics.NewRegistry(), func(*View) {}, func(Update) {})
	h.version = 0
	h.leaving = map[string]bool{}
	h.lastBirth = ""
	h.reads = nil
	h.messages = nil
}

// Snapshot returns all entries of the store.
func (h *simHost) Snapshot(context.Context) ([]basilmoor.Event, basilmoor.Position, error) {
	var events []basilmoor.Event
	for _, key := range slices.Sorted(maps.Keys(h.sim.store.items)) {
		events = append(events, basilmoor.Event{
			Entry: h.sim.store.items[key],
		})
	}
	return events, h.sim.position(), nil
}

// Watch returns the changes after a position at once.
func (h *simHost) Watch(_ context.Context, from basilmoor.Position, _ basilmoor.Millis) ([]basilmoor.Event, basilmoor.Position, error) {
	if from.Era != h.sim.era {
		return nil, basilmoor.Position{}, &basilmoor.CompactedError{
			Revision: from.Revision,
		}
	}
	var events []basilmoor.Event
	for _, e := range h.sim.store.events {
		if e.Entry.Revision > from.Revision {
			events = append(events, e)
		}
	}
	return events, h.sim.position(), nil
}

// Decode converts events to changes of the view.
func (h *simHost) Decode(events []basilmoor.Event) Changes {
	c := Changes{
		Targets: map[string]*basilmoor.Target{},
	}
	for _, e := range events {
		value := string(e.Entry.Value)
		n, _ := strconv.ParseInt(value, 10, 64)
		switch {
		case e.Entry.Key == "settled":
			c.SettledEra = n
		case e.Entry.Key == "config":
			c.Table = bmrouting.NewTable(bmrouting.Content{
				Version: n,
			})
		case e.Deleted:
			c.Targets[e.Entry.Key] = nil
		default:
			state, birth, _ := strings.Cut(value, ":")
			born, _ := strconv.ParseInt(birth, 10, 64)
			c.Targets[e.Entry.Key] = &basilmoor.Target{
				Name:    e.Entry.Key,
				Pool:    "p",
				Born:    born,
				Leaving: state == "leaving",
			}
		}
	}
	return c
}

// read calls the store. The host handles the response later.
func (h *simHost) read() {
	r := simRead{
		sent: h.sim.clock.Now(),
	}
	from := h.keeper.Position()
	if h.keeper.rereadDue() {
		from = basilmoor.Position{}
	}
	if !from.IsZero() {
		var err error
		if r.update.Events, r.update.To, err = h.Watch(context.Background(), from, simWait); err == nil {
			r.update.From = from
			h.reads = append(h.reads, r)
			return
		}
	}
	r.update.Events, r.update.To, _ = h.Snapshot(context.Background())
	h.reads = append(h.reads, r)
}

// handleRead handles the response to the host's call, if there is one.
func (h *simHost) handleRead() {
	if len(h.reads) == 0 {
		return
	}
	r := h.reads[0]
	h.reads = h.reads[1:]
	h.keeper.applyRead(r.update, r.sent)
}

// sendView sends another host what it lacks, and the proof, as relaying and lending do.
func (h *simHost) sendView(to *simHost) {
	era, age, known := h.keeper.Proof()
	to.messages = append(to.messages, simMessage{
		updates:  h.keeper.UpdatesSince(to.keeper.Position()),
		era:      era,
		provenAt: h.sim.clock.Now() - age,
		proven:   known,
	})
}

// receive handles the message that has waited longest, if there is one.
func (h *simHost) receive() {
	if len(h.messages) == 0 {
		return
	}
	m := h.messages[0]
	h.messages = h.messages[1:]
	if h.keeper.ApplyRelayed(m.updates) && m.proven {
		h.keeper.Confirm(m.era, m.provenAt)
	}
}

// recordSettledEra writes the era as the broker's recorder does.
func (h *simHost) recordSettledEra() {
	if era, _, _ := h.keeper.Proof(); era > FirstEra {
		h.sim.put("settled", strconv.FormatInt(era, 10))
	}
}

// check checks what a host may never do.
func (h *simHost) check(t require.TestingT) {
	view := h.keeper.View()
	version := int64(0)
	if view.Table != nil {
		version = view.Table.Version()
	}
	require.GreaterOrEqual(t, version, h.version, "the desired state went back")
	h.version = version
	age, known := h.keeper.Age()
	for v, at := range h.sim.ackedAt {
		require.False(t, known && at < h.sim.clock.Now()-age && v > version, "version %d is proven to be current, %d was acknowledged before", version, v)
	}
	birth := ""
	for _, target := range view.Targets("p") {
		birth = fmt.Sprint(target.Born)
		require.False(t, h.leaving[birth] && !target.Leaving, "a target that leaves takes requests again")
		if target.Leaving {
			h.leaving[birth] = true
		}
	}
	h.lastBirth = birth
}

// checkConverged checks that a host has what the store holds.
func (h *simHost) checkConverged(t require.TestingT) {
	view := h.keeper.View()
	require.EqualValues(t, h.sim.version, view.Table.Version())
	age, known := h.keeper.Age()
	require.True(t, known)
	require.Less(t, age, basilmoor.Second)
	want := []string{}
	if state, birth, _ := strings.Cut(h.sim.target, ":"); state != "gone" {
		want = append(want, fmt.Sprint(birth, " ", state == "leaving"))
	}
	got := []string{}
	for _, target := range view.Targets("p") {
		got = append(got, fmt.Sprint(target.Born, target.Leaving))
	}
	require.Equal(t, want, got)
}

// step does one thing that may happen.
func (s *simulation) step(t *rapid.T) {
	h := s.hosts[rapid.IntRange(0, simHosts-1).Draw(t, "host")]
	other := s.hosts[rapid.IntRange(0, simHosts-1).Draw(t, "other")]
	switch rapid.SampledFrom([]string{
		"nothing", "read", "read", "handle", "handle", "handle", "send", "send", "receive", "receive", "receive",
		"pass", "pass", "pass", "change", "move", "restore", "record", "restart",
	}).Draw(t, "step") {
	case "read":
		if len(h.reads) == 0 {
			h.read()
		}
	case "handle":
		h.handleRead()
	case "send":
		if h != other {
			h.sendView(other)
		}
	case "receive":
		h.receive()
	case "pass":
		s.advance(basilmoor.Millis(rapid.IntRange(1, 900).Draw(t, "ms")))
	case "change":
		s.change()
	case "move":
		s.moveTarget()
	case "restore":
		if len(s.copies) > 0 && !s.restored {
			c := s.copies[rapid.IntRange(0, len(s.copies)-1).Draw(t, "copy")]
			s.restore(c, basilmoor.Millis(rapid.IntRange(0, int(settleTime)-1).Draw(t, "delay")))
		}
	case "record":
		h.recordSettledEra()
	case "restart":
		h.start()
	}
}

// Guards against hosts that go back to an older state, or take one for current, in any
// order of restorations, late responses, relayed views and restarts, and against hosts
// that never get what the store holds.
func TestRestorationsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			s.step(t)
			for _, h := range s.hosts {
				h.check(t)
			}
		}
		for range 20 {
			s.advance(basilmoor.Second)
			for _, h := range s.hosts {
				h.handleRead()
				h.read()
				h.handleRead()
				h.check(t)
			}
		}
		for _, h := range s.hosts {
			h.checkConverged(t)
		}
	})
}
