package bmprocess

import (
	"fmt"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Guards against requests that are lost or run twice when an entry host, which
// may be the broker of a pool, is killed while requests wait on it.
func TestKilledHost(t *testing.T) {
	f := startFleet(t, 3)
	for victim := range 2 {
		l := f.newWorkload()
		for i := range 60 {
			l.start(f.nodes[i%len(f.nodes)], chat(t, fmt.Sprintf("kill %d %d", victim, i), 30, i%2 == 0))
		}
		f.eventually("requests run", func() bool { return len(f.executions()) > victim*20+5 })
		f.nodes[0].kill()
		f.nodes = f.nodes[1:]
		l.wait()
		survived := 0
		for _, r := range l.all() {
			if r.Outcome == basilmoor.OutcomeDone {
				survived++
			}
		}
		require.GreaterOrEqual(t, survived, 60*len(f.nodes)/(len(f.nodes)+1), "requests on the surviving hosts must be served: %v", l.counts())
		f.checkInvariants(l)
	}
}

// Guards against a broker that is paused, is replaced in the meantime, and acts
// on its stale state after it resumes.
func TestPausedHost(t *testing.T) {
	f := startFleet(t, 3)
	for victim := range f.nodes {
		l := f.newWorkload()
		paused := f.nodes[victim]
		paused.signal(syscall.SIGSTOP)
		for i := range 30 {
			n := f.nodes[(victim+1+i%2)%len(f.nodes)]
			l.start(n, chat(t, fmt.Sprintf("pause %d %d", victim, i), 10, i%2 == 0))
		}
		l.wait()
		require.Equal(t, 30, l.counts()[basilmoor.OutcomeDone], "the other hosts must keep serving: %v", l.counts())
		paused.signal(syscall.SIGCONT)
		for i := range 30 {
			l.start(f.nodes[i%len(f.nodes)], chat(t, fmt.Sprintf("resumed %d %d", victim, i), 10, i%2 == 0))
		}
		l.wait()
		require.Equal(t, 60, l.counts()[basilmoor.OutcomeDone], "all hosts must serve again: %v", l.counts())
		f.checkInvariants(l)
	}
}

// Guards against a planned stop that interrupts a running request or drops a
// waiting one.
func TestRollingReplacement(t *testing.T) {
	f := startFleet(t, 3)
	l := f.newWorkload()
	sent := 0
	for generation := range 3 {
		old := f.nodes[0]
		for i := range 20 {
			l.start(f.nodes[i%len(f.nodes)], chat(t, fmt.Sprintf("roll %d %d", generation, i), 40, i%2 == 0))
			sent++
		}
		f.eventually("requests in progress", func() bool { return f.running(f.engines[0])+f.running(f.engines[1]) > 0 })
		old.signal(syscall.SIGTERM)
		f.eventually("host reports not ready", func() bool { return !f.isReady(old) })
		f.nodes = f.nodes[1:]
		replacement := f.addNode(fmt.Sprintf("entry-new-%d", generation+1))
		f.publishHosts()
		f.waitReady(replacement)
		for i := range 10 {
			l.start(f.nodes[i%len(f.nodes)], chat(t, fmt.Sprintf("after %d %d", generation, i), 10, i%2 == 0))
			sent++
		}
		old.waitExit()
		require.True(t, old.cmd.ProcessState.Success(), old.logs())
	}
	l.wait()
	require.Equal(t, sent, l.counts()[basilmoor.OutcomeDone], "%v", l.counts())
	f.checkInvariants(l)
}
