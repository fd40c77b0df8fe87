package bmquarantine

import (
	"slices"

	"basilmoor.example/basilmoor"
)

// death is the death of a target.
type death struct {
	target string
	runs   []Run
}

// fatality is a death under a key, with the generation of that key.
type fatality struct {
	*death

	at         basilmoor.Millis
	grantedAt  basilmoor.Millis // of the latest run with the key
	generation int
}

// proven reports whether deaths convict the key that they are counted against.
func proven(deaths []fatality) bool {
	var targets []string
	var generations []int
	for _, d := range deaths {
		if !slices.Contains(targets, d.target) {
			targets = append(targets, d.target)
		}
		if !slices.Contains(generations, d.generation) {
			generations = append(generations, d.generation)
		}
	}
	if len(targets) >= minTargets {
		return len(generations) >= minGenerations
	}
	return len(targets) == 2 && len(generations) >= minGenerationsOfTwo
}

// outweighs reports whether s is convicted rather than other, which is narrower if
// both are of the same request: its last answer is longer ago, or more targets died
// under it. Answers tell nothing of digests, which are rarely seen again.
func (s *suspicion) outweighs(other *suspicion) bool {
	if !s.digest && !other.digest && s.answeredAt != other.answeredAt {
		return s.answeredAt < other.answeredAt
	}
	return len(s.targets) > len(other.targets)
}

// unexplained returns the deaths under a key that count against it. A death does not
// count if the target also ran a part that is likelier to be harmful, and under which
// minExplained targets died: one whose last answer is longer ago, or, in the same
// request and without a difference in the answers, a narrower one. Answers tell
// nothing of a digest, so a part of other requests is likelier if as many targets have
// died since its last answer. At most maxExplanations parts explain deaths in this way,
// because one cause is likelier than three.
func (q *Quarantine) unexplained(key uint64, s *suspicion) []fatality {
	left := s.deaths
	for range maxExplanations {
		best, most := uint64(0), minExplained-1
		count := map[uint64]int{}
		for _, d := range left {
			for _, k := range q.explanations(key, s, d) {
				if count[k]++; count[k] > most {
					best = k
					most = count[k]
				}
			}
		}
		if most < minExplained {
			break
		}
		left = slices.DeleteFunc(slices.Clone(left), func(d fatality) bool {
			return slices.Contains(q.explanations(key, s, d), best)
		})
	}
	return left
}

// explanations returns the parts that are likelier to have caused a death than a key.
func (q *Quarantine) explanations(key uint64, s *suspicion, d fatality) []uint64 {
	if s.digest {
		return q.suspectPartsBeside(key, d)
	}
	var keys []uint64
	for _, r := range d.runs {
		at := slices.Index(r.Keys, key)
		for i, k := range r.Keys {
			other, ok := q.suspicions[k]
			if !ok || i == 0 || k == key || slices.Contains(keys, k) {
				continue
			}
			if other.answeredAt < s.answeredAt || other.answeredAt == s.answeredAt && at >= 0 && i < at {
				keys = append(keys, k)
			}
		}
	}
	return keys
}

// suspectPartsBeside returns the parts of the requests that ran when a target died,
// without those of the request with a digest, under which minExplained targets have
// died since the last answer.
func (q *Quarantine) suspectPartsBeside(digest uint64, d fatality) []uint64 {
	var own, keys []uint64
	for _, r := range d.runs {
		if slices.Contains(r.Keys, digest) {
			own = r.Keys
		}
	}
	for _, r := range d.runs {
		for i, k := range r.Keys {
			s, suspect := q.suspicions[k]
			if i > 0 && suspect && len(s.targets) >= minExplained && !slices.Contains(own, k) && !slices.Contains(keys, k) {
				keys = append(keys, k)
			}
		}
	}
	return keys
}
