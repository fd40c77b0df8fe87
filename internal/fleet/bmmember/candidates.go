package bmmember

import (
	"cmp"
	"slices"

	"basilmoor.example/basilmoor"
)

const (
	// candidatesPerHeartbeat limits the heartbeats in one period to hosts that
	// have not answered yet, so that a stale host list costs little.
	candidatesPerHeartbeat = 3

	// candidateBackoff limits the time between two attempts to reach a host
	// that does not answer. It adds to the time until a healed partition is
	// noticed.
	candidateBackoff = 5 * basilmoor.Second
)

// candidate is a host that may be live: the platform lists it, or it was a
// member before.
type candidate struct {
	member      basilmoor.Member
	listed      bool
	updatedAt   basilmoor.Millis
	nextAttempt basilmoor.Millis // earliest time of the next attempt
	attempts    int
}

// SetCandidates replaces the hosts listed by the platform. Hosts marked as
// leaving are treated as not listed.
func (s *State) SetCandidates(now basilmoor.Millis, members []basilmoor.Member) {
	for _, c := range s.candidates {
		c.listed = false
	}
	for _, m := range members {
		if m.Host == "" || m.Host == s.self.Host || m.Address == "" || m.Leaving {
			continue
		}
		c := s.addCandidate(now, m)
		c.listed = true
	}
}

func (s *State) addCandidate(now basilmoor.Millis, m basilmoor.Member) *candidate {
	c, ok := s.candidates[m.Host]
	if !ok || c.member.Address != m.Address {
		c = &candidate{
			nextAttempt: now,
		}
		s.candidates[m.Host] = c
	}
	c.member = m
	c.updatedAt = now
	return c
}

func (s *State) addFormerMember(now basilmoor.Millis, m basilmoor.Member) {
	if !m.Leaving && m.Address != "" {
		s.addCandidate(now, m)
	}
}

func (s *State) addFormerMembers(now basilmoor.Millis, r *roster) {
	for _, m := range r.members {
		if _, ok := s.records[m.Host]; !ok {
			s.addFormerMember(now, m)
		}
	}
}

func (s *State) expireCandidates(now basilmoor.Millis) {
	for host, c := range s.candidates {
		if !c.listed && now-c.updatedAt >= formerMemberTTL {
			delete(s.candidates, host)
		}
	}
}

// dueCandidates returns the hosts of the mesh that have not answered yet and
// whose next attempt is due, the longest overdue first, and schedules their
// next attempts.
func (s *State) dueCandidates(now basilmoor.Millis) []basilmoor.Member {
	var due []*candidate
	for host, c := range s.candidates {
		if _, ok := s.records[host]; ok || c.nextAttempt > now {
			continue
		}
		if c.member.DataCentre == "" || s.inMesh(c.member.DataCentre) {
			due = append(due, c)
		}
	}
	slices.SortFunc(due, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.nextAttempt, b.nextAttempt), cmp.Compare(a.member.Host, b.member.Host))
	})
	due = due[:min(len(due), candidatesPerHeartbeat)]
	members := make([]basilmoor.Member, 0, len(due))
	for _, c := range due {
		c.scheduleNextAttempt(now)
		members = append(members, c.member)
	}
	return members
}

// scheduleNextAttempt sets the time of the next attempt after one made now.
func (c *candidate) scheduleNextAttempt(now basilmoor.Millis) {
	backoff := min(Period<<min(c.attempts, 8), candidateBackoff)
	c.attempts++
	c.nextAttempt = now + backoff
}

// nextCandidateIn returns the candidate in a data centre whose attempt has been
// due the longest, and schedules its next attempt.
func (s *State) nextCandidateIn(now basilmoor.Millis, dataCentre string) (basilmoor.Member, bool) {
	var best *candidate
	for _, c := range s.candidates {
		if c.member.DataCentre != dataCentre || c.nextAttempt > now {
			continue
		}
		if best == nil || c.nextAttempt < best.nextAttempt || c.nextAttempt == best.nextAttempt && c.member.Host < best.member.Host {
			best = c
		}
	}
	if best == nil {
		return basilmoor.Member{}, false
	}
	best.scheduleNextAttempt(now)
	return best.member, true
}
