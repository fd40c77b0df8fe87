package bmrollout

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Guards against a good version that isn't completed in time, a bad one that isn't rolled
// back or gets more than the bounds allow, and a fault of both versions, or of single
// targets, that is taken for one of the version.
func TestDecisions(t *testing.T) {
	bad := func(b behaviour, when func(c conditions) bool) func(c conditions) behaviour {
		return func(c conditions) behaviour {
			if when(c) {
				return b
			}
			return good(c)
		}
	}
	always := func(conditions) bool { return true }
	after := func(at basilmoor.Millis) func(conditions) bool {
		return func(c conditions) bool { return c.elapsed >= at }
	}
	failing := behaviour{failing: 0.3}
	slow := behaviour{slow: 0.4, slowBy: 5}
	storm := func(c conditions) behaviour {
		if c.elapsed < 7500 && c.elapsed%3000 < 1500 {
			return behaviour{
				failing: 0.4,
				slow:    0.5,
				slowBy:  4,
			}
		}
		return good(c)
	}
	tests := map[string]struct {
		scenario scenario
		want     Stage
	}{
		"good":                        {scenario: scenario{}, want: StageCompleted},
		"good, a few targets":         {scenario: scenario{perSecond: 30, oldTargets: 3, newTargets: 3}, want: StageCompleted},
		"good, long":                  {scenario: scenario{duration: 40_000}, want: StageCompleted},
		"good, new targets come late": {scenario: scenario{started: 5000}, want: StageCompleted},
		"bad at once":                 {scenario: scenario{next: bad(failing, always)}, want: StageRolledBack},
		"bad at once, a small share":  {scenario: scenario{next: bad(behaviour{failing: 0.15}, always)}, want: StageRolledBack},
		"slow at once":                {scenario: scenario{next: bad(slow, always)}, want: StageRolledBack},
		"slow in all answers":         {scenario: scenario{oldTargets: 20, next: bad(behaviour{slow: 1, slowBy: 5}, always)}, want: StageRolledBack},
		"bad later":                   {scenario: scenario{next: bad(failing, after(6000))}, want: StageRolledBack},
		"slow later":                  {scenario: scenario{next: bad(slow, after(5000))}, want: StageRolledBack},
		"bad under load": {
			scenario: scenario{next: bad(failing, func(c conditions) bool { return 3*c.running >= 2*c.slots })},
			want:     StageRolledBack,
		},
		"bad on one route": {
			scenario: scenario{next: bad(failing, func(c conditions) bool { return c.kind == "b" })},
			want:     StageRolledBack,
		},
		"storm on both versions": {scenario: scenario{next: storm, old: storm}, want: StageCompleted},
		"both fail a seventh": {
			scenario: scenario{
				next: bad(behaviour{failing: 0.14}, always),
				old:  bad(behaviour{failing: 0.14}, always),
			},
			want: StageCompleted,
		},
		"no old targets":   {scenario: scenario{oldTargets: -1, newTargets: 90}, want: StageCompleted},
		"too few requests": {scenario: scenario{perSecond: 0.2, oldTargets: 3, newTargets: 3}, want: StageRolledBack},
		"no new targets":   {scenario: scenario{newTargets: -1}, want: StageRolledBack},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, func(t *testing.T, seed uint64) {
				w := newSim(withDefaults(tt.scenario), seed)
				w.play()
				c := w.owner.Counts()
				require.Equal(t, tt.want, w.owner.Stage(), "reason %q at %d ms, %+v", w.owner.Reason(), w.decidedAt, c)
				require.Less(t, w.decidedAt, w.duration)
				if w.oldTargets == 0 {
					require.Zero(t, w.refused, "requests without a target")
				}
				if tt.want == StageRolledBack {
					limit := testBounds.ExposedShare*float64(w.total) + testBounds.ExposedSlack
					require.LessOrEqual(t, float64(w.toNew), limit, "requests to a bad version")
				}
			})
		})
	}
}

// withDefaults returns the scenario with the values of a busy pool where it names none.
func withDefaults(s scenario) scenario {
	if s.duration == 0 {
		s.duration = 12_000
	}
	if s.perSecond == 0 {
		s.perSecond = 350
	}
	if s.oldTargets == 0 {
		s.oldTargets = 90
	}
	if s.newTargets == 0 {
		s.newTargets = s.oldTargets
	}
	s.newTargets = max(s.newTargets, 0)
	s.oldTargets = max(s.oldTargets, 0)
	if s.next == nil {
		s.next = good
	}
	if s.old == nil {
		s.old = good
	}
	return s
}

// Guards against an owner change that forgets requests which went to the new version, or
// that keeps a good version from being completed in time.
func TestOwnerChanges(t *testing.T) {
	replaceOwner := func(w *sim) {
		generation := w.stored.Generation + 1
		w.owner = w.newOwner()
		w.owner.Resume(w.now, w.stored)
		w.stored.Generation = generation
		w.sent = 0
	}
	every := func(period basilmoor.Millis) func(w *sim) {
		return func(w *sim) {
			if (w.now-orderedAt)%period == 0 {
				replaceOwner(w)
			}
		}
	}
	at := func(elapsed basilmoor.Millis) func(w *sim) {
		return func(w *sim) {
			if w.now-orderedAt == elapsed {
				replaceOwner(w)
			}
		}
	}
	hidden := func(conditions) behaviour { return behaviour{failing: 0.08} }
	tests := map[string]struct {
		change func(w *sim)
		next   func(c conditions) behaviour
		want   Stage // "" for any
	}{
		"good, in the canary stage":   {change: at(4000), want: StageCompleted},
		"good, in the shifting stage": {change: at(8200), want: StageCompleted},
		"good, in the draining stage": {change: at(9000), want: StageCompleted},
		"bad, in the canary stage": {
			change: at(300),
			next:   func(conditions) behaviour { return behaviour{failing: 0.4} },
			want:   StageRolledBack,
		},
		"each second, before enough answers": {change: every(1000), next: hidden},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, func(t *testing.T, seed uint64) {
				w := newSim(withDefaults(scenario{
					next:   tt.next,
					change: tt.change,
				}), seed)
				w.play()
				if tt.want != "" {
					require.Equal(t, tt.want, w.owner.Stage(), "reason %q", w.owner.Reason())
					require.Less(t, w.decidedAt, w.duration)
				}
				if w.owner.Stage() != StageCompleted {
					require.LessOrEqual(t, float64(w.toNew), testBounds.ExposedShare*float64(w.total)+testBounds.ExposedSlack)
				}
			})
		})
	}
}

// Guards against an owner that is paused or cut off and sends requests to the new version
// later, when the next owner may have rolled it back, or that keeps them from the old
// targets, which still run.
func TestOwnerWithoutRecord(t *testing.T) {
	tests := map[string]struct {
		stage Stage
	}{
		"canary":   {stage: StageCanary},
		"shifting": {stage: StageShifting},
		"draining": {stage: StageDraining},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const cutAt, pause basilmoor.Millis = 100, 60_000
			r := New(Order{
				Version:  "v2",
				Duration: 12_000,
			}, testBounds, 0)
			r.stage = tt.stage
			r.Stored(cutAt, r.NextRecord(cutAt, "h", 1))
			require.True(t, r.AllowsNew(cutAt+1, false))
			for _, now := range []basilmoor.Millis{cutAt + maxOwnership, pause} {
				require.False(t, r.AllowsNew(now, false))
				require.True(t, r.AllowsOld(now))
				require.False(t, r.Step(now, Fleet{
					NewSlots: 100,
				}), "a stage without a record")
			}
			r.Lost()
			require.False(t, r.AllowsNew(cutAt+1, false))
		})
	}
}

// Guards against requests beyond those that the stored record covers: the next owner would
// not know of them.
func TestReservation(t *testing.T) {
	r := New(Order{
		Version:  "v2",
		Duration: 12_000,
	}, testBounds, 0)
	fresh := basilmoor.Target{
		Name:    "n",
		Version: "v2",
	}
	stored := r.NextRecord(0, "h", 1)
	r.Stored(0, stored)
	for range 100_000 {
		r.Granted(basilmoor.Target{Version: "v1"})
		if r.AllowsNew(1, false) {
			r.Granted(fresh)
		}
	}
	require.Equal(t, stored.Reserved, r.Counts().Exposed)
	next := New(r.Order(), testBounds, 1)
	next.Resume(1, stored)
	require.Equal(t, stored.Reserved, next.Counts().Exposed)
	require.False(t, next.AllowsNew(1, false), "not owned")
}

// Guards against hosts that send requests to a version to which the order does not allow
// them, and against a pool without targets after a lost decision.
func TestTargetsOfHosts(t *testing.T) {
	targets := []basilmoor.Target{
		{Name: "old", Version: "v1"},
		{Name: "new", Version: "v2"},
	}
	gone := []basilmoor.Target{
		{Name: "old", Version: "v1"},
		{Name: "new", Version: "v2", Leaving: true},
	}
	status := func(state State, version string, revision int64) Status {
		return Status{
			Version: version,
			State:   state,
			At:      basilmoor.Position{Revision: revision},
		}
	}
	tests := map[string]struct {
		now           basilmoor.Millis // after the status was learned
		status        Status
		targets       []basilmoor.Target
		withBroker    []string
		withoutBroker []string
	}{
		"no status":                        {targets: targets, withBroker: []string{"old", "new"}, withoutBroker: []string{"old"}},
		"serving":                          {status: status(StateServing, "v2", 8), targets: targets, withBroker: []string{"old", "new"}, withoutBroker: []string{"old"}},
		"completed":                        {status: status(StateCompleted, "v2", 8), targets: targets, withBroker: []string{"new"}, withoutBroker: []string{"new"}},
		"completed, replaced later":        {now: oldExclusionTime, status: status(StateCompleted, "v2", 8), targets: targets, withBroker: []string{"old", "new"}, withoutBroker: []string{"old", "new"}},
		"completed, new targets gone":      {status: status(StateCompleted, "v2", 8), targets: gone, withBroker: []string{"old"}, withoutBroker: []string{"old"}},
		"rolled back":                      {status: status(StateRolledBack, "v2", 8), targets: targets, withBroker: []string{"old"}, withoutBroker: []string{"old"}},
		"rolled back before a newer order": {status: status(StateRolledBack, "v2", 6), targets: targets, withBroker: []string{"old", "new"}, withoutBroker: []string{"old"}},
		"only new targets":                 {targets: targets[1:], withBroker: []string{"new"}, withoutBroker: []string{"new"}},
		"another version completed before": {status: status(StateCompleted, "v1", 8), targets: targets, withBroker: []string{"old", "new"}, withoutBroker: []string{"old"}},
	}
	names := func(targets []basilmoor.Target) []string {
		var names []string
		for _, t := range targets {
			if !t.Leaving {
				names = append(names, t.Name)
			}
		}
		return names
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := View{
				Order: Order{
					Version: "v2",
					At:      basilmoor.Position{Revision: orderAt},
				},
				Status: tt.status,
			}
			require.Equal(t, tt.withBroker, names(v.WithoutDecided(tt.now, tt.targets)))
			require.Equal(t, tt.withoutBroker, names(v.WithoutNew(tt.now, tt.targets)))
		})
	}
}
