package bmfollower

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

// Intervals.
const (
	// backstopInterval is the mean interval of reads of the head. It bounds
	// the delay when neither watch nor heartbeats work, and costs a thirtieth
	// of a read a second and host.
	backstopInterval = 30 * basilmoor.Second

	// isolationAfter is the time without store and peers after which a host
	// can't know what is in effect. It equals the bound for a change.
	isolationAfter = 5 * basilmoor.Second

	// probeAfter is the time without any contact after which the store is
	// read, so that a host which only lost its peers is not isolated.
	probeAfter = 2 * basilmoor.Second

	// retryInterval separates tries of what failed.
	retryInterval = basilmoor.Second

	// callTimeout is the time after which an unanswered call counts as
	// failed.
	callTimeout = 2 * basilmoor.Second

	// transferTimeout is the same for a transfer of the whole configuration,
	// which is some MB in about a hundred parts.
	transferTimeout = 10 * basilmoor.Second

	// maxLagDoublings bounds the interval of reads by a host that knows of a
	// version and gets it nowhere, at 32 s.
	maxLagDoublings = 4

	// startupWait bounds the time for which a new host waits for heartbeats
	// before it serves what the store holds: a store restored from a backup
	// may be behind the fleet. Heartbeats come every second.
	startupWait = 3 * basilmoor.Second

	// peerMemory is the time after which a silent peer is forgotten.
	peerMemory = 10 * basilmoor.Second

	// jitterShare spreads the hosts' reads over this share of an interval on
	// both sides.
	jitterShare = 0.1
)

// Config sets up a core.
type Config struct {
	Host string
	Seed uint64

	// IsWatcher reports whether this host watches the store for its data
	// centre.
	IsWatcher func() bool

	// FleetSize is the number of hosts, including this one.
	FleetSize func() int

	// HearsMajority reports whether this host heard lately, directly or by
	// summaries, from more than half of the fleet.
	HearsMajority func() bool
}

// UninformedError tells that a host can't say which version is the latest.
type UninformedError struct {
	Reason string
}

func (e *UninformedError) Error() string {
	return "this host does not know which version is in effect: " + e.Reason
}

// Core decides what to read from where, and what to take. Calls must not be
// concurrent.
type Core struct {
	cfg    Config
	rand   *rand.Rand
	start  basilmoor.Millis
	serves bool // the snapshot may be used

	snapshot    *bmcatalog.Snapshot
	peers       map[string]*peer
	lastContact basilmoor.Millis
	lagSince    basilmoor.Millis
	lagging     bool
	lagReads    int // reads of the head since then

	store   storeState
	watch   watchState
	fetch   call // from a peer
	sources sources
	effects []Effect
}

// call is at most one pending call of a sort.
type call struct {
	pending bool
	since   basilmoor.Millis
	limit   basilmoor.Millis
}

func (c *call) begin(now, limit basilmoor.Millis) {
	c.pending = true
	c.since = now
	c.limit = limit
}

// busy reports whether an answer may still come. An overdue call counts as
// failed; its answer is used nevertheless, since heads are checked anyway.
func (c *call) busy(now basilmoor.Millis) bool {
	return c.pending && now-c.since < c.limit
}

// storeState is what is known of the store.
type storeState struct {
	head     call
	parts    call
	due      basilmoor.Millis // of the next read of the head
	revision int64            // of the head that was read last
	failing  bool
	reason   string

	// incomplete is the key of a part that a stored head lists and the store
	// does not hold.
	incomplete string
}

// watchState is the watch of this host, if it is its data centre's watcher.
type watchState struct {
	active bool // this host is the watcher
	open   bool // a call is pending
	id     int
}

// NewCore returns the state machine of a host that holds nothing.
func NewCore(cfg Config, now basilmoor.Millis) *Core {
	h := fnv.New64a()
	_, _ = h.Write([]byte(cfg.Host)) // never fails
	return &Core{
		cfg:         cfg,
		rand:        rand.New(rand.NewPCG(cfg.Seed, h.Sum64())),
		start:       now,
		peers:       make(map[string]*peer),
		lastContact: now,
		store: storeState{
			due: now,
		},
		sources: newSources(),
	}
}

// Snapshot returns what is in effect, nil if nothing is.
func (c *Core) Snapshot() *bmcatalog.Snapshot {
	if !c.serves {
		return nil
	}
	return c.snapshot
}

// Held returns what is held, although it may not be in effect yet.
func (c *Core) Held() *bmcatalog.Snapshot { return c.snapshot }

// Known returns the highest version that this host holds or heard of.
func (c *Core) Known() int64 {
	known := c.snapshot.Version()
	for _, p := range c.peers {
		known = max(known, p.version)
	}
	return known
}

// Latest returns the highest version that this host holds or heard of, as the
// floor for the acceptance of a note. The error is an *UninformedError if other
// hosts may hold a higher one.
func (c *Core) Latest() (int64, error) {
	if !c.cfg.HearsMajority() {
		return 0, &UninformedError{
			Reason: "it hears from no majority of the fleet",
		}
	}
	if c.lagging {
		return 0, &UninformedError{
			Reason: fmt.Sprintf("it holds version %d and heard of version %d", c.snapshot.Version(), c.Known()),
		}
	}
	return c.Known(), nil
}

// Isolated reports whether the host can't know what is in effect.
func (c *Core) Isolated(now basilmoor.Millis) bool {
	return c.cfg.FleetSize() > 1 && now-c.lastContact >= isolationAfter
}

// Resume forgets pending calls, whose answers won't come any more.
func (c *Core) Resume(now basilmoor.Millis) {
	c.store.head.pending = false
	c.store.parts.pending = false
	c.fetch.pending = false
	c.watch.open = false
	c.store.due = now
}

// Tick does what depends on time only. It must be called several times a
// second.
func (c *Core) Tick(now basilmoor.Millis) []Effect {
	c.forgetPeers(now)
	c.changeRole(now)
	if c.readDue(now) {
		c.readHead(now)
	}
	return c.finish(now)
}

// finish does what may follow from any event.
func (c *Core) finish(now basilmoor.Millis) []Effect {
	c.catchUp(now)
	c.serve(now)
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// changeRole starts or ends the watch. A watch starts with a read of the head,
// which gives the revision.
func (c *Core) changeRole(now basilmoor.Millis) {
	watcher := c.cfg.IsWatcher()
	switch {
	case watcher && !c.watch.active:
		c.watch.active = true
		c.store.due = now
	case !watcher && c.watch.active:
		c.watch = watchState{
			id: c.watch.id,
		}
		c.emit(StopWatch{})
	}
}

func (c *Core) readDue(now basilmoor.Millis) bool {
	if c.store.head.busy(now) {
		return false
	}
	if now >= c.store.due {
		return true
	}
	if now-c.store.head.since < retryInterval {
		return false
	}
	if c.cfg.FleetSize() > 1 && now-c.lastContact >= probeAfter {
		return true
	}
	return c.lagReadDue(now)
}

// lagReadDue reports whether the store is to be asked for what peers announce
// and don't deliver.
func (c *Core) lagReadDue(now basilmoor.Millis) bool {
	if !c.lagging {
		return false
	}
	wait := callTimeout << min(c.lagReads, maxLagDoublings)
	return now-max(c.lagSince, c.store.head.since) >= wait
}

func (c *Core) readHead(now basilmoor.Millis) {
	c.store.head.begin(now, callTimeout)
	if c.lagging {
		c.lagReads++
	}
	c.store.due = now + c.jitter(backstopInterval)
	c.emit(ReadHead{})
}

// jitter returns d within the share on both sides, so that the mean is d.
func (c *Core) jitter(d basilmoor.Millis) basilmoor.Millis {
	return d + basilmoor.Millis(float64(d)*jitterShare*(2*c.rand.Float64()-1))
}

// HeadRead takes the store's head. A *basilmoor.NotFoundError is an answer:
// no note was accepted yet.
func (c *Core) HeadRead(now basilmoor.Millis, entry basilmoor.Entry, err error) []Effect {
	c.store.head.pending = false
	var none *basilmoor.NotFoundError
	if err != nil && !errors.As(err, &none) {
		c.storeFailed(now, err)
		return c.finish(now)
	}
	c.storeAnswered(now)
	moved := entry.Revision != c.store.revision
	c.store.revision = entry.Revision
	if entry.Version == 0 {
		c.emptyStore()
	} else {
		c.offerStored(now, entry.Value)
	}
	// A head that the watch did not report means that the watch is stuck, or
	// that it waits for revisions which a restored store has yet to reach.
	if c.watch.active && (!c.watch.open || moved) {
		c.startWatch(entry.Revision)
	}
	return c.finish(now)
}

func (c *Core) startWatch(revision int64) {
	c.watch.open = true
	c.watch.id++
	c.emit(StartWatch{
		ID:       c.watch.id,
		Revision: revision,
	})
}

// Watched takes the result of a watch.
func (c *Core) Watched(now basilmoor.Millis, id int, events []basilmoor.Event, revision int64, err error) []Effect {
	if id != c.watch.id || !c.watch.active {
		return nil
	}
	c.watch.open = false
	var compacted *basilmoor.CompactedError
	if errors.As(err, &compacted) {
		c.storeAnswered(now)
		c.store.due = now
		return c.finish(now)
	}
	if err != nil {
		c.storeFailed(now, err)
		return c.finish(now)
	}
	c.storeAnswered(now)
	for _, e := range events {
		if e.Entry.Key != bmcatalog.HeadKey {
			continue
		}
		if e.Deleted {
			c.emptyStore()
			continue
		}
		c.store.revision = e.Entry.Revision
		c.offerStored(now, e.Entry.Value)
	}
	c.startWatch(revision)
	return c.finish(now)
}

func (c *Core) storeAnswered(now basilmoor.Millis) {
	c.lastContact = now
	c.store.failing = false
}

// storeFailed plans the next try. A watcher tries again soon, because its
// data centre depends on it; other hosts wait for the next regular read.
func (c *Core) storeFailed(now basilmoor.Millis, err error) {
	c.store.failing = true
	c.store.reason = err.Error()
	c.sources.count(countStoreFailed)
	if c.watch.active {
		c.store.due = min(c.store.due, now+c.jitter(retryInterval))
	}
}

// PartsRead takes parts of a stored head by digest.
func (c *Core) PartsRead(now basilmoor.Millis, head []byte, values map[string][]byte, err error) []Effect {
	c.store.parts.pending = false
	var missing *basilmoor.NotFoundError
	switch {
	case errors.As(err, &missing):
		// A later head no longer lists the part, or the store lost it.
		c.storeAnswered(now)
		c.store.incomplete = missing.Key
		c.store.due = min(c.store.due, now+retryInterval)
	case err != nil:
		c.storeFailed(now, err)
		c.store.due = min(c.store.due, now+c.jitter(retryInterval))
	default:
		c.storeAnswered(now)
		c.offer(storeSource, head, values)
	}
	return c.finish(now)
}

// serve puts the first snapshot into effect: at once if this host is alone or
// if it holds what its peers hold, and else after a while.
func (c *Core) serve(now basilmoor.Millis) {
	if c.serves || c.snapshot == nil {
		return
	}
	alone := c.cfg.FleetSize() <= 1
	agreed := len(c.peers) > 0 && !c.lagging
	c.serves = alone || agreed || now-c.start >= startupWait
}
