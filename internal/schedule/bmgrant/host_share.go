package bmgrant

import (
	"slices"

	"basilmoor.example/basilmoor"
)

// hostShare returns the targets with the slots that a host may use when every
// host schedules its own requests. The slots of all hosts add up to those of the
// target.
func hostShare(targets []basilmoor.Target, self string, hosts []basilmoor.Member) []basilmoor.Target {
	n := len(hosts)
	index := slices.IndexFunc(hosts, func(m basilmoor.Member) bool { return m.Host == self })
	if index < 0 {
		// This host isn't registered yet: count it as an additional one.
		index = n
		n++
	}
	shared := make([]basilmoor.Target, 0, len(targets))
	for i, t := range targets {
		// The rotation distributes the remainders of the division over the
		// hosts.
		k := (index + i) % n
		t.Slots = t.Slots*(k+1)/n - t.Slots*k/n
		if t.Slots > 0 {
			shared = append(shared, t)
		}
	}
	return shared
}
