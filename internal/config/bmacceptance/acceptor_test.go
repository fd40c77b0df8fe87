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

func poolNote(t testing.TB, id, name string) *bmnote.Note {
	return note(t, id, "added:\n  pools:\n    - {name: "+name+", region: east}\n")
}

// newStoreWithExample returns a store that has accepted the example note as
// version 1.
func newStoreWithExample(t testing.TB) *bmconfigtest.Store {
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

// onHeadSwap returns a fault function that returns f's fault for the nth swap of
// the head, and no fault for other calls.
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

// Guards against a lost update when two notes are accepted concurrently, and
// against conflict errors that don't name the other note.
func TestRace(t *testing.T) {
	tests := map[string]struct {
		mine, other string
		overlap     string // item of an expected conflict
		invalid     bool   // the note is expected to be invalid after the other
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
			s := newStoreWithExample(t)
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
				require.Equal(t, "other", r.RebasedOver[0].ID)
				for _, w := range load(t, s).Content().Workspaces {
					require.Equal(t, 7, w.Weight)
				}
				return
			}
			var conflict *ConflictError
			require.ErrorAs(t, err, &conflict)
			require.Equal(t, "other", conflict.NotesSinceBase[0].ID)
			require.Equal(t, tt.invalid, conflict.InvalidAfterRebase != nil)
			if tt.overlap != "" {
				require.Equal(t, tt.overlap, conflict.Overlaps[0].Item.String())
			}
			require.Equal(t, int64(3), load(t, s).Version())
		})
	}
}

// Guards against a note that is accepted twice, or whose outcome is reported
// wrongly, when the response to the swap of the head is lost.
func TestUnansweredSwap(t *testing.T) {
	outage := false
	tests := map[string]struct {
		fault   func(t *testing.T, s *bmconfigtest.Store) bmconfigtest.Fault
		unknown bool
		version int64 // final version of the head
	}{
		"swap took effect": {
			fault:   func(*testing.T, *bmconfigtest.Store) bmconfigtest.Fault { return bmconfigtest.LostResponse },
			version: 2,
		},
		"swap had no effect": {
			fault:   func(*testing.T, *bmconfigtest.Store) bmconfigtest.Fault { return bmconfigtest.Unavailable },
			version: 2,
		},
		"swap takes effect during the retry": {
			fault:   func(*testing.T, *bmconfigtest.Store) bmconfigtest.Fault { return bmconfigtest.Delayed },
			version: 2,
		},
		"swap had no effect, other note accepted": {
			fault: func(t *testing.T, s *bmconfigtest.Store) bmconfigtest.Fault {
				_, err := newAcceptor(s).Accept(ctx, poolNote(t, "other", "other"), "bo")
				require.NoError(t, err)
				return bmconfigtest.Unavailable
			},
			version: 3,
		},
		"outage after the swap": {
			fault: func(*testing.T, *bmconfigtest.Store) bmconfigtest.Fault {
				outage = true
				return bmconfigtest.LostResponse
			},
			unknown: true,
			version: 2,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			outage = false
			s := newStoreWithExample(t)
			first := onHeadSwap(1, func() bmconfigtest.Fault { return tt.fault(t, s) })
			second := onHeadSwap(2, func() bmconfigtest.Fault { s.ApplyDelayed(); return bmconfigtest.None })
			s.SetFault(func(c bmconfigtest.Call) bmconfigtest.Fault {
				if outage {
					return bmconfigtest.Unavailable
				}
				f := first(c)
				return max(f, second(c))
			})
			n := poolNote(t, "mine", "mine")
			r, err := newAcceptor(s).Accept(ctx, n, "ada")
			s.SetFault(nil)
			if tt.unknown {
				var unknown *OutcomeUnknownError
				require.ErrorAs(t, err, &unknown)
				require.Contains(t, err.Error(), "apply the same note again")
				r, err = newAcceptor(s).Accept(ctx, n, "ada")
				require.True(t, r.AlreadyAccepted)
			}
			require.NoError(t, err)
			require.Equal(t, tt.version, load(t, s).Version())
			ref, found := load(t, s).Head().FindNote("mine")
			require.True(t, found)
			require.Equal(t, ref.Version, r.Version)
		})
	}
}

// Guards against a *NotAcceptedError for a swap that may still take effect: the
// swap is delayed, the head reads as unchanged, and further writes fail.
func TestDelayedSwap(t *testing.T) {
	s := newStoreWithExample(t)
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
	_, err := newAcceptor(s).Accept(ctx, poolNote(t, "mine", "mine"), "ada")
	var unknown *OutcomeUnknownError
	require.ErrorAs(t, err, &unknown)
	s.ApplyDelayed()
	require.Equal(t, int64(2), load(t, s).Version())
}

// Guards against a note that takes effect a second time when it is applied again,
// at once or after the head no longer lists it, and against the reuse of a note
// id for other content.
func TestSameNoteAgain(t *testing.T) {
	s := newStoreWithExample(t)
	a := newAcceptor(s)
	n := note(t, "mine", "changed: {workspaces: [{name: seedleaf, weight: 7}]}\n")
	for i := range 3 {
		r, err := a.Accept(ctx, n, "ada")
		require.NoError(t, err)
		require.Equal(t, int64(2), r.Version)
		require.Equal(t, i > 0, r.AlreadyAccepted)
	}
	for i := range bmcatalog.MaxPreviousNotes + 2 {
		_, err := a.Accept(ctx, note(t, fmt.Sprintf("later-%d", i), fmt.Sprintf("changed: {workspaces: [{name: seedleaf, weight: %d}]}\n", i+10)), "bo")
		require.NoError(t, err)
	}
	r, err := a.Accept(ctx, n, "ada")
	require.NoError(t, err)
	require.True(t, r.AlreadyAccepted)
	_, err = a.Accept(ctx, poolNote(t, "mine", "mine"), "ada")
	var reused *NoteReusedError
	require.ErrorAs(t, err, &reused)
	require.Equal(t, int64(2), reused.Version)

	old := note(t, "old", "base-version: 1\nchanged: {pools: [{name: orders-east, region: west}]}\n")
	_, err = a.Accept(ctx, old, "ada")
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict, "a base older than the notes that the head lists is a conflict")
	require.Nil(t, conflict.NotesSinceBase)
}

// Guards against versions without an audit record, and against parts of old
// versions that are never removed.
func TestAuditAndRetention(t *testing.T) {
	s := newStoreWithExample(t)
	failures := 0
	s.SetFault(func(c bmconfigtest.Call) bmconfigtest.Fault {
		// The store refuses the audit record of version 2 to its acceptor.
		if c.Operation == "cas" && c.Key == AuditKey(2) && failures < maxStoreAttempts {
			failures++
			return bmconfigtest.Unavailable
		}
		return bmconfigtest.None
	})
	const versions = 2 * partRetentionVersions
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
	require.LessOrEqual(t, len(s.Keys(bmcatalog.PartKeyPrefix)), len(load(t, s).Head().Parts)+partRetentionVersions)
}

// Guards against parts that are never removed after the swap they were written
// for has failed.
func TestLostPartsAreRemoved(t *testing.T) {
	s := newStoreWithExample(t)
	s.SetFault(onHeadSwap(1, func() bmconfigtest.Fault {
		_, err := newAcceptor(s).Accept(ctx, poolNote(t, "other", "other"), "bo")
		require.NoError(t, err)
		return bmconfigtest.None
	}))
	_, err := newAcceptor(s).Accept(ctx, poolNote(t, "mine", "mine"), "ada")
	require.NoError(t, err)
	// Three versions of the base part were accepted; the part of the failed swap
	// is removed.
	require.Len(t, s.Keys(bmcatalog.PartKeyPrefix), len(load(t, s).Head().Parts)+2)
}

// Guards against new versions in a store that was restored from a backup, which
// would assign one version number to two notes.
func TestRestoredStore(t *testing.T) {
	s := newStoreWithExample(t)
	latestVersion := func() (int64, error) { return 3, nil }
	_, err := New(s, fixedTime, latestVersion).Accept(ctx, poolNote(t, "mine", "mine"), "ada")
	var behind *StoreBehindError
	require.ErrorAs(t, err, &behind)
	require.Equal(t, int64(1), load(t, s).Version())
}

// Guards against a store reset to a backup that can't be restored to the latest
// version, and against a restore that replaces a version accepted since.
func TestRestore(t *testing.T) {
	s := newStoreWithExample(t)
	backup := s.Backup()
	a := newAcceptor(s)
	for _, id := range []string{"two", "three"} {
		_, err := a.Accept(ctx, poolNote(t, id, id), "ada")
		require.NoError(t, err)
	}
	held := load(t, s)

	s.Restore(backup)
	require.NoError(t, newAcceptor(s).Restore(ctx, held))
	require.Equal(t, held.HeadValue(), load(t, s).HeadValue())
	r, err := newAcceptor(s).Accept(ctx, poolNote(t, "two", "two"), "ada")
	require.NoError(t, err)
	require.True(t, r.AlreadyAccepted)
	require.Len(t, s.Keys(bmcatalog.AuditKeyPrefix), 3)
	_, err = newAcceptor(s).Accept(ctx, note(t, "late", "base-version: 1\nchanged: {pools: [{name: orders-east, region: west}]}\n"), "ada")
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict, "the text of a note accepted after the base is lost")

	s.Restore(backup)
	_, err = newAcceptor(s).Accept(ctx, poolNote(t, "other", "other"), "bo")
	require.NoError(t, err)
	var lineage *LineageError
	require.ErrorAs(t, newAcceptor(s).Restore(ctx, held), &lineage)
	require.Equal(t, "other", load(t, s).NoteID())
}

// Guards against an *OutcomeUnknownError when no swap was sent, and against
// faults of the text that hide faults against the configuration.
func TestNotAccepted(t *testing.T) {
	s := newStoreWithExample(t)
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
	_, err = newAcceptor(s).Accept(ctx, poolNote(t, "mine", "mine"), "ada")
	var notAccepted *NotAcceptedError
	require.ErrorAs(t, err, &notAccepted)
	var unknown *OutcomeUnknownError
	require.False(t, errors.As(err, &unknown))
}
