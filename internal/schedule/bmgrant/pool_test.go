package bmgrant

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
)

func testTarget(name string, slots int) basilmoor.Target {
	return basilmoor.Target{
		Name:       name,
		Pool:       "p",
		Address:    "10.0.0.1:80",
		DataCentre: "a",
		Slots:      slots,
	}
}

// testDemand returns a demand with an objective of 1 s.
func testDemand(id string, tier int) basilmoor.Demand {
	return basilmoor.Demand{
		Request:          basilmoor.RequestID("h/" + id),
		Host:             "h",
		DataCentre:       "a",
		Pool:             "p",
		Tier:             tier,
		PromptTokens:     1000,
		OutputTokens:     100,
		Objective:        1000,
		FirstByteTimeout: 4000,
		Deadline:         10_000,
	}
}

// granted returns the IDs of the granted requests.
func granted(decisions []basilmoor.Decision) []string {
	ids := []string{}
	for _, d := range decisions {
		if d.Grant != nil {
			ids = append(ids, string(d.Grant.Request))
		}
	}
	return ids
}

// refused returns the IDs of the refused requests.
func refused(decisions []basilmoor.Decision) []string {
	ids := []string{}
	for _, d := range decisions {
		if d.Refusal != nil {
			ids = append(ids, string(d.Refusal.Request))
		}
	}
	return ids
}

func finish(p *Pool, now basilmoor.Millis, id string) []basilmoor.Decision {
	return p.Observe(now, basilmoor.Observation{
		Request: basilmoor.RequestID("h/" + id),
		Stage:   basilmoor.StageFinished,
	})
}

// newFullPool returns a pool whose only slot is held by the request "first".
func newFullPool(t *testing.T) *Pool {
	t.Helper()
	p := NewPool(0)
	p.SetTargets(0, []basilmoor.Target{testTarget("t", 1)})
	require.Equal(t, []string{"h/first"}, granted(p.Submit(0, testDemand("first", 0))))
	return p
}

// Guards against a burst of a low tier that delays a higher one, and against a
// shortage in which every response is late because each waits for a late one: a
// demand that has missed its objective comes after the demands of its tier that
// have not, but never after those of a lower tier.
func TestOrderInAShortage(t *testing.T) {
	tests := map[string]struct {
		waiting []basilmoor.Demand // submitted at 0, in this order
		now     basilmoor.Millis   // when the slot becomes free
		want    string
	}{
		"the higher tier first": {
			waiting: []basilmoor.Demand{testDemand("low", 2), testDemand("high", 0)},
			now:     100,
			want:    "h/high",
		},
		"the earlier objective first within a tier": {
			waiting: []basilmoor.Demand{testDemand("later", 0), withObjective(testDemand("sooner", 0), 500)},
			now:     100,
			want:    "h/sooner",
		},
		"the workspace of the higher rank first within a tier": {
			waiting: []basilmoor.Demand{withObjective(ofWorkspaceRank(testDemand("second", 0), 2), 500), ofWorkspaceRank(testDemand("first-rank", 0), 1)},
			now:     100,
			want:    "h/first-rank",
		},
		"the tier of the request before the rank of its workspace": {
			waiting: []basilmoor.Demand{ofWorkspaceRank(testDemand("low", 1), 0), ofWorkspaceRank(testDemand("high", 0), 3)},
			now:     100,
			want:    "h/high",
		},
		"a late one comes after the others of its tier": {
			waiting: []basilmoor.Demand{withObjective(testDemand("late", 0), 300), testDemand("in-time", 0)},
			now:     600,
			want:    "h/in-time",
		},
		"a late one comes before the next tier": {
			waiting: []basilmoor.Demand{withObjective(testDemand("late", 0), 300), testDemand("next", 1)},
			now:     600,
			want:    "h/late",
		},
		"a late one comes before the tier after the next": {
			waiting: []basilmoor.Demand{withObjective(testDemand("late", 0), 300), testDemand("low", 2)},
			now:     600,
			want:    "h/late",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newFullPool(t)
			for _, d := range tt.waiting {
				require.Empty(t, granted(p.Submit(0, d)))
			}
			require.Equal(t, []string{tt.want}, granted(finish(p, tt.now, "first")))
		})
	}
}

func ofWorkspaceRank(d basilmoor.Demand, rank int) basilmoor.Demand {
	d.WorkspaceRank = rank
	return d
}

func withObjective(d basilmoor.Demand, objective basilmoor.Millis) basilmoor.Demand {
	d.Objective = objective
	return d
}

// Guards against a request that waits beyond its first byte timeout instead of
// being refused.
func TestRefusedBeforeTheCallerLeaves(t *testing.T) {
	p := newFullPool(t)
	d := testDemand("waits", 1)
	d.FirstByteTimeout = 2000
	p.Submit(0, d)
	require.Empty(t, refused(p.Tick(1500)))
	decisions := p.Tick(2000)
	require.Equal(t, []string{"h/waits"}, refused(decisions))
	require.Positive(t, decisions[0].Refusal.RetryAfter)
	require.Empty(t, granted(finish(p, 2100, "first")))
}

// Guards against a request that waits until its deadline although it excludes all
// usable targets, instead of being refused at once.
func TestRefusedByAllTargets(t *testing.T) {
	p := NewPool(0)
	p.SetTargets(0, []basilmoor.Target{testTarget("a", 1), testTarget("b", 1), testTarget("c", 1).WithLeaving(true)})
	d := testDemand("1", 0)
	d.Excluded = []string{"a", "b"}
	require.Equal(t, []string{"h/1"}, refused(p.Submit(0, d)))
	d.Excluded = []string{"a"}
	require.Equal(t, []string{"h/1"}, granted(p.Submit(0, d)))
}

// Guards against sending all requests to a target that does not answer because
// its slots are always free.
func TestFailedTargetIsTriedOnce(t *testing.T) {
	p := NewPool(0)
	p.SetTargets(0, []basilmoor.Target{testTarget("dead", 4)})
	p.Submit(0, testDemand("1", 0))
	p.Observe(10, basilmoor.Observation{
		Request: "h/1",
		Stage:   basilmoor.StageUnreachable,
	})
	require.Empty(t, granted(p.Submit(20, testDemand("2", 0))))
	p.Submit(20, testDemand("3", 0))
	require.Len(t, granted(p.Tick(10+minRetryBackoff)), 1)
	require.Len(t, granted(finish(p, 400, "2")), 1, "a response ends the backoff")
}

// setTokenLatency sets the token latency of a target in a pool, in ms between
// tokens.
func setTokenLatency(p *Pool, target string, latency float64) {
	p.targets[target].tokenLatency = latency
}

// Guards against granting a slow target to a long request that only a faster one
// can complete in time, and against a slow target that stays idle while requests
// wait that it can serve. The engines of a pool differ in speed by up to four
// times.
func TestSlowTargets(t *testing.T) {
	long := testDemand("long", 0)
	long.OutputTokens = 1000
	tests := map[string]struct {
		demand basilmoor.Demand
		want   []string
	}{
		"a short one is served": {
			demand: testDemand("short", 0),
			want:   []string{"h/short"},
		},
		"a long one waits for a fast target": {
			demand: long,
			want:   []string{},
		},
		"one that a slow target would make late waits": {
			demand: withObjective(testDemand("urgent", 0), 200),
			want:   []string{},
		},
		"one that is late anyway is served": {
			demand: withObjective(testDemand("late", 0), -1),
			want:   []string{"h/late"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPool(0)
			p.SetTargets(0, []basilmoor.Target{testTarget("fast", 1), testTarget("slow", 1)})
			setTokenLatency(p, "fast", 5)
			setTokenLatency(p, "slow", 20)
			require.Equal(t, []string{"h/first"}, granted(p.Submit(0, testDemand("first", 0))))
			require.Equal(t, tt.want, granted(p.Submit(0, tt.demand)))
		})
	}
}

// Guards against grants for a leaving target.
func TestLeavingTargetGetsNothing(t *testing.T) {
	p := NewPool(0)
	p.SetTargets(0, []basilmoor.Target{testTarget("t", 4).WithLeaving(true)})
	require.Empty(t, granted(p.Submit(0, testDemand("1", 0))))
	require.Len(t, granted(p.SetTargets(5, []basilmoor.Target{testTarget("t", 4)})), 1)
}

// Guards against a new broker that grants slots which are still held by grants of
// an earlier broker.
func TestGrantsOfAnEarlierBrokerCount(t *testing.T) {
	p := NewPool(warmUp)
	p.SetTargets(0, []basilmoor.Target{testTarget("t", 1)})
	require.Empty(t, granted(p.Submit(0, testDemand("waits", 0))), "before the hosts have reported")
	open := testDemand("open", 0)
	p.Observe(10, basilmoor.Observation{
		Request: "h/open",
		Target:  "t",
		Stage:   basilmoor.StageDispatched,
		Demand:  &open,
	})
	require.Empty(t, granted(p.Tick(warmUp)))
	require.Equal(t, []string{"h/waits"}, granted(finish(p, 500, "open")))
}

// Guards, over random sequences of events, against a target with more granted
// requests than slots, a demand that is decided twice, a grant for a leaving
// target, and a free slot while a suitable demand waits.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPoolModel()
		// 90 steps of at most 300 ms stay below silentRequestTimeout: a request
		// reports nothing between its dispatch and its end.
		for range rapid.IntRange(1, 90).Draw(t, "steps") {
			m.now += basilmoor.Millis(rapid.IntRange(0, 300).Draw(t, "pause"))
			m.step(t)
			// In the broker and the client, a tick follows within tickPeriod.
			m.recordDecisions(t, m.pool.Tick(m.now))
			m.check(t)
		}
	})
}

// poolModel drives a pool with random events and tracks its decisions.
type poolModel struct {
	pool    *Pool
	now     basilmoor.Millis
	next    int
	targets []basilmoor.Target
	granted map[basilmoor.RequestID]string // target name by request
	decided map[basilmoor.RequestID]bool
}

func newPoolModel() *poolModel {
	m := &poolModel{
		pool:    NewPool(0),
		targets: []basilmoor.Target{testTarget("a", 1), testTarget("b", 3), testTarget("c", 2)},
		granted: map[basilmoor.RequestID]string{},
		decided: map[basilmoor.RequestID]bool{},
	}
	m.pool.SetTargets(0, m.targets)
	return m
}

// step applies one random event.
func (m *poolModel) step(t *rapid.T) {
	switch rapid.IntRange(0, 4).Draw(t, "event") {
	case 0, 1:
		m.next++
		d := testDemand(fmt.Sprint(m.next), rapid.IntRange(0, 2).Draw(t, "tier"))
		d.Deadline = basilmoor.Millis(rapid.IntRange(100, 4000).Draw(t, "deadline"))
		m.recordDecisions(t, m.pool.Submit(m.now, d))
	case 2:
		m.finishOne(t)
	case 3:
		i := rapid.IntRange(0, len(m.targets)-1).Draw(t, "target")
		m.targets[i] = m.targets[i].WithLeaving(!m.targets[i].Leaving)
		m.recordDecisions(t, m.pool.SetTargets(m.now, append([]basilmoor.Target(nil), m.targets...)))
	case 4:
		m.recordDecisions(t, m.pool.Tick(m.now))
	}
}

// finishOne ends the oldest granted request with a random stage.
func (m *poolModel) finishOne(t *rapid.T) {
	stage := rapid.SampledFrom([]basilmoor.Stage{basilmoor.StageFinished, basilmoor.StageFailed, basilmoor.StageReturned}).Draw(t, "stage")
	for n := 1; n <= m.next; n++ {
		id := basilmoor.RequestID(fmt.Sprint("h/", n))
		if _, ok := m.granted[id]; !ok {
			continue
		}
		delete(m.granted, id)
		m.recordDecisions(t, m.pool.Observe(m.now, basilmoor.Observation{
			Request: id,
			Stage:   stage,
		}))
		return
	}
}

// recordDecisions checks and records decisions, and reports the dispatch of each
// granted request.
func (m *poolModel) recordDecisions(t *rapid.T, decisions []basilmoor.Decision) {
	for _, d := range decisions {
		id := basilmoor.RequestID("")
		if d.Grant != nil {
			id = d.Grant.Request
			m.granted[id] = d.Grant.Target.Name
			if d.Grant.Target.Leaving {
				t.Fatalf("%s was granted a leaving target", id)
			}
		} else {
			id = d.Refusal.Request
		}
		if m.decided[id] {
			t.Fatalf("%s was decided twice", id)
		}
		m.decided[id] = true
		if d.Grant != nil {
			m.recordDecisions(t, m.pool.Observe(m.now, basilmoor.Observation{
				Request: id,
				Stage:   basilmoor.StageDispatched,
			}))
		}
	}
}

// check checks the invariants on slots.
func (m *poolModel) check(t *rapid.T) {
	used := map[string]int{}
	for _, target := range m.granted {
		used[target]++
	}
	for _, target := range m.targets {
		if used[target.Name] > target.Slots {
			t.Fatalf("target %s has %d granted requests but %d slots", target.Name, used[target.Name], target.Slots)
		}
		free := m.pool.targets[target.Name].free(m.now)
		for _, q := range m.pool.waiting {
			if free && m.pool.fastEnough(m.now, q, m.pool.targets[target.Name]) {
				t.Fatalf("target %s is free while %s waits, for which it is fast enough", target.Name, q.demand.Request)
			}
		}
	}
}

// Guards against host shares that don't add up to the slots of a target.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 100).Draw(t, "hosts")
		var hosts []basilmoor.Member
		for i := range n {
			hosts = append(hosts, basilmoor.Member{
				Host: fmt.Sprintf("h%03d", i),
			})
		}
		var targets []basilmoor.Target
		for i := range rapid.IntRange(1, 20).Draw(t, "targets") {
			targets = append(targets, testTarget(fmt.Sprint(i), rapid.IntRange(1, 12).Draw(t, "slots")))
		}
		sum := map[string]int{}
		for _, h := range hosts {
			for _, target := range hostShare(targets, h.Host, hosts) {
				sum[target.Name] += target.Slots
			}
		}
		for _, target := range targets {
			if sum[target.Name] != target.Slots {
				t.Fatalf("%d hosts use %d of %d slots", n, sum[target.Name], target.Slots)
			}
		}
	})
}

// plainDemand returns a demand for a plain service with a deadline of 1 s.
func plainDemand(id, kind string) basilmoor.Demand {
	d := testDemand(id, 0)
	d.Kind = kind
	d.PromptTokens = 0
	d.OutputTokens = 0
	d.Objective = 100
	d.FirstByteTimeout = 0
	d.Deadline = 1000
	return d
}

// serveDemand submits a demand, requires its grant, and finishes the request
// after took.
func serveDemand(t *testing.T, p *Pool, now basilmoor.Millis, d basilmoor.Demand, took basilmoor.Millis) {
	t.Helper()
	require.Equal(t, []string{string(d.Request)}, granted(p.Submit(now, d)))
	p.Observe(now+took, basilmoor.Observation{
		Request: d.Request,
		Stage:   basilmoor.StageFinished,
		Elapsed: took,
	})
}

// Guards against an idle plain service whose requests are all refused. After a
// few requests of a slow kind, the first that a new broker saw, all kinds were
// expected to exceed their deadlines, and refused requests could not correct the
// estimate.
func TestSlowKindsDoNotBlockOtherKinds(t *testing.T) {
	p := NewPool(0)
	p.SetTargets(0, []basilmoor.Target{testTarget("a", 2), testTarget("b", 2)})
	now := basilmoor.Millis(0)
	for i := range 8 {
		slow := plainDemand(fmt.Sprint("slow", i), "report")
		slow.Deadline = 12_000
		serveDemand(t, p, now, slow, 6000)
		now += 6000
	}
	quick := plainDemand("quick", "lookup")
	serveDemand(t, p, now, quick, 20)
	require.Equal(t, []string{"h/next"}, granted(p.Submit(now+20, plainDemand("next", "lookup"))))
}

// Guards against a pool that refuses a demand because its targets are expected to
// be too slow although some are idle: only requests can show that a target has
// become faster.
func TestIdleTargetsAreTried(t *testing.T) {
	p := NewPool(0)
	p.SetTargets(0, []basilmoor.Target{testTarget("a", 1)})
	setTokenLatency(p, "a", 1000)
	require.Equal(t, []string{"h/1"}, granted(p.Submit(0, testDemand("1", 0))))
	require.Equal(t, []string{"h/2"}, refused(p.Submit(0, testDemand("2", 0))), "the target is busy")
}

// Guards against a request that is refused as target-unreachable although a sound target
// is free: after its first attempt that reached no target it must not be the one that
// tries further targets of which the last attempt failed.
func TestRetriesAvoidFailedTargets(t *testing.T) {
	p := NewPool(0)
	p.SetTargets(0, []basilmoor.Target{testTarget("dead-1", 4), testTarget("dead-2", 4), testTarget("dead-3", 4), testTarget("sound", 4)})
	submit := func(now basilmoor.Millis, d basilmoor.Demand) basilmoor.Grant {
		decisions := p.Submit(now, d)
		require.Len(t, decisions, 1)
		require.NotNil(t, decisions[0].Grant)
		return *decisions[0].Grant
	}
	failed := map[string]bool{}
	for i := 0; len(failed) < 3; i++ {
		id := fmt.Sprint("before-", i)
		if g := submit(0, testDemand(id, 0)); g.Target.Name != "sound" {
			failed[g.Target.Name] = true
			p.Observe(0, basilmoor.Observation{
				Request: g.Request,
				Stage:   basilmoor.StageUnreachable,
			})
		}
		require.Less(t, i, 10)
	}

	now := minRetryBackoff
	d := testDemand("retried", 0)
	attempts := 0
	for g := submit(now, d); g.Target.Name != "sound"; g = submit(now, d) {
		attempts++
		p.Observe(now, basilmoor.Observation{
			Request: g.Request,
			Stage:   basilmoor.StageUnreachable,
		})
		d.Excluded = append(d.Excluded, g.Target.Name)
	}
	require.LessOrEqual(t, attempts, 1, "attempts that reached no target")
}
