package bmentrynode_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor/internal/schedule/bmrollout"
	"basilmoor.example/basilmoor/internal/standin/bmstandinplatform"
)

// lookups sends requests to the plain pool until ctx ends.
type lookups struct {
	fleet *fleet
	node  *node
	done  *sync.WaitGroup
}

func (l *lookups) run(ctx context.Context) {
	defer l.done.Done()
	for ctx.Err() == nil {
		l.fleet.send(l.node, http.MethodGet, "/lookup/x", "k")
	}
}

// addVersion adds replicas of a version to the plain pool and returns them.
func (f *fleet) addVersion(version string, count int) []*bmstandinplatform.Replica {
	var added []*bmstandinplatform.Replica
	for i := range count {
		r, stop := bmstandinplatform.NewReplica(fmt.Sprint(version, "-", i))
		f.t.Cleanup(stop)
		entry := r.Entry("plain", "ready")
		entry["version"] = version
		f.store.Put("servers/"+r.ID, entry)
		added = append(added, r)
	}
	return added
}

func runsOf(replicas []*bmstandinplatform.Replica) int {
	n := 0
	for _, r := range replicas {
		n += len(r.Runs())
	}
	return n
}

// Guards against an order that the hosts, the broker and the store together don't carry
// out: a good version is not completed in time, a bad one gets more requests than the
// bounds allow, or requests run on the version that the decision has left out.
func TestRolloutEndToEnd(t *testing.T) {
	const duration = 6 * time.Second
	tests := map[string]struct {
		bad  bool
		want string
	}{
		"good": {want: `{"lifecycle":"completed","target":"v2"}`},
		"bad":  {bad: true, want: `{"lifecycle":"rolled_back","target":"v2"}`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 0)
			f.rollouts = bmrollout.Bounds{
				ExposedShare: 0.1,
				ExposedSlack: 50,
				RollbackTime: 5000,
			}
			f.store.Delete("servers/p1")
			old := f.addVersion("v1", 4)
			f.addNode("h0")
			f.addNode("h1")
			for _, n := range f.nodes {
				f.eventually("ready", n.ready)
			}
			ctx, cancel := context.WithCancel(context.Background())
			var done sync.WaitGroup
			for i := range 8 {
				l := &lookups{
					fleet: f,
					node:  f.nodes[i%2],
					done:  &done,
				}
				done.Add(1)
				go l.run(ctx)
			}
			defer done.Wait()
			defer cancel()

			f.store.Put("op/rollout/plain", []byte(`{"backend":"plain","target":"v2","duration_s":6}`))
			ordered := time.Now()
			fresh := f.addVersion("v2", 4)
			if tt.bad {
				for _, r := range fresh {
					r.Fail()
				}
			}
			before := runsOf(old)
			f.eventually("decided", func() bool { return f.store.Value("status/rollout/plain") == tt.want })
			require.Less(t, time.Since(ordered), duration)
			decided := runsOf(old)
			exposed := runsOf(fresh)
			left, stays := old, fresh
			goesOn := func() {
				more := runsOf(stays)
				f.eventually("requests go on", func() bool { return runsOf(stays) >= more+50 })
			}
			if tt.bad {
				require.LessOrEqual(t, exposed, 50+(decided-before+exposed)/10)
				left, stays = fresh, old
				// What was granted before the rollback may still arrive.
				goesOn()
			}
			runs := runsOf(left)
			goesOn()
			require.Equal(t, runs, runsOf(left), "requests on the version that was left out")
		})
	}
}
