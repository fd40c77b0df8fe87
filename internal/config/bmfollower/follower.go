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

// tickInterval is the resolution of the core's intervals.
const tickInterval basilmoor.Millis = 250

// watchWait is the time after which a watch without changes returns. It also
// shows that the store is alive.
const watchWait = backstopInterval

// Options set up a follower.
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
	ctx       context.Context // of Serve; nil while it doesn't run
	stopWatch context.CancelFunc
	tasks     sync.WaitGroup
}

var (
	_ basilmoor.CatalogSource = (*Follower)(nil)
	_ basilmoor.ConfigPeer    = (*Follower)(nil)
)

// New returns a follower that holds nothing.
func New(opts Options) *Follower {
	return &Follower{
		opts:      opts,
		core:      NewCore(opts.Config, opts.Clock.Now()),
		stopWatch: func() {},
	}
}

// Serve follows the configuration until ctx ends, and then returns its error.
func (f *Follower) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer f.tasks.Wait()
	defer f.end()
	defer cancel()
	f.begin(ctx)
	for {
		f.handle(func(now basilmoor.Millis) []Effect { return f.core.Tick(now) })
		if err := f.opts.Clock.Sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
}

func (f *Follower) begin(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ctx = ctx
	f.core.Resume(f.opts.Clock.Now())
}

// end keeps tasks from being started after Serve has begun to wait for them.
func (f *Follower) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ctx = nil
}

// handle passes an event to the core and starts what it asks for.
func (f *Follower) handle(event func(now basilmoor.Millis) []Effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx == nil {
		return
	}
	effects := event(f.opts.Clock.Now())
	f.publish()
	for _, e := range effects {
		f.start(e)
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

func (f *Follower) start(e Effect) {
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
	f.handle(func(now basilmoor.Millis) []Effect { return f.core.RecordHeartbeat(now, host, version, note) })
}

// Catalog returns the snapshot in effect.
func (f *Follower) Catalog() (basilmoor.Catalog, bool) {
	s := f.current.Load()
	return s, s != nil
}

// Snapshot returns the snapshot in effect, nil if there is none.
func (f *Follower) Snapshot() *bmcatalog.Snapshot { return f.current.Load() }

// Held returns the snapshot that heartbeats report: it may be ahead of the one
// in effect while this host starts. It takes no lock, because heartbeats are
// composed while the core asks the membership who is live.
func (f *Follower) Held() *bmcatalog.Snapshot { return f.held.Load() }

// Fetch serves the configuration to a peer.
func (f *Follower) Fetch(_ context.Context, held []string) ([]byte, []basilmoor.ConfigPart, error) {
	return Fetch(f.Held(), held)
}

// Latest is Core.Latest.
func (f *Follower) Latest() (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Latest()
}

// Isolated reports whether this host can't know what is in effect.
func (f *Follower) Isolated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Isolated(f.opts.Clock.Now())
}

// Status describes this host's configuration.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Status(f.opts.Clock.Now())
}

// task makes one call.
type task struct {
	follower *Follower
	effect   Effect
}

func (t *task) run(ctx context.Context) {
	defer t.follower.tasks.Done()
	f := t.follower
	switch e := t.effect.(type) {
	case ReadHead:
		entry, err := f.get(ctx, bmcatalog.HeadKey)
		f.handle(func(now basilmoor.Millis) []Effect { return f.core.HeadRead(now, entry, err) })
	case ReadParts:
		values, err := f.readParts(ctx, e.Refs)
		f.handle(func(now basilmoor.Millis) []Effect { return f.core.PartsRead(now, e.Head, values, err) })
	case FetchPeer:
		head, parts, err := f.fetch(ctx, e)
		f.handle(func(now basilmoor.Millis) []Effect { return f.core.PeerFetched(now, e.Host, head, parts, err) })
	case StartWatch:
		events, revision, err := f.watch(ctx, e.Revision)
		f.handle(func(now basilmoor.Millis) []Effect { return f.core.Watched(now, e.ID, events, revision, err) })
	}
}

func (f *Follower) get(ctx context.Context, key string) (basilmoor.Entry, error) {
	ctx, cancel := bmclock.WithTimeout(ctx, f.opts.Clock, callTimeout)
	defer cancel()
	return f.opts.Store.Get(ctx, key)
}

func (f *Follower) readParts(ctx context.Context, refs []bmcatalog.PartRef) (map[string][]byte, error) {
	values := make(map[string][]byte, len(refs))
	for _, r := range refs {
		entry, err := f.get(ctx, bmcatalog.PartKey(r.Digest))
		if err != nil {
			return nil, err
		}
		values[r.Digest] = entry.Value
	}
	return values, nil
}

func (f *Follower) fetch(ctx context.Context, e FetchPeer) ([]byte, []basilmoor.ConfigPart, error) {
	p, ok := f.opts.Peer(e.Host)
	if !ok {
		return nil, nil, errors.Errorf("no connection to host %s", e.Host)
	}
	limit := callTimeout
	if len(e.Held) == 0 {
		limit = transferTimeout
	}
	ctx, cancel := bmclock.WithTimeout(ctx, f.opts.Clock, limit)
	defer cancel()
	return p.Fetch(ctx, e.Held)
}

func (f *Follower) watch(ctx context.Context, revision int64) ([]basilmoor.Event, int64, error) {
	ctx, cancel := bmclock.WithTimeout(ctx, f.opts.Clock, watchWait+callTimeout)
	defer cancel()
	return f.opts.Store.Watch(ctx, bmcatalog.HeadKey, revision, watchWait)
}
