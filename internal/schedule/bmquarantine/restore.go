package bmquarantine

import (
	"cmp"
	"slices"
)

// Restore adds what other hosts, or the pool before this one, know of deaths under
// digests, in any order and any number of times, and returns the keys that this convicts.
func (q *Quarantine) Restore(records []Record) []Hold {
	var holds []Hold
	for _, r := range records {
		s, suspect := q.suspicions[r.Digest]
		switch {
		case r.answers():
			if suspect && s.lastDeath <= r.At {
				delete(q.suspicions, r.Digest)
			}
			continue
		case !suspect && len(q.suspicions) >= maxSuspicions:
			continue
		case !suspect:
			s = &suspicion{
				digest:     true,
				answeredAt: neverAnswered,
			}
			q.suspicions[r.Digest] = s
		}
		if !s.restore(r) || !proven(s.deaths) || !proven(q.unexplained(r.Digest, s)) {
			continue
		}
		holds = append(holds, q.convict(r.Digest))
	}
	return holds
}

// restore adds a death that became known later than others, unless it was counted before.
func (s *suspicion) restore(r Record) bool {
	if slices.Contains(s.targets, r.Target) {
		return false
	}
	deaths := append(s.deaths, fatality{
		death: &death{
			target: r.Target,
			runs: []Run{
				{
					Keys:      []uint64{r.Digest},
					GrantedAt: r.GrantedAt,
				},
			},
		},
		at:        r.At,
		grantedAt: r.GrantedAt,
	})
	slices.SortStableFunc(deaths, func(a, b fatality) int { return cmp.Compare(a.at, b.at) })
	*s = suspicion{
		digest:      s.digest,
		established: s.established,
		answeredAt:  s.answeredAt,
	}
	for _, d := range deaths {
		s.add(d)
	}
	return true
}
