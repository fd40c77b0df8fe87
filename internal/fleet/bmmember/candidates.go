package bmmember

import (
	"cmp"
	"slices"

	"basilmoor.example/basilmoor"
)

const (
	// candidatesPerBeat bounds the heartbeats to hosts that have not answered
	// yet, so that a stale list costs little.
	candidatesPerBeat = 3

	// candidateBackoff bounds the time between two attempts at a silent host;
	// it is part of the time a healed partition takes to be noticed.
	candidateBackoff = 5 * basilmoor.Second
)

// candidate is a host that may be alive: the platform lists it, or it was a
// member before.
type candidate struct {
	member   basilmoor.Member
	listed   bool
	since    basilmoor.Millis
	next     basilmoor.Millis // earliest time of the next attempt
	attempts int
}

// SetCandidates replaces the hosts that the platform lists. Hosts that the
// list marks as leaving aren't contacted on its behalf.
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
			next: now,
		}
		s.candidates[m.Host] = c
	}
	c.member = m
	c.since = now
	return c
}

func (s *State) addFormer(now basilmoor.Millis, m basilmoor.Member) {
	if !m.Leaving && m.Address != "" {
		s.addCandidate(now, m)
	}
}

func (s *State) addFormerRoster(now basilmoor.Millis, r *roster) {
	for _, m := range r.members {
		if _, ok := s.records[m.Host]; !ok {
			s.addFormer(now, m)
		}
	}
}

func (s *State) expireCandidates(now basilmoor.Millis) {
	for host, c := range s.candidates {
		if !c.listed && now-c.since >= formerFor {
			delete(s.candidates, host)
		}
	}
}

// dueCandidates returns hosts of the mesh that haven't answered yet and whose
// next attempt is due, the longest overdue first.
func (s *State) dueCandidates(now basilmoor.Millis) []basilmoor.Member {
	var due []*candidate
	for host, c := range s.candidates {
		if _, ok := s.records[host]; ok || c.next > now {
			continue
		}
		if c.member.DataCentre == "" || s.inMesh(c.member.DataCentre) {
			due = append(due, c)
		}
	}
	slices.SortFunc(due, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.next, b.next), cmp.Compare(a.member.Host, b.member.Host))
	})
	due = due[:min(len(due), candidatesPerBeat)]
	members := make([]basilmoor.Member, 0, len(due))
	for _, c := range due {
		c.attempt(now)
		members = append(members, c.member)
	}
	return members
}

// attempt schedules the attempt after the one made now.
func (c *candidate) attempt(now basilmoor.Millis) {
	backoff := min(Period<<min(c.attempts, 8), candidateBackoff)
	c.attempts++
	c.next = now + backoff
}

// candidateOf returns the candidate of a data centre that was left alone the
// longest.
func (s *State) candidateOf(now basilmoor.Millis, dataCentre string) (basilmoor.Member, bool) {
	var best *candidate
	for _, c := range s.candidates {
		if c.member.DataCentre != dataCentre || c.next > now {
			continue
		}
		if best == nil || c.next < best.next || c.next == best.next && c.member.Host < best.member.Host {
			best = c
		}
	}
	if best == nil {
		return basilmoor.Member{}, false
	}
	best.attempt(now)
	return best.member, true
}
