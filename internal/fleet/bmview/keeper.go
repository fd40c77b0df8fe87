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
	// unsharedWatchWait is the wait time of a watch on a host that reads the
	// store only for itself, and sharedWatchWait on a host that relays its
	// view to others or lends it to the one that does. Each watch that returns
	// confirms the view as of the watch's start, so the age of the view stays
	// below twice the wait time while the store responds.
	unsharedWatchWait basilmoor.Millis = 1500
	sharedWatchWait   basilmoor.Millis = 500

	// maxRelayedAge is the age of a relayed view from which a host that is not
	// on standby reads the store itself. While the store answers, a relayed
	// view is younger than 1.2 s.
	maxRelayedAge basilmoor.Millis = 1300

	// relayPollPeriod is the period at which the age of a relayed view is
	// checked.
	relayPollPeriod basilmoor.Millis = 100

	// changeBatchDelay is the delay of the next watch after a change, so that
	// one call returns several changes in quick succession.
	changeBatchDelay basilmoor.Millis = 50

	// minRetryPeriod is the time between the starts of two calls to a store
	// that fails. On a host that receives a relayed view it doubles with each
	// failure up to maxRelayedRetryPeriod, because the relaying host retries
	// as well and passes on the result.
	minRetryPeriod        basilmoor.Millis = 200
	maxRelayedRetryPeriod basilmoor.Millis = 1600

	// outageThreshold is the age of the view from which the store may have
	// expired the entries of targets that are still alive.
	outageThreshold = 3 * basilmoor.Second

	// recoveryGrace is the time that targets have to restore such entries
	// after the store has recovered.
	recoveryGrace = 2 * basilmoor.Second
)

// Feed reads the platform's state.
type Feed interface {
	// Snapshot returns all entries and the position to watch from.
	Snapshot(ctx context.Context) ([]basilmoor.Event, basilmoor.Position, error)

	// Watch waits up to wait for changes after a position and returns them with
	// the position of the next watch. The error is a *basilmoor.CompactedError if
	// the store no longer has that history, or is in another era.
	Watch(ctx context.Context, from basilmoor.Position, wait basilmoor.Millis) ([]basilmoor.Event, basilmoor.Position, error)

	// Decode converts events to changes of the view.
	Decode(events []basilmoor.Event) Changes
}

// Keeper maintains the view of one host, which it reads from the store or
// receives from another host. It is safe for concurrent use.
type Keeper struct {
	clock   basilmoor.Clock
	feed    Feed
	log     zerolog.Logger
	metrics *bmmetrics.Registry

	onView   func(*View)
	onUpdate func(Update)

	view                atomic.Pointer[View]
	confirmedAt         atomic.Int64 // instant in ms at which the last confirming call was sent
	hasConfirmation     atomic.Bool  // whether the view has ever been confirmed
	relayed             atomic.Bool  // whether another host relays its view
	shared              atomic.Bool  // whether other hosts follow this view
	standbyAge          atomic.Int64 // added to maxRelayedAge, in ms
	spending            atomic.Pointer[[]byte]
	history             *history
	consecutiveFailures int // of calls; accessed only by Serve

	mu               sync.Mutex // guards the fields below and serializes the callbacks
	state            *state
	position         basilmoor.Position
	recoveryGraceEnd basilmoor.Millis // entries of live targets may be missing until then
	restoration      restoration
	outage           bool
}

// NewKeeper returns a keeper with an empty view. It calls onView with each new
// view and onUpdate with each update of the state, one call at a time.
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

// Age returns an upper bound of the view's age, and false if the view has not
// been confirmed yet.
func (k *Keeper) Age() (basilmoor.Millis, bool) {
	if !k.hasConfirmation.Load() {
		return 0, false
	}
	return k.clock.Now() - basilmoor.Millis(k.confirmedAt.Load()), true
}

// Spending returns the latest record of the workspaces' spending, nil if there
// is none.
func (k *Keeper) Spending() []byte {
	if record := k.spending.Load(); record != nil {
		return *record
	}
	return nil
}

// UpdatesSince returns the updates of the state after a position.
func (k *Keeper) UpdatesSince(p basilmoor.Position) []Update {
	return k.history.since(p)
}

// Position returns the position of the state, zero before the first update.
func (k *Keeper) Position() basilmoor.Position {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.position
}

// SetRelayed sets whether another host relays its view to this one.
func (k *Keeper) SetRelayed(relayed bool) {
	k.relayed.Store(relayed)
}

// SetShared sets whether other hosts follow this view.
func (k *Keeper) SetShared(shared bool) {
	k.shared.Store(shared)
}

// SetStandbyAge sets how much older than maxRelayedAge a relayed view has to be
// before this host reads the store itself.
func (k *Keeper) SetStandbyAge(extra basilmoor.Millis) {
	k.standbyAge.Store(int64(extra))
}

// ApplyRelayed applies updates of the state from another host and skips those
// that are already applied. It returns false if updates are missing in between.
func (k *Keeper) ApplyRelayed(updates []Update) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(updates) > 0 {
		k.recordRecovery()
	}
	for _, u := range updates {
		if !k.position.Before(u.To) {
			continue
		}
		u = k.relativeToState(u)
		if !u.appliesAt(k.position) {
			return false
		}
		k.applyUpdate(u)
	}
	return true
}

// relativeToState turns a complete state into the changes from the current one, if
// there is one. k.mu is held.
func (k *Keeper) relativeToState(u Update) Update {
	if !u.From.IsZero() || k.position.IsZero() {
		return u
	}
	changes := k.history.difference(u)
	if !changes.crossesEras() {
		changes.Events = k.withoutDoubtful(changes.Events)
	}
	return changes
}

// Confirm records the relayed confirmation that the view of an era was complete at an
// instant. It ignores one that is older than the latest confirmation, or that proves
// nothing because this view is of another era.
func (k *Keeper) Confirm(era int64, at basilmoor.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.position.IsZero() || era != k.position.Era {
		return
	}
	if !k.hasConfirmation.Load() || int64(at) > k.confirmedAt.Load() {
		k.confirm(at)
	}
	k.publish(false)
}

// Serve keeps the view up to date until ctx ends. It implements suture.Service.
func (k *Keeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		delay := k.poll(ctx)
		if delay == 0 {
			continue
		}
		if err := k.clock.Sleep(ctx, delay); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// poll fetches changes unless a relayed view is fresh enough, and returns the
// delay until the next poll.
func (k *Keeper) poll(ctx context.Context) basilmoor.Millis {
	if k.hasFreshRelay() && !k.rereadDue() {
		k.consecutiveFailures = 0
		return relayPollPeriod
	}
	began := k.clock.Now()
	changed, err := k.fetch(ctx)
	if err != nil && ctx.Err() == nil {
		k.recordFailure(err)
		return max(k.nextRetryPeriod()-(k.clock.Now()-began), 1)
	}
	k.consecutiveFailures = 0
	if changed {
		return changeBatchDelay
	}
	return 0
}

// nextRetryPeriod counts a failed call and returns the time between its start
// and the start of the next call.
func (k *Keeper) nextRetryPeriod() basilmoor.Millis {
	period := minRetryPeriod
	if k.relayed.Load() {
		period = min(minRetryPeriod<<min(k.consecutiveFailures, 8), maxRelayedRetryPeriod)
	}
	k.consecutiveFailures++
	return period
}

// hasFreshRelay reports whether the view is relayed and recent enough that the
// store need not be read.
func (k *Keeper) hasFreshRelay() bool {
	age, known := k.Age()
	return k.relayed.Load() && known && age < maxRelayedAge+basilmoor.Millis(k.standbyAge.Load())
}

// fetch makes one call to the store, or a second one if the history was
// compacted, and applies the result.
func (k *Keeper) fetch(ctx context.Context) (changed bool, err error) {
	from := k.Position()
	if k.rereadDue() {
		from = basilmoor.Position{}
	}
	sent := k.clock.Now()
	k.metrics.Add("view.calls", 1)
	u := Update{
		From: from,
	}
	if from.IsZero() {
		u.Events, u.To, err = k.feed.Snapshot(ctx)
	} else {
		u.Events, u.To, err = k.feed.Watch(ctx, from, k.watchWait(sent))
	}
	var compacted *basilmoor.CompactedError
	if errors.As(err, &compacted) {
		k.log.Warn().Int64("era", from.Era).Int64("revision", from.Revision).Msg("history of the store is gone, reading all")
		k.metrics.Add("view.compacted", 1)
		sent = k.clock.Now()
		u.From = basilmoor.Position{}
		u.Events, u.To, err = k.feed.Snapshot(ctx)
	}
	if err != nil {
		return false, err
	}
	return k.applyRead(u, sent), nil
}

// applyRead applies what a call to the store has returned that was sent at an instant,
// and reports whether it has changed anything.
func (k *Keeper) applyRead(u Update, sent basilmoor.Millis) (changed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recordRecovery()
	if u.To.Era < k.position.Era {
		// Another host has relayed a later era in the meantime, of which this
		// response proves nothing.
		k.metrics.Add("view.set-aside-reads", 1)
		return false
	}
	settled := k.settles(u)
	if u.From.IsZero() {
		k.recordReread(u)
	}
	u = k.relativeToState(u)
	if k.position.Before(u.To) {
		k.applyUpdate(u)
	}
	if settled {
		k.restoration.unsettledUntil = 0
	}
	if sent >= k.restoration.unsettledUntil {
		k.confirm(sent)
	}
	k.publish(false)
	return len(u.Events) > 0
}

// watchWait returns the wait time of the next watch, which ends no later than
// the retention of a target.
func (k *Keeper) watchWait(now basilmoor.Millis) basilmoor.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	wait := unsharedWatchWait
	if k.shared.Load() || k.relayed.Load() {
		wait = sharedWatchWait
	}
	for _, until := range k.state.retained {
		wait = min(wait, max(until-now, 1))
	}
	return wait
}

// applyUpdate applies an update of the current state. k.mu is held.
func (k *Keeper) applyUpdate(u Update) {
	hostsRetainedUntil := basilmoor.Millis(0)
	if k.position.Era != u.To.Era {
		u = k.enterEra(u)
		hostsRetainedUntil = k.clock.Now() + hostGrace
	}
	changes := k.feed.Decode(u.Events)
	switch {
	case k.state.isOlder(changes.Table):
		u.Events = k.withoutOlderTable(u.Events)
	case k.state.isNewer(changes.Table):
		k.recordTable(u.To.Era)
	}
	k.state.apply(changes, k.retentionEnd(), hostsRetainedUntil)
	k.state.applyRollouts(changes, u.To.Era, k.clock.Now())
	if changes.Spending != nil {
		k.spending.Store(&changes.Spending)
	}
	if changes.SettledEra == u.To.Era {
		k.restoration.unsettledUntil = 0
	}
	k.position = u.To
	k.history.add(u, k.clock.Now())
	k.publish(changes.isView() || u.From.IsZero())
	k.onUpdate(u)
}

// recordRecovery ends an outage of the store, and starts the grace period
// for missing entries if the view has become too old. k.mu is held.
func (k *Keeper) recordRecovery() {
	age, known := k.Age()
	if k.outage {
		k.outage = false
		k.log.Info().Int64("age-ms", int64(age)).Msg("store regained")
	}
	if known && age >= outageThreshold {
		k.recoveryGraceEnd = k.clock.Now() + recoveryGrace
	}
}

// confirm records that the view was complete at an instant. The changes up to
// that instant must be published first: whoever sees the new age may rely on
// them. confirmedAt is stored first, because Age reads it after hasConfirmation. k.mu is
// held.
func (k *Keeper) confirm(at basilmoor.Millis) {
	k.recordProof()
	k.confirmedAt.Store(int64(at))
	k.hasConfirmation.Store(true)
}

// retentionEnd returns the instant until which targets removed now are retained,
// or 0 if they are not.
func (k *Keeper) retentionEnd() basilmoor.Millis {
	if k.clock.Now() < k.recoveryGraceEnd {
		return k.recoveryGraceEnd
	}
	return 0
}

// publish builds a new view and passes it on if the state has changed or the
// retention of a target has ended. k.mu is held.
func (k *Keeper) publish(changed bool) {
	if k.state.removeExpired(k.clock.Now()) {
		changed = true
	}
	if !changed {
		return
	}
	old := k.view.Load()
	v := k.state.view()
	k.view.Store(v)
	if v.Table != nil && (old.Table == nil || old.Table.Version() != v.Table.Version()) {
		k.log.Info().Int64("version", v.Table.Version()).Int64("era", k.position.Era).Int64("revision", k.position.Revision).Bool("relayed", k.relayed.Load()).Msg("desired state in effect")
	}
	k.onView(v)
}

// recordFailure counts a failed call and logs the start of an outage.
func (k *Keeper) recordFailure(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.metrics.Add("view.failed-calls", 1)
	if k.outage {
		return
	}
	k.outage = true
	k.log.Warn().Err(err).Msg("store lost")
}
