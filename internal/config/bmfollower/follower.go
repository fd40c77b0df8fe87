package bmfollower

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

// tickInterval is the interval between calls of Core.Tick, and thus the
// resolution of the core's timeouts.
const tickInterval basilmoor.Millis = 250

// watchDuration is the time after which a watch without changes returns. The
// return also shows that the store is reachable.
const watchDuration = headPollInterval

// Options configure a Follower.
type Options struct {
	Config

	Clock basilmoor.Clock
	Store basilmoor.Store
	Log   zerolog.Logger

	// Peer returns the connection to another host.
	Peer func(host string) (basilmoor.ConfigPeer, bool)
}

// Follower keeps the configuration of one host up to date while Serve runs. It
// is safe for concurrent use.
type Follower struct {
	opts    Options
	current atomic.Pointer[bmcatalog.Snapshot]
	held    atomic.Pointer[bmcatalog.Snapshot]

	mu        sync.Mutex
	core      *Core
	ctx       context.Context // of Serve; nil while Serve is not running
	stopWatch context.CancelFunc
	tasks     sync.WaitGroup
}

var (
	_ basilmoor.CatalogSource = (*Follower)(nil)
	_ basilmoor.ConfigPeer    = (*Follower)(nil)
)

// New returns a follower without a configuration.
func New(opts Options) *Follower {
	return &Follower{
		opts:      opts,
		core:      NewCore(opts.Config, opts.Clock.Now()),
		stopWatch: func() {},
	}
}

// Serve keeps the configuration up to date until ctx ends, and returns the error
// of ctx.
func (f *Follower) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer f.tasks.Wait()
	defer f.detach()
	defer cancel()
	f.attach(ctx)
	for {
		f.handleEvent(func(now basilmoor.Millis) []Effect { return f.core.Tick(now) })
		if err := f.opts.Clock.Sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
}

func (f *Follower) attach(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ctx = ctx
	f.core.Resume(f.opts.Clock.Now())
}

// detach prevents new tasks from starting once Serve waits for the running ones.
func (f *Follower) detach() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ctx = nil
}

// handleEvent passes an event to the core, publishes the new snapshots and starts
// the effects. While Serve is not running, it drops the event.
func (f *Follower) handleEvent(event func(now basilmoor.Millis) []Effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx == nil {
		return
	}
	effects := event(f.opts.Clock.Now())
	f.publish()
	for _, e := range effects {
		f.startEffect(e)
	}
}

func (f *Follower) publish() {
	f.held.Store(f.core.Held())
	next := f.core.Snapshot()
	if next == f.current.Load() {
		return
	}
	f.current.Store(next)
	f.opts.Log.Info().
		Int64("version", next.Version()).
		Str("note", next.NoteID()).
		Msg("configuration in effect")
}

func (f *Follower) startEffect(e Effect) {
	if _, ok := e.(StopWatch); ok {
		f.stopWatch()
		return
	}
	ctx := f.ctx
	if _, ok := e.(StartWatch); ok {
		f.stopWatch()
		ctx, f.stopWatch = context.WithCancel(ctx)
	}
	t := &task{
		follower: f,
		effect:   e,
	}
	f.tasks.Add(1)
	go t.run(ctx)
}

// RecordHeartbeat takes the configuration version that a heartbeat reports.
func (f *Follower) RecordHeartbeat(host string, version int64, note string) {
	f.handleEvent(func(now basilmoor.Millis) []Effect { return f.core.HandleHeartbeat(now, host, version, note) })
}

// Catalog returns the snapshot in effect.
func (f *Follower) Catalog() (basilmoor.Catalog, bool) {
	s := f.current.Load()
	return s, s != nil
}

// Snapshot returns the snapshot in effect, or nil if there is none.
func (f *Follower) Snapshot() *bmcatalog.Snapshot { return f.current.Load() }

// Held returns the snapshot that this host reports in its heartbeats. During
// startup it may be ahead of the one in effect. Held takes no lock, because
// heartbeats are built while the core, under its lock, queries the membership.
func (f *Follower) Held() *bmcatalog.Snapshot { return f.held.Load() }

// Fetch returns the held head and the parts that the calling peer does not hold.
func (f *Follower) Fetch(_ context.Context, held []string) ([]byte, []basilmoor.ConfigPart, error) {
	return ServeFetch(f.Held(), held)
}

// LatestVersion returns the result of Core.LatestVersion.
func (f *Follower) LatestVersion() (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.LatestVersion()
}

// Isolated returns the result of Core.Isolated at the present time.
func (f *Follower) Isolated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Isolated(f.opts.Clock.Now())
}

// Status returns the state of this host's configuration.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Status(f.opts.Clock.Now())
}

// task runs one effect and passes the result to the core.
type task struct {
	follower *Follower
	effect   Effect
}

func (t *task) run(ctx context.Context) {
	defer t.follower.tasks.Done()
	f := t.follower
	switch e := t.effect.(type) {
	case ReadHead:
		entry, err := f.readEntry(ctx, bmcatalog.HeadKey)
		f.handleEvent(func(now basilmoor.Millis) []Effect { return f.core.HandleHeadRead(now, entry, err) })
	case ReadParts:
		values, err := f.readParts(ctx, e.Refs)
		f.handleEvent(func(now basilmoor.Millis) []Effect { return f.core.HandlePartsRead(now, e.Head, values, err) })
	case FetchFromPeer:
		head, parts, err := f.fetchFromPeer(ctx, e)
		f.handleEvent(func(now basilmoor.Millis) []Effect { return f.core.HandlePeerFetch(now, e.Host, head, parts, err) })
	case StartWatch:
		events, revision, err := f.watchHead(ctx, e.Revision)
		f.handleEvent(func(now basilmoor.Millis) []Effect { return f.core.HandleWatch(now, e.ID, events, revision, err) })
	}
}

func (f *Follower) readEntry(ctx context.Context, key string) (basilmoor.Entry, error) {
	ctx, cancel := bmclock.WithTimeout(ctx, f.opts.Clock, callTimeout)
	defer cancel()
	return f.opts.Store.Get(ctx, key)
}

func (f *Follower) readParts(ctx context.Context, refs []bmcatalog.PartRef) (map[string][]byte, error) {
	values := make(map[string][]byte, len(refs))
	for _, r := range refs {
		entry, err := f.readEntry(ctx, bmcatalog.PartKey(r.Digest))
		if err != nil {
			return nil, err
		}
		values[r.Digest] = entry.Value
	}
	return values, nil
}

func (f *Follower) fetchFromPeer(ctx context.Context, e FetchFromPeer) ([]byte, []basilmoor.ConfigPart, error) {
	p, ok := f.opts.Peer(e.Host)
	if !ok {
		return nil, nil, errors.Errorf("no connection to host %s", e.Host)
	}
	timeout := callTimeout
	if len(e.Held) == 0 {
		timeout = transferTimeout
	}
	ctx, cancel := bmclock.WithTimeout(ctx, f.opts.Clock, timeout)
	defer cancel()
	return p.Fetch(ctx, e.Held)
}

func (f *Follower) watchHead(ctx context.Context, revision int64) ([]basilmoor.Event, int64, error) {
	ctx, cancel := bmclock.WithTimeout(ctx, f.opts.Clock, watchDuration+callTimeout)
	defer cancel()
	return f.opts.Store.Watch(ctx, bmcatalog.HeadKey, revision, watchDuration)
}
