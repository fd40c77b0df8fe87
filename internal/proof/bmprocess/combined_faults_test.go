package bmprocess

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmfollower"
	"basilmoor.example/basilmoor/internal/node/bmadmin"
	"basilmoor.example/basilmoor/internal/proof/bmcaller"
)

// sendUntilFinal repeats a request with an idempotency key until its outcome is
// final: done, or unknown because the key's holder was lost.
func (f *fleet) sendUntilFinal(l *workload, n *process, q bmcaller.Request) bmcaller.Response {
	f.t.Helper()
	var last bmcaller.Response
	f.eventually("final outcome of "+q.Key, func() bool {
		last = l.send(context.Background(), n, q)
		return last.Outcome == basilmoor.OutcomeDone || last.Reason == basilmoor.ReasonHolderLost
	})
	return last
}

// headRevision returns the store revision of the key config/head.
func (f *fleet) headRevision() int64 {
	f.t.Helper()
	w, err := http.Get("http://" + f.store.ready["listening"] + "/v1/keys/config/head")
	require.NoError(f.t, err)
	defer func() { _ = w.Body.Close() }()
	require.Equal(f.t, http.StatusOK, w.StatusCode)
	revision, err := strconv.ParseInt(w.Header.Get("Store-Revision"), 10, 64)
	require.NoError(f.t, err)
	return revision
}

// Guards against a payout that runs again because its host died during a store
// outage, when its outcome could not be recorded.
func TestKilledHostInStoreOutage(t *testing.T) {
	f := startFleet(t, 3)
	l := f.newWorkload()
	f.setFaults(f.service, `{"slow-factor":400}`)
	const payouts = 9
	for i := range payouts {
		l.start(f.nodes[i%3], payout(i))
	}
	f.eventually("payouts run", func() bool { return f.running(f.service) >= 6 })
	f.setFaults(f.store, `{"outage":true}`)
	f.nodes[0].kill()
	f.nodes = f.nodes[1:]
	for i, n := range f.nodes {
		r := l.send(context.Background(), n, payout(100+i))
		require.Equal(t, basilmoor.OutcomeNotRun, r.Outcome, r.Body)
		require.Equal(t, basilmoor.ReasonStoreUnavailable, r.Reason, r.Body)
	}
	l.wait()
	f.setFaults(f.service, `{"slow-factor":1}`)
	f.setFaults(f.store, `{"outage":false}`)
	for i := range payouts {
		for _, n := range f.nodes {
			f.sendUntilFinal(l, n, payout(i))
		}
	}
	f.checkInvariants(l)
}

// Guards against a request that runs again, or is wrongly reported as done,
// when its engine crashes while the broker that granted the slot is paused.
func TestCrashedEngineWithPausedBroker(t *testing.T) {
	f := startFleet(t, 3)
	for victim, paused := range f.nodes {
		l := f.newWorkload()
		others := []*process{f.nodes[(victim+1)%3], f.nodes[(victim+2)%3]}
		for i := range 12 {
			l.start(others[i%2], chat(t, fmt.Sprintf("pair %d %d", victim, i), 60, i%2 == 0))
		}
		f.eventually("requests run on the engine", func() bool { return f.running(f.engines[0]) > 1 })
		paused.signal(syscall.SIGSTOP)
		f.setFaults(f.engines[0], `{"crash-now":true}`)
		l.wait()
		counts := l.counts()
		require.Positive(t, counts[basilmoor.OutcomeUnknown]+counts[basilmoor.OutcomeIncomplete], "%v", counts)
		require.Positive(t, counts[basilmoor.OutcomeDone], "the other engine must keep serving: %v", counts)
		f.setFaults(f.engines[0], `{"revive":true}`)
		paused.signal(syscall.SIGCONT)
		for i, n := range f.nodes {
			f.eventually("service through "+n.name, func() bool {
				return l.send(context.Background(), n, chat(t, fmt.Sprintf("resumed %d %d", victim, i), 5, true)).Outcome == basilmoor.OutcomeDone
			})
		}
		f.checkInvariants(l)
	}
}

// Guards against a claim that is granted twice when its owner dies and the
// store's responses to the owner's last writes are lost.
func TestKilledClaimOwnerWithLostResponses(t *testing.T) {
	f := startFleet(t, 3)
	l := f.newWorkload()
	const payouts = 30
	f.setFaults(f.store, `{"lose-next-answers":5}`)
	for i := range payouts {
		for _, n := range f.nodes {
			l.start(n, payout(i))
		}
	}
	f.eventually("a payout ran", func() bool { return len(f.executionsOf(f.service)) > 0 })
	f.setFaults(f.store, `{"lose-next-answers":5}`)
	f.nodes[0].kill()
	f.nodes = f.nodes[1:]
	l.wait()
	for i := range payouts {
		r := f.sendUntilFinal(l, f.nodes[i%2], payout(i))
		again := f.sendUntilFinal(l, f.nodes[(i+1)%2], payout(i))
		require.Equal(t, r.Outcome, again.Outcome, "both hosts must report the same outcome")
	}
	f.checkInvariants(l)
}

// Guards against a host that falls back to an older configuration after the
// store was restored to an older revision, including a host that starts while
// the store is behind.
func TestStoreSetBack(t *testing.T) {
	f := startFleet(t, 3)
	l := f.newWorkload()
	revision := f.headRevision()
	f.apply("schema: 1\nnote: second\nchanged:\n  workspaces: [{name: blue-carts, weight: 7}]\n")
	held, err := f.admin(f.nodes[0]).Status(context.Background())
	require.NoError(t, err)
	require.Equal(t, "second", held.ConfigNote)
	f.setFaults(f.store, fmt.Sprintf(`{"restore-to-revision":%d}`, revision))

	f.nodes[2].kill()
	f.nodes = f.nodes[:2]
	restarted := f.addNode("entry-3")
	f.publishHosts()
	f.eventually("restarted host has the newer version", func() bool {
		s, err := f.admin(restarted).Status(context.Background())
		if err != nil {
			return false
		}
		require.False(t, s.Ready && s.ConfigVersion < held.ConfigVersion, "ready with version %d", s.ConfigVersion)
		return s.ConfigVersion == held.ConfigVersion
	})
	f.waitReady(restarted)
	for _, n := range f.nodes {
		f.eventually(n.name+" reports that the store is behind", func() bool {
			s, err := f.admin(n).Status(context.Background())
			require.NoError(t, err)
			require.Equal(t, held.ConfigVersion, s.ConfigVersion)
			require.Equal(t, held.ConfigNote, s.ConfigNote)
			return s.ConfigMode == string(bmfollower.ModeStoreBehind)
		})
		r := l.send(context.Background(), n, chat(t, "store behind", 5, true))
		require.Equal(t, basilmoor.OutcomeDone, r.Outcome, r.Body)
	}
	f.checkInvariants(l)
}

// Guards against a payout that runs again after the store was restored to a revision
// before its claim, while a host that knew of the claim stops.
func TestClaimsOfStoreSetBack(t *testing.T) {
	f := startFleet(t, 3)
	l := f.newWorkload()
	revision := f.headRevision()
	const payouts = 30
	for i := range payouts {
		require.Equal(t, basilmoor.OutcomeDone, f.sendUntilFinal(l, f.nodes[i%3], payout(i)).Outcome)
	}
	f.setFaults(f.store, fmt.Sprintf(`{"restore-to-revision":%d}`, revision))
	f.nodes[0].kill()
	f.nodes = f.nodes[1:]
	for i := range payouts {
		f.sendUntilFinal(l, f.nodes[i%2], payout(i))
	}
	require.Len(t, f.executionsOf(f.service), payouts, "payouts ran again")
	f.checkInvariants(l)
}

// noteResult is the response to an operator's release note.
type noteResult struct {
	note string
	err  error
}

// run submits the note and sends the result to results.
func (r noteResult) run(f *fleet, n *process, text string, results chan<- noteResult) {
	_, r.err = f.admin(n).AcceptNote(context.Background(), []byte(text))
	results <- r
}

// Guards against accepting concurrent notes from two operators that change the
// same item, and against a conflict response that doesn't name the other note.
func TestConcurrentNotes(t *testing.T) {
	f := startFleet(t, 2)
	for round := range 5 {
		s, err := f.admin(f.nodes[0]).Status(context.Background())
		require.NoError(t, err)
		results := make(chan noteResult, len(f.nodes))
		for i, n := range f.nodes {
			r := noteResult{
				note: fmt.Sprintf("race-%d-%d", round, i),
			}
			go r.run(f, n, fmt.Sprintf("schema: 1\nnote: %s\nbase-version: %d\nchanged:\n  workspaces: [{name: blue-carts, weight: %d}]\n", r.note, s.ConfigVersion, 10+2*round+i), results)
		}
		won, lost := <-results, <-results
		if won.err != nil {
			won, lost = lost, won
		}
		require.NoError(t, won.err, "one of the notes must be accepted")
		var p *bmadmin.ProblemError
		require.True(t, errors.As(lost.err, &p), "%v", lost.err)
		require.Equal(t, http.StatusConflict, p.Problem.Status)
		require.Contains(t, p.Problem.Detail, won.note)
		for _, n := range f.nodes {
			f.waitVersion(n, s.ConfigVersion+1)
			now, err := f.admin(n).Status(context.Background())
			require.NoError(t, err)
			require.Equal(t, won.note, now.ConfigNote)
		}
	}
}

// Guards against a planned stop that completes while requests are in progress
// that outlast the notice period before the host stops.
func TestStopWaitsForLongRequests(t *testing.T) {
	f := startFleet(t, 2)
	l := f.newWorkload()
	f.setFaults(f.service, `{"slow-factor":400}`)
	old := f.nodes[0]
	l.start(old, payout(1))
	for i := range 4 {
		l.start(old, chat(t, fmt.Sprintf("long %d", i), 600, i%2 == 0))
	}
	f.eventually("requests run", func() bool {
		return f.running(f.service)+f.running(f.engines[0])+f.running(f.engines[1]) == 5
	})
	old.signal(syscall.SIGTERM)
	f.eventually("host reports not ready", func() bool { return !f.isReady(old) })
	l.wait()
	old.waitExit()
	require.True(t, old.cmd.ProcessState.Success(), old.logs())
	require.Equal(t, 5, l.counts()[basilmoor.OutcomeDone], "%v", l.counts())
	f.checkInvariants(l)
}

// Guards against a second signal that cuts, without an answer, requests that still
// wait for a target.
func TestCutStopRefusesWaitingRequests(t *testing.T) {
	const running, waiting = 8, 12
	f := startFleet(t, 2)
	l := f.newWorkload()
	f.setFaults(f.service, `{"slow-factor":1000}`)
	old := f.nodes[0]
	for i := range running + waiting {
		l.start(old, service(http.MethodGet, fmt.Sprint("/ledger/stock/", i), ""))
	}
	f.eventually("requests run and wait", func() bool {
		s, err := f.admin(old).Status(context.Background())
		return err == nil && s.InProgress == running+waiting && f.running(f.service) == running
	})
	old.signal(syscall.SIGTERM)
	f.eventually("host reports not ready", func() bool { return !f.isReady(old) })
	old.signal(syscall.SIGTERM)
	old.waitExit()
	l.wait()
	require.Equal(t, waiting, l.counts()[basilmoor.OutcomeNotRun], "%v", l.counts())
	f.checkInvariants(l)
}

// Guards against dispatching new requests to a target that signals only in the
// header of its refusals that it is leaving, while another target can serve
// them.
func TestConcurrentRequestsToLeavingTarget(t *testing.T) {
	f := startFleet(t, 2)
	all := f.newWorkload()
	f.setFaults(f.engines[0], `{"leaving":true}`)
	round := 0
	f.eventually("all requests go to the other engine", func() bool {
		l := f.newWorkload()
		for i := range 2 * engineSlots {
			l.start(f.nodes[i%2], chat(t, fmt.Sprintf("leaving %d %d", round, i), 20, i%2 == 0))
		}
		l.wait()
		if round%10 == 0 {
			t.Logf("round %d: %v", round, l.counts())
		}
		round++
		all.responses = append(all.responses, l.all()...)
		return l.counts()[basilmoor.OutcomeDone] == 2*engineSlots
	})
	f.checkInvariants(all)
}
