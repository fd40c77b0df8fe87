package bmclaim

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

func request(key, id string) basilmoor.ClaimRequest {
	return basilmoor.ClaimRequest{
		Workspace: "w",
		Key:       key,
		Host:      "h0",
		Request:   basilmoor.RequestID(id),
	}
}

func commitOne(t *testing.T, c *Committer, e entry, r *basilmoor.ClaimRequest) basilmoor.Claim {
	o, err := newOperation(context.Background(), e, r)
	require.NoError(t, err)
	c.slots[0].commit(context.Background(), []*operation{o})
	res := <-o.done
	require.NoError(t, res.err)
	return res.claim
}

// Guards against a segment that a committer, suspended before its write, stores
// at a sequence number where others have since appended and trimmed a segment.
func TestLateSegmentIsNotPartOfTheLog(t *testing.T) {
	clock := &steppingClock{}
	store := newFakeStore()
	cfg := Config{
		Clock: clock,
		Store: store,
		Live:  func(string) bool { return true },
	}
	stopped, other := newCommitter(cfg), newCommitter(cfg)
	first := request("a", "r0")
	commitOne(t, stopped, newClaimEntry(first), &first)
	for n, pause := range []basilmoor.Millis{8, 8, 1} {
		r := request(fmt.Sprintf("b%d", n), fmt.Sprintf("r%d", n+1))
		commitOne(t, other, newClaimEntry(r), &r)
		clock.now += pause * basilmoor.Minute
	}
	other.slots[0].trim(context.Background())
	require.Len(t, store.list(""), 2, "only the segments past trimAge are deleted")

	late := request("b1", "r9")
	err := stopped.slots[0].appendSegment(context.Background(), []entry{newClaimEntry(late)})
	require.ErrorIs(t, err, errConflict)
	v, err := buildView(0, store.list(slotPrefix(0)), newView(0), 0)
	require.NoError(t, err)
	require.EqualValues(t, "r2", v.claims[keyID{
		workspace: "w",
		key:       "b1",
	}].request)
	require.Equal(t, basilmoor.ClaimRunning, commitOne(t, stopped, newClaimEntry(late), &late).State)
}

// Guards against one store write per claim, a reply before the claim is durable,
// and a full batch that is not written at once.
func TestGroupCommit(t *testing.T) {
	clock := bmclock.NewManual(0)
	store := newFakeStore()
	c, closeCommitter := New(Config{
		Clock: clock,
		Store: store,
		Live:  func(string) bool { return true },
	})
	defer closeCommitter()
	slot := Slot("w", "k0")
	var keys []string
	for i := 0; len(keys) < maxBatchEntries+10; i++ {
		if k := fmt.Sprintf("k%d", i); Slot("w", k) == slot {
			keys = append(keys, k)
		}
	}
	claim := func(keys []string) *sync.WaitGroup {
		var wg sync.WaitGroup
		for _, k := range keys {
			wg.Go(func() {
				found, err := c.Claim(context.Background(), request(k, k))
				if err != nil || found.State != basilmoor.ClaimGranted {
					t.Errorf("%s: %v %v", k, found, err)
				}
			})
		}
		return &wg
	}
	wait := claim(keys[:10])
	s := c.slots[slot]
	for queued := 0; queued < 10; {
		s.mu.Lock()
		queued = len(s.queue)
		s.mu.Unlock()
	}
	require.Empty(t, store.list(""), "written before claimWindow has passed")
	clock.WaitTimers(2) // claimWindow and trimPeriod
	clock.Advance(claimWindow)
	wait.Wait()
	require.Len(t, store.list(""), 1)

	claim(keys[10:]).Wait() // a full batch is written without advancing the clock
	require.Len(t, store.list(""), 2)
	for _, e := range store.list("") {
		require.Less(t, len(e.Value), basilmoor.MaxValueBytes/2)
	}
}

// Guards against a retry that is told the wrong state of a claim, by the host
// that wrote the claim or by one that takes over the slot.
func TestRetryState(t *testing.T) {
	record := func(state basilmoor.ClaimState, size int) entry {
		return newRecordEntry(basilmoor.ClaimRecord{
			Workspace: "w",
			Key:       "a",
			Request:   "r0",
			State:     state,
			Answer: &basilmoor.Answer{
				Status: 201,
				Body:   []byte(strings.Repeat("x", size)),
			},
		})
	}
	done, large := record(basilmoor.ClaimDone, 3), record(basilmoor.ClaimDone, maxAnswerBytes+1)
	unknown, released := record(basilmoor.ClaimUnknown, 0), record(basilmoor.ClaimReleased, 0)
	tests := map[string]struct {
		record *entry
		after  basilmoor.Millis
		dead   bool
		body   byte
		state  basilmoor.ClaimState
		answer string
	}{
		"running": {
			record: nil,
			after:  14 * basilmoor.Minute,
			dead:   false,
			body:   0,
			state:  basilmoor.ClaimRunning,
			answer: "",
		},
		"holder dead, too early": {
			record: nil,
			after:  9 * basilmoor.Second,
			dead:   true,
			body:   0,
			state:  basilmoor.ClaimRunning,
			answer: "",
		},
		"holder dead": {
			record: nil,
			after:  10 * basilmoor.Second,
			dead:   true,
			body:   0,
			state:  basilmoor.ClaimUnknown,
			answer: "",
		},
		"expired": {
			record: nil,
			after:  15 * basilmoor.Minute,
			dead:   false,
			body:   0,
			state:  basilmoor.ClaimGranted,
			answer: "",
		},
		"done": {
			record: &done,
			after:  basilmoor.Second,
			dead:   true,
			body:   0,
			state:  basilmoor.ClaimDone,
			answer: "xxx",
		},
		"done, large": {
			record: &large,
			after:  basilmoor.Second,
			dead:   false,
			body:   0,
			state:  basilmoor.ClaimDone,
			answer: "",
		},
		"unknown": {
			record: &unknown,
			after:  basilmoor.Second,
			dead:   false,
			body:   0,
			state:  basilmoor.ClaimUnknown,
			answer: "",
		},
		"released": {
			record: &released,
			after:  basilmoor.Second,
			dead:   false,
			body:   1,
			state:  basilmoor.ClaimGranted,
			answer: "",
		},
		"another body": {
			record: &done,
			after:  basilmoor.Second,
			dead:   false,
			body:   1,
			state:  basilmoor.ClaimMismatch,
			answer: "",
		},
	}
	for name, tt := range tests {
		for _, takeover := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/takeover %t", name, takeover), func(t *testing.T) {
				clock := &steppingClock{}
				cfg := Config{
					Clock: clock,
					Store: newFakeStore(),
					Live:  func(string) bool { return !tt.dead },
				}
				c, second := newCommitter(cfg), newCommitter(cfg)
				if takeover { // by a host whose view predates the claim
					other := request("b", "rb")
					commitOne(t, second, newClaimEntry(other), &other)
				}
				first := request("a", "r0")
				require.Equal(t, basilmoor.ClaimGranted, commitOne(t, c, newClaimEntry(first), &first).State)
				if tt.record != nil {
					commitOne(t, second, *tt.record, nil)
				}
				if takeover {
					require.NoError(t, second.slots[0].catchUp(context.Background()))
					c = second
				}
				clock.now += tt.after
				repeat := request("a", "r1")
				repeat.BodyDigest[0] = tt.body
				found := commitOne(t, c, newClaimEntry(repeat), &repeat)
				require.Equal(t, tt.state, found.State)
				if tt.answer != "" {
					require.Equal(t, tt.answer, string(found.Answer.Body))
				} else {
					require.Nil(t, found.Answer)
				}
			})
		}
	}
}

// claimerFunc is a fake remote slot owner.
type claimerFunc func(ctx context.Context) error

func (f claimerFunc) Claim(ctx context.Context, _ basilmoor.ClaimRequest) (basilmoor.Claim, error) {
	return basilmoor.Claim{
		State: "remote",
	}, f(ctx)
}

func (f claimerFunc) Record(ctx context.Context, _ basilmoor.ClaimRecord) error { return f(ctx) }

// Guards against claims that fail because the slot owner is unavailable or hangs,
// and against a fallback although the owner replied.
func TestRouter(t *testing.T) {
	refused := errors.New("refused")
	clock := bmclock.NewManual(0)
	hang := func(ctx context.Context) error {
		for ctx.Err() == nil { // the router may start its timer at any time
			clock.Advance(ownerTimeout)
			runtime.Gosched()
		}
		return ctx.Err()
	}
	tests := map[string]struct {
		remote claimerFunc
		state  basilmoor.ClaimState
		err    error
	}{
		"owner answers": {
			remote: func(context.Context) error { return nil },
			state:  "remote",
			err:    nil,
		},
		"owner refuses": {
			remote: func(context.Context) error { return refused },
			state:  "remote",
			err:    refused,
		},
		"owner unavailable": {
			remote: func(context.Context) error { return errNoAnswer },
			state:  "local",
			err:    nil,
		},
		"owner hangs": {
			remote: hang,
			state:  "local",
			err:    nil,
		},
		"no owner": {
			remote: nil,
			state:  "local",
			err:    nil,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRouter(clock, localClaimer{}, func(int) (basilmoor.Claimer, bool) { return tt.remote, tt.remote != nil })
			found, err := r.Claim(context.Background(), request("a", "r"))
			require.Equal(t, tt.state, found.State)
			require.ErrorIs(t, err, tt.err)
			require.ErrorIs(t, r.Record(context.Background(), basilmoor.ClaimRecord{}), tt.err)
		})
	}
}

type localClaimer struct{}

func (localClaimer) Claim(context.Context, basilmoor.ClaimRequest) (basilmoor.Claim, error) {
	return basilmoor.Claim{
		State: "local",
	}, nil
}

func (localClaimer) Record(context.Context, basilmoor.ClaimRecord) error { return nil }

// Guards against a segment that changes when it is encoded and decoded again, and
// against a panic on a segment written by another version.
func FuzzDecodeSegment(f *testing.F) {
	f.Add([]byte(`{"schema":1,"batch":"b","previous":"","entries":[{"claim":{"workspace":"w","key":"k","body-digest":"` + strings.Repeat("0a", 32) + `","host":"h","request":"r"}}]}`))
	f.Add([]byte(`{"schema":1,"batch":"b","entries":[{"record":{"workspace":"w","key":"k","request":"r","state":"done","answer":{"status":200,"body":"eA=="}}}]}`))
	f.Add([]byte(`{"schema":2}`))
	f.Add([]byte(`{"schema":1,"batch":"b","entries":[{}]}`))
	f.Fuzz(func(t *testing.T, p []byte) {
		s, err := decodeSegment(p)
		if err != nil {
			return
		}
		again, err := s.encode()
		require.NoError(t, err)
		back, err := decodeSegment(again)
		require.NoError(t, err)
		third, err := back.encode()
		require.NoError(t, err)
		require.Equal(t, string(again), string(third))
		newView(0).apply(1, 1, s, 0)
	})
}
