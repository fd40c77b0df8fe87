package bmgrant

import (
	"context"
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmconfigtest"
	"basilmoor.example/basilmoor/internal/fleet/bmview"
	"basilmoor.example/basilmoor/internal/schedule/bmrollout"
)

// rolloutFleet is a fleet under load whose pool is ordered to move from v1 to v2. Each
// request is answered after 200 ms.
type rolloutFleet struct {
	*testFleet
	store    *bmconfigtest.Store
	writers  map[string]*RolloutWriter
	bad      bool // v2 fails a third of its requests
	began    basilmoor.Millis
	position int64
	running  []rolloutRun
	waiting  []*entry
	hostOf   map[*entry]string

	toNew, total int
	oldAfter     int // sent to v1 after the completion
}

type rolloutRun struct {
	host   string
	permit *permit
	sent   basilmoor.Millis
	first  bool
}

var testRolloutBounds = bmrollout.Bounds{
	ExposedShare: 0.1,
	ExposedSlack: 50,
	RollbackTime: 5000,
}

const testRolloutDuration = 6 * basilmoor.Second

func newRolloutFleet(t *testing.T, bad bool) *rolloutFleet {
	f := &rolloutFleet{
		testFleet: newTestFleet(t, 4, "a", "b", "c", "d"),
		store:     bmconfigtest.NewStore(),
		writers:   map[string]*RolloutWriter{},
		bad:       bad,
		position:  1,
		hostOf:    map[*entry]string{},
	}
	for i := range 12 {
		target := testTarget(fmt.Sprintf("t%02d", i), 6)
		target.Version = []string{"v1", "v2"}[i/6]
		f.feed.changes.Targets[target.Name] = &target
	}
	f.feed.changes.Targets["t"] = nil
	for name, h := range f.hosts {
		h.broker.SetRolloutBounds(name, testRolloutBounds)
		f.writers[name] = NewRolloutWriter(f.clock, f.store, RolloutKeys{
			Record: func(pool string) string { return "record/" + pool },
			Status: func(s bmrollout.Status) (string, []byte, error) {
				return "status/" + s.Pool, []byte(s.State), nil
			},
		}, h.broker, zerolog.Nop())
	}
	f.began = f.clock.Now()
	f.feed.changes.Orders = map[string]bmrollout.Order{
		"p": {
			Pool:     "p",
			Version:  "v2",
			Duration: testRolloutDuration,
			At:       revision(2),
		},
	}
	f.spread()
	return f
}

// spread passes the state of the platform to the hosts that are reachable.
func (f *rolloutFleet) spread() {
	f.position++
	for name, h := range f.hosts {
		if f.reachable(name, name) {
			h.keeper.ApplyRelayed(updatesTo(f.position))
		}
	}
}

// status returns what the operator has been told.
func (f *rolloutFleet) status() bmrollout.State {
	e, err := f.store.Get(context.Background(), "status/p")
	if err != nil {
		return ""
	}
	return bmrollout.State(e.Value)
}

// recorded returns the stored record.
func (f *rolloutFleet) recorded() bmrollout.Record {
	e, err := f.store.Get(context.Background(), "record/p")
	require.NoError(f.t, err)
	r, err := bmrollout.DecodeRecord(e.Value)
	require.NoError(f.t, err)
	return r
}

// step sends requests, answers those in progress and stores what is due.
func (f *rolloutFleet) step() {
	now := f.clock.Now()
	before := f.status()
	for name, w := range f.writers {
		if f.reachable(name, name) {
			w.writeAll(context.Background())
			f.submit(name)
			f.submit(name)
		}
	}
	f.dispatch(now)
	f.answer(now)
	if after := f.status(); after != before {
		f.feed.changes.Statuses = map[string]bmrollout.Status{
			"p": {
				Pool:    "p",
				Version: "v2",
				State:   after,
				At:      revision(f.position + 1),
			},
		}
		f.spread()
	}
}

func (f *rolloutFleet) submit(host string) {
	e := f.hosts[host].client.submit(testDemand("", 0))
	f.waiting = append(f.waiting, e)
	f.hostOf[e] = host
}

// dispatch sends the requests that were granted.
func (f *rolloutFleet) dispatch(now basilmoor.Millis) {
	waiting := f.waiting[:0]
	for _, e := range f.waiting {
		if len(e.decided) == 0 {
			waiting = append(waiting, e)
			continue
		}
		decision := <-e.decided
		if decision.Grant == nil {
			continue
		}
		f.total++
		switch {
		case decision.Grant.Target.Version == "v2":
			f.toNew++
		case f.status() == bmrollout.StateCompleted:
			f.oldAfter++
		}
		run := rolloutRun{
			host: f.hostOf[e],
			permit: &permit{
				client: f.hosts[f.hostOf[e]].client,
				entry:  e,
			},
			sent: now,
		}
		run.permit.Observe(basilmoor.Observation{Stage: basilmoor.StageDispatched})
		f.running = append(f.running, run)
	}
	f.waiting = waiting
}

// answer reports the first tokens and the ends that are due.
func (f *rolloutFleet) answer(now basilmoor.Millis) {
	running := f.running[:0]
	for _, r := range f.running {
		elapsed := now - r.sent
		if !r.first && elapsed >= 80 {
			r.first = true
			r.permit.Observe(basilmoor.Observation{
				Stage:   basilmoor.StageFirstToken,
				Elapsed: elapsed,
			})
		}
		if elapsed < 200 {
			running = append(running, r)
			continue
		}
		r.permit.Observe(basilmoor.Observation{
			Stage:     basilmoor.StageFinished,
			BadAnswer: f.bad && r.permit.Target().Version == "v2" && r.permit.entry.number%3 == 0,
			Tokens:    100,
			Elapsed:   elapsed,
		})
	}
	f.running = running
}

// advance plays the fleet until done returns true.
func (f *rolloutFleet) advance(limit basilmoor.Millis, done func() bool) {
	f.t.Helper()
	f.advanceUntil(limit, func() bool {
		f.step()
		return done()
	})
}

// Guards against a broker change that loses the decision on an order or the count of the
// requests that went to a bad version, and against an earlier owner that wakes up and
// changes what its successor has told the operator.
func TestRolloutWithBrokerChange(t *testing.T) {
	tests := map[string]struct {
		bad    bool
		lostAt basilmoor.Millis // the broker falls silent, after the order; 0 for never
		want   bmrollout.State
	}{
		"good":                        {want: bmrollout.StateCompleted},
		"good, broker change":         {lostAt: 2500, want: bmrollout.StateCompleted},
		"bad":                         {bad: true, want: bmrollout.StateRolledBack},
		"bad, broker change at first": {bad: true, lostAt: 500, want: bmrollout.StateRolledBack},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newRolloutFleet(t, tt.bad)
			first := ""
			f.advance(testRolloutDuration, func() bool {
				if first == "" && tt.lostAt > 0 && f.clock.Now()-f.began >= tt.lostAt {
					first, _ = f.commonBroker()
					f.setSilent(first)
				}
				return f.status() == bmrollout.StateCompleted || f.status() == bmrollout.StateRolledBack
			})
			require.Equal(t, tt.want, f.status())
			if tt.bad {
				require.LessOrEqual(t, float64(f.toNew), testRolloutBounds.ExposedShare*float64(f.total)+testRolloutBounds.ExposedSlack)
			}
			if first != "" {
				// The earlier owner wakes up, still as the broker of its sessions.
				f.writers[first].writeAll(context.Background())
				f.mu.Lock()
				f.silent = map[string]bool{}
				f.mu.Unlock()
				f.spread()
			}
			sentBefore := f.toNew
			since := f.clock.Now()
			f.advance(1500, func() bool { return f.clock.Now()-since >= 1000 })
			require.Equal(t, tt.want, f.status())
			require.Equal(t, tt.want, f.recorded().Stage.State(), "record")
			if tt.bad {
				require.Equal(t, sentBefore, f.toNew, "requests to a version that was rolled back")
			}
			require.Zero(t, f.oldAfter, "requests to old targets after the completion")
		})
	}
}

// Guards against hosts without a broker that send requests to a version which nobody has
// judged.
func TestRolloutAtCutOffHost(t *testing.T) {
	f := newRolloutFleet(t, false)
	f.advance(3000, func() bool { return f.status() == bmrollout.StateServing })
	for name, h := range f.hosts {
		h.client.mu.Lock()
		h.client.dial = nil
		h.client.fallBackToLocal(f.clock.Now())
		h.client.mu.Unlock()
		require.Empty(t, f.brokerOf(name))
	}
	f.advance(1000, func() bool { return len(f.running) == 0 || f.clock.Now()-f.running[0].sent < 200 })
	before := f.toNew
	since := f.clock.Now()
	f.advance(2000, func() bool { return f.clock.Now()-since >= 1000 })
	require.Positive(t, f.total)
	require.LessOrEqual(t, f.toNew, before)
}

// updatesTo returns an update to a revision of the fixed state.
func updatesTo(n int64) []bmview.Update {
	return []bmview.Update{
		{
			To: revision(n),
		},
	}
}
