package bmmember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"basilmoor.example/basilmoor"
)

// Owner returns the member that owns key by rendezvous hashing, and false if
// members is empty. The choice depends only on host names, so a restarted host
// keeps its keys, and a host that joins or leaves moves only its own keys.
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
	hashField(&d, key)
	hashField(&d, host)
	return d.Sum64()
}

// hashField hashes s and a separator, so that different pairs of fields don't
// hash as the same bytes.
func hashField(d *xxhash.Digest, s string) {
	_, _ = d.WriteString(s)
	_, _ = d.WriteString("\x00")
}

// Rank returns the members in the order of their scores for a key, so that the
// owner comes first.
func Rank(key string, members []basilmoor.Member) []basilmoor.Member {
	scores := make(map[string]uint64, len(members))
	for _, m := range members {
		scores[m.Host] = rendezvousScore(key, m.Host)
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b basilmoor.Member) int {
		return cmp.Or(cmp.Compare(scores[b.Host], scores[a.Host]), cmp.Compare(a.Host, b.Host))
	})
	return ranked
}
