package bmprocess

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/proof/bmcaller"
)

func payout(n int) bmcaller.Request {
	q := service(http.MethodPost, "/ledger/payouts", fmt.Sprintf(`{"payout":%d}`, n))
	q.Key = fmt.Sprintf("payout-%d", n)
	return q
}

// Guards against a payout that runs twice when it is sent through several hosts
// concurrently.
func TestSameKeyThroughAllHosts(t *testing.T) {
	f := startFleet(t, 3)
	l := f.newWorkload()
	const payouts = 30
	for i := range payouts {
		for _, n := range f.nodes {
			l.start(n, payout(i))
		}
	}
	l.wait()
	require.Equal(t, payouts*len(f.nodes), l.counts()[basilmoor.OutcomeDone], "%v", l.counts())
	require.Len(t, f.executions(), payouts)
	other := payout(0)
	other.Body = `{"payout":999}`
	r := l.send(context.Background(), f.nodes[1], other)
	require.Equal(t, basilmoor.ReasonKeyMismatch, r.Reason, r.Body)
	f.checkInvariants(l)
}

// Guards against a payout that runs again, or is reported as not run, after
// the host that dispatched it was killed.
func TestPayoutWhoseHostDied(t *testing.T) {
	f := startFleet(t, 3)
	l := f.newWorkload()
	f.setFaults(f.service, `{"slow-factor":400}`)
	l.start(f.nodes[0], payout(1))
	f.eventually("payout runs", func() bool { return f.running(f.service) == 1 })
	f.nodes[0].kill()
	f.nodes = f.nodes[1:]
	l.wait()
	f.setFaults(f.service, `{"slow-factor":1}`)
	f.eventually("retry is told that the key's holder is lost", func() bool {
		r := l.send(context.Background(), f.nodes[0], payout(1))
		require.Contains(t, []basilmoor.Reason{basilmoor.ReasonKeyInProgress, basilmoor.ReasonHolderLost}, r.Reason, r.Body)
		require.Equal(t, basilmoor.OutcomeUnknown, r.Outcome, r.Body)
		return r.Reason == basilmoor.ReasonHolderLost
	})
	require.Len(t, f.executions(), 1)
	f.checkInvariants(l)
}

// Guards against payouts that run without a durable claim, and against a store
// outage that stops requests that don't need the store.
func TestStoreOutage(t *testing.T) {
	f := startFleet(t, 3)
	l := f.newWorkload()
	require.Equal(t, basilmoor.OutcomeDone, l.send(context.Background(), f.nodes[0], payout(1)).Outcome)
	f.setFaults(f.store, `{"outage":true}`)
	for i, n := range f.nodes {
		r := l.send(context.Background(), n, payout(10+i))
		require.Equal(t, basilmoor.OutcomeNotRun, r.Outcome, r.Body)
		require.Equal(t, basilmoor.ReasonStoreUnavailable, r.Reason, r.Body)
		require.Equal(t, basilmoor.OutcomeDone, l.send(context.Background(), n, chat(t, "during the outage", 5, true)).Outcome)
		_, err := f.admin(n).AcceptNote(context.Background(), []byte("schema: 1\nnote: outage\nadded:\n  pools: [{name: p, region: addis}]\n"))
		require.Error(t, err)
	}
	f.setFaults(f.store, `{"outage":false}`)
	for i, n := range f.nodes {
		f.eventually("payouts after the outage", func() bool {
			return l.send(context.Background(), n, payout(10+i)).Outcome == basilmoor.OutcomeDone
		})
	}
	require.Len(t, f.executionsOf(f.service), 4)
	f.checkInvariants(l)
}

// Guards against assuming the result of a claim's write when the store's
// response to it is lost.
func TestLostStoreResponses(t *testing.T) {
	f := startFleet(t, 3)
	l := f.newWorkload()
	const payouts = 30
	for i := range payouts {
		if i%3 == 0 {
			f.setFaults(f.store, `{"lose-next-answers":1}`)
		}
		for _, n := range f.nodes {
			l.start(n, payout(i))
		}
		l.wait()
	}
	require.Equal(t, payouts*len(f.nodes), l.counts()[basilmoor.OutcomeDone], "%v", l.counts())
	require.Len(t, f.executions(), payouts)
	f.checkInvariants(l)
}

// Guards against a claim owner that is paused, is replaced in the meantime, and
// grants claims from its stale view after it resumes.
func TestPausedClaimOwner(t *testing.T) {
	f := startFleet(t, 3)
	l := f.newWorkload()
	sent := 0
	for victim, paused := range f.nodes {
		paused.signal(syscall.SIGSTOP)
		for i := range 10 {
			l.start(f.nodes[(victim+1)%3], payout(sent+i))
		}
		l.wait()
		paused.signal(syscall.SIGCONT)
		for i := range 10 {
			l.start(paused, payout(sent+i))
			l.start(f.nodes[(victim+2)%3], payout(sent+i))
		}
		l.wait()
		sent += 10
	}
	require.Len(t, f.executions(), sent)
	require.Equal(t, 3*sent, l.counts()[basilmoor.OutcomeDone], "%v", l.counts())
	f.checkInvariants(l)
}
