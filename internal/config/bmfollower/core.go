package bmfollower

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

// Timeouts and intervals of the core.
const (
	// headPollInterval is the mean interval between polls of the head. It bounds
	// the propagation delay when neither the watch nor heartbeats work, at a
	// cost of one thirtieth of a read per second and host.
	headPollInterval = 30 * basilmoor.Second

	// isolationTimeout is the time without contact with the store or any peer
	// after which a host can't know which version is in effect. It equals the
	// bound on the propagation of a change.
	isolationTimeout = 5 * basilmoor.Second

	// storeProbeDelay is the time without contact after which a host reads the
	// store, so that losing only its peers does not make it isolated.
	storeProbeDelay = 2 * basilmoor.Second

	// retryInterval is the delay before a failed call is retried.
	retryInterval = basilmoor.Second

	// callTimeout is the time after which a call without a response counts as
	// failed.
	callTimeout = 2 * basilmoor.Second

	// transferTimeout is the timeout of a transfer of the whole configuration:
	// several MB in about a hundred parts.
	transferTimeout = 10 * basilmoor.Second

	// maxLagBackoffDoublings limits the backoff to 32 s between reads of the
	// head by a host that knows of a newer version but cannot obtain it.
	maxLagBackoffDoublings = 4

	// maxStartupWait bounds how long a new host waits for heartbeats, which
	// arrive every second, before it serves the version in the store. A store
	// restored from a backup may be behind the fleet.
	maxStartupWait = 3 * basilmoor.Second

	// peerExpiry is the time without heartbeats after which a peer is removed.
	peerExpiry = 10 * basilmoor.Second

	// jitterFraction is the largest deviation from an interval, as a fraction
	// of it. It spreads the reads of many hosts over time.
	jitterFraction = 0.1
)

// Config describes the host of a Core and gives it a view of the fleet.
type Config struct {
	Host string
	Seed uint64

	// IsWatcher reports whether this host watches the store for its data
	// centre.
	IsWatcher func() bool

	// FleetSize returns the number of hosts, including this one.
	FleetSize func() int

	// HasMajorityContact reports whether this host recently received heartbeats
	// from more than half of the fleet, directly or through summaries.
	HasMajorityContact func() bool
}

// LatestUnknownError reports that a host cannot determine the latest version.
type LatestUnknownError struct {
	Reason string
}

func (e *LatestUnknownError) Error() string {
	return "this host does not know which version is in effect: " + e.Reason
}

// Core decides which heads and parts to read, from where, and which to apply.
// It is not safe for concurrent use.
type Core struct {
	cfg     Config
	rand    *rand.Rand
	start   basilmoor.Millis
	serving bool // whether Snapshot returns the snapshot

	snapshot     *bmcatalog.Snapshot
	peers        map[string]*peer
	lastContact  basilmoor.Millis
	laggingSince basilmoor.Millis
	lagging      bool
	lagHeadReads int // reads of the head since laggingSince

	store     storeState
	watch     watchState
	peerFetch pendingCall
	sources   sourceTracker
	effects   []Effect
}

// pendingCall tracks the calls of one kind, of which at most one is pending.
type pendingCall struct {
	pending   bool
	startedAt basilmoor.Millis
	timeout   basilmoor.Millis
}

func (c *pendingCall) start(now, timeout basilmoor.Millis) {
	c.pending = true
	c.startedAt = now
	c.timeout = timeout
}

// inFlight reports whether a call is pending and has not timed out. A response
// that arrives after the timeout is still used, because every head is validated.
func (c *pendingCall) inFlight(now basilmoor.Millis) bool {
	return c.pending && now-c.startedAt < c.timeout
}

// storeState holds the calls to the store and the results of the last ones.
type storeState struct {
	headRead     pendingCall
	partsRead    pendingCall
	nextHeadRead basilmoor.Millis
	headRevision int64 // of the head that was read or watched last
	unavailable  bool
	lastError    string

	// missingPart is the key of a part that the stored head lists but the store
	// does not hold; empty if there is none.
	missingPart string
}

// watchState holds the watch on the head, which only the watcher of a data
// centre has.
type watchState struct {
	isWatcher bool // this host is the watcher of its data centre
	pending   bool // a watch call is pending
	id        int  // of the last watch; results of earlier ones are ignored
}

// NewCore returns the state machine of a host without a configuration.
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
			nextHeadRead: now,
		},
		sources: newSourceTracker(),
	}
}

// Snapshot returns the snapshot in effect, or nil if there is none.
func (c *Core) Snapshot() *bmcatalog.Snapshot {
	if !c.serving {
		return nil
	}
	return c.snapshot
}

// Held returns the latest snapshot that this host obtained, which may not be in
// effect yet.
func (c *Core) Held() *bmcatalog.Snapshot { return c.snapshot }

// HighestKnownVersion returns the highest version that this host holds or that a
// peer reported.
func (c *Core) HighestKnownVersion() int64 {
	known := c.snapshot.Version()
	for _, p := range c.peers {
		known = max(known, p.version)
	}
	return known
}

// LatestVersion returns the highest version that this host holds or that a peer
// reported. Notes are accepted only if the store holds at least this version. The
// error is a *LatestUnknownError if other hosts may hold a higher version.
func (c *Core) LatestVersion() (int64, error) {
	if !c.cfg.HasMajorityContact() {
		return 0, &LatestUnknownError{
			Reason: "it hears from no majority of the fleet",
		}
	}
	if c.lagging {
		return 0, &LatestUnknownError{
			Reason: fmt.Sprintf("it holds version %d and heard of version %d", c.snapshot.Version(), c.HighestKnownVersion()),
		}
	}
	return c.HighestKnownVersion(), nil
}

// Isolated reports whether the host has been without contact with the store and
// its peers for too long to know which version is in effect. A host that is the
// only one of its fleet is never isolated.
func (c *Core) Isolated(now basilmoor.Millis) bool {
	return c.cfg.FleetSize() > 1 && now-c.lastContact >= isolationTimeout
}

// Resume discards pending calls, whose results will not arrive, and schedules a
// read of the head.
func (c *Core) Resume(now basilmoor.Millis) {
	c.store.headRead.pending = false
	c.store.partsRead.pending = false
	c.peerFetch.pending = false
	c.watch.pending = false
	c.store.nextHeadRead = now
}

// Tick handles timeouts and scheduled reads. It must be called several times per
// second.
func (c *Core) Tick(now basilmoor.Millis) []Effect {
	c.forgetPeers(now)
	c.updateWatch(now)
	if c.headReadDue(now) {
		c.readHead(now)
	}
	return c.finishEvent(now)
}

// finishEvent runs the steps that follow every event and returns the effects
// collected since the last event.
func (c *Core) finishEvent(now basilmoor.Millis) []Effect {
	c.fetchIfBehind(now)
	c.updateServing(now)
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// updateWatch starts or stops the watch when this host becomes the watcher or
// ceases to be it. Starting schedules a read of the head, which yields the
// revision to watch from.
func (c *Core) updateWatch(now basilmoor.Millis) {
	watcher := c.cfg.IsWatcher()
	switch {
	case watcher && !c.watch.isWatcher:
		c.watch.isWatcher = true
		c.store.nextHeadRead = now
	case !watcher && c.watch.isWatcher:
		c.watch = watchState{
			id: c.watch.id,
		}
		c.emit(StopWatch{})
	}
}

func (c *Core) headReadDue(now basilmoor.Millis) bool {
	if c.store.headRead.inFlight(now) {
		return false
	}
	if now >= c.store.nextHeadRead {
		return true
	}
	if now-c.store.headRead.startedAt < retryInterval {
		return false
	}
	if c.cfg.FleetSize() > 1 && now-c.lastContact >= storeProbeDelay {
		return true
	}
	return c.lagHeadReadDue(now)
}

// lagHeadReadDue reports whether to read the head because peers reported a
// version that they have not delivered.
func (c *Core) lagHeadReadDue(now basilmoor.Millis) bool {
	if !c.lagging {
		return false
	}
	wait := callTimeout << min(c.lagHeadReads, maxLagBackoffDoublings)
	return now-max(c.laggingSince, c.store.headRead.startedAt) >= wait
}

func (c *Core) readHead(now basilmoor.Millis) {
	c.store.headRead.start(now, callTimeout)
	if c.lagging {
		c.lagHeadReads++
	}
	c.store.nextHeadRead = now + c.jitter(headPollInterval)
	c.emit(ReadHead{})
}

// jitter returns a random duration within jitterFraction of d, with mean d.
func (c *Core) jitter(d basilmoor.Millis) basilmoor.Millis {
	return d + basilmoor.Millis(float64(d)*jitterFraction*(2*c.rand.Float64()-1))
}

// HandleHeadRead handles the result of ReadHead. A *basilmoor.NotFoundError
// counts as a response of the store: no note has been accepted yet.
func (c *Core) HandleHeadRead(now basilmoor.Millis, entry basilmoor.Entry, err error) []Effect {
	c.store.headRead.pending = false
	var none *basilmoor.NotFoundError
	if err != nil && !errors.As(err, &none) {
		c.storeFailed(now, err)
		return c.finishEvent(now)
	}
	c.storeResponded(now)
	changed := entry.Revision != c.store.headRevision
	c.store.headRevision = entry.Revision
	if entry.Version == 0 {
		c.handleEmptyStore()
	} else {
		c.handleStoredHead(now, entry.Value)
	}
	// If the head changed without an event, either the watch is stuck or it
	// waits for revisions that a restored store has not reached yet.
	if c.watch.isWatcher && (!c.watch.pending || changed) {
		c.startWatch(entry.Revision)
	}
	return c.finishEvent(now)
}

func (c *Core) startWatch(revision int64) {
	c.watch.pending = true
	c.watch.id++
	c.emit(StartWatch{
		ID:       c.watch.id,
		Revision: revision,
	})
}

// HandleWatch handles the result of StartWatch.
func (c *Core) HandleWatch(now basilmoor.Millis, id int, events []basilmoor.Event, revision int64, err error) []Effect {
	if id != c.watch.id || !c.watch.isWatcher {
		return nil
	}
	c.watch.pending = false
	var compacted *basilmoor.CompactedError
	if errors.As(err, &compacted) {
		c.storeResponded(now)
		c.store.nextHeadRead = now
		return c.finishEvent(now)
	}
	if err != nil {
		c.storeFailed(now, err)
		return c.finishEvent(now)
	}
	c.storeResponded(now)
	for _, e := range events {
		if e.Entry.Key != bmcatalog.HeadKey {
			continue
		}
		if e.Deleted {
			c.handleEmptyStore()
			continue
		}
		c.store.headRevision = e.Entry.Revision
		c.handleStoredHead(now, e.Entry.Value)
	}
	c.startWatch(revision)
	return c.finishEvent(now)
}

func (c *Core) storeResponded(now basilmoor.Millis) {
	c.lastContact = now
	c.store.unavailable = false
}

// storeFailed records a failed call to the store. A watcher retries soon, because
// its data centre depends on it; other hosts wait for the next regular read.
func (c *Core) storeFailed(now basilmoor.Millis, err error) {
	c.store.unavailable = true
	c.store.lastError = err.Error()
	c.sources.count(countStoreFailed)
	if c.watch.isWatcher {
		c.store.nextHeadRead = min(c.store.nextHeadRead, now+c.jitter(retryInterval))
	}
}

// HandlePartsRead handles the result of ReadParts: the parts of a stored head,
// by digest.
func (c *Core) HandlePartsRead(now basilmoor.Millis, head []byte, values map[string][]byte, err error) []Effect {
	c.store.partsRead.pending = false
	var missing *basilmoor.NotFoundError
	switch {
	case errors.As(err, &missing):
		// A later head no longer lists the part, or the store has lost it.
		c.storeResponded(now)
		c.store.missingPart = missing.Key
		c.store.nextHeadRead = min(c.store.nextHeadRead, now+retryInterval)
	case err != nil:
		c.storeFailed(now, err)
		c.store.nextHeadRead = min(c.store.nextHeadRead, now+c.jitter(retryInterval))
	default:
		c.storeResponded(now)
		c.handleHeadWithParts(storeSource, head, values)
	}
	return c.finishEvent(now)
}

// updateServing puts the first snapshot into effect: immediately if this host is
// the only one or holds the highest version that its peers reported, and
// otherwise after maxStartupWait.
func (c *Core) updateServing(now basilmoor.Millis) {
	if c.serving || c.snapshot == nil {
		return
	}
	alone := c.cfg.FleetSize() <= 1
	agreed := len(c.peers) > 0 && !c.lagging
	c.serving = alone || agreed || now-c.start >= maxStartupWait
}
