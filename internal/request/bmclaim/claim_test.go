package bmclaim

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
)

// usable is the time after its first call in which a holder may dispatch.
const usable = 5 * basilmoor.Minute

// asked is a request of the model.
type asked struct {
	request  basilmoor.ClaimRequest
	first    basilmoor.Millis // first call
	granted  bool             // while it was usable
	released bool             // the release was attempted
	recorded basilmoor.ClaimState
	status   int
}

// world is three hosts that commit to one slot, driven by rapid in a single
// goroutine: whatever happens during a store call runs inside of it.
type world struct {
	t          *rapid.T
	clock      *steppingClock
	store      *fakeStore
	committers []*Committer
	busy       []bool // the host is inside a commit
	dead       map[string]bool
	requests   []*asked
	depth      int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t:     t,
		clock: &steppingClock{},
		store: newFakeStore(),
		dead:  make(map[string]bool),
		busy:  make([]bool, 3),
	}
	for range w.busy {
		w.committers = append(w.committers, w.newCommitter())
	}
	w.store.around = w.interleave
	w.store.fault = func(write bool) fault {
		f := []fault{works, works, works, works, works, works, outage, lost, lost, delayed}
		if !write {
			f = f[:8]
		}
		return rapid.SampledFrom(f).Draw(t, "fault")
	}
	return w
}

func (w *world) newCommitter() *Committer {
	return newCommitter(Config{
		Clock: w.clock,
		Store: w.store,
		Live:  func(host string) bool { return !w.dead[host] },
	})
}

// interleave lets other hosts act, or time pass, in the middle of a call.
func (w *world) interleave() {
	if w.depth >= 3 || rapid.IntRange(0, 9).Draw(w.t, "interleave") > 0 {
		return
	}
	w.depth++
	defer func() { w.depth-- }()
	for range rapid.IntRange(1, 4).Draw(w.t, "inner steps") {
		w.step()
	}
}

func (w *world) step() {
	switch rapid.SampledFrom([]string{"claim", "claim", "claim", "claim", "record", "record", "time", "trim", "late", "restart", "die"}).Draw(w.t, "step") {
	case "claim":
		w.claim()
	case "record":
		w.record()
	case "time":
		w.clock.now += rapid.SampledFrom([]basilmoor.Millis{10, 1100, 11 * basilmoor.Second, 4 * basilmoor.Minute, 9 * basilmoor.Minute, 17 * basilmoor.Minute}).Draw(w.t, "time")
	case "trim":
		w.on(func(s *slot) { s.trim(context.Background()) })
	case "late":
		if len(w.store.late) > 0 {
			effect := w.store.late[0]
			w.store.late = w.store.late[1:]
			effect()
		}
	case "restart":
		if h := w.host(); !w.busy[h] {
			w.committers[h] = w.newCommitter()
		}
	case "die":
		w.dead[fmt.Sprintf("h%d", w.host())] = true
	}
}

func (w *world) host() int {
	return rapid.IntRange(0, 2).Draw(w.t, "host")
}

// on runs f on a host that is not inside a commit already.
func (w *world) on(f func(s *slot)) {
	h := w.host()
	if w.busy[h] {
		return
	}
	w.busy[h] = true
	defer func() { w.busy[h] = false }()
	f(w.committers[h].slots[0])
}

// claim commits a batch of new requests and repetitions of unanswered ones.
func (w *world) claim() {
	w.on(func(s *slot) {
		var batch []*operation
		var of []*asked
		for range rapid.IntRange(1, 3).Draw(w.t, "batch") {
			a := w.ask()
			o, err := newOperation(context.Background(), claimOf(a.request), &a.request)
			require.NoError(w.t, err)
			batch = append(batch, o)
			of = append(of, a)
		}
		s.commit(context.Background(), batch)
		for i, o := range batch {
			res := <-o.done
			if res.err == nil {
				w.check(of[i], res.claim)
			}
		}
	})
}

func (w *world) ask() *asked {
	if len(w.requests) > 0 && rapid.Bool().Draw(w.t, "again") {
		a := rapid.SampledFrom(w.requests).Draw(w.t, "request")
		if !a.released && a.recorded == "" {
			return a
		}
	}
	a := &asked{
		request: basilmoor.ClaimRequest{
			Workspace:  "w",
			Key:        rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "key"),
			BodyDigest: [32]byte{byte(rapid.IntRange(0, 1).Draw(w.t, "body"))},
			Host:       fmt.Sprintf("h%d", w.host()),
			Request:    basilmoor.RequestID(fmt.Sprintf("r%d", len(w.requests))),
		},
		first: w.clock.now,
	}
	w.requests = append(w.requests, a)
	return a
}

func (w *world) check(a *asked, c basilmoor.Claim) {
	switch c.State {
	case basilmoor.ClaimGranted:
		w.checkGrant(a)
	case basilmoor.ClaimDone:
		holder := w.find(c.Request)
		require.Equal(w.t, basilmoor.ClaimDone, holder.recorded)
		require.Equal(w.t, holder.status, c.Answer.Status)
		require.Equal(w.t, holder.request.BodyDigest, a.request.BodyDigest)
	case basilmoor.ClaimUnknown:
		holder := w.find(c.Request)
		require.True(w.t, holder.recorded == basilmoor.ClaimUnknown || w.dead[c.Holder])
		require.True(w.t, holder.recorded != "" || w.clock.now-holder.first >= holderGrace)
	case basilmoor.ClaimMismatch:
		require.NotEqual(w.t, w.find(c.Request).request.BodyDigest, a.request.BodyDigest)
	case basilmoor.ClaimRunning:
		require.NotEqual(w.t, a.request.Request, c.Request)
	default:
		w.t.Fatalf("claim has state %q", c.State)
	}
}

// checkGrant fails if the grant is not durable, or if another holder of the key
// may still dispatch or has dispatched.
func (w *world) checkGrant(a *asked) {
	if w.clock.now-a.first > usable || a.released || a.recorded != "" {
		return // its holder does not use it any more
	}
	a.granted = true
	require.Equal(w.t, a.request.Request, w.stored(a.request.Key).request, "the grant is not durable")
	for _, o := range w.requests {
		if o == a || !o.granted || o.released || o.request.Key != a.request.Key {
			continue
		}
		require.GreaterOrEqual(w.t, w.clock.now-o.first, expiry, "%s and %s hold one key", o.request.Request, a.request.Request)
	}
}

func (w *world) find(id basilmoor.RequestID) *asked {
	for _, a := range w.requests {
		if a.request.Request == id {
			return a
		}
	}
	w.t.Fatalf("no request %q", id)
	return nil
}

// record ends a claim: a granted one in any way, another one by a release.
func (w *world) record() {
	if len(w.requests) == 0 {
		return
	}
	a := rapid.SampledFrom(w.requests).Draw(w.t, "holder")
	if a.recorded != "" {
		return
	}
	w.on(func(s *slot) {
		if a.recorded != "" {
			return
		}
		a.recorded = basilmoor.ClaimReleased
		if a.granted && !a.released {
			a.recorded = rapid.SampledFrom([]basilmoor.ClaimState{basilmoor.ClaimDone, basilmoor.ClaimUnknown, basilmoor.ClaimReleased}).Draw(w.t, "state")
		}
		a.released = a.recorded == basilmoor.ClaimReleased
		a.status = 200 + len(w.requests)
		r := recordOf(basilmoor.ClaimRecord{
			Workspace: "w",
			Key:       a.request.Key,
			Request:   a.request.Request,
			State:     a.recorded,
			Answer: &basilmoor.Answer{
				Status: a.status,
			},
		})
		o, err := newOperation(context.Background(), r, nil)
		require.NoError(w.t, err)
		s.commit(context.Background(), []*operation{o})
		if res := <-o.done; res.err == nil && a.granted && !a.released && w.clock.now-a.first < expiry {
			c := w.stored(a.request.Key)
			require.Equal(w.t, a.request.Request, c.request)
			require.Equal(w.t, a.recorded, c.state, "the record is not durable")
		}
	})
}

// stored returns a claim as a host finds it that takes over now.
func (w *world) stored(key string) claim {
	v, err := build(0, w.store.list(slotPrefix(0)), newView(0), 0)
	require.NoError(w.t, err)
	return v.claims[keyID{
		workspace: "w",
		key:       key,
	}]
}

// Guards against two grants of one key, a grant that is not durable, a body
// that gets another one's response, and a claim that is lost by a restart, a
// lost answer, a late write or a committer that was stopped for a long time.
func TestAtMostOneGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			w.step()
		}
	})
}
