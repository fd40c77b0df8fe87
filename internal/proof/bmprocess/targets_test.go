package bmprocess

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Guards against a stream that is cut, doubled or run again when the
// connection to its engine goes silent while new connections work.
func TestSilentConnections(t *testing.T) {
	f := startFleet(t, 2)
	l := f.newLoad()
	for i := range 8 {
		l.start(f.nodes[i%2], chat(t, fmt.Sprintf("silent %d", i), 200, true))
	}
	f.eventually("streams run on both engines", func() bool {
		return f.running(f.engines[0]) > 0 && f.running(f.engines[1]) > 0
	})
	f.fault(f.engines[0], `{"stop-responding":true}`)
	l.wait()
	require.Equal(t, 8, l.counts()[basilmoor.OutcomeDone], "%v", l.counts())
	f.check(l)
}

// Guards against an answer that is reported as done, or a request that is run
// again, when an engine dies in the middle of it.
func TestCrashedEngine(t *testing.T) {
	f := startFleet(t, 2)
	l := f.newLoad()
	for i := range 12 {
		l.start(f.nodes[i%2], chat(t, fmt.Sprintf("crash %d", i), 100, i%2 == 0))
	}
	f.eventually("requests run on the engine", func() bool { return f.running(f.engines[0]) > 1 })
	f.fault(f.engines[0], `{"crash-now":true}`)
	l.wait()
	counts := l.counts()
	require.Positive(t, counts[basilmoor.OutcomeUnknown]+counts[basilmoor.OutcomeIncomplete], "%v", counts)
	f.check(l)
}

// Guards against new work on a target that leaves, whichever sign says so.
func TestLeavingTarget(t *testing.T) {
	tests := map[string]func(f *fleet, target *process){
		"list of targets": func(f *fleet, target *process) {
			f.put("http://"+f.hosts.ready["listening"]+"/v1/targets", []byte(fmt.Sprintf(`[{"name":%q,"leaving":true}]`, target.name)))
		},
		"release note": func(f *fleet, target *process) {
			f.apply(fmt.Sprintf(`schema: 1
note: leave
changed:
  targets:
    - {name: %s, leaving: true}
`, target.name))
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 2)
			l := f.newLoad()
			for i := range engineSlots + 2 { // more than one engine takes
				l.start(f.nodes[i%2], chat(t, fmt.Sprintf("running %d", i), 300, true))
			}
			f.eventually("requests run on both engines", func() bool {
				return f.running(f.engines[0]) > 0 && f.running(f.engines[1]) > 0
			})
			leave(f, f.engines[0])
			for _, n := range f.nodes {
				f.eventually("mark on "+n.name, func() bool { return f.marked(n, f.engines[0].name) })
			}
			sent := engineSlots + 2
			f.eventually("broker takes up the mark", func() bool {
				before := len(f.executionsOf(f.engines[0]))
				sent += f.sendSome(l, 4*engineSlots)
				return len(f.executionsOf(f.engines[0])) == before
			})
			before := len(f.executionsOf(f.engines[0]))
			sent += f.sendSome(l, 8*engineSlots)
			require.Len(t, f.executionsOf(f.engines[0]), before, "no new work on the leaving target")
			require.Equal(t, sent, l.counts()[basilmoor.OutcomeDone], "%v", l.counts())
			f.check(l)
		})
	}
}

// sendSome sends n short requests, twice as many at a time as one engine takes,
// so that each engine gets some if it may, and returns n.
func (f *fleet) sendSome(l *load, n int) int {
	for i := range n {
		l.start(f.nodes[i%len(f.nodes)], chat(f.t, fmt.Sprintf("short %d", i), 2, false))
		if i%(2*engineSlots) == 0 {
			l.wait()
		}
	}
	l.wait()
	return n
}

// Guards against a request that crashes target after target because its caller
// sends it again through other hosts, and against innocent requests that are
// held back with it.
func TestRequestThatCrashesTargets(t *testing.T) {
	f := startFleet(t, 3)
	l := f.newLoad()
	for _, e := range f.engines {
		f.fault(e, `{"crash-on-marker":true}`)
	}
	bad := chat(t, "crash-target", 50, false)
	for death := range 2 {
		r := l.send(context.Background(), f.nodes[death], bad)
		require.NotEqual(t, basilmoor.OutcomeNotRun, r.Outcome, r.Body)
		for _, n := range f.nodes {
			f.eventually("death known on "+n.name, func() bool { return f.deaths(n) == death+1 })
		}
	}
	for _, n := range f.nodes {
		r := l.send(context.Background(), n, bad)
		require.Equal(t, basilmoor.ReasonCrashSuspect, r.Reason, r.Body)
		require.Equal(t, basilmoor.OutcomeNotRun, r.Outcome)
	}
	require.Len(t, f.executions(), 2, "held back after the second death")
	for _, e := range f.engines {
		f.fault(e, `{"revive":true}`)
	}
	f.eventually("innocent requests are served", func() bool {
		return l.send(context.Background(), f.nodes[0], chat(t, "innocent", 5, false)).Outcome == basilmoor.OutcomeDone
	})
	require.NoError(t, f.lift(f.nodes[0]))
	f.eventually("lift reaches the other hosts", func() bool {
		return l.send(context.Background(), f.nodes[2], bad).Reason != basilmoor.ReasonCrashSuspect
	})
	f.check(l)
}

// Guards against hosts that go on sending requests to a target that refuses
// them because it leaves.
func TestTargetThatSaysItLeaves(t *testing.T) {
	f := startFleet(t, 2)
	l := f.newLoad()
	f.fault(f.engines[0], `{"leaving":true}`)
	for i := range 40 {
		l.send(context.Background(), f.nodes[i%2], chat(t, fmt.Sprintf("one at a time %d", i), 2, false))
	}
	counts := l.counts()
	require.LessOrEqual(t, counts[basilmoor.OutcomeNotRun], len(f.nodes), "each host learns from one refusal: %v", counts)
	require.Equal(t, 40, counts[basilmoor.OutcomeDone]+counts[basilmoor.OutcomeNotRun], "%v", counts)
	require.Empty(t, f.executionsOf(f.engines[0]))
	f.check(l)
}
