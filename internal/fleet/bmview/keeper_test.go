package bmview

import (
	"context"
	"strconv"
	"testing"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

// scriptedFeed answers calls one after the other. Entries "config" carry a
// version, all others name a target.
type scriptedFeed struct {
	clock   *bmclock.Manual
	answers []feedAnswer
	waits   []basilmoor.Millis
}

type feedAnswer struct {
	takes  basilmoor.Millis // time that the call takes
	events []basilmoor.Event
	to     int64
	err    error
}

func (f *scriptedFeed) next() ([]basilmoor.Event, int64, error) {
	a := f.answers[0]
	f.answers = f.answers[1:]
	f.clock.Advance(a.takes)
	return a.events, a.to, a.err
}

func (f *scriptedFeed) Snapshot(context.Context) ([]basilmoor.Event, int64, error) {
	return f.next()
}

func (f *scriptedFeed) Watch(_ context.Context, _ int64, wait basilmoor.Millis) ([]basilmoor.Event, int64, error) {
	f.waits = append(f.waits, wait)
	return f.next()
}

func (f *scriptedFeed) Decode(events []basilmoor.Event) Changes {
	c := Changes{
		Targets: map[string]*basilmoor.Target{},
	}
	for _, e := range events {
		switch {
		case e.Entry.Key == "config":
			version, _ := strconv.ParseInt(string(e.Entry.Value), 10, 64)
			c.Table = bmrouting.NewTable(bmrouting.Content{
				Version: version,
			})
		case e.Deleted:
			c.Targets[e.Entry.Key] = nil
		default:
			c.Targets[e.Entry.Key] = &basilmoor.Target{
				Name: e.Entry.Key,
				Pool: "p",
			}
		}
	}
	return c
}

func put(key, value string) basilmoor.Event {
	return basilmoor.Event{
		Entry: basilmoor.Entry{
			Key:   key,
			Value: []byte(value),
		},
	}
}

func gone(key string) basilmoor.Event {
	return basilmoor.Event{
		Entry: basilmoor.Entry{
			Key: key,
		},
		Deleted: true,
	}
}

func newTestKeeper(answers ...feedAnswer) (*Keeper, *scriptedFeed) {
	feed := &scriptedFeed{
		clock:   bmclock.NewManual(10_000),
		answers: answers,
	}
	k := NewKeeper(feed.clock, feed, zerolog.Nop(), bmmetrics.NewRegistry(), func(*View) {}, func(Update) {})
	return k, feed
}

// steps makes one call for each answer of the feed.
func steps(t *testing.T, k *Keeper, f *scriptedFeed) {
	t.Helper()
	for len(f.answers) > 0 {
		if _, err := k.step(context.Background()); err != nil {
			k.fail(err)
		}
	}
}

func targetNames(k *Keeper) []string {
	names := []string{}
	for _, t := range k.View().Targets("p") {
		names = append(names, t.Name)
	}
	return names
}

// Guards against a desired state that goes back, from the store or a peer.
func TestDesiredStateNeverGoesBack(t *testing.T) {
	k, f := newTestKeeper(
		feedAnswer{events: []basilmoor.Event{put("config", "5")}, to: 1},
		feedAnswer{events: []basilmoor.Event{put("config", "7")}, to: 2},
		feedAnswer{events: []basilmoor.Event{put("config", "6")}, to: 3},
	)
	steps(t, k, f)
	require.EqualValues(t, 7, k.View().Table.Version())
	require.True(t, k.Relay([]Update{{From: 1, To: 2, Events: []basilmoor.Event{put("config", "5")}}}))
	require.True(t, k.Relay([]Update{{To: 4, Events: []basilmoor.Event{put("config", "4")}}}))
	require.EqualValues(t, 7, k.View().Table.Version())
}

// Guards against a proof that counts from the answer: a change may have been
// made after the call reached the store, and a key taken away with it.
func TestAgeCountsFromTheSend(t *testing.T) {
	k, f := newTestKeeper(
		feedAnswer{events: []basilmoor.Event{put("config", "1")}, to: 1},
		feedAnswer{takes: 1500, to: 1},
		feedAnswer{takes: 400, err: errors.New("no answer")},
	)
	_, known := k.Age()
	require.False(t, known)
	steps(t, k, f)
	age, known := k.Age()
	require.True(t, known)
	require.EqualValues(t, 1900, age)
}

// Guards against targets that are lost with an outage of the store although
// they live, and against targets that are kept although they are gone.
func TestTargetsAcrossAnOutage(t *testing.T) {
	k, f := newTestKeeper(
		feedAnswer{events: []basilmoor.Event{put("a", ""), put("b", ""), put("c", "")}, to: 1},
		feedAnswer{events: []basilmoor.Event{gone("c")}, to: 2},
		feedAnswer{takes: outageAfter, err: errors.New("down")},
		feedAnswer{events: []basilmoor.Event{gone("a"), gone("b")}, to: 4},
	)
	steps(t, k, f)
	require.Equal(t, []string{"a", "b"}, targetNames(k), "c vanished before the outage")
	f.answers = []feedAnswer{{takes: 1000, events: []basilmoor.Event{put("a", "")}, to: 5}}
	steps(t, k, f)
	f.answers = []feedAnswer{{takes: returnGrace, to: 5}}
	steps(t, k, f)
	require.Equal(t, []string{"a"}, targetNames(k))
	require.LessOrEqual(t, f.waits[len(f.waits)-1], returnGrace, "the watch ends when b's time is over")
}

// Guards against a watch that goes on after lost history as if nothing had
// been missed.
func TestLostHistoryIsReadAnew(t *testing.T) {
	k, f := newTestKeeper(
		feedAnswer{events: []basilmoor.Event{put("a", ""), put("b", "")}, to: 1},
		feedAnswer{err: &basilmoor.CompactedError{Revision: 1}},
		feedAnswer{events: []basilmoor.Event{put("b", ""), put("config", "2")}, to: 9},
	)
	steps(t, k, f)
	require.Equal(t, []string{"b"}, targetNames(k))
	require.EqualValues(t, 9, k.Revision())
}

// Guards against a relayed step that is applied over a gap, and against a
// follower that can't catch up.
func TestRelay(t *testing.T) {
	leader, f := newTestKeeper(
		feedAnswer{events: []basilmoor.Event{put("a", ""), put("config", "1")}, to: 1},
		feedAnswer{events: []basilmoor.Event{put("b", "")}, to: 2},
		feedAnswer{events: []basilmoor.Event{gone("a")}, to: 4},
	)
	steps(t, leader, f)
	behind, _ := newTestKeeper()
	require.True(t, behind.Relay(leader.Since(0)))
	require.Equal(t, []string{"b"}, targetNames(behind))

	follower, _ := newTestKeeper()
	require.True(t, follower.Relay([]Update{{To: 1, Events: []basilmoor.Event{put("a", "")}}}))
	require.False(t, follower.Relay([]Update{{From: 2, To: 4, Events: []basilmoor.Event{gone("a")}}}))
	require.Equal(t, []string{"a"}, targetNames(follower))
	require.True(t, follower.Relay(leader.Since(follower.Revision())))
	require.Equal(t, []string{"b"}, targetNames(follower))
	require.Empty(t, leader.Since(follower.Revision()))
}

// Guards against a follower that asks the store beside its broker, and against
// one that trusts a proof that has grown old.
func TestFollowerAsksTheStoreOnlyWithoutProof(t *testing.T) {
	k, f := newTestKeeper()
	require.True(t, k.Relay([]Update{{To: 1, Events: []basilmoor.Event{put("config", "1")}}}))
	k.SetRelayed(true)
	require.False(t, k.followsRelay(), "no proof yet")
	k.Confirm(f.clock.Now() - 100)
	require.True(t, k.followsRelay())
	k.Confirm(f.clock.Now() - 5000)
	age, _ := k.Age()
	require.EqualValues(t, 100, age, "an older proof changes nothing")
	f.clock.Advance(relayedAge)
	require.False(t, k.followsRelay())
	k.Confirm(f.clock.Now())
	k.SetRelayed(false)
	require.False(t, k.followsRelay())
}

// outageCalls runs turns against a store that fails for the given time, each
// call after takes, and returns the number of calls.
func outageCalls(k *Keeper, f *scriptedFeed, length, takes basilmoor.Millis) int {
	end := f.clock.Now() + length
	calls := 0
	for f.clock.Now() < end {
		f.answers = []feedAnswer{
			{
				takes: takes,
				err:   errors.New("store is down"),
			},
		}
		pause := k.turn(context.Background())
		calls += 1 - len(f.answers)
		f.clock.Advance(pause)
	}
	f.answers = nil
	return calls
}

// Guards against a fleet that all asks a store that is down, five times a second
// a host: the host that the others follow does, and they rarely. One that
// follows nobody asks on, because nobody tells it when the store is back.
func TestCallsDuringAnOutage(t *testing.T) {
	const outage = 6 * basilmoor.Second
	for _, relayed := range []bool{false, true} {
		k, f := newTestKeeper(feedAnswer{events: []basilmoor.Event{put("config", "1")}, to: 1})
		steps(t, k, f)
		k.SetRelayed(relayed)
		calls := outageCalls(k, f, outage, 1)
		if relayed {
			require.LessOrEqual(t, calls, 6)
		} else {
			require.InDelta(t, float64(outage/retryPause), calls, 1)
		}
	}
}

// Guards against a pause after a call that was silent until its time limit: the
// proof of the view ages meanwhile, on all hosts that follow.
func TestSilentCallIsRepeatedAtOnce(t *testing.T) {
	k, f := newTestKeeper(
		feedAnswer{events: []basilmoor.Event{put("config", "1")}, to: 1},
	)
	steps(t, k, f)
	require.Equal(t, 4, outageCalls(k, f, 4*1200, 1200))
}
