package bmview

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// inEra returns a position.
func inEra(era, revision int64) basilmoor.Position {
	return basilmoor.Position{
		Era:      era,
		Revision: revision,
	}
}

// putAt returns the write of an entry at a revision.
func putAt(revision int64, key, value string) basilmoor.Event {
	e := put(key, value)
	e.Entry.Revision = revision
	return e
}

// answered returns the response of a call that takes 100 ms.
func answered(era, to int64, events ...basilmoor.Event) feedResponse {
	return feedResponse{
		duration: 100,
		events:   events,
		era:      era,
		to:       to,
	}
}

// otherEra is the response to a watch from a position of an earlier era.
func otherEra() feedResponse {
	return feedResponse{
		err: &basilmoor.CompactedError{},
	}
}

// Guards against a proof by a store that was restored from a copy before the operator has
// written again what the copy lacks, and against refusing requests for longer than that.
func TestProofOfARestoredStore(t *testing.T) {
	before := answered(1, 10, putAt(9, "config", "1"), put("a", ""))
	tests := map[string]struct {
		responses []feedResponse
		known     bool
		age       basilmoor.Millis
	}{
		"never restored": {
			responses: []feedResponse{before},
			known:     true,
			age:       100,
		},
		"the copy alone proves nothing": {
			responses: []feedResponse{before, otherEra(), answered(2, 9, putAt(9, "config", "1"), put("a", ""))},
			known:     true,
			age:       200,
		},
		"the desired state was written again": {
			responses: []feedResponse{before, otherEra(), answered(2, 9, putAt(8, "config", "1"), put("a", ""))},
			known:     true,
			age:       100,
		},
		"written again in the era before, which the copy may be of": {
			responses: []feedResponse{
				answered(2, 9, putAt(8, "config", "1")),
				{duration: settleTime, era: 2, to: 9},
				answered(2, 9),
				otherEra(),
				answered(3, 9, putAt(9, "config", "1")),
			},
			known: true,
			age:   200,
		},
		"another host has waited": {
			responses: []feedResponse{before, otherEra(), answered(2, 9, putAt(9, "config", "1"), put("settled", "2"))},
			known:     true,
			age:       100,
		},
		"another host has waited, in an era before": {
			responses: []feedResponse{before, otherEra(), answered(3, 9, putAt(9, "config", "1"), put("settled", "2"))},
			known:     true,
			age:       200,
		},
		"long enough after its return": {
			responses: []feedResponse{
				before,
				otherEra(),
				answered(2, 9, putAt(9, "config", "1"), put("a", "")),
				{duration: settleTime, era: 2, to: 9},
				answered(2, 9),
			},
			known: true,
			age:   100,
		},
		"without a memory": {
			responses: []feedResponse{answered(2, 9, put("config", "1"))},
		},
		"without a memory, another host has waited": {
			responses: []feedResponse{answered(2, 9, put("config", "1"), put("settled", "2"))},
			known:     true,
			age:       100,
		},
		"without a memory, long enough": {
			responses: []feedResponse{answered(2, 9, put("config", "1")), {duration: settleTime, era: 2, to: 9}, answered(2, 9)},
			known:     true,
			age:       100,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			k, f := newTestKeeper(tt.responses...)
			fetchAll(t, k, f)
			age, known := k.Age()
			require.Equal(t, tt.known, known)
			require.Equal(t, tt.age, age)
		})
	}
}

// Guards against a response of an earlier era, overtaken by a relayed update of a later
// one, that counts as a proof or changes the view.
func TestLateResponseOfAnEarlierEra(t *testing.T) {
	k, f := newTestKeeper(answered(1, 10, put("a", "")))
	fetchAll(t, k, f)
	require.True(t, k.ApplyRelayed([]Update{{To: inEra(2, 4), Events: []basilmoor.Event{put("a", ""), put("b", "")}}}))
	f.responses = []feedResponse{answered(1, 12, deletion("a"))}
	fetchAll(t, k, f)
	require.Equal(t, []string{"a", "b"}, targetNames(k))
	require.Equal(t, inEra(2, 4), k.Position())
	age, _ := k.Age()
	require.EqualValues(t, 200, age)
}

// Guards against hosts of two eras that revert each other, skip changes, or take the
// proof of one era for the other.
func TestRelayBetweenEras(t *testing.T) {
	leader, f := newTestKeeper(
		answered(1, 10, put("config", "1"), put("a", ""), put("b", "")),
		answered(1, 12, put("c", "")),
		otherEra(),
		answered(2, 11, put("config", "1"), put("a", ""), put("d", "")),
		answered(2, 12, put("e", "")),
	)
	fetchAll(t, leader, f)
	atEraChange := leader.UpdatesSince(inEra(1, 12))
	tests := map[string]struct {
		position basilmoor.Position
		events   []basilmoor.Event
		fits     bool // the update that crosses eras
		targets  []string
	}{
		"at the same position":         {position: inEra(1, 12), events: []basilmoor.Event{put("a", ""), put("b", ""), put("c", "")}, fits: true, targets: []string{"a", "b", "c", "d", "e"}},
		"behind":                       {position: inEra(1, 9), events: []basilmoor.Event{put("a", ""), put("b", "")}, targets: []string{"a", "b", "d", "e"}},
		"further":                      {position: inEra(1, 14), events: []basilmoor.Event{put("a", ""), put("b", ""), put("c", ""), put("x", "")}, targets: []string{"a", "b", "c", "d", "e", "x"}},
		"in the new era":               {position: inEra(2, 10), events: []basilmoor.Event{put("a", "")}, targets: []string{"a", "d", "e"}},
		"in the new era, at a change":  {position: inEra(2, 11), events: []basilmoor.Event{put("a", ""), put("d", "")}, fits: true, targets: []string{"a", "d", "e"}},
		"with nothing":                 {targets: []string{"a", "d", "e"}},
		"in an era after, as a reader": {position: inEra(3, 1), events: []basilmoor.Event{put("a", ""), put("z", "")}, fits: true, targets: []string{"a", "z"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			k, f := newTestKeeper()
			if !tt.position.IsZero() {
				require.True(t, k.ApplyRelayed([]Update{{To: tt.position, Events: tt.events}}))
				k.Confirm(tt.position.Era, f.clock.Now()-500)
			}
			if !tt.position.IsZero() {
				require.Equal(t, tt.fits, k.ApplyRelayed(atEraChange))
			}
			require.True(t, k.ApplyRelayed(leader.UpdatesSince(k.Position())))
			require.Equal(t, tt.targets, targetNames(k))
			k.Confirm(1, f.clock.Now())
			age, known := k.Age()
			require.Equal(t, !tt.position.IsZero(), known)
			require.True(t, !known || age == 500, "a proof of another era counts")
		})
	}
}

// Guards against a host without a memory that takes a copy for current, because a host
// with one is sure of what it has kept from the era before.
func TestProofBeforeTheStoreHasSettled(t *testing.T) {
	copied := answered(2, 9, putAt(9, "config", "1"))
	leader, f := newTestKeeper(answered(1, 10, putAt(10, "config", "2")), otherEra(), copied)
	fetchAll(t, leader, f)
	joined, g := newTestKeeper(copied)
	fetchAll(t, joined, g)
	relay := func() {
		era, age, known := leader.Proof()
		require.True(t, known)
		require.True(t, joined.ApplyRelayed(leader.UpdatesSince(joined.Position())))
		joined.Confirm(era, g.clock.Now()-age)
	}
	relay()
	_, known := joined.Age()
	require.False(t, known)
	require.EqualValues(t, 1, joined.View().Table.Version())
	f.responses = []feedResponse{{duration: settleTime, era: 2, to: 9}, answered(2, 11, putAt(11, "config", "2")), answered(2, 12)}
	fetchAll(t, leader, f)
	relay()
	_, known = joined.Age()
	require.True(t, known)
	require.EqualValues(t, 2, joined.View().Table.Version())
}

// Guards against taking a target for gone because an earlier copy lacked it.
func TestTargetsThatAnEarlierCopyLacked(t *testing.T) {
	k, f := newTestKeeper(
		answered(1, 10, put("joined", ""), put("leaving", "leaving")),
		otherEra(),
		answered(2, 8),
		otherEra(),
		answered(3, 9, put("joined", ""), put("leaving", "")),
		feedResponse{duration: recoveryGrace, era: 3, to: 9},
	)
	fetchAll(t, k, f)
	require.Equal(t, []string{"joined"}, targetNames(k))
}

// Guards against a target that is not used although it is alive, because a restored store
// showed it while this host knew it as gone, and against one that is used although its
// entry has lapsed since.
func TestDoubtedEntriesAreReadAgain(t *testing.T) {
	tests := map[string]struct {
		reread  []basilmoor.Event
		targets []string
	}{
		"still there": {reread: []basilmoor.Event{put("a", ""), put("gone", ""), put("leaving", "")}, targets: []string{"a", "gone", "leaving"}},
		"lapsed":      {reread: []basilmoor.Event{put("a", "")}, targets: []string{"a"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			k, f := newTestKeeper(
				answered(1, 10, put("a", ""), put("gone", ""), put("leaving", "")),
				answered(1, 12, deletion("gone"), put("leaving", "leaving")),
				otherEra(),
				answered(2, 9, put("a", ""), put("gone", ""), put("leaving", "")),
			)
			fetchAll(t, k, f)
			require.Equal(t, []string{"a", "leaving"}, targetNames(k))
			require.True(t, k.View().Targets("p")[1].Leaving)
			require.False(t, k.rereadDue())
			f.responses = []feedResponse{otherEra(), answered(2, 10, put("a", ""), put("gone", ""), put("leaving", ""))}
			fetchAll(t, k, f)
			require.Equal(t, []string{"a", "leaving"}, targetNames(k), "read too early")
			require.True(t, k.View().Targets("p")[1].Leaving, "read too early")
			f.clock.Advance(doubtTime)
			require.True(t, k.rereadDue())
			f.responses = []feedResponse{answered(2, 10, tt.reread...)}
			fetchAll(t, k, f)
			require.False(t, k.rereadDue(), "it is read again after a pause")
			f.clock.Advance(rereadPeriod)
			require.True(t, k.rereadDue(), "the store has not changed")
			f.responses = []feedResponse{answered(2, 13, tt.reread...)}
			fetchAll(t, k, f)
			require.Equal(t, tt.targets, targetNames(k))
			for _, target := range k.View().Targets("p") {
				require.False(t, target.Leaving)
			}
			f.clock.Advance(basilmoor.Minute)
			require.False(t, k.rereadDue())
		})
	}
}

// Guards against using a target that leaves, because a host that has started without a
// memory reads a copy after another host has told it what was accepted.
func TestCopyReadAfterARelayedView(t *testing.T) {
	k, f := newTestKeeper()
	require.True(t, k.ApplyRelayed([]Update{{To: inEra(2, 8), Events: []basilmoor.Event{put("leaving", "leaving")}}}))
	f.responses = []feedResponse{otherEra(), answered(2, 9, put("leaving", ""))}
	fetchAll(t, k, f)
	require.True(t, k.View().Targets("p")[0].Leaving)
	f.clock.Advance(doubtTime)
	require.True(t, k.rereadDue())
}

// Guards against losing the hosts whose registration the copy lacks before they had the
// time to register again, and against keeping those that do not.
func TestHostsAfterARestoration(t *testing.T) {
	k, f := newTestKeeper(
		answered(1, 10, put("host-a", ""), put("host-b", ""), put("host-c", "")),
		answered(1, 11, deletion("host-c")),
		otherEra(),
		answered(2, 8, put("host-c", "")),
		answered(2, 9, put("host-a", "")),
	)
	fetchAll(t, k, f)
	require.Len(t, k.View().Hosts(), 2)
	f.responses = []feedResponse{{duration: hostGrace, era: 2, to: 9}}
	fetchAll(t, k, f)
	require.Len(t, k.View().Hosts(), 1)
	require.Equal(t, "host-a", k.View().Hosts()[0].Host)
}

// Guards against a relayed state that is older than what was accepted, for a host that
// has no memory of its own.
func TestHostsThatJoinGetWhatWasAccepted(t *testing.T) {
	k, f := newTestKeeper(
		answered(1, 10, put("config", "1")),
		answered(1, 11, put("config", "2")),
		feedResponse{err: errors.New("down")},
		otherEra(),
		answered(2, 10, put("config", "1")),
		answered(2, 11, put("config", "1")),
	)
	fetchAll(t, k, f)
	joined, _ := newTestKeeper()
	require.True(t, joined.ApplyRelayed(k.UpdatesSince(basilmoor.Position{})))
	require.EqualValues(t, 2, joined.View().Table.Version())
}
