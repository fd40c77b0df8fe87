package bmview

import (
	"context"
	"strconv"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

// scriptedFeed returns its responses in order. The value of the entry "config"
// is the version of the desired state, that of "settled" the settled era, entries whose
// key begins with "host" are hosts, and any other entry is a target named by its key,
// which leaves if its value is "leaving".
type scriptedFeed struct {
	clock     *bmclock.Manual
	responses []feedResponse
	waits     []basilmoor.Millis
}

type feedResponse struct {
	duration basilmoor.Millis // of the call
	events   []basilmoor.Event
	era      int64
	to       int64
	err      error
}

func (r feedResponse) position() basilmoor.Position {
	return basilmoor.Position{
		Era:      r.era,
		Revision: r.to,
	}
}

// at returns a position in the era of responses that name none.
func at(revision int64) basilmoor.Position {
	return basilmoor.Position{
		Revision: revision,
	}
}

func (f *scriptedFeed) next() ([]basilmoor.Event, basilmoor.Position, error) {
	a := f.responses[0]
	f.responses = f.responses[1:]
	f.clock.Advance(a.duration)
	return a.events, a.position(), a.err
}

func (f *scriptedFeed) Snapshot(context.Context) ([]basilmoor.Event, basilmoor.Position, error) {
	return f.next()
}

func (f *scriptedFeed) Watch(_ context.Context, _ basilmoor.Position, wait basilmoor.Millis) ([]basilmoor.Event, basilmoor.Position, error) {
	f.waits = append(f.waits, wait)
	return f.next()
}

func (f *scriptedFeed) Decode(events []basilmoor.Event) Changes {
	c := Changes{
		Targets: map[string]*basilmoor.Target{},
		Hosts:   map[string]*basilmoor.Member{},
	}
	for _, e := range events {
		switch {
		case strings.HasPrefix(e.Entry.Key, "host") && e.Deleted:
			c.Hosts[e.Entry.Key] = nil
		case strings.HasPrefix(e.Entry.Key, "host"):
			c.Hosts[e.Entry.Key] = &basilmoor.Member{
				Host: e.Entry.Key,
			}
		case e.Entry.Key == "settled":
			c.SettledEra, _ = strconv.ParseInt(string(e.Entry.Value), 10, 64)
		case e.Entry.Key == "config" && !e.Deleted:
			version, _ := strconv.ParseInt(string(e.Entry.Value), 10, 64)
			c.Table = bmrouting.NewTable(bmrouting.Content{
				Version: version,
			})
		case e.Deleted:
			c.Targets[e.Entry.Key] = nil
		default:
			c.Targets[e.Entry.Key] = &basilmoor.Target{
				Name:    e.Entry.Key,
				Pool:    "p",
				Leaving: string(e.Entry.Value) == "leaving",
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

func deletion(key string) basilmoor.Event {
	return basilmoor.Event{
		Entry: basilmoor.Entry{
			Key: key,
		},
		Deleted: true,
	}
}

func newTestKeeper(responses ...feedResponse) (*Keeper, *scriptedFeed) {
	feed := &scriptedFeed{
		clock:     bmclock.NewManual(10_000),
		responses: responses,
	}
	k := NewKeeper(feed.clock, feed, zerolog.Nop(), bmmetrics.NewRegistry(), func(*View) {}, func(Update) {})
	return k, feed
}

// fetchAll makes calls until the feed has no responses left.
func fetchAll(t *testing.T, k *Keeper, f *scriptedFeed) {
	t.Helper()
	for len(f.responses) > 0 {
		if _, err := k.fetch(context.Background()); err != nil {
			k.recordFailure(err)
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

// An older desired state from the store or from another host must not replace a
// newer one.
func TestDesiredStateNeverGoesBack(t *testing.T) {
	k, f := newTestKeeper(
		feedResponse{events: []basilmoor.Event{put("config", "5")}, to: 1},
		feedResponse{events: []basilmoor.Event{put("config", "7")}, to: 2},
		feedResponse{events: []basilmoor.Event{put("config", "6")}, to: 3},
	)
	fetchAll(t, k, f)
	require.EqualValues(t, 7, k.View().Table.Version())
	require.True(t, k.ApplyRelayed([]Update{{From: at(1), To: at(2), Events: []basilmoor.Event{put("config", "5")}}}))
	require.True(t, k.ApplyRelayed([]Update{{To: at(4), Events: []basilmoor.Event{put("config", "4")}}}))
	require.EqualValues(t, 7, k.View().Table.Version())
}

// The age of the view must count from the time a call was sent, not from its
// response: a key may have been revoked after the store processed the call.
func TestAgeCountsFromSendTime(t *testing.T) {
	k, f := newTestKeeper(
		feedResponse{events: []basilmoor.Event{put("config", "1")}, to: 1},
		feedResponse{duration: 1500, to: 1},
		feedResponse{duration: 400, err: errors.New("no answer")},
	)
	_, known := k.Age()
	require.False(t, known)
	fetchAll(t, k, f)
	age, known := k.Age()
	require.True(t, known)
	require.EqualValues(t, 1900, age)
}

// Entries of live targets may expire during an outage of the store. Such targets
// must be retained for the grace period after it, and no longer. A target that
// was removed before the outage must not be retained.
func TestTargetsAcrossAnOutage(t *testing.T) {
	k, f := newTestKeeper(
		feedResponse{events: []basilmoor.Event{put("a", ""), put("b", ""), put("c", "")}, to: 1},
		feedResponse{events: []basilmoor.Event{deletion("c")}, to: 2},
		feedResponse{duration: outageThreshold, err: errors.New("down")},
		feedResponse{events: []basilmoor.Event{deletion("a"), deletion("b")}, to: 4},
	)
	fetchAll(t, k, f)
	require.Equal(t, []string{"a", "b"}, targetNames(k), "c was removed before the outage")
	f.responses = []feedResponse{{duration: 1000, events: []basilmoor.Event{put("a", "")}, to: 5}}
	fetchAll(t, k, f)
	f.responses = []feedResponse{{duration: recoveryGrace, to: 5}}
	fetchAll(t, k, f)
	require.Equal(t, []string{"a"}, targetNames(k))
	require.LessOrEqual(t, f.waits[len(f.waits)-1], recoveryGrace, "the watch ends no later than the retention of b")
}

// After the store has compacted its history, the keeper must read all entries
// again: a watch from the old revision would miss changes.
func TestCompactedHistoryIsReread(t *testing.T) {
	k, f := newTestKeeper(
		feedResponse{events: []basilmoor.Event{put("a", ""), put("b", "")}, to: 1},
		feedResponse{err: &basilmoor.CompactedError{Revision: 1}},
		feedResponse{events: []basilmoor.Event{put("b", ""), put("config", "2")}, to: 9},
	)
	fetchAll(t, k, f)
	require.Equal(t, []string{"b"}, targetNames(k))
	require.Equal(t, at(9), k.Position())
}

// A relayed update must not be applied if earlier ones are missing, and a
// follower that has missed some must be able to catch up.
func TestRelay(t *testing.T) {
	leader, f := newTestKeeper(
		feedResponse{events: []basilmoor.Event{put("a", ""), put("config", "1")}, to: 1},
		feedResponse{events: []basilmoor.Event{put("b", "")}, to: 2},
		feedResponse{events: []basilmoor.Event{deletion("a")}, to: 4},
	)
	fetchAll(t, leader, f)
	behind, _ := newTestKeeper()
	require.True(t, behind.ApplyRelayed(leader.UpdatesSince(basilmoor.Position{})))
	require.Equal(t, []string{"b"}, targetNames(behind))

	follower, _ := newTestKeeper()
	require.True(t, follower.ApplyRelayed([]Update{{To: at(1), Events: []basilmoor.Event{put("a", "")}}}))
	require.False(t, follower.ApplyRelayed([]Update{{From: at(2), To: at(4), Events: []basilmoor.Event{deletion("a")}}}))
	require.Equal(t, []string{"a"}, targetNames(follower))
	require.True(t, follower.ApplyRelayed(leader.UpdatesSince(follower.Position())))
	require.Equal(t, []string{"b"}, targetNames(follower))
	require.Empty(t, leader.UpdatesSince(follower.Position()))
}

// A follower must not read the store while the relayed view is fresh, and must
// read it once the relayed view is too old.
func TestFollowerReadsStoreOnlyWithoutFreshRelay(t *testing.T) {
	k, f := newTestKeeper()
	require.True(t, k.ApplyRelayed([]Update{{To: at(1), Events: []basilmoor.Event{put("config", "1")}}}))
	k.SetRelayed(true)
	require.False(t, k.hasFreshRelay(), "not confirmed yet")
	k.Confirm(0, f.clock.Now()-100)
	require.True(t, k.hasFreshRelay())
	k.Confirm(0, f.clock.Now()-5000)
	age, _ := k.Age()
	require.EqualValues(t, 100, age, "an older confirmation is ignored")
	f.clock.Advance(maxRelayedAge)
	require.False(t, k.hasFreshRelay())
	k.Confirm(0, f.clock.Now())
	k.SetRelayed(false)
	require.False(t, k.hasFreshRelay())
}

// countCallsDuringOutage polls a store that fails for the given time, each call
// after callDuration, and returns the number of calls.
func countCallsDuringOutage(k *Keeper, f *scriptedFeed, length, callDuration basilmoor.Millis) int {
	end := f.clock.Now() + length
	calls := 0
	for f.clock.Now() < end {
		f.responses = []feedResponse{
			{
				duration: callDuration,
				err:      errors.New("store is down"),
			},
		}
		delay := k.poll(context.Background())
		calls += 1 - len(f.responses)
		f.clock.Advance(delay)
	}
	f.responses = nil
	return calls
}

// While the store is down, a host that receives a relayed view must back off, so
// that not every host of the fleet calls the store five times a second. A host
// without a relay must keep the shortest retry period, because no other host
// tells it that the store has recovered.
func TestCallsDuringAnOutage(t *testing.T) {
	const outage = 6 * basilmoor.Second
	for _, relayed := range []bool{false, true} {
		k, f := newTestKeeper(feedResponse{events: []basilmoor.Event{put("config", "1")}, to: 1})
		fetchAll(t, k, f)
		k.SetRelayed(relayed)
		calls := countCallsDuringOutage(k, f, outage, 1)
		if relayed {
			require.LessOrEqual(t, calls, 6)
		} else {
			require.InDelta(t, float64(outage/minRetryPeriod), calls, 1)
		}
	}
}

// A call that got no response until its time limit must be repeated immediately:
// any delay adds to the age of the view on all hosts that follow this one.
func TestSilentCallIsRepeatedAtOnce(t *testing.T) {
	k, f := newTestKeeper(
		feedResponse{events: []basilmoor.Event{put("config", "1")}, to: 1},
	)
	fetchAll(t, k, f)
	require.Equal(t, 4, countCallsDuringOutage(k, f, 4*1200, 1200))
}
