package bmgrant

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Guards against hosts that leave a broker because it has lost the store: each
// host does so at a time of its own, so that several brokers grant the same
// slots. The hosts that still reach the store lend the broker their view, so that
// no host has to refuse requests with a key.
func TestBrokerThatLostTheStore(t *testing.T) {
	const maxAge basilmoor.Millis = 2500
	tests := map[string]struct {
		hung basilmoor.Millis // how long the broker gets no answer from the store
		also int              // other hosts that have lost the store
	}{
		"a watch hangs": {hung: 2700},
		"an outage":     {hung: 20_000},
		"several hosts": {hung: 20_000, also: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 3, "a", "b", "c", "d", "e")
			first := f.awaitBroker(2000)
			cut := map[string]bool{first: true}
			for name := range f.hosts {
				if len(cut) <= tt.also {
					cut[name] = true
				}
			}
			confirm := func() {
				for name, h := range f.hosts {
					if !cut[name] {
						h.keeper.Confirm(0, f.clock.Now())
					}
				}
			}
			for _, h := range f.hosts {
				h.keeper.Confirm(0, f.clock.Now())
			}
			began := f.clock.Now()
			f.advanceUntil(tt.hung+100, func() bool {
				confirm()
				for name := range f.hosts {
					require.Equal(t, first, f.brokerOf(name), "broker of %s", name)
					age, known := f.hosts[name].keeper.Age()
					require.True(t, known)
					require.Less(t, age, maxAge, "age of the view of %s", name)
				}
				return f.clock.Now()-began >= tt.hung
			})
		})
	}
}

// activeBrokers returns the hosts that act as the broker and can be reached.
func (f *testFleet) activeBrokers() []string {
	var active []string
	for name, h := range f.hosts {
		h.broker.mu.Lock()
		if h.broker.active && f.reachable(name, name) {
			active = append(active, name)
		}
		h.broker.mu.Unlock()
	}
	return active
}

// setBroken breaks the link between two hosts, which both still reach the others.
func (f *testFleet) setBroken(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken[[2]string{a, b}] = true
	f.broken[[2]string{b, a}] = true
}

// Guards against a host that makes a second broker of the next one, or of itself,
// because its own link to the broker is broken.
func TestBrokenLinkToTheBroker(t *testing.T) {
	f := newTestFleet(t, 3, "a", "b", "c", "d", "e")
	first := f.awaitBroker(2000)
	for name := range f.hosts {
		if name == first {
			continue
		}
		f.setBroken(first, name)
		began := f.clock.Now()
		f.advanceUntil(6000, func() bool {
			require.Equal(t, []string{first}, f.activeBrokers())
			return f.clock.Now()-began >= 5000
		})
		require.Empty(t, f.brokerOf(name), "the host schedules on its own share")
		return
	}
}

// Guards against two brokers that stay active side by side after a partition has
// healed: each grants every slot.
func TestBrokersMerge(t *testing.T) {
	f := newTestFleet(t, 3, "a", "b", "c", "d", "e")
	first := f.awaitBroker(2000)
	f.setSilent(first)
	f.awaitBroker(3000)
	// The first one still takes itself for the broker.
	f.mu.Lock()
	f.silent = map[string]bool{}
	f.mu.Unlock()
	f.advanceUntil(2000, func() bool {
		_, ok := f.commonBroker()
		return ok && len(f.activeBrokers()) == 1
	})
}

// Guards against a planned stop of the broker's host that leaves the other hosts
// without a broker until they notice, or with more than one.
func TestBrokerHandsOver(t *testing.T) {
	f := newTestFleet(t, 3, "a", "b", "c", "d", "e")
	first := f.awaitBroker(2000)
	f.hosts[first].client.Drain()
	f.advanceUntil(1000, func() bool {
		for name := range f.hosts {
			require.NotEmpty(t, f.brokerOf(name), "broker of %s", name)
		}
		require.LessOrEqual(t, len(f.activeBrokers()), 1)
		broker, ok := f.commonBroker()
		return ok && broker != first
	})
}

// Guards against a new broker that grants the slots of hosts whose requests in
// progress it doesn't know yet.
func TestNewBrokerLeavesTheSlotsOfUnknownHosts(t *testing.T) {
	f := newTestFleet(t, 4, "a", "b", "c", "d")
	first := f.awaitBroker(2000)
	var others []string
	for name := range f.hosts {
		if name != first {
			others = append(others, name)
		}
	}
	// One host holds a slot and is slow to come to the next broker.
	slow := others[0]
	result := f.acquire(slow)
	f.advanceUntil(500, func() bool { return len(result) > 0 })
	f.setSilent(first)
	f.setSilent(slow)
	second := others[1]
	f.advanceUntil(3000, func() bool {
		active := f.activeBrokers()
		if len(active) == 1 {
			second = active[0]
		}
		return len(active) == 1 && f.brokerOf(others[1]) == second && f.brokerOf(others[2]) == second
	})
	var results []<-chan error
	for range 4 {
		results = append(results, f.acquire(others[1]))
	}
	began := f.clock.Now()
	f.advanceUntil(2000, func() bool { return f.clock.Now()-began >= 500 })
	granted := 0
	for _, r := range results {
		granted += len(r)
	}
	require.Equal(t, 2, granted, "half of the hosts are known, and so half of the slots")
}
