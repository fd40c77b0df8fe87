package bmfollower

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
	"basilmoor.example/basilmoor/internal/config/bmconfigtest"
)

// convergenceBound is the time within which every host must hold the latest
// version once all faults have ended (invariant I8).
const convergenceBound = 5 * basilmoor.Second

// randomAction applies a note or injects a fault at a random host, and then lets
// some time pass.
func (f *simFleet) randomAction() {
	h := f.hosts[f.randIntN(len(f.hosts))]
	switch f.randIntN(13) {
	case 0, 1:
		f.applyIfUp(h)
	case 2:
		f.applyConcurrently(h)
	case 3:
		f.applyWithFault(h)
	case 4:
		f.stopOrReplace(h, false)
	case 5:
		f.stopOrReplace(h, true)
	case 6:
		h.storeUnreachable = !h.storeUnreachable
	case 7:
		h.partition = f.randIntN(3)
	case 8:
		f.storeDown = !f.storeDown
	case 9:
		b := f.store.Backup()
		f.backup = &b
	case 10:
		f.restoreBackup()
	case 11:
		f.store.ApplyDelayed()
		f.recordStoredVersion()
	case 12:
		// An operator restores the head of a store that is behind. A refused
		// restoration changes nothing.
		if h.up {
			_ = h.acceptor.Restore(context.Background(), h.core.Held())
		}
	}
	for range f.randIntN(24) {
		f.advance()
	}
}

func (f *simFleet) applyIfUp(h *simHost) {
	if h.up {
		f.applyRandomNote(h)
	}
}

// applyConcurrently applies a note at h, and a second one at another host between
// the first one's read and its swap.
func (f *simFleet) applyConcurrently(h *simHost) {
	other := f.hosts[f.randIntN(len(f.hosts))]
	f.onNextHeadSwap(func() bmconfigtest.Fault {
		f.applyIfUp(other)
		return bmconfigtest.None
	})
	f.applyIfUp(h)
	f.store.SetFault(nil)
}

func (f *simFleet) applyWithFault(h *simHost) {
	fault := []bmconfigtest.Fault{bmconfigtest.Unavailable, bmconfigtest.LostResponse, bmconfigtest.Delayed}[f.randIntN(3)]
	outage := f.randIntN(2) == 0
	f.onNextHeadSwap(func() bmconfigtest.Fault {
		f.storeDown = f.storeDown || outage
		return fault
	})
	f.applyIfUp(h)
	f.store.SetFault(nil)
}

// onNextHeadSwap runs a function at the next compare-and-swap of the head. Its
// result is the fault of that call.
func (f *simFleet) onNextHeadSwap(run func() bmconfigtest.Fault) {
	done := false
	f.store.SetFault(func(c bmconfigtest.Call) bmconfigtest.Fault {
		if done || c.Operation != "cas" || c.Key != bmcatalog.HeadKey {
			return bmconfigtest.None
		}
		done = true
		return run()
	})
}

// stopOrReplace stops a host, and if start is set, starts it again without a
// configuration. While the store is behind, only the fleet holds the latest
// version, so that a host whose loss could lose it is left alone; see
// majorityHoldsLatest.
func (f *simFleet) stopOrReplace(h *simHost, start bool) {
	if f.storedHead().Version < f.latest() && !f.majorityHoldsLatestWithout(h) {
		return
	}
	h.stop()
	if start {
		h.start()
	}
}

// majorityHoldsLatest reports whether in a majority of the data centres all hosts
// hold the latest version. Every host that hears from a majority of the data
// centres then knows that version. A version that the store loses before it
// has propagated that far is lost without any way to detect it.
func (f *simFleet) majorityHoldsLatest() bool { return f.majorityHoldsLatestWithout(nil) }

// majorityHoldsLatestWithout is majorityHoldsLatest as if one host held no
// configuration.
func (f *simFleet) majorityHoldsLatestWithout(without *simHost) bool {
	latest := f.latest()
	holds := make(map[string]bool)
	for _, h := range f.hosts {
		if _, seen := holds[h.dataCentre]; !seen {
			holds[h.dataCentre] = true
		}
		if h.up && (h == without || h.core.Held().Version() != latest) {
			holds[h.dataCentre] = false
		}
	}
	holders := 0
	for dataCentre, ok := range holds {
		if ok && slices.ContainsFunc(f.hosts, func(h *simHost) bool { return h.up && h.dataCentre == dataCentre }) {
			holders++
		}
	}
	return 2*holders > len(holds)
}

// restoreBackup restores the store from the last backup. The store is down
// meanwhile for longer than heartbeatTimeout, so that no host relies on a
// heartbeat from before the outage.
func (f *simFleet) restoreBackup() {
	if f.backup == nil || !f.majorityHoldsLatest() {
		return
	}
	f.storeDown = true
	for range (heartbeatTimeout+basilmoor.Second)/simStep + basilmoor.Millis(f.randIntN(8)) {
		f.advance()
	}
	if f.majorityHoldsLatest() {
		f.store.Restore(*f.backup)
		f.restores++
	}
	f.storeDown = false
}

// clearFaults ends all faults and starts the hosts that are down.
func (f *simFleet) clearFaults() {
	f.store.SetFault(nil)
	f.store.ApplyDelayed()
	f.recordStoredVersion()
	f.storeDown = false
	for _, h := range f.hosts {
		h.storeUnreachable = false
		h.partition = 0
		if !h.up {
			h.start()
		}
	}
}

// requireConvergence checks that every host serves the latest version within
// convergenceBound and is not isolated.
func (f *simFleet) requireConvergence() {
	for range convergenceBound / simStep {
		f.advance()
	}
	latest := f.latest()
	for _, h := range f.hosts {
		require.Equal(f.t, latest, h.core.Snapshot().Version(), "%s: %+v", h.name, h.core.Status(f.clock.Now()))
		require.False(f.t, h.core.Isolated(f.clock.Now()))
	}
}

// Guards against lost or reverted versions, versions with two notes, and hosts
// that do not obtain the latest version, under any sequence of faults.
func TestFleetUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{6, 9}).Draw(t, "hosts")
		f := newSimFleet(t, size, 3, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		f.requireConvergence()
		for range rapid.IntRange(1, 25).Draw(t, "actions") {
			f.randomAction()
		}
		f.clearFaults()
		f.requireConvergence()
	})
}

// Guards against the same faults as TestFleetUnderFaults at the planned size of
// the fleet.
func TestLargeFleetUnderFaults(t *testing.T) {
	for seed := range uint64(2) {
		r := rand.New(rand.NewPCG(seed, 0))
		f := newSimFleet(t, 390, 24, r.IntN)
		f.requireConvergence()
		for range 25 {
			f.randomAction()
		}
		f.clearFaults()
		f.requireConvergence()
	}
}

// Guards against new hosts that need the store to start: when all hosts of a data
// centre are replaced during a store outage, they get the configuration from
// other hosts.
func TestStartInOutage(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 0))
	f := newSimFleet(t, 9, 3, r.IntN)
	f.requireConvergence()
	f.applyIfUp(f.hosts[0])
	f.requireConvergence()
	f.storeDown = true
	for _, h := range f.byDataCentre[f.dataCentres[0]] {
		h.stop()
		h.start()
	}
	f.requireConvergence()
	require.Equal(t, int64(2), f.latest())
}

// Guards against excessive load on the store in a large fleet. At 390 hosts and
// 13,000 changes per day, followers may use at most one watch per data centre
// and 0.05 reads per second and host.
func TestStoreCalls(t *testing.T) {
	const (
		hosts, dataCentres = 390, 24
		changeEvery        = basilmoor.Millis(86_400_000 / 13_000)
		duration           = 2 * basilmoor.Minute
	)
	r := rand.New(rand.NewPCG(1, 0))
	f := newSimFleet(t, hosts, dataCentres, r.IntN)
	f.requireConvergence()
	f.reads, f.maxOpenWatches = 0, 0
	changes := 0
	start := f.clock.Now()
	for next := start; f.clock.Now() < start+duration; f.advance() {
		if f.clock.Now() >= next {
			next += changeEvery
			changes++
			f.applyIfUp(f.hosts[r.IntN(hosts)])
		}
	}
	f.requireConvergence()
	perHost := float64(f.reads) / hosts / float64((f.clock.Now()-start)/basilmoor.Second)
	t.Logf("%d changes, at most %d pending watches, %d reads, %.4f reads per second and host", changes, f.maxOpenWatches, f.reads, perHost)
	require.Equal(t, int64(changes+1), f.latest())
	require.LessOrEqual(t, f.maxOpenWatches, dataCentres)
	require.LessOrEqual(t, perHost, 0.05)
}
