package bmgrant

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmpeer"
	"basilmoor.example/basilmoor/internal/fleet/bmview"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
)

const (
	// recordPeriod is the interval at which spending is stored. If all hosts
	// stop at once, the next broker does not know what was spent after the
	// last record.
	recordPeriod = basilmoor.Second

	// minRecordedShare is the fraction of its window quota from which the
	// spending of a workspace is stored. A workspace that spends less cannot
	// exceed the quota before the next record.
	minRecordedShare = 0.2

	// maxRecordedNameBytes bounds the names of targets in a record, which is
	// written each second. The number of holds is bounded by the registry.
	maxRecordedNameBytes = 8 << 10
)

// storedSpending is the stored form of what the workspaces have spent in the
// last window, and of what is held back. Times are on the wall clock, because other
// hosts read them.
type storedSpending struct {
	WrittenMillis int64                          `json:"written-ms"`
	Spent         map[string][]storedSpendingRow `json:"spent"` // by workspace
	Held          []storedHold                   `json:"held,omitempty"`
}

// storedHold is a key that is held back, the targets that died under it, and the time
// of the latest death on the wall clock.
type storedHold struct {
	Key      uint64   `json:"key"`
	Targets  []string `json:"targets"`
	AtMillis int64    `json:"at-ms"`
}

// storedSpendingRow is the start of an interval on the wall clock and the tokens
// spent in it.
type storedSpendingRow struct {
	AtMillis int64 `json:"at-ms"`
	Tokens   int   `json:"tokens"`
}

// encodeSpending returns the encoded spending of the last window. The second
// result is false if the broker has no sessions, and so nothing to store.
func (b *Broker) encodeSpending() ([]byte, bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	wall := b.wallClock()
	r := storedSpending{
		WrittenMillis: wall,
		Spent:         map[string][]storedSpendingRow{},
	}
	if len(b.sessions) == 0 {
		return nil, false, nil
	}
	r.Held = storedHolds(wall, b.crashes.Held())
	waiting := b.waitingCharges()
	for name, acc := range b.quotas.accounts {
		b.quotas.expire(now, acc)
		if b.quotas.used(acc) < minRecordedShare*b.quotas.windowQuota(acc) {
			continue
		}
		for _, s := range acc.withoutLatest(waiting[name]) {
			r.Spent[name] = append(r.Spent[name], storedSpendingRow{
				AtMillis: wall - int64(now-s.at),
				Tokens:   s.tokens,
			})
		}
	}
	raw, err := json.Marshal(r)
	return raw, true, errors.Wrap(err, "encode record of spending")
}

// storedHolds returns the stored form of the latest holds as far as their targets'
// names are within the bound.
func storedHolds(wall int64, held []basilmoor.Crash) []storedHold {
	var holds []storedHold
	nameBytes := 0
	for _, c := range held {
		for _, t := range c.Targets {
			nameBytes += len(t)
		}
		if nameBytes > maxRecordedNameBytes {
			break
		}
		holds = append(holds, storedHold{
			Key:      c.Digest,
			Targets:  c.Targets,
			AtMillis: wall - int64(c.Age),
		})
	}
	return holds
}

// waitingCharges returns the charges of the waiting demands by workspace. They
// are not stored, because hosts resubmit these demands to the next broker, which
// charges them again.
func (b *Broker) waitingCharges() map[string]int {
	charges := map[string]int{}
	for _, p := range b.pools {
		for _, q := range p.waiting {
			charges[q.demand.Workspace] += q.demand.Charge
		}
	}
	return charges
}

// withoutLatest returns the spending without the given number of tokens that
// were charged last.
func (acc *account) withoutLatest(tokens int) []spending {
	spent := slices.Clone(acc.spent)
	for i := len(spent) - 1; i >= 0 && tokens > 0; i-- {
		n := min(tokens, max(spent[i].tokens, 0))
		spent[i].tokens -= n
		tokens -= n
	}
	return spent
}

// loadHolds holds back what an earlier broker stored as held back, on all hosts.
// Without it, targets would have to die again after a loss of all hosts.
func (b *Broker) loadHolds(now basilmoor.Millis, wall int64, holds []storedHold) {
	var crashes []basilmoor.Crash
	for _, h := range holds {
		age := basilmoor.Millis(max(wall-h.AtMillis, 0))
		if age >= bmcrash.HoldDuration {
			continue
		}
		crashes = append(crashes, basilmoor.Crash{
			Digest:  h.Key,
			Targets: h.Targets,
			Age:     age,
		})
	}
	fresh := b.crashes.Merge(crashes)
	b.spreadCrashes(now, nil, bmpeer.EncodeCrashes(fresh))
	if len(fresh) > 0 {
		b.log.Warn().Int("keys", len(fresh)).Msg("holds taken over from the record of spending")
	}
}

// loadRecord loads the spending that an earlier broker stored. It includes what
// hosts report as spent before it was written.
func (b *Broker) loadRecord(now basilmoor.Millis) {
	raw := b.views.Spending()
	if raw == nil {
		return
	}
	var r storedSpending
	if err := json.Unmarshal(raw, &r); err != nil {
		b.log.Error().Err(err).Msg("cannot decode the record of spending")
		return
	}
	wall := b.wallClock()
	b.loadHolds(now, wall, r.Held)
	age := basilmoor.Millis(max(wall-r.WrittenMillis, 0))
	if age >= b.tolerance.Window {
		return
	}
	b.hasRecord = true
	b.recordWritten = now - age
	for name, rows := range r.Spent {
		for _, row := range rows {
			b.quotas.chargeFleet(now-basilmoor.Millis(max(wall-row.AtMillis, 0)), name, row.Tokens)
		}
	}
	b.log.Info().Int64("age-ms", int64(age)).Int("workspaces", len(r.Spent)).Msg("record of spending taken over")
}

// RecordKeys are the keys of the platform's store that a [Recorder] writes.
type RecordKeys struct {
	Spending   string
	SettledEra string
}

// Recorder periodically writes the broker's record of spending to the platform's
// store, and once in each era of the store that it has settled.
type Recorder struct {
	clock       basilmoor.Clock
	store       basilmoor.Store
	keys        RecordKeys
	broker      *Broker
	log         zerolog.Logger
	version     int64 // last known version of the record of spending
	recordedEra int64 // the latest that this host has recorded as settled
}

// NewRecorder returns a recorder that writes to the given keys of the store.
func NewRecorder(clock basilmoor.Clock, store basilmoor.Store, keys RecordKeys, broker *Broker, log zerolog.Logger) *Recorder {
	return &Recorder{
		clock:  clock,
		store:  store,
		keys:   keys,
		broker: broker,
		log:    log,
	}
}

// Serve implements suture.Service.
func (r *Recorder) Serve(ctx context.Context) error {
	for {
		if err := r.clock.Sleep(ctx, recordPeriod); err != nil {
			return err
		}
		if err := r.write(ctx); err != nil && ctx.Err() == nil {
			r.log.Debug().Err(err).Msg("cannot write the record of spending")
		}
	}
}

// write replaces the records, even if another broker wrote them.
func (r *Recorder) write(ctx context.Context) error {
	raw, ok, err := r.broker.encodeSpending()
	if err != nil || !ok {
		return err
	}
	entry, err := basilmoor.Overwrite(ctx, r.store, r.keys.Spending, r.version, raw, "")
	if err != nil {
		return err
	}
	r.version = entry.Version
	return r.writeSettledEra(ctx)
}

// writeSettledEra records an era that has settled since the last call. Hosts that start
// later, and know nothing of the era before, need not wait for it again.
func (r *Recorder) writeSettledEra(ctx context.Context) error {
	era, _, _ := r.broker.views.Proof()
	if era <= max(r.recordedEra, bmview.FirstEra) {
		return nil
	}
	if _, err := basilmoor.Overwrite(ctx, r.store, r.keys.SettledEra, 0, []byte(strconv.FormatInt(era, 10)), ""); err != nil {
		return err
	}
	r.recordedEra = era
	return nil
}
