package bmgrant

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
)

const (
	// recordPeriod is the time between two records of what was spent. The
	// next broker knows nothing of what was spent after the last one if all
	// hosts end at once.
	recordPeriod = basilmoor.Second

	// recordShare is the share of its bound from which the spending of a
	// workspace is recorded. One that spends less cannot exceed the bound
	// before the next record.
	recordShare = 0.2
)

// record is what workspaces have spent in the last window, as it lies in the
// platform's store. Instants are on the wall clock, because they are read by
// other hosts.
type record struct {
	WrittenMillis int64                  `json:"written-ms"`
	Spent         map[string][]recordRow `json:"spent"` // by workspace
}

// recordRow is the start of a step on the wall clock and the tokens of it.
type recordRow struct {
	AtMillis int64 `json:"at-ms"`
	Tokens   int   `json:"tokens"`
}

// spendingRecord encodes what was spent; false if nothing worth recording was.
func (b *Broker) spendingRecord() ([]byte, bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	wall := b.wall()
	r := record{
		WrittenMillis: wall,
		Spent:         map[string][]recordRow{},
	}
	if len(b.sessions) == 0 {
		return nil, false, nil
	}
	waiting := b.waitingCharges()
	for name, acc := range b.allowances.accounts {
		b.allowances.expire(now, acc)
		if b.allowances.used(acc) < recordShare*b.allowances.bound(acc) {
			continue
		}
		for _, s := range acc.without(waiting[name]) {
			r.Spent[name] = append(r.Spent[name], recordRow{
				AtMillis: wall - int64(now-s.at),
				Tokens:   s.tokens,
			})
		}
	}
	raw, err := json.Marshal(r)
	return raw, true, errors.Wrap(err, "record of spending")
}

// waitingCharges is what demands were charged that have no grant yet, by
// workspace. Hosts hand them to the next broker, which charges them again.
func (b *Broker) waitingCharges() map[string]int {
	charges := map[string]int{}
	for _, p := range b.pools {
		for _, i := range p.waiting {
			charges[i.demand.Workspace] += i.demand.Charge
		}
	}
	return charges
}

// without returns what was spent less the tokens that were charged last.
func (acc *account) without(tokens int) []spending {
	spent := slices.Clone(acc.spent)
	for i := len(spent) - 1; i >= 0 && tokens > 0; i-- {
		n := min(tokens, max(spent[i].tokens, 0))
		spent[i].tokens -= n
		tokens -= n
	}
	return spent
}

// loadRecord takes over the record of an earlier broker. Hosts' reports of what
// they spent before it was written are already in it.
func (b *Broker) loadRecord(now basilmoor.Millis) {
	raw := b.views.Spending()
	if raw == nil {
		return
	}
	var r record
	if err := json.Unmarshal(raw, &r); err != nil {
		b.log.Error().Err(err).Msg("record of spending not understood")
		return
	}
	wall := b.wall()
	age := basilmoor.Millis(max(wall-r.WrittenMillis, 0))
	if age >= b.tolerance.Window {
		return
	}
	b.hasRecord = true
	b.recorded = now - age
	for name, rows := range r.Spent {
		for _, row := range rows {
			b.allowances.load(now-basilmoor.Millis(max(wall-row.AtMillis, 0)), name, row.Tokens)
		}
	}
	b.log.Info().Int64("age-ms", int64(age)).Int("workspaces", len(r.Spent)).Msg("record of spending taken over")
}

// Recorder writes the broker's record of spending to the platform's store.
type Recorder struct {
	clock   basilmoor.Clock
	store   basilmoor.Store
	key     string
	broker  *Broker
	log     zerolog.Logger
	version int64 // of the key, as far as known
}

// NewRecorder returns a recorder under a key of the store.
func NewRecorder(clock basilmoor.Clock, store basilmoor.Store, key string, broker *Broker, log zerolog.Logger) *Recorder {
	return &Recorder{
		clock:  clock,
		store:  store,
		key:    key,
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
			r.log.Debug().Err(err).Msg("record of spending not written")
		}
	}
}

// write replaces the record, also one of another broker.
func (r *Recorder) write(ctx context.Context) error {
	raw, worth, err := r.broker.spendingRecord()
	if err != nil || !worth {
		return err
	}
	entry, err := basilmoor.Overwrite(ctx, r.store, r.key, r.version, raw, "")
	if err != nil {
		return err
	}
	r.version = entry.Version
	return nil
}
