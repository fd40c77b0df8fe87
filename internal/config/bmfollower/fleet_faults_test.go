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

const convergenceBound = 5 * basilmoor.Second // invariant I8

// act does one thing that can happen at any time.
func (f *fleet) act() {
	h := f.hosts[f.pick(len(f.hosts))]
	switch f.pick(13) {
	case 0, 1:
		f.accept(h)
	case 2:
		f.race(h)
	case 3:
		f.unanswered(h)
	case 4:
		f.replace(h, false)
	case 5:
		f.replace(h, true)
	case 6:
		h.storeCut = !h.storeCut
	case 7:
		h.island = f.pick(3)
	case 8:
		f.down = !f.down
	case 9:
		b := f.store.Backup()
		f.backup = &b
	case 10:
		f.setBack()
	case 11:
		f.store.Release()
		f.look()
	case 12:
		// An operator brings a store that is behind forward. A refusal
		// changes nothing.
		if h.up {
			_ = h.acceptor.Restore(context.Background(), h.core.Held())
		}
	}
	for range f.pick(24) {
		f.advance()
	}
}

func (f *fleet) accept(h *simHost) {
	if h.up {
		f.apply(h)
	}
}

// race lets a second operator go first, between the first one's read and swap.
func (f *fleet) race(h *simHost) {
	other := f.hosts[f.pick(len(f.hosts))]
	f.atSwap(func() bmconfigtest.Fault {
		f.accept(other)
		return bmconfigtest.None
	})
	f.accept(h)
	f.store.SetFault(nil)
}

func (f *fleet) unanswered(h *simHost) {
	fault := []bmconfigtest.Fault{bmconfigtest.Unavailable, bmconfigtest.LostAnswer, bmconfigtest.Delayed}[f.pick(3)]
	outage := f.pick(2) == 0
	f.atSwap(func() bmconfigtest.Fault {
		f.down = f.down || outage
		return fault
	})
	f.accept(h)
	f.store.SetFault(nil)
}

// atSwap runs a function at the next swap of the head.
func (f *fleet) atSwap(run func() bmconfigtest.Fault) {
	done := false
	f.store.SetFault(func(c bmconfigtest.Call) bmconfigtest.Fault {
		if done || c.Operation != "cas" || c.Key != bmcatalog.HeadKey {
			return bmconfigtest.None
		}
		done = true
		return run()
	})
}

// replace stops a host or starts one that holds nothing. While the store is
// behind, the fleet is the only place where the latest version is kept, so
// that it must not lose it: see latestIsSafe.
func (f *fleet) replace(h *simHost, start bool) {
	if f.storedHead().Version < f.latest() && !f.safeWithout(h) {
		return
	}
	h.stop()
	if start {
		h.start()
	}
}

// latestIsSafe reports whether in a majority of the data centres all hosts hold
// the latest version. Every host that hears from a majority of the data centres
// then knows it. What the store loses before it spread that far is gone, and
// nothing can tell.
func (f *fleet) latestIsSafe() bool { return f.safeWithout(nil) }

// safeWithout is latestIsSafe if a host held nothing.
func (f *fleet) safeWithout(without *simHost) bool {
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

// setBack restores the store from the last backup. The store is out meanwhile,
// for longer than hosts rely on an old heartbeat.
func (f *fleet) setBack() {
	if f.backup == nil || !f.latestIsSafe() {
		return
	}
	f.down = true
	for range (suspect+basilmoor.Second)/step + basilmoor.Millis(f.pick(8)) {
		f.advance()
	}
	if f.latestIsSafe() {
		f.store.Restore(*f.backup)
		f.restores++
	}
	f.down = false
}

// heal ends all faults.
func (f *fleet) heal() {
	f.store.SetFault(nil)
	f.store.Release()
	f.look()
	f.down = false
	for _, h := range f.hosts {
		h.storeCut = false
		h.island = 0
		if !h.up {
			h.start()
		}
	}
}

// converge checks that every host holds and serves the latest version within
// the bound.
func (f *fleet) converge() {
	for range convergenceBound / step {
		f.advance()
	}
	latest := f.latest()
	for _, h := range f.hosts {
		require.Equal(f.t, latest, h.core.Snapshot().Version(), "%s: %+v", h.name, h.core.Status(f.clock.Now()))
		require.False(f.t, h.core.Isolated(f.clock.Now()))
	}
}

// Guards against lost or reverted versions, versions with two notes, and hosts
// that do not catch up, under any sequence of faults.
func TestFleetUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{6, 9}).Draw(t, "hosts")
		f := newFleet(t, size, 3, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		f.converge()
		for range rapid.IntRange(1, 25).Draw(t, "actions") {
			f.act()
		}
		f.heal()
		f.converge()
	})
}

// Guards against the same at the planned size of the fleet.
func TestLargeFleetUnderFaults(t *testing.T) {
	for seed := range uint64(2) {
		r := rand.New(rand.NewPCG(seed, 0))
		f := newFleet(t, 390, 24, r.IntN)
		f.converge()
		for range 25 {
			f.act()
		}
		f.heal()
		f.converge()
	}
}

// Guards against new hosts that wait for the store: in an outage a whole data
// centre is replaced and gets the configuration from other hosts.
func TestStartInOutage(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 0))
	f := newFleet(t, 9, 3, r.IntN)
	f.converge()
	f.accept(f.hosts[0])
	f.converge()
	f.down = true
	for _, h := range f.at[f.dataCentres[0]] {
		h.stop()
		h.start()
	}
	f.converge()
	require.Equal(t, int64(2), f.latest())
}

// Guards against a load of the store that grows with the fleet: at 390 hosts
// and 13,000 changes a day at most one watch a data centre and 0.05 reads a
// second and host.
func TestStoreCalls(t *testing.T) {
	const (
		hosts, dataCentres = 390, 24
		changeEvery        = basilmoor.Millis(86_400_000 / 13_000)
		duration           = 2 * basilmoor.Minute
	)
	r := rand.New(rand.NewPCG(1, 0))
	f := newFleet(t, hosts, dataCentres, r.IntN)
	f.converge()
	f.reads, f.maxOpen = 0, 0
	changes := 0
	start := f.clock.Now()
	for next := start; f.clock.Now() < start+duration; f.advance() {
		if f.clock.Now() >= next {
			next += changeEvery
			changes++
			f.accept(f.hosts[r.IntN(hosts)])
		}
	}
	f.converge()
	perHost := float64(f.reads) / hosts / float64((f.clock.Now()-start)/basilmoor.Second)
	t.Logf("%d changes, %d pending watches at most, %d reads, %.4f reads a second and host", changes, f.maxOpen, f.reads, perHost)
	require.Equal(t, int64(changes+1), f.latest())
	require.LessOrEqual(t, f.maxOpen, dataCentres)
	require.LessOrEqual(t, perHost, 0.05)
}
