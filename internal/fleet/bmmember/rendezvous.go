package bmmember

import (
	"github.com/cespare/xxhash/v2"

	"basilmoor.example/basilmoor"
)

// Owner returns the member that owns key by rendezvous hashing; false if
// members is empty. The choice depends on the host names only, so a restarted
// host keeps its keys, and a host that joins or leaves moves only keys of its
// own.
func Owner(key string, members []basilmoor.Member) (basilmoor.Member, bool) {
	best := -1
	var highest uint64
	for i := range members {
		score := rendezvousScore(key, members[i].Host)
		if best < 0 || score > highest || score == highest && members[i].Host < members[best].Host {
			best = i
			highest = score
		}
	}
	if best < 0 {
		return basilmoor.Member{}, false
	}
	return members[best], true
}

func rendezvousScore(key, host string) uint64 {
	var d xxhash.Digest
	d.Reset()
	writeField(&d, key)
	writeField(&d, host)
	return d.Sum64()
}

// writeField hashes s and a separator, so that two fields never run together.
func writeField(d *xxhash.Digest, s string) {
	_, _ = d.WriteString(s)
	_, _ = d.WriteString("\x00")
}
