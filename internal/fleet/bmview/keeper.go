package bmview

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

const (
	// aloneWait is how long the watch of a host waits that follows the store
	// for itself, and sharedWait that of one whose view others follow. A
	// watch that ends renews the proof of the view's age, which counts from
	// its start: the age stays under twice this time while the store answers.
	aloneWait  basilmoor.Millis = 1500
	sharedWait basilmoor.Millis = 500

	// relayedAge is the age of a relayed proof from which a host asks the
	// store itself.
	relayedAge = 2 * basilmoor.Second

	// relayPoll is the time between two looks at the age of a relayed proof.
	relayPoll basilmoor.Millis = 100

	// gatherPause is the time after a change before the next watch, so that
	// changes in quick succession share a call.
	gatherPause basilmoor.Millis = 50

	// retryPause is the time between the starts of two calls to a store that
	// fails. It doubles up to relayedRetryMost for a host that follows
	// another: that one asks as well, and passes on what it learns.
	retryPause       basilmoor.Millis = 200
	relayedRetryMost basilmoor.Millis = 1600

	// outageAfter is the time without a confirmed view after which entries of
	// targets may have lapsed although the targets live.
	outageAfter = 3 * basilmoor.Second

	// returnGrace is how long after the store's return such an entry may be
	// missing.
	returnGrace = 2 * basilmoor.Second
)

// Feed reads the platform's state.
type Feed interface {
	// Snapshot reads all entries. The revision is where Watch goes on.
	Snapshot(ctx context.Context) ([]basilmoor.Event, int64, error)

	// Watch waits up to wait for changes after a revision. The error is a
	// *basilmoor.CompactedError if that history is gone.
	Watch(ctx context.Context, revision int64, wait basilmoor.Millis) ([]basilmoor.Event, int64, error)

	// Decode returns what entries mean.
	Decode(events []basilmoor.Event) Changes
}

// Keeper keeps the view of one host, from the store or relayed by another
// host. It is safe for concurrent use.
type Keeper struct {
	clock   basilmoor.Clock
	feed    Feed
	log     zerolog.Logger
	metrics *bmmetrics.Registry

	onView   func(*View)
	onUpdate func(Update)

	view      atomic.Pointer[View]
	confirmed atomic.Int64 // instant in ms at which the confirming call was sent
	known     atomic.Bool  // whether a call has confirmed the view
	relayed   atomic.Bool  // whether another host relays its view
	shared    atomic.Bool  // whether others follow this view
	spending  atomic.Pointer[[]byte]
	history   *history
	failures  int // of calls in a row; belongs to Serve

	mu          sync.Mutex // guards what follows, and orders the callbacks
	state       *state
	revision    int64
	returnUntil basilmoor.Millis // entries may be missing until then
	outage      bool
}

// NewKeeper returns a keeper with an empty view. onView is called with each new
// view and onUpdate with each step of the state, one at a time.
func NewKeeper(clock basilmoor.Clock, feed Feed, log zerolog.Logger, metrics *bmmetrics.Registry, onView func(*View), onUpdate func(Update)) *Keeper {
	k := &Keeper{
		clock:    clock,
		feed:     feed,
		log:      log,
		metrics:  metrics,
		onView:   onView,
		onUpdate: onUpdate,
		history:  newHistory(),
		state:    newState(),
	}
	k.view.Store(k.state.view())
	return k
}

// View returns the current view.
func (k *Keeper) View() *View {
	return k.view.Load()
}

// Age returns how old the proof of the view is at most; false before the first
// one.
func (k *Keeper) Age() (basilmoor.Millis, bool) {
	if !k.known.Load() {
		return 0, false
	}
	return k.clock.Now() - basilmoor.Millis(k.confirmed.Load()), true
}

// Spending returns the last record of what workspaces have spent, nil if there
// is none.
func (k *Keeper) Spending() []byte {
	if record := k.spending.Load(); record != nil {
		return *record
	}
	return nil
}

// Since returns the steps of the state after a revision.
func (k *Keeper) Since(revision int64) []Update {
	return k.history.since(revision)
}

// Revision returns the revision of the state, 0 before the first one.
func (k *Keeper) Revision() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision
}

// SetRelayed tells whether another host relays its view.
func (k *Keeper) SetRelayed(relayed bool) {
	k.relayed.Store(relayed)
}

// SetShared tells whether other hosts follow this view.
func (k *Keeper) SetShared(shared bool) {
	k.shared.Store(shared)
}

// Relay takes steps of the state from another host. It returns false if a step
// is missing.
func (k *Keeper) Relay(updates []Update) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(updates) > 0 {
		k.noteReturn()
	}
	for _, u := range updates {
		if u.To <= k.revision {
			continue
		}
		if u.From > k.revision {
			return false
		}
		k.apply(u)
	}
	return true
}

// Confirm takes a relayed proof that the view was complete at an instant.
func (k *Keeper) Confirm(at basilmoor.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.revision > 0 && (!k.known.Load() || int64(at) > k.confirmed.Load()) {
		k.confirm(at)
	}
	k.publish(false)
}

// Serve follows the platform's state until ctx ends.
func (k *Keeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := k.turn(ctx)
		if pause == 0 {
			continue
		}
		if err := k.clock.Sleep(ctx, pause); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// turn makes a call unless another host's proof makes it needless, and returns
// the time until the next turn.
func (k *Keeper) turn(ctx context.Context) basilmoor.Millis {
	if k.followsRelay() {
		k.failures = 0
		return relayPoll
	}
	began := k.clock.Now()
	changed, err := k.step(ctx)
	if err != nil && ctx.Err() == nil {
		k.fail(err)
		return max(k.backOff()-(k.clock.Now()-began), 1)
	}
	k.failures = 0
	if changed {
		return gatherPause
	}
	return 0
}

// backOff is the time between the starts of a call that failed and the next.
func (k *Keeper) backOff() basilmoor.Millis {
	pause := retryPause
	if k.relayed.Load() {
		pause = min(retryPause<<min(k.failures, 8), relayedRetryMost)
	}
	k.failures++
	return pause
}

// followsRelay reports whether another host's proof makes calls to the store
// needless.
func (k *Keeper) followsRelay() bool {
	age, known := k.Age()
	return k.relayed.Load() && known && age < relayedAge
}

// step makes one call and applies what it brought.
func (k *Keeper) step(ctx context.Context) (changed bool, err error) {
	from := k.Revision()
	sent := k.clock.Now()
	k.metrics.Add("view.calls", 1)
	u := Update{
		From: from,
	}
	if from == 0 {
		u.Events, u.To, err = k.feed.Snapshot(ctx)
	} else {
		u.Events, u.To, err = k.feed.Watch(ctx, from, k.wait(sent))
	}
	var compacted *basilmoor.CompactedError
	if errors.As(err, &compacted) {
		k.log.Warn().Int64("revision", from).Msg("history of the store is gone, reading all")
		k.metrics.Add("view.compacted", 1)
		sent = k.clock.Now()
		u.From = 0
		u.Events, u.To, err = k.feed.Snapshot(ctx)
	}
	if err != nil {
		return false, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noteReturn()
	if u.To > k.revision || u.From == 0 && u.To == k.revision {
		k.apply(u)
	}
	k.confirm(sent)
	k.publish(false)
	return len(u.Events) > 0, nil
}

// wait shortens a watch while targets are kept that may be gone.
func (k *Keeper) wait(now basilmoor.Millis) basilmoor.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	wait := aloneWait
	if k.shared.Load() {
		wait = sharedWait
	}
	for _, until := range k.state.missing {
		wait = min(wait, max(until-now, 1))
	}
	return wait
}

// apply takes a step that follows the present revision or replaces it.
func (k *Keeper) apply(u Update) {
	changes := k.feed.Decode(u.Events)
	if u.From == 0 {
		k.state.replace(changes, k.keepUntil())
	} else {
		k.state.apply(changes, k.keepUntil())
	}
	if changes.Spending != nil {
		k.spending.Store(&changes.Spending)
	}
	k.revision = u.To
	k.history.add(u)
	k.publish(len(changes.Targets) > 0 || len(changes.Hosts) > 0 || changes.Table != nil || u.From == 0)
	k.onUpdate(u)
}

// noteReturn notes that the store answers after a time without an answer.
func (k *Keeper) noteReturn() {
	age, known := k.Age()
	if k.outage {
		k.outage = false
		k.log.Info().Int64("age-ms", int64(age)).Msg("store regained")
	}
	if known && age >= outageAfter {
		k.returnUntil = k.clock.Now() + returnGrace
	}
}

// confirm notes that the view was complete at an instant. It is called after
// the changes up to then were published, because others rely on the order.
func (k *Keeper) confirm(at basilmoor.Millis) {
	k.confirmed.Store(int64(at))
	k.known.Store(true)
}

// keepUntil is the instant until which targets that vanish now are kept.
func (k *Keeper) keepUntil() basilmoor.Millis {
	if k.clock.Now() < k.returnUntil {
		return k.returnUntil
	}
	return 0
}

func (k *Keeper) publish(changed bool) {
	if k.state.expire(k.clock.Now()) {
		changed = true
	}
	if !changed {
		return
	}
	old := k.view.Load()
	v := k.state.view()
	k.view.Store(v)
	if v.Table != nil && (old.Table == nil || old.Table.Version() != v.Table.Version()) {
		k.log.Info().Int64("version", v.Table.Version()).Int64("revision", k.revision).Bool("relayed", k.relayed.Load()).Msg("desired state in effect")
	}
	k.onView(v)
}

func (k *Keeper) fail(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.metrics.Add("view.failed-calls", 1)
	if k.outage {
		return
	}
	k.outage = true
	k.log.Warn().Err(err).Msg("store lost")
}
