package bmview

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

const (
	// watchWait is how long a watch waits for changes. Each watch that ends
	// renews the proof of the view's age, so that the age stays under twice
	// this time while the store answers.
	watchWait = 1500 * basilmoor.Millis(1)

	// retryPause is the time between calls to a store that fails.
	retryPause basilmoor.Millis = 200

	// outageAfter is the time without a confirmed view after which entries of
	// targets may have lapsed although the targets live.
	outageAfter = 3 * basilmoor.Second

	// returnGrace is how long after the store's return such an entry may be
	// missing.
	returnGrace = 2 * basilmoor.Second
)

// Feed reads the platform's state.
type Feed interface {
	// Snapshot reads everything. The revision is where Watch goes on.
	Snapshot(ctx context.Context) (Changes, int64, error)

	// Watch waits up to wait for changes after a revision. The error is a
	// *basilmoor.CompactedError if that history is gone.
	Watch(ctx context.Context, revision int64, wait basilmoor.Millis) (Changes, int64, error)
}

// Keeper keeps the view of one host. It is safe for concurrent use.
type Keeper struct {
	clock   basilmoor.Clock
	feed    Feed
	log     zerolog.Logger
	metrics *bmmetrics.Registry
	onView  func(*View)

	view      atomic.Pointer[View]
	confirmed atomic.Int64 // instant in ms at which the confirming call was sent
	known     atomic.Bool  // whether a call has confirmed the view

	state       *state
	revision    int64
	returnUntil basilmoor.Millis // entries may be missing until then
	outage      bool
}

// NewKeeper returns a keeper with an empty view. onView is called with each
// new view, from the goroutine of Serve.
func NewKeeper(clock basilmoor.Clock, feed Feed, log zerolog.Logger, metrics *bmmetrics.Registry, onView func(*View)) *Keeper {
	k := &Keeper{
		clock:   clock,
		feed:    feed,
		log:     log,
		metrics: metrics,
		onView:  onView,
		state:   newState(),
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

// Serve follows the platform's state until ctx ends.
func (k *Keeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := k.step(ctx); err != nil && ctx.Err() == nil {
			k.fail(err)
			if err := k.clock.Sleep(ctx, retryPause); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}

// step makes one call and applies what it brought.
func (k *Keeper) step(ctx context.Context) error {
	if k.revision == 0 {
		return k.readAll(ctx)
	}
	sent := k.clock.Now()
	changes, revision, err := k.feed.Watch(ctx, k.revision, k.wait(sent))
	var compacted *basilmoor.CompactedError
	if errors.As(err, &compacted) {
		k.log.Warn().Int64("revision", k.revision).Msg("history of the store is gone, reading all")
		k.metrics.Add("view.compacted", 1)
		k.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	k.confirm(sent)
	k.state.apply(changes, k.keepUntil())
	k.revision = max(k.revision, revision)
	k.publish(len(changes.Targets) > 0 || len(changes.Hosts) > 0 || changes.Table != nil)
	return nil
}

// wait shortens a watch while targets are kept that may be gone.
func (k *Keeper) wait(now basilmoor.Millis) basilmoor.Millis {
	wait := watchWait
	for _, until := range k.state.missing {
		wait = min(wait, max(until-now, 1))
	}
	return wait
}

func (k *Keeper) readAll(ctx context.Context) error {
	sent := k.clock.Now()
	changes, revision, err := k.feed.Snapshot(ctx)
	if err != nil {
		return err
	}
	k.confirm(sent)
	k.state.replace(changes, k.keepUntil())
	k.revision = revision
	k.publish(true)
	return nil
}

// confirm notes that a call sent at an instant was answered.
func (k *Keeper) confirm(sent basilmoor.Millis) {
	age, known := k.Age()
	if k.outage {
		k.outage = false
		k.log.Info().Int64("age-ms", int64(age)).Msg("store regained")
	}
	if known && age >= outageAfter {
		k.returnUntil = k.clock.Now() + returnGrace
	}
	k.confirmed.Store(int64(sent))
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
		k.log.Info().Int64("version", v.Table.Version()).Int64("revision", k.revision).Msg("desired state in effect")
	}
	k.onView(v)
}

func (k *Keeper) fail(err error) {
	k.metrics.Add("view.failed-calls", 1)
	if k.outage {
		return
	}
	k.outage = true
	k.log.Warn().Err(err).Msg("store lost")
}
