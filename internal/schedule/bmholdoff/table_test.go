package bmholdoff

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
)

func target(name string, born int64) basilmoor.Target {
	return basilmoor.Target{
		Name: name,
		Born: born,
	}
}

// Guards against requests to a target that leaves or wants none, and against a target
// that is lost because an earlier process of it has left.
func TestBlocks(t *testing.T) {
	const now = 100 * basilmoor.Second
	leaving := Notice{Leaving: true}
	tests := map[string]struct {
		said    []Notice // by the process that was born at 5
		later   basilmoor.Millis
		born    int64 // of the target that is asked for
		blocked bool
	}{
		"nothing said":                 {said: []Notice{{}}, born: 5},
		"leaving":                      {said: []Notice{leaving}, born: 5, blocked: true},
		"leaving for long":             {said: []Notice{leaving}, later: basilmoor.Minute, born: 5, blocked: true},
		"leaving, then an answer":      {said: []Notice{leaving, {}}, born: 5, blocked: true},
		"leaving, started again":       {said: []Notice{leaving}, born: 6},
		"leaving, an older entry":      {said: []Notice{leaving}, born: 4, blocked: true},
		"leaving, start not known":     {said: []Notice{leaving}, born: 0, blocked: true},
		"held off":                     {said: []Notice{{RetryAfter: 2000}}, later: 1999, born: 5, blocked: true},
		"held off until now":           {said: []Notice{{RetryAfter: 2000}}, later: 2000, born: 5},
		"held off, then for less":      {said: []Notice{{RetryAfter: 2000}, {RetryAfter: 10}}, later: 1999, born: 5, blocked: true},
		"held off, then an answer":     {said: []Notice{{RetryAfter: 2000}, {}}, later: 1999, born: 5, blocked: true},
		"held off, started again":      {said: []Notice{{RetryAfter: 2000}}, later: 1, born: 6},
		"held off beyond any time":     {said: []Notice{{RetryAfter: 1 << 60}}, later: maxHoldOff - 1, born: 5, blocked: true},
		"held off beyond any time, on": {said: []Notice{{RetryAfter: 1 << 60}}, later: maxHoldOff, born: 5},
		"a negative time":              {said: []Notice{{RetryAfter: -5}}, born: 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := New()
			for _, n := range tt.said {
				table.Record(now, target("a", 5), n)
			}
			require.Equal(t, tt.blocked, table.Blocks(now+tt.later, target("a", tt.born)))
			require.False(t, table.Blocks(now+tt.later, target("b", 5)))
		})
	}
}

// Guards against a late answer of an earlier process that counts for the later one.
func TestNoticeOfEarlierProcess(t *testing.T) {
	table := New()
	require.True(t, table.Record(0, target("a", 6), Notice{RetryAfter: 1000}))
	require.False(t, table.Record(0, target("a", 5), Notice{Leaving: true}))
	require.False(t, table.Blocks(1000, target("a", 6)))
}

// Guards against a caller that is told to come back too early or too late when no target
// is left.
func TestSplit(t *testing.T) {
	table := New()
	all := []basilmoor.Target{target("a", 1), target("b", 1), target("c", 1)}
	split := func(now basilmoor.Millis) []any {
		blocked, wait, never := table.Split(now, all)
		return []any{len(blocked), wait, never}
	}
	require.Equal(t, []any{0, basilmoor.Millis(0), false}, split(0))
	table.Record(0, all[0], Notice{RetryAfter: 3000})
	table.Record(0, all[1], Notice{Leaving: true})
	require.Equal(t, []any{2, basilmoor.Millis(0), false}, split(10))
	table.Record(0, all[2], Notice{RetryAfter: 2000})
	require.Equal(t, []any{3, basilmoor.Millis(1990), false}, split(10))
	require.Equal(t, []any{2, basilmoor.Millis(0), false}, split(2000))
	table.Record(2500, all[0], Notice{Leaving: true})
	table.Record(2500, all[2], Notice{Leaving: true})
	require.Equal(t, []any{3, basilmoor.Millis(0), true}, split(2500))
}

// Guards against any order of notices, restarts, listings and pauses after which a target
// is sent requests that it does not want, or none although it wants them. The model keeps
// every notice and judges by the rules as the users write them.
func TestNoticesInAnyOrder(t *testing.T) {
	type said struct {
		born    int64
		leaving bool
		until   basilmoor.Millis
	}
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		now := basilmoor.Millis(0)
		born := int64(1) // of the running process
		var notices []said
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				n := Notice{
					Leaving:    rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
					RetryAfter: basilmoor.Millis(rapid.IntRange(-1000, 5000).Draw(t, "retry after")),
				}
				table.Record(now, target("a", born), n)
				notices = append(notices, said{born: born, leaving: n.Leaving, until: now + max(n.RetryAfter, 0)})
			case 1:
				now += basilmoor.Millis(rapid.IntRange(0, 3000).Draw(t, "pause"))
			case 2:
				born++
			case 3:
				listed := rapid.Bool().Draw(t, "listed")
				table.Forget(now, func(string) bool { return listed })
			}
			want := false
			for _, s := range notices {
				want = want || s.born == born && (s.leaving || now < s.until)
			}
			require.Equal(t, want, table.Blocks(now, target("a", born)))
			blocked, _, _ := table.Split(now, []basilmoor.Target{target("a", born)})
			require.Equal(t, want, len(blocked) == 1)
		}
	})
}
