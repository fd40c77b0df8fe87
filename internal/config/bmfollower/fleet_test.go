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

// simFleet runs the cores of many hosts on one manual clock. A call takes up to
// maxLatencySteps, and each host sends heartbeats once per second. Hosts of one
// data centre receive each other's heartbeats; the first host of each data centre
// also receives those of the first hosts of the other data centres, and relays
// to its own data centre which of them it has heard from.
type simFleet struct {
	t            require.TestingT
	randIntN     func(n int) int // returns a random number in [0, n)
	clock        *bmclock.Manual
	store        *bmconfigtest.Store
	hosts        []*simHost
	byDataCentre map[string][]*simHost

	byName      map[string]*simHost
	dataCentres []string
	calls       []simCall // pending, in order of insertion

	storeDown      bool             // no host reaches the store
	noteOfVersion  map[int64]string // note of each version that the store or a host has held
	refusedNotes   map[string]bool  // notes reported as not accepted
	noteSeq        int
	reads          int // reads of the store by followers
	openWatches    int // pending watches
	maxOpenWatches int
	backup         *bmconfigtest.Backup

	restores int
}

type simHost struct {
	name, dataCentre string
	fleet            *simFleet
	core             *Core
	up               bool
	storeUnreachable bool
	partition        int // hosts reach each other only within one partition
	lastHeartbeat    map[string]basilmoor.Millis
	lastChecked      *bmcatalog.Snapshot
	watchID          int // 0 if no watch is pending
	acceptor         *bmacceptance.Acceptor
}

type simCall struct {
	at  basilmoor.Millis
	run func(now basilmoor.Millis)
}

const (
	simStep          = tickInterval
	maxLatencySteps  = 2
	heartbeatTimeout = 3 * basilmoor.Second
)

func newSimFleet(t require.TestingT, size, dataCentres int, randIntN func(n int) int) *simFleet {
	f := &simFleet{
		t:             t,
		randIntN:      randIntN,
		clock:         bmclock.NewManual(0),
		byDataCentre:  make(map[string][]*simHost),
		byName:        make(map[string]*simHost),
		store:         bmconfigtest.NewStore(),
		noteOfVersion: make(map[int64]string),
		refusedNotes:  make(map[string]bool),
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
		f.byDataCentre[h.dataCentre] = append(f.byDataCentre[h.dataCentre], h)
		f.byName[h.name] = h
	}
	for _, h := range f.hosts {
		h.start()
	}
	return f
}

func (h *simHost) start() {
	h.up = true
	h.lastChecked = nil
	h.lastHeartbeat = make(map[string]basilmoor.Millis)
	h.core = NewCore(Config{
		Host:               h.name,
		Seed:               1,
		IsWatcher:          h.isFirstInDataCentre,
		FleetSize:          func() int { return len(h.fleet.hosts) },
		HasMajorityContact: h.hasMajorityContact,
	}, h.fleet.clock.Now())
	h.acceptor = bmacceptance.New(&simStore{
		Store: h.fleet.store,
		host:  h,
	}, time.Now, h.core.LatestVersion)
}

func (h *simHost) stop() {
	h.up = false
	h.closeWatch()
}

func (h *simHost) closeWatch() {
	if h.watchID != 0 {
		h.watchID = 0
		h.fleet.openWatches--
	}
}

// isFirstInDataCentre reports whether h has received no recent heartbeat of a
// host that precedes it in its data centre.
func (h *simHost) isFirstInDataCentre() bool {
	for _, o := range h.fleet.byDataCentre[h.dataCentre] {
		if o == h {
			return true
		}
		if h.hasHeard(o) {
			return false
		}
	}
	return true
}

func (h *simHost) hasHeard(o *simHost) bool {
	at, ok := h.lastHeartbeat[o.name]
	return ok && h.fleet.clock.Now()-at < heartbeatTimeout
}

// hasMajorityContact counts data centres instead of hosts, because a summary
// covers a whole data centre.
func (h *simHost) hasMajorityContact() bool {
	dataCentres := make(map[string]bool)
	heard := make(map[string]bool)
	for _, o := range h.fleet.hosts {
		dataCentres[o.dataCentre] = true
		if o == h || h.hasHeard(o) {
			heard[o.dataCentre] = true
		}
	}
	return 2*len(heard) > len(dataCentres)
}

// simStore is the store as seen from one host. It fails while that host cannot
// reach the store.
type simStore struct {
	*bmconfigtest.Store
	host *simHost
}

func (s *simStore) reachable() error {
	if s.host.fleet.storeDown || s.host.storeUnreachable {
		return &basilmoor.UnavailableError{
			Operation: "store",
			Err:       errors.New("cut off"),
		}
	}
	return nil
}

func (s *simStore) Get(ctx context.Context, key string) (basilmoor.Entry, error) {
	if err := s.reachable(); err != nil {
		return basilmoor.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *simStore) CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease string) (basilmoor.Entry, error) {
	if err := s.reachable(); err != nil {
		return basilmoor.Entry{}, err
	}
	return s.Store.CompareAndSwap(ctx, key, version, value, lease)
}

func (s *simStore) Delete(ctx context.Context, key string, version int64) error {
	if err := s.reachable(); err != nil {
		return err
	}
	return s.Store.Delete(ctx, key, version)
}

// scheduleCall runs a call for the current core after a random latency, unless
// the host is stopped or restarted before.
func (h *simHost) scheduleCall(run func(now basilmoor.Millis) []Effect) {
	core := h.core
	f := h.fleet
	f.calls = append(f.calls, simCall{
		at: f.clock.Now() + simStep*basilmoor.Millis(f.randIntN(maxLatencySteps+1)),
		run: func(now basilmoor.Millis) {
			if h.up && h.core == core {
				h.runEffects(run(now))
			}
		},
	})
}

func (h *simHost) runEffects(effects []Effect) {
	h.checkInvariants()
	s := &simStore{
		Store: h.fleet.store,
		host:  h,
	}
	ctx := context.Background()
	for _, e := range effects {
		switch e := e.(type) {
		case ReadHead:
			h.fleet.reads++
			h.scheduleCall(func(now basilmoor.Millis) []Effect {
				entry, err := s.Get(ctx, bmcatalog.HeadKey)
				return h.core.HandleHeadRead(now, entry, err)
			})
		case ReadParts:
			h.fleet.reads += len(e.Refs)
			h.scheduleCall(func(now basilmoor.Millis) []Effect {
				values := make(map[string][]byte)
				var failed error
				for _, r := range e.Refs {
					entry, err := s.Get(ctx, bmcatalog.PartKey(r.Digest))
					if err != nil {
						failed = err
					}
					values[r.Digest] = entry.Value
				}
				return h.core.HandlePartsRead(now, e.Head, values, failed)
			})
		case FetchFromPeer:
			h.fetch(e)
		case StartWatch:
			h.closeWatch()
			h.watch(s, e)
		case StopWatch:
			h.closeWatch()
		}
	}
}

func (h *simHost) fetch(e FetchFromPeer) {
	o := h.fleet.host(e.Host)
	h.scheduleCall(func(now basilmoor.Millis) []Effect {
		if !h.reaches(o) {
			return h.core.HandlePeerFetch(now, e.Host, nil, nil, errors.New("unreachable"))
		}
		head, parts, err := ServeFetch(o.core.Held(), e.Held)
		return h.core.HandlePeerFetch(now, e.Host, head, parts, err)
	})
}

// watch polls the simulated store at every step. Polls do not count as reads.
func (h *simHost) watch(s *simStore, e StartWatch) {
	f := h.fleet
	h.watchID = e.ID
	f.openWatches++
	f.maxOpenWatches = max(f.maxOpenWatches, f.openWatches)
	started := f.clock.Now()
	core := h.core
	var poll func(now basilmoor.Millis)
	poll = func(now basilmoor.Millis) {
		if h.core != core || h.watchID != e.ID {
			return
		}
		err := s.reachable()
		events, revision := f.store.Poll(bmcatalog.HeadKey, e.Revision)
		if err == nil && len(events) == 0 && now-started < watchDuration {
			f.calls = append(f.calls, simCall{
				at:  now + simStep,
				run: poll,
			})
			return
		}
		h.closeWatch()
		h.runEffects(h.core.HandleWatch(now, e.ID, events, revision, err))
	}
	f.calls = append(f.calls, simCall{
		at:  started + simStep,
		run: poll,
	})
}

func (h *simHost) reaches(o *simHost) bool {
	return o != nil && o != h && o.up && h.up && o.partition == h.partition
}

func (f *simFleet) host(name string) *simHost { return f.byName[name] }

// advance moves the clock by one step and runs the calls, ticks and heartbeats
// that are due.
func (f *simFleet) advance() {
	f.clock.Advance(simStep)
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
		h.runEffects(h.core.Tick(now))
		// The heartbeats of the hosts are spread over a second.
		if (int64(now/simStep)+int64(i))%int64(basilmoor.Second/simStep) == 0 {
			f.sendHeartbeats(h, now)
		}
	}
}

func (f *simFleet) sendHeartbeats(h *simHost, now basilmoor.Millis) {
	first := h.isFirstInDataCentre()
	for _, dataCentre := range f.dataCentres {
		hosts := f.byDataCentre[dataCentre]
		if dataCentre != h.dataCentre && !first {
			continue
		}
		for _, o := range hosts {
			if !o.reaches(h) || (dataCentre != h.dataCentre && !o.isFirstInDataCentre()) {
				continue
			}
			o.receiveHeartbeat(h, now)
			if dataCentre == h.dataCentre && first {
				f.relayHeartbeats(h, o)
			}
		}
	}
}

// relayHeartbeats tells o which hosts of other data centres h, the first host of
// its data centre, has heard from.
func (f *simFleet) relayHeartbeats(h, o *simHost) {
	for name, at := range h.lastHeartbeat {
		if x := f.host(name); x.dataCentre != h.dataCentre && o.reaches(x) {
			o.lastHeartbeat[name] = max(o.lastHeartbeat[name], at)
		}
	}
}

func (h *simHost) receiveHeartbeat(o *simHost, now basilmoor.Millis) {
	h.lastHeartbeat[o.name] = now
	s := o.core.Held()
	h.runEffects(h.core.HandleHeartbeat(now, o.name, s.Version(), s.NoteID()))
}

// checkInvariants checks that the held version of a host never decreases, and
// that each version has a single note.
func (h *simHost) checkInvariants() {
	s := h.core.Held()
	if s == h.lastChecked {
		return
	}
	require.Greater(h.fleet.t, s.Version(), h.lastChecked.Version(), "%s reverted", h.name)
	h.lastChecked = s
	h.fleet.recordVersion(s.Version(), s.NoteID())
}

func (f *simFleet) recordVersion(version int64, note string) {
	if f.noteOfVersion[version] == "" {
		f.noteOfVersion[version] = note
	}
	require.Equal(f.t, f.noteOfVersion[version], note, "version %d has two notes", version)
	require.False(f.t, f.refusedNotes[note], "note %s was reported as not accepted", note)
}

func (f *simFleet) latest() int64 {
	var latest int64
	for v := range f.noteOfVersion {
		latest = max(latest, v)
	}
	return latest
}

// applyRandomNote applies a note through h that changes one of a few items.
func (f *simFleet) applyRandomNote(h *simHost) {
	f.noteSeq++
	bodies := []string{
		"changed: {workspaces: [{name: seedleaf, weight: %d}]}",
		"changed: {workspaces: [{name: seedleaf-archive, weight: %d}]}",
		"changed: {pools: [{name: orders-east, region: region-%d}]}",
		"changed: {tiers: [{name: batch, rank: %d}]}",
	}
	id := fmt.Sprintf("n-%d", f.noteSeq)
	text := fmt.Sprintf("schema: 1\nnote: "+id+"\n"+bodies[f.randIntN(len(bodies))], f.noteSeq+2)
	n, err := bmnote.Parse([]byte(text))
	require.NoError(f.t, err)
	r, err := h.acceptor.Accept(context.Background(), n, "ada")
	var unknown *bmacceptance.OutcomeUnknownError
	switch {
	case err == nil:
		f.recordVersion(r.Version, id)
	case !errors.As(err, &unknown):
		f.refusedNotes[id] = true
	}
	f.recordStoredVersion()
}

// recordStoredVersion records the version that the store holds.
func (f *simFleet) recordStoredVersion() {
	head := f.storedHead()
	f.recordVersion(head.Version, head.NoteID)
}

func (f *simFleet) storedHead() bmcatalog.Head {
	e, err := f.store.Get(context.Background(), bmcatalog.HeadKey)
	require.NoError(f.t, err)
	head, err := bmcatalog.DecodeHead(e.Value)
	require.NoError(f.t, err)
	return head
}
