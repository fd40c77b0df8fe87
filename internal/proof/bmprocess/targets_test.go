package bmprocess

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Guards against a stream that is truncated, duplicated or run again when the
// connection to its engine stops carrying data while new connections work.
func TestSilentConnections(t *testing.T) {
	f := startFleet(t, 2)
	l := f.newWorkload()
	for i := range 8 {
		l.start(f.nodes[i%2], chat(t, fmt.Sprintf("silent %d", i), 200, true))
	}
	f.eventually("streams run on both engines", func() bool {
		return f.running(f.engines[0]) > 0 && f.running(f.engines[1]) > 0
	})
	f.setFaults(f.engines[0], `{"stop-responding":true}`)
	l.wait()
	require.Equal(t, 8, l.counts()[basilmoor.OutcomeDone], "%v", l.counts())
	f.checkInvariants(l)
}

// Guards against a request that is reported as done, or run again, after its
// engine crashed while running it.
func TestCrashedEngine(t *testing.T) {
	f := startFleet(t, 2)
	l := f.newWorkload()
	for i := range 12 {
		l.start(f.nodes[i%2], chat(t, fmt.Sprintf("crash %d", i), 100, i%2 == 0))
	}
	f.eventually("requests run on the engine", func() bool { return f.running(f.engines[0]) > 1 })
	f.setFaults(f.engines[0], `{"crash-now":true}`)
	l.wait()
	counts := l.counts()
	require.Positive(t, counts[basilmoor.OutcomeUnknown]+counts[basilmoor.OutcomeIncomplete], "%v", counts)
	f.checkInvariants(l)
}

// Guards against dispatching new requests to a leaving target, whether the
// platform's list of targets or a release note marks it as leaving.
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
			l := f.newWorkload()
			for i := range engineSlots + 2 { // more than one engine has slots for
				l.start(f.nodes[i%2], chat(t, fmt.Sprintf("running %d", i), 300, true))
			}
			f.eventually("requests run on both engines", func() bool {
				return f.running(f.engines[0]) > 0 && f.running(f.engines[1]) > 0
			})
			leave(f, f.engines[0])
			for _, n := range f.nodes {
				f.eventually("leaving mark on "+n.name, func() bool { return f.isMarkedLeaving(n, f.engines[0].name) })
			}
			sent := engineSlots + 2
			f.eventually("broker sees the leaving mark", func() bool {
				before := len(f.executionsOf(f.engines[0]))
				sent += f.sendShortRequests(l, 4*engineSlots)
				return len(f.executionsOf(f.engines[0])) == before
			})
			before := len(f.executionsOf(f.engines[0]))
			sent += f.sendShortRequests(l, 8*engineSlots)
			require.Len(t, f.executionsOf(f.engines[0]), before, "no new requests on the leaving target")
			require.Equal(t, sent, l.counts()[basilmoor.OutcomeDone], "%v", l.counts())
			f.checkInvariants(l)
		})
	}
}

// sendShortRequests sends n short requests in batches of twice the slots of one
// engine, so that each engine that accepts requests gets some. It returns n.
func (f *fleet) sendShortRequests(l *workload, n int) int {
	for i := range n {
		l.start(f.nodes[i%len(f.nodes)], chat(f.t, fmt.Sprintf("short %d", i), 2, false))
		if i%(2*engineSlots) == 0 {
			l.wait()
		}
	}
	l.wait()
	return n
}

// Guards against a request that crashes one target after another because its
// caller retries it through other hosts, and against holding back unrelated
// requests.
func TestRequestThatCrashesTargets(t *testing.T) {
	f := startFleet(t, 3)
	l := f.newWorkload()
	for _, e := range f.engines {
		f.setFaults(e, `{"crash-on-marker":true}`)
	}
	crashing := chat(t, "crash-target", 50, false)
	for crashes := range 2 {
		r := l.send(context.Background(), f.nodes[crashes], crashing)
		require.NotEqual(t, basilmoor.OutcomeNotRun, r.Outcome, r.Body)
		for _, n := range f.nodes {
			f.eventually("crash known on "+n.name, func() bool { return f.crashedTargets(n) == crashes+1 })
		}
	}
	for _, n := range f.nodes {
		r := l.send(context.Background(), n, crashing)
		require.Equal(t, basilmoor.ReasonCrashSuspect, r.Reason, r.Body)
		require.Equal(t, basilmoor.OutcomeNotRun, r.Outcome)
	}
	require.Len(t, f.executions(), 2, "held back after the second crash")
	for _, e := range f.engines {
		f.setFaults(e, `{"revive":true}`)
	}
	f.eventually("unrelated requests are served", func() bool {
		return l.send(context.Background(), f.nodes[0], chat(t, "unrelated", 5, false)).Outcome == basilmoor.OutcomeDone
	})
	require.NoError(t, f.liftCrashes(f.nodes[0]))
	f.eventually("lifted crash known on the other hosts", func() bool {
		return l.send(context.Background(), f.nodes[2], crashing).Reason != basilmoor.ReasonCrashSuspect
	})
	f.checkInvariants(l)
}

// Guards against hosts that keep sending requests to a target that refuses them
// because it is leaving.
func TestSequentialRequestsToLeavingTarget(t *testing.T) {
	f := startFleet(t, 2)
	l := f.newWorkload()
	f.setFaults(f.engines[0], `{"leaving":true}`)
	for i := range 40 {
		l.send(context.Background(), f.nodes[i%2], chat(t, fmt.Sprintf("one at a time %d", i), 2, false))
	}
	counts := l.counts()
	require.LessOrEqual(t, counts[basilmoor.OutcomeNotRun], len(f.nodes), "each host learns from one refusal: %v", counts)
	require.Equal(t, 40, counts[basilmoor.OutcomeDone]+counts[basilmoor.OutcomeNotRun], "%v", counts)
	require.Empty(t, f.executionsOf(f.engines[0]))
	f.checkInvariants(l)
}
