package bmgrant

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// newDeathsFleet returns a fleet whose engines have the given names.
func newDeathsFleet(t *testing.T, hosts, targets []string) *testFleet {
	f := newTestFleet(t, 3)
	f.feed.changes.Targets["t"] = nil
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
	d := testDemand("", 0)
	d.CrashKeys = []uint64{digest}
	d.Excluded = slices.DeleteFunc(slices.Clone(targets), func(name string) bool { return name == target })
	done := make(chan error, 1)
	go func() {
		permit, err := f.hosts[host].client.Acquire(context.Background(), d)
		if err == nil {
			permit.Observe(basilmoor.Observation{
				Stage: basilmoor.StageDispatched,
			})
			permit.Observe(basilmoor.Observation{
				Stage:      basilmoor.StageFailed,
				TargetDied: true,
			})
		}
		done <- err
	}()
	var err error
	f.advanceUntil(maxRetryBackoff+basilmoor.Second, func() bool {
		select {
		case err = <-done:
			return true
		default:
			f.yieldToGoroutines()
			return false
		}
	})
	return err
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
