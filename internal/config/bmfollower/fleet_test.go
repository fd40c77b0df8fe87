package bmfollower

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmacceptance"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
	"basilmoor.example/basilmoor/internal/config/bmconfigtest"
	"basilmoor.example/basilmoor/internal/config/bmnote"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

// fleet runs the state machines of many hosts on one manual clock. Calls take
// up to maxLatency, heartbeats go out once a second. Hosts of a data centre
// hear each other; the first host of each data centre hears those of the other
// data centres and passes on what they hold.
type fleet struct {
	t     require.TestingT
	pick  func(n int) int // source of chance
	clock *bmclock.Manual
	store *bmconfigtest.Store
	hosts []*simHost
	at    map[string][]*simHost // by data centre

	byName      map[string]*simHost
	dataCentres []string
	calls       []simCall // pending, in order of time

	down    bool             // store outage
	notes   map[int64]string // note of each version seen anywhere
	refused map[string]bool  // notes reported as not accepted
	seq     int
	reads   int // reads of the store by followers
	watches int // pending now
	maxOpen int
	backup  *bmconfigtest.Backup

	restores int
}

type simHost struct {
	name, dataCentre string
	fleet            *fleet
	core             *Core
	up               bool
	storeCut         bool
	island           int // hosts hear each other if they are on one island
	heard            map[string]basilmoor.Millis
	checked          *bmcatalog.Snapshot
	watchID          int // 0 for none
	acceptor         *bmacceptance.Acceptor
}

type simCall struct {
	at  basilmoor.Millis
	run func(now basilmoor.Millis)
}

const (
	step       = tickInterval
	maxLatency = 2 // steps
	suspect    = 3 * basilmoor.Second
)

func newFleet(t require.TestingT, size, dataCentres int, pick func(n int) int) *fleet {
	f := &fleet{
		t:       t,
		pick:    pick,
		clock:   bmclock.NewManual(0),
		at:      make(map[string][]*simHost),
		byName:  make(map[string]*simHost),
		store:   bmconfigtest.NewStore(),
		notes:   make(map[int64]string),
		refused: make(map[string]bool),
	}
	text, err := os.ReadFile("../../../docs/examples/first-note.yaml")
	require.NoError(t, err)
	_, err = bmacceptance.New(f.store, time.Now, nil).AcceptText(context.Background(), text, "ada")
	require.NoError(t, err)
	for i := range dataCentres {
		f.dataCentres = append(f.dataCentres, fmt.Sprintf("data-centre-%02d", i))
	}
	for i := range size {
		h := &simHost{
			name:       fmt.Sprintf("host-%03d", i),
			dataCentre: f.dataCentres[i%dataCentres],
			fleet:      f,
		}
		f.hosts = append(f.hosts, h)
		f.at[h.dataCentre] = append(f.at[h.dataCentre], h)
		f.byName[h.name] = h
	}
	for _, h := range f.hosts {
		h.start()
	}
	return f
}

func (h *simHost) start() {
	h.up = true
	h.checked = nil
	h.heard = make(map[string]basilmoor.Millis)
	h.core = NewCore(Config{
		Host:          h.name,
		Seed:          1,
		IsWatcher:     h.isFirst,
		FleetSize:     func() int { return len(h.fleet.hosts) },
		HearsMajority: h.hearsMajority,
	}, h.fleet.clock.Now())
	h.acceptor = bmacceptance.New(&simStore{
		Store: h.fleet.store,
		host:  h,
	}, time.Now, h.core.Latest)
}

func (h *simHost) stop() {
	h.up = false
	h.closeWatch()
}

func (h *simHost) closeWatch() {
	if h.watchID != 0 {
		h.watchID = 0
		h.fleet.watches--
	}
}

// isFirst reports whether no earlier host of the data centre was heard lately.
func (h *simHost) isFirst() bool {
	for _, o := range h.fleet.at[h.dataCentre] {
		if o == h {
			return true
		}
		if h.hears(o) {
			return false
		}
	}
	return true
}

func (h *simHost) hears(o *simHost) bool {
	at, ok := h.heard[o.name]
	return ok && h.fleet.clock.Now()-at < suspect
}

// hearsMajority counts data centres, since summaries stand for whole data
// centres.
func (h *simHost) hearsMajority() bool {
	dataCentres := make(map[string]bool)
	heard := make(map[string]bool)
	for _, o := range h.fleet.hosts {
		dataCentres[o.dataCentre] = true
		if o == h || h.hears(o) {
			heard[o.dataCentre] = true
		}
	}
	return 2*len(heard) > len(dataCentres)
}

// simStore is the store as one host reaches it.
type simStore struct {
	*bmconfigtest.Store
	host *simHost
}

func (s *simStore) err() error {
	if s.host.fleet.down || s.host.storeCut {
		return &basilmoor.UnavailableError{
			Operation: "store",
			Err:       errors.New("cut off"),
		}
	}
	return nil
}

func (s *simStore) Get(ctx context.Context, key string) (basilmoor.Entry, error) {
	if err := s.err(); err != nil {
		return basilmoor.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *simStore) CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease string) (basilmoor.Entry, error) {
	if err := s.err(); err != nil {
		return basilmoor.Entry{}, err
	}
	return s.Store.CompareAndSwap(ctx, key, version, value, lease)
}

func (s *simStore) Delete(ctx context.Context, key string, version int64) error {
	if err := s.err(); err != nil {
		return err
	}
	return s.Store.Delete(ctx, key, version)
}

// later runs a call of the present core after some latency, unless the host
// was restarted.
func (h *simHost) later(run func(now basilmoor.Millis) []Effect) {
	core := h.core
	f := h.fleet
	f.calls = append(f.calls, simCall{
		at: f.clock.Now() + step*basilmoor.Millis(f.pick(maxLatency+1)),
		run: func(now basilmoor.Millis) {
			if h.up && h.core == core {
				h.handle(run(now))
			}
		},
	})
}

func (h *simHost) handle(effects []Effect) {
	h.check()
	s := &simStore{
		Store: h.fleet.store,
		host:  h,
	}
	ctx := context.Background()
	for _, e := range effects {
		switch e := e.(type) {
		case ReadHead:
			h.fleet.reads++
			h.later(func(now basilmoor.Millis) []Effect {
				entry, err := s.Get(ctx, bmcatalog.HeadKey)
				return h.core.HeadRead(now, entry, err)
			})
		case ReadParts:
			h.fleet.reads += len(e.Refs)
			h.later(func(now basilmoor.Millis) []Effect {
				values := make(map[string][]byte)
				var failed error
				for _, r := range e.Refs {
					entry, err := s.Get(ctx, bmcatalog.PartKey(r.Digest))
					if err != nil {
						failed = err
					}
					values[r.Digest] = entry.Value
				}
				return h.core.PartsRead(now, e.Head, values, failed)
			})
		case FetchPeer:
			h.fetch(e)
		case StartWatch:
			h.closeWatch()
			h.watch(s, e)
		case StopWatch:
			h.closeWatch()
		}
	}
}

func (h *simHost) fetch(e FetchPeer) {
	o := h.fleet.host(e.Host)
	h.later(func(now basilmoor.Millis) []Effect {
		if !h.reaches(o) {
			return h.core.PeerFetched(now, e.Host, nil, nil, errors.New("unreachable"))
		}
		head, parts, err := Fetch(o.core.Held(), e.Held)
		return h.core.PeerFetched(now, e.Host, head, parts, err)
	})
}

// watch polls the simulated store every step, which costs no call.
func (h *simHost) watch(s *simStore, e StartWatch) {
	f := h.fleet
	h.watchID = e.ID
	f.watches++
	f.maxOpen = max(f.maxOpen, f.watches)
	started := f.clock.Now()
	core := h.core
	var poll func(now basilmoor.Millis)
	poll = func(now basilmoor.Millis) {
		if h.core != core || h.watchID != e.ID {
			return
		}
		err := s.err()
		events, revision := f.store.Poll(bmcatalog.HeadKey, e.Revision)
		if err == nil && len(events) == 0 && now-started < watchWait {
			f.calls = append(f.calls, simCall{
				at:  now + step,
				run: poll,
			})
			return
		}
		h.closeWatch()
		h.handle(h.core.Watched(now, e.ID, events, revision, err))
	}
	f.calls = append(f.calls, simCall{
		at:  started + step,
		run: poll,
	})
}

func (h *simHost) reaches(o *simHost) bool {
	return o != nil && o != h && o.up && h.up && o.island == h.island
}

func (f *fleet) host(name string) *simHost { return f.byName[name] }

// advance moves the clock by one step.
func (f *fleet) advance() {
	f.clock.Advance(step)
	now := f.clock.Now()
	due := f.calls
	f.calls = nil
	for _, c := range due {
		if c.at > now {
			f.calls = append(f.calls, c)
			continue
		}
		c.run(now)
	}
	for i, h := range f.hosts {
		if !h.up {
			continue
		}
		h.handle(h.core.Tick(now))
		// Heartbeats are spread over the second.
		if (int64(now/step)+int64(i))%int64(basilmoor.Second/step) == 0 {
			f.beat(h, now)
		}
	}
}

func (f *fleet) beat(h *simHost, now basilmoor.Millis) {
	first := h.isFirst()
	for _, dataCentre := range f.dataCentres {
		hosts := f.at[dataCentre]
		if dataCentre != h.dataCentre && !first {
			continue
		}
		for _, o := range hosts {
			if !o.reaches(h) || (dataCentre != h.dataCentre && !o.isFirst()) {
				continue
			}
			o.hear(h, now)
			if dataCentre == h.dataCentre && first {
				f.relay(h, o)
			}
		}
	}
}

// relay passes on which other data centres the first host of a data centre
// hears.
func (f *fleet) relay(h, o *simHost) {
	for name, at := range h.heard {
		if x := f.host(name); x.dataCentre != h.dataCentre && o.reaches(x) {
			o.heard[name] = max(o.heard[name], at)
		}
	}
}

func (h *simHost) hear(o *simHost, now basilmoor.Millis) {
	h.heard[o.name] = now
	s := o.core.Held()
	h.handle(h.core.RecordHeartbeat(now, o.name, s.Version(), s.NoteID()))
}

// check guards the invariants of one host: no version is reverted, and a
// version is made by one note.
func (h *simHost) check() {
	s := h.core.Held()
	if s == h.checked {
		return
	}
	require.Greater(h.fleet.t, s.Version(), h.checked.Version(), "%s reverted", h.name)
	h.checked = s
	h.fleet.see(s.Version(), s.NoteID())
}

func (f *fleet) see(version int64, note string) {
	if f.notes[version] == "" {
		f.notes[version] = note
	}
	require.Equal(f.t, f.notes[version], note, "version %d has two notes", version)
	require.False(f.t, f.refused[note], "note %s was reported as not accepted", note)
}

func (f *fleet) latest() int64 {
	var latest int64
	for v := range f.notes {
		latest = max(latest, v)
	}
	return latest
}

// apply lets an operator change one of a few items through a host.
func (f *fleet) apply(h *simHost) {
	f.seq++
	bodies := []string{
		"changed: {workspaces: [{name: seedleaf, weight: %d}]}",
		"changed: {workspaces: [{name: seedleaf-archive, weight: %d}]}",
		"changed: {pools: [{name: orders-east, region: region-%d}]}",
		"changed: {tiers: [{name: batch, rank: %d}]}",
	}
	id := fmt.Sprintf("n-%d", f.seq)
	text := fmt.Sprintf("schema: 1\nnote: "+id+"\n"+bodies[f.pick(len(bodies))], f.seq+2)
	n, err := bmnote.Parse([]byte(text))
	require.NoError(f.t, err)
	r, err := h.acceptor.Accept(context.Background(), n, "ada")
	var unknown *bmacceptance.OutcomeUnknownError
	switch {
	case err == nil:
		f.see(r.Version, id)
	case !errors.As(err, &unknown):
		f.refused[id] = true
	}
	f.look()
}

// look records the version that the store holds.
func (f *fleet) look() {
	head := f.storedHead()
	f.see(head.Version, head.NoteID)
}

func (f *fleet) storedHead() bmcatalog.Head {
	e, err := f.store.Get(context.Background(), bmcatalog.HeadKey)
	require.NoError(f.t, err)
	head, err := bmcatalog.DecodeHead(e.Value)
	require.NoError(f.t, err)
	return head
}
