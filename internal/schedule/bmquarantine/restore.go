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

// restore adds a death that became known later than others, or corrects the time of one
// that is known, and reports whether that changed anything.
func (s *suspicion) restore(r Record) bool {
	deaths := s.deaths
	if i := slices.IndexFunc(deaths, func(d fatality) bool { return d.target == r.Target }); i >= 0 {
		if deaths[i].at <= r.At {
			return false
		}
		deaths[i].at = r.At
		deaths[i].grantedAt = r.GrantedAt
	} else {
		deaths = append(deaths, r.fatality())
	}
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

// fatality returns a death of which only the run with the digest is known.
func (r Record) fatality() fatality {
	return fatality{
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
	}
}
