package bmgrant

import (
	"context"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmrollout"
)

// rolloutWritePeriod is the interval at which the writer looks for what is to be stored.
const rolloutWritePeriod basilmoor.Millis = 50

// RolloutKeys are the store keys of the rollouts.
type RolloutKeys struct {
	// Record returns the key of the record of a pool's rollout.
	Record func(pool string) string
	// Status returns the key and the value of the status for the operator.
	Status func(bmrollout.Status) (key string, value []byte, err error)
}

// RolloutWriter stores the records and the statuses of the rollouts that the broker of
// this host owns. Each write has the condition that nobody has written since.
type RolloutWriter struct {
	clock  basilmoor.Clock
	store  basilmoor.Store
	keys   RolloutKeys
	broker *Broker
	log    zerolog.Logger
}

// NewRolloutWriter returns a writer for the rollouts of broker.
func NewRolloutWriter(clock basilmoor.Clock, store basilmoor.Store, keys RolloutKeys, broker *Broker, log zerolog.Logger) *RolloutWriter {
	return &RolloutWriter{
		clock:  clock,
		store:  store,
		keys:   keys,
		broker: broker,
		log:    log,
	}
}

// Serve implements suture.Service.
func (w *RolloutWriter) Serve(ctx context.Context) error {
	for {
		if err := w.clock.Sleep(ctx, rolloutWritePeriod); err != nil {
			return err
		}
		w.writeAll(ctx)
	}
}

// writeAll stores what is due.
func (w *RolloutWriter) writeAll(ctx context.Context) {
	for _, c := range w.broker.rolloutCalls() {
		if err := w.call(ctx, c); err != nil && ctx.Err() == nil {
			w.broker.rolloutCallFailed(c)
			w.log.Warn().Err(err).Str("pool", c.pool).Msg("rollout not stored")
		}
	}
}

// rolloutCall is a call to the store that is due for a rollout: to read the record of
// earlier owners, to write the next record, or to write a status.
type rolloutCall struct {
	pool    string
	owner   *rolloutOwner
	sent    basilmoor.Millis
	read    bool
	record  *bmrollout.Record
	status  *bmrollout.Status
	version int64 // that the written key must have
}

func (w *RolloutWriter) call(ctx context.Context, c rolloutCall) error {
	switch {
	case c.read:
		return w.readRecord(ctx, c)
	case c.record != nil:
		return w.writeRecord(ctx, c)
	}
	return w.writeStatus(ctx, c)
}

func (w *RolloutWriter) readRecord(ctx context.Context, c rolloutCall) error {
	e, err := w.store.Get(ctx, w.keys.Record(c.pool))
	var missing *basilmoor.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	w.broker.rolloutRead(c, e)
	return nil
}

func (w *RolloutWriter) writeRecord(ctx context.Context, c rolloutCall) error {
	raw, err := c.record.Encode()
	if err != nil {
		return err
	}
	e, err := w.store.CompareAndSwap(ctx, w.keys.Record(c.pool), c.version, raw, "")
	var conflict *basilmoor.ConflictError
	if errors.As(err, &conflict) {
		w.broker.rolloutRefused(c, conflict.Current)
		return nil
	}
	if err != nil {
		return err
	}
	w.broker.rolloutStored(c, e.Version)
	return nil
}

func (w *RolloutWriter) writeStatus(ctx context.Context, c rolloutCall) error {
	key, raw, err := w.keys.Status(*c.status)
	if err != nil {
		return err
	}
	e, err := w.store.CompareAndSwap(ctx, key, c.version, raw, "")
	var conflict *basilmoor.ConflictError
	if errors.As(err, &conflict) {
		w.broker.rolloutStatusStored(c, conflict.Current.Version, "")
		return nil
	}
	if err != nil {
		return err
	}
	w.broker.rolloutStatusStored(c, e.Version, c.status.State)
	return nil
}

// rolloutCalls returns the calls that are due, at most one for each rollout. A broker
// without most of the hosts owns none.
func (b *Broker) rolloutCalls() []rolloutCall {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.active || 2*len(b.sessions) <= len(b.view.Hosts()) {
		return nil
	}
	now := b.clock.Now()
	var calls []rolloutCall
	for pool, o := range b.rollouts {
		if now < o.retryAt {
			continue
		}
		c := rolloutCall{
			pool:  pool,
			owner: o,
			sent:  now,
		}
		if o.plan(&c, b.hostName) {
			calls = append(calls, c)
		}
	}
	return calls
}

// plan completes the call that is due and reports whether there is one.
func (o *rolloutOwner) plan(c *rolloutCall, host string) bool {
	order := o.roll.Order()
	switch {
	case !o.recordRead:
		c.read = true
	case o.generation == 0 || o.roll.RecordDue(c.sent, o.recordSent):
		r := o.roll.NextRecord(c.sent, host, max(o.generation, o.lastGeneration+1))
		c.record = &r
		c.version = o.recordVersion
	case o.status != o.roll.Stage().State() && (o.roll.Owned(c.sent) || o.roll.Stage().Decided()):
		c.status = &bmrollout.Status{
			Pool:    c.pool,
			Version: order.Version,
			State:   o.roll.Stage().State(),
		}
		c.version = o.statusVersion
	default:
		return false
	}
	return true
}

// currentRollout reports whether this broker is active and c belongs to its present entry
// for the pool. b.mu is held.
func (b *Broker) currentRollout(c rolloutCall) bool {
	return b.active && b.rollouts[c.pool] == c.owner
}

// rolloutCallFailed delays the next call. The failed one may have taken effect.
func (b *Broker) rolloutCallFailed(c rolloutCall) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.owner.retryAt = b.clock.Now() + rolloutRetryPeriod
	if c.record != nil {
		c.owner.unanswered = *c.record
		c.owner.unansweredAt = c.sent
	}
}

// rolloutRead takes over what earlier owners have stored.
func (b *Broker) rolloutRead(c rolloutCall, e basilmoor.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.currentRollout(c) {
		b.resumeRollout(c, e)
	}
}

// resumeRollout continues from a stored record, if there is one.
func (b *Broker) resumeRollout(c rolloutCall, e basilmoor.Entry) {
	o := c.owner
	o.recordRead = true
	o.recordVersion = e.Version
	o.generation = 0
	if e.Version == 0 {
		return
	}
	last, err := bmrollout.DecodeRecord(e.Value)
	if err != nil {
		b.log.Error().Err(err).Str("pool", c.pool).Msg("record of a rollout not understood")
		return
	}
	o.lastGeneration = max(o.lastGeneration, last.Generation)
	b.countRollout(o)
	o.roll.Resume(b.clock.Now(), last)
	o.counted = o.roll.Counts()
	b.logRollout(c.pool, o, "rollout taken over")
	b.applyView(b.clock.Now())
}

// rolloutStored notes that a record was stored.
func (b *Broker) rolloutStored(c rolloutCall, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.currentRollout(c) {
		c.owner.stored(c.sent, *c.record, version)
		b.applyView(b.clock.Now())
	}
}

// stored notes a record that is in the store.
func (o *rolloutOwner) stored(sent basilmoor.Millis, r bmrollout.Record, version int64) {
	o.generation = r.Generation
	o.lastGeneration = r.Generation
	o.recordVersion = version
	o.recordSent = sent
	o.roll.Stored(sent, r)
}

// rolloutRefused ends the ownership, because another owner has stored a record. The
// generation isn't used again. If the stored record is one whose answer was lost, this
// owner continues with it.
func (b *Broker) rolloutRefused(c rolloutCall, current basilmoor.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.currentRollout(c) {
		return
	}
	o := c.owner
	if last, err := bmrollout.DecodeRecord(current.Value); err == nil && last == o.unanswered {
		o.stored(o.unansweredAt, last, current.Version)
		return
	}
	o.lastGeneration = max(o.lastGeneration, c.record.Generation)
	o.retryAt = b.clock.Now() + rolloutReclaimDelay
	o.roll.Lost()
	b.resumeRollout(c, current)
	b.metrics.Add("rollouts.refused-records", 1)
	b.logRollout(c.pool, o, "record of a rollout refused")
}

// rolloutStatusStored notes the version of the status, and its state if this owner has
// written it.
func (b *Broker) rolloutStatusStored(c rolloutCall, version int64, state bmrollout.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.currentRollout(c) {
		return
	}
	c.owner.statusVersion = version
	c.owner.status = state
	switch state {
	case bmrollout.StateCompleted:
		b.metrics.Add("rollouts.completed", 1)
	case bmrollout.StateRolledBack:
		b.metrics.Add("rollouts.rolled-back."+string(c.owner.roll.Reason()), 1)
	}
	if state != "" {
		b.logRollout(c.pool, c.owner, "rollout status stored")
	}
}
