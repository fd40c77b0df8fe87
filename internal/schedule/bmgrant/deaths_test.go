package bmgrant

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmview"
)

// newDeathsFleet returns a fleet whose engines have the given names.
func newDeathsFleet(t *testing.T, hosts, targets []string) *testFleet {
	f := newTestFleet(t, 3)
	delete(f.feed.changes.Targets, "t")
	for _, name := range targets {
		target := testTarget(name, 3)
		f.feed.changes.Targets[name] = &target
	}
	for _, host := range hosts {
		f.addMember(host)
	}
	for _, host := range hosts {
		f.addHost(host)
	}
	return f
}

// crash sends a request with a digest through a host to a target, and reports that the
// target has died. It returns the refusal if the request is held back.
func (f *testFleet) crash(host string, digest uint64, target string, targets []string) error {
	f.t.Helper()
	others := slices.DeleteFunc(slices.Clone(targets), func(name string) bool { return name == target })
	permit, err := f.acquirePermit(host, digest, others...)
	if err != nil {
		return err
	}
	permit.Observe(basilmoor.Observation{
		Stage: basilmoor.StageDispatched,
	})
	permit.Observe(basilmoor.Observation{
		Stage:      basilmoor.StageFailed,
		TargetDied: true,
	})
	return nil
}

// acquirePermit waits for a grant for a request with a digest.
func (f *testFleet) acquirePermit(host string, digest uint64, excluded ...string) (permit basilmoor.Permit, err error) {
	f.t.Helper()
	d := testDemand("", 0)
	d.CrashKeys = []uint64{digest}
	d.Excluded = excluded
	done := make(chan struct{})
	go func() {
		defer close(done)
		permit, err = f.hosts[host].client.Acquire(context.Background(), d)
	}()
	f.advanceUntil(maxRetryBackoff+basilmoor.Second, func() bool {
		select {
		case <-done:
			return true
		default:
			f.yieldToGoroutines()
			return false
		}
	})
	return permit, err
}

// wait lets time pass.
func (f *testFleet) wait(d basilmoor.Millis) {
	f.t.Helper()
	end := f.clock.Now() + d
	f.advanceUntil(d+tickPeriod, func() bool { return f.clock.Now() >= end })
}

// Guards against a request that goes on crashing targets because what is known of it ends
// with each session: hosts that stand still, or lose their broker, between two deaths.
func TestDeathsOutliveSessions(t *testing.T) {
	const digest = 7
	hosts := []string{"a", "b", "c", "d", "e"}
	targets := []string{"u0", "u1", "u2", "u3", "u4", "u5", "u6", "u7"}
	tests := map[string]func(f *testFleet){
		"no fault": func(*testFleet) {},
		"all hosts stand still": func(f *testFleet) {
			f.clock.Advance(sessionTimeout + tickPeriod)
		},
		"the broker falls silent": func(f *testFleet) {
			broker, _ := f.commonBroker()
			f.setSilent(broker)
		},
		"the broker hands over": func(f *testFleet) {
			broker, _ := f.commonBroker()
			f.hosts[broker].client.Drain()
			f.advanceUntil(2000, func() bool { return f.brokerOf(broker) != broker })
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			f := newDeathsFleet(t, hosts, targets)
			f.awaitBroker(2000)
			deaths := 0
			for n, target := range targets {
				host := hosts[n%len(hosts)]
				if !f.reachable(host, host) {
					continue
				}
				err := f.crash(host, digest, target, targets)
				var refusal *basilmoor.RefusalError
				if errors.As(err, &refusal) && refusal.Refusal.Reason == basilmoor.ReasonCrashSuspect {
					continue
				}
				require.NoError(t, err, fmt.Sprint("after ", deaths, " deaths"))
				deaths++
				if deaths <= 3 {
					fault(f)
				}
				f.advanceUntil(5000, func() bool { _, ok := f.commonBroker(); return ok })
				f.clock.Advance(basilmoor.Second / 10)
			}
			require.Equal(t, 3, deaths)
		})
	}
}

// restart lists a target as a process that has just started under the same name.
func (f *testFleet) restart(name string) {
	f.t.Helper()
	restarted := *f.feed.changes.Targets[name]
	restarted.Born += 1000
	f.feed.changes.Targets[name] = &restarted
	f.revision++
	for _, h := range f.hosts {
		require.True(f.t, h.keeper.ApplyRelayed([]bmview.Update{
			{
				From:   revision(f.revision),
				To:     revision(f.revision + 1),
				Events: []basilmoor.Event{{}},
			},
		}))
	}
}

// Guards against a request that goes on crashing a target whose deaths the probe does not
// find, because something still accepts connections at its address or nothing answers; or
// finds too late for the pool that granted the request. That the target has started again
// under its name shows that it has ended.
func TestRestartsShowDeaths(t *testing.T) {
	const digest = 7
	hosts := []string{"a", "b", "c"}
	tests := map[string]struct {
		withBroker bool
		ends       []basilmoor.Observation // of a request
		wait       basilmoor.Millis        // between the last two of them
		restarts   bool
		sends      int // until the request is held back; all 6 if it is not
	}{
		"broken off, then started again":           {withBroker: true, ends: []basilmoor.Observation{{Stage: basilmoor.StageFailed, BrokenOff: true}}, restarts: true, sends: 3},
		"the same without a broker":                {ends: []basilmoor.Observation{{Stage: basilmoor.StageFailed, BrokenOff: true}}, restarts: true, sends: 3},
		"broken off by a process that goes on":     {withBroker: true, ends: []basilmoor.Observation{{Stage: basilmoor.StageFailed, BrokenOff: true}}, sends: 6},
		"not broken off, but started again":        {withBroker: true, ends: []basilmoor.Observation{{Stage: basilmoor.StageFailed}}, restarts: true, sends: 6},
		"answered, then started again":             {withBroker: true, ends: []basilmoor.Observation{{Stage: basilmoor.StageFinished, Elapsed: 10, Answered: true}}, restarts: true, sends: 6},
		"a death that becomes known after a while": {withBroker: true, ends: []basilmoor.Observation{{Stage: basilmoor.StageFailed}, {Stage: basilmoor.StageFailed, TargetDied: true}}, wait: 2 * settleTime, restarts: true, sends: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newDeathsFleet(t, hosts, []string{"u"})
			f.feed.changes.Targets["u"].Born = 1
			f.restart("u")
			if tt.withBroker {
				f.awaitBroker(2000)
			} else {
				f.hosts["a"].client.dial = nil
			}
			sends := 0
			for n := range 6 {
				host := hosts[n%len(hosts)]
				if !tt.withBroker {
					host = "a"
				}
				permit, err := f.acquirePermit(host, digest)
				var refusal *basilmoor.RefusalError
				if errors.As(err, &refusal) && refusal.Refusal.Reason == basilmoor.ReasonCrashSuspect {
					break
				}
				require.NoError(t, err)
				sends++
				permit.Observe(basilmoor.Observation{
					Stage: basilmoor.StageDispatched,
				})
				for i, o := range tt.ends {
					if i > 0 {
						f.wait(tt.wait)
					}
					permit.Observe(o)
				}
				f.wait(basilmoor.Second)
				if tt.restarts {
					f.restart("u")
				}
				f.wait(basilmoor.Second)
			}
			require.Equal(t, tt.sends, sends)
		})
	}
}
