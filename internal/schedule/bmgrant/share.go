package bmgrant

import (
	"slices"

	"basilmoor.example/basilmoor"
)

// share returns the part of each target's slots that a host uses when every
// host serves its own requests. The parts of all hosts add up to the slots.
func share(targets []basilmoor.Target, self string, hosts []basilmoor.Member) []basilmoor.Target {
	n := len(hosts)
	index := slices.IndexFunc(hosts, func(m basilmoor.Member) bool { return m.Host == self })
	if index < 0 {
		// This host isn't registered yet: it takes the part of one more.
		index = n
		n++
	}
	shared := make([]basilmoor.Target, 0, len(targets))
	for i, t := range targets {
		// The rotation spreads what does not divide evenly.
		k := (index + i) % n
		t.Slots = t.Slots*(k+1)/n - t.Slots*k/n
		if t.Slots > 0 {
			shared = append(shared, t)
		}
	}
	return shared
}
