package bmacceptance

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
	"basilmoor.example/basilmoor/internal/config/bmconfigtest"
	"basilmoor.example/basilmoor/internal/config/bmnote"
)

var ctx = context.Background()

func fixedTime() time.Time { return time.Date(2026, 12, 4, 4, 0, 0, 0, time.UTC) }

func newAcceptor(s basilmoor.Store) *Acceptor { return New(s, fixedTime, nil) }

func note(t testing.TB, id, body string) *bmnote.Note {
	n, err := bmnote.Parse([]byte("schema: 1\nnote: " + id + "\n" + body))
	require.NoError(t, err)
	return n
}

func pool(t testing.TB, id, name string) *bmnote.Note {
	return note(t, id, "added:\n  pools:\n    - {name: "+name+", region: east}\n")
}

// firstStore returns a store with the example note as version 1.
func firstStore(t testing.TB) *bmconfigtest.Store {
	text, err := os.ReadFile("../../../docs/examples/first-note.yaml")
	require.NoError(t, err)
	s := bmconfigtest.NewStore()
	r, err := newAcceptor(s).AcceptText(ctx, text, "ada")
	require.NoError(t, err)
	require.Equal(t, int64(1), r.Version)
	return s
}

func load(t testing.TB, s basilmoor.Store) *bmcatalog.Snapshot {
	_, snapshot, err := (*bmcatalog.Snapshot)(nil).Load(ctx, s)
	require.NoError(t, err)
	return snapshot
}

// onHeadSwap returns a fault function that runs f at the nth head swap.
func onHeadSwap(nth int, f func() bmconfigtest.Fault) func(bmconfigtest.Call) bmconfigtest.Fault {
	swaps := 0
	return func(c bmconfigtest.Call) bmconfigtest.Fault {
		if c.Operation != "cas" || c.Key != bmcatalog.HeadKey {
			return bmconfigtest.None
		}
		swaps++
		if swaps != nth {
			return bmconfigtest.None
		}
		return f()
	}
}

// Guards against a race in which one of two notes is lost or overwrites the
// other, and against conflicts that don't name the other note.
func TestRace(t *testing.T) {
	tests := map[string]struct {
		mine, other string
		overlap     string // item of an expected conflict
		invalid     bool   // whether the conflict is one of validity
	}{
		"different items": {
			mine:  "changed: {workspaces: [{name: seedleaf, weight: 7}]}\n",
			other: "changed: {workspaces: [{name: seedleaf-archive, weight: 7}]}\n",
		},
		"same item": {
			mine:    "changed: {workspaces: [{name: seedleaf, weight: 7}]}\n",
			other:   "changed: {workspaces: [{name: seedleaf, weight: 8}]}\n",
			overlap: "workspace seedleaf",
		},
		"reference withdrawn": {
			mine:    "changed: {workspaces: [{name: seedleaf, default-tier: unused}]}\n",
			other:   "withdrawn: {tiers: [unused]}\n",
			invalid: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := firstStore(t)
			_, err := newAcceptor(s).Accept(ctx, note(t, "tier", "added: {tiers: [{name: unused, rank: 9}]}\n"), "ada")
			require.NoError(t, err)
			s.SetFault(onHeadSwap(1, func() bmconfigtest.Fault {
				_, err := newAcceptor(s).Accept(ctx, note(t, "other", tt.other), "bo")
				require.NoError(t, err)
				return bmconfigtest.None
			}))
			r, err := newAcceptor(s).Accept(ctx, note(t, "mine", tt.mine), "ada")
			if tt.overlap == "" && !tt.invalid {
				require.NoError(t, err)
				require.Equal(t, int64(4), r.Version)
				require.Equal(t, "other", r.Rebased[0].ID)
				for _, w := range load(t, s).Content().Workspaces {
					require.Equal(t, 7, w.Weight)
				}
				return
			}
			var conflict *ConflictError
			require.ErrorAs(t, err, &conflict)
			require.Equal(t, "other", conflict.Between[0].ID)
			require.Equal(t, tt.invalid, conflict.Invalid != nil)
			if tt.overlap != "" {
				require.Equal(t, tt.overlap, conflict.Overlaps[0].Item.String())
			}
			require.Equal(t, int64(3), load(t, s).Version())
		})
	}
}

// Guards against a note that is accepted twice or reported wrongly when the
// store doesn't answer the swap.
func TestUnansweredSwap(t *testing.T) {
	outage := false
	tests := map[string]struct {
		fault   func(t *testing.T, s *bmconfigtest.Store) bmconfigtest.Fault
		unknown bool
		version int64 // of the head in the end
	}{
		"swap took effect": {
			fault:   func(*testing.T, *bmconfigtest.Store) bmconfigtest.Fault { return bmconfigtest.LostAnswer },
			version: 2,
		},
		"swap did not arrive": {
			fault:   func(*testing.T, *bmconfigtest.Store) bmconfigtest.Fault { return bmconfigtest.Unavailable },
			version: 2,
		},
		"swap arrives during the second": {
			fault:   func(*testing.T, *bmconfigtest.Store) bmconfigtest.Fault { return bmconfigtest.Delayed },
			version: 2,
		},
		"others went on after the swap": {
			fault: func(t *testing.T, s *bmconfigtest.Store) bmconfigtest.Fault {
				_, err := newAcceptor(s).Accept(ctx, pool(t, "other", "other"), "bo")
				require.NoError(t, err)
				return bmconfigtest.Unavailable
			},
			version: 3,
		},
		"outage after the swap": {
			fault: func(*testing.T, *bmconfigtest.Store) bmconfigtest.Fault {
				outage = true
				return bmconfigtest.LostAnswer
			},
			unknown: true,
			version: 2,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			outage = false
			s := firstStore(t)
			first := onHeadSwap(1, func() bmconfigtest.Fault { return tt.fault(t, s) })
			second := onHeadSwap(2, func() bmconfigtest.Fault { s.Release(); return bmconfigtest.None })
			s.SetFault(func(c bmconfigtest.Call) bmconfigtest.Fault {
				if outage {
					return bmconfigtest.Unavailable
				}
				f := first(c)
				return max(f, second(c))
			})
			n := pool(t, "mine", "mine")
			r, err := newAcceptor(s).Accept(ctx, n, "ada")
			s.SetFault(nil)
			if tt.unknown {
				var unknown *UnknownError
				require.ErrorAs(t, err, &unknown)
				require.Contains(t, err.Error(), "apply the same note again")
				r, err = newAcceptor(s).Accept(ctx, n, "ada")
				require.True(t, r.Already)
			}
			require.NoError(t, err)
			require.Equal(t, tt.version, load(t, s).Version())
			ref, found := load(t, s).Head().FindNote("mine")
			require.True(t, found)
			require.Equal(t, ref.Version, r.Version)
		})
	}
}

// Guards against "not accepted" for a swap that still may arrive: the head can
// be read and has not moved, then the store stops answering writes.
func TestSwapUnderWay(t *testing.T) {
	s := firstStore(t)
	swap := onHeadSwap(1, func() bmconfigtest.Fault { return bmconfigtest.Delayed })
	sent := false
	s.SetFault(func(c bmconfigtest.Call) bmconfigtest.Fault {
		if sent && c.Operation == "cas" {
			return bmconfigtest.Unavailable
		}
		f := swap(c)
		sent = sent || f == bmconfigtest.Delayed
		return f
	})
	_, err := newAcceptor(s).Accept(ctx, pool(t, "mine", "mine"), "ada")
	var unknown *UnknownError
	require.ErrorAs(t, err, &unknown)
	s.Release()
	require.Equal(t, int64(2), load(t, s).Version())
}

// Guards against a second effect of a note that is applied again, at once or
// long after the head has forgotten it, and against a reused id.
func TestSameNoteAgain(t *testing.T) {
	s := firstStore(t)
	a := newAcceptor(s)
	n := note(t, "mine", "changed: {workspaces: [{name: seedleaf, weight: 7}]}\n")
	for i := range 3 {
		r, err := a.Accept(ctx, n, "ada")
		require.NoError(t, err)
		require.Equal(t, int64(2), r.Version)
		require.Equal(t, i > 0, r.Already)
	}
	for i := range bmcatalog.MaxPreviousNotes + 2 {
		_, err := a.Accept(ctx, note(t, fmt.Sprintf("later-%d", i), fmt.Sprintf("changed: {workspaces: [{name: seedleaf, weight: %d}]}\n", i+10)), "bo")
		require.NoError(t, err)
	}
	r, err := a.Accept(ctx, n, "ada")
	require.NoError(t, err)
	require.True(t, r.Already)
	_, err = a.Accept(ctx, pool(t, "mine", "mine"), "ada")
	var reused *NoteReusedError
	require.ErrorAs(t, err, &reused)
	require.Equal(t, int64(2), reused.Version)

	old := note(t, "old", "base-version: 1\nchanged: {pools: [{name: orders-east, region: west}]}\n")
	_, err = a.Accept(ctx, old, "ada")
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict, "a base that the head forgot is a conflict")
	require.Nil(t, conflict.Between)
}

// Guards against versions without an audit record, and against parts of old
// versions and lost races that stay for ever.
func TestAuditAndRetention(t *testing.T) {
	s := firstStore(t)
	refused := 0
	s.SetFault(func(c bmconfigtest.Call) bmconfigtest.Fault {
		// The acceptor of version 2 can't write its record.
		if c.Operation == "cas" && c.Key == AuditKey(2) && refused < maxUnanswered {
			refused++
			return bmconfigtest.Unavailable
		}
		return bmconfigtest.None
	})
	const versions = 2 * partRetention
	for i := 2; i <= versions; i++ {
		n := note(t, fmt.Sprintf("n-%d", i), fmt.Sprintf("changed: {workspaces: [{name: seedleaf, weight: %d}]}\n", i))
		_, err := newAcceptor(s).Accept(ctx, n, "ada")
		require.NoError(t, err)
	}
	records := s.Keys(bmcatalog.AuditKeyPrefix)
	require.Len(t, records, versions)
	e, err := s.Get(ctx, records[1])
	require.NoError(t, err)
	for _, field := range []string{`"note":"n-2"`, `"accepted-by":"ada"`, `"accepted-at":"2026-12-04T04:00:00Z"`} {
		require.Contains(t, string(e.Value), field)
	}
	require.LessOrEqual(t, len(s.Keys(bmcatalog.PartKeyPrefix)), len(load(t, s).Head().Parts)+partRetention)
}

// Guards against parts of a lost swap that stay for ever.
func TestLostPartsAreRemoved(t *testing.T) {
	s := firstStore(t)
	s.SetFault(onHeadSwap(1, func() bmconfigtest.Fault {
		_, err := newAcceptor(s).Accept(ctx, pool(t, "other", "other"), "bo")
		require.NoError(t, err)
		return bmconfigtest.None
	}))
	_, err := newAcceptor(s).Accept(ctx, pool(t, "mine", "mine"), "ada")
	require.NoError(t, err)
	// Three versions of the base part were accepted, one was lost.
	require.Len(t, s.Keys(bmcatalog.PartKeyPrefix), len(load(t, s).Head().Parts)+2)
}

// Guards against new versions on a store that was restored from a backup,
// which would give a number to two notes.
func TestStoreBehind(t *testing.T) {
	s := firstStore(t)
	known := func() (int64, error) { return 3, nil }
	_, err := New(s, fixedTime, known).Accept(ctx, pool(t, "mine", "mine"), "ada")
	var behind *StoreBehindError
	require.ErrorAs(t, err, &behind)
	require.Equal(t, int64(1), load(t, s).Version())
}

// Guards against a set back store that can't be repaired, or whose repair
// replaces a version that was accepted.
func TestRestore(t *testing.T) {
	s := firstStore(t)
	backup := s.Backup()
	a := newAcceptor(s)
	for _, id := range []string{"two", "three"} {
		_, err := a.Accept(ctx, pool(t, id, id), "ada")
		require.NoError(t, err)
	}
	held := load(t, s)

	s.Restore(backup)
	require.NoError(t, newAcceptor(s).Restore(ctx, held))
	require.Equal(t, held.HeadValue(), load(t, s).HeadValue())
	r, err := newAcceptor(s).Accept(ctx, pool(t, "two", "two"), "ada")
	require.NoError(t, err)
	require.True(t, r.Already)
	require.Len(t, s.Keys(bmcatalog.AuditKeyPrefix), 3)
	_, err = newAcceptor(s).Accept(ctx, note(t, "late", "base-version: 1\nchanged: {pools: [{name: orders-east, region: west}]}\n"), "ada")
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict, "the text of a note in between is lost")

	s.Restore(backup)
	_, err = newAcceptor(s).Accept(ctx, pool(t, "other", "other"), "bo")
	require.NoError(t, err)
	var lineage *LineageError
	require.ErrorAs(t, newAcceptor(s).Restore(ctx, held), &lineage)
	require.Equal(t, "other", load(t, s).NoteID())
}

// Guards against an outcome other than not-accepted when nothing was swapped,
// and against faults of the text that hide those against the configuration.
func TestNotAccepted(t *testing.T) {
	s := firstStore(t)
	_, err := newAcceptor(s).AcceptText(ctx, []byte("schema: 1\nnote: x\ncolour: red\nwithdrawn: {tiers: [batch]}\n"), "ada")
	var invalid *bmnote.InvalidError
	require.ErrorAs(t, err, &invalid)
	require.Len(t, invalid.Faults, 2)

	s.SetFault(func(c bmconfigtest.Call) bmconfigtest.Fault {
		if strings.HasPrefix(c.Key, bmcatalog.PartKeyPrefix) {
			return bmconfigtest.Unavailable
		}
		return bmconfigtest.None
	})
	_, err = newAcceptor(s).Accept(ctx, pool(t, "mine", "mine"), "ada")
	var notAccepted *NotAcceptedError
	require.ErrorAs(t, err, &notAccepted)
	var unknown *UnknownError
	require.False(t, errors.As(err, &unknown))
}
