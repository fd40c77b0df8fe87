package bmmember

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"basilmoor.example/basilmoor"
)

// roster is what is known of another place. It is never changed in place but
// for tick and vouched, which only grow while the digest stays the same.
type roster struct {
	place   string
	region  string
	members []basilmoor.Member
	digest  uint64
	tick    uint64
	vouched basilmoor.Millis // last increase of the tick
}

func newRoster(place, region string, members []basilmoor.Member, tick uint64, vouched basilmoor.Millis) *roster {
	return &roster{
		place:   place,
		region:  region,
		members: members,
		digest:  digestMembers(members),
		tick:    tick,
		vouched: vouched,
	}
}

// digestMembers covers what a change of has to be passed on. Load, shed level
// and configuration version change too often for that; other places learn them
// together with the next change.
func digestMembers(members []basilmoor.Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	var buf [9]byte
	for i := range members {
		writeField(&d, members[i].Host)
		binary.LittleEndian.PutUint64(buf[:8], members[i].Incarnation)
		buf[8] = 0
		if members[i].Leaving {
			buf[8] = 1
		}
		_, _ = d.Write(buf[:])
	}
	return nonZero(d.Sum64())
}

// nonZero keeps 0 free for "no digest".
func nonZero(digest uint64) uint64 {
	if digest == 0 {
		return 1
	}
	return digest
}

func (s *State) rosterSuspectAfter(r *roster) basilmoor.Millis {
	if r.region == s.self.Region {
		return RegionSuspectAfter
	}
	return DistantRemoveAfter
}

func (s *State) rosterRemoveAfter(r *roster) basilmoor.Millis {
	if r.region == s.self.Region {
		return RemoveAfter
	}
	return DistantRemoveAfter
}

func (s *State) inRosters(host string) bool {
	for _, r := range s.rosters {
		if _, ok := slices.BinarySearchFunc(r.members, host, compareHost); ok {
			return true
		}
	}
	return false
}

// ownRoster lists the members of this host's place that aren't suspected.
func (s *State) ownRoster(now basilmoor.Millis) *roster {
	members := []basilmoor.Member{s.self}
	for _, r := range s.records {
		if r.member.Place == s.self.Place && now-r.heard < SuspectAfter {
			members = append(members, r.member)
		}
	}
	sortMembers(members)
	return newRoster(s.self.Place, s.self.Region, members, s.placeTick, now)
}

// allRosters returns the rosters of all places including this host's own,
// ordered by place, and their digest. A fleet that is one mesh has none.
func (s *State) allRosters(now basilmoor.Millis) ([]*roster, uint64) {
	if !s.large {
		return nil, 0
	}
	all := make([]*roster, 0, 1+len(s.rosters))
	all = append(all, s.ownRoster(now))
	for _, r := range s.rosters {
		all = append(all, r)
	}
	slices.SortFunc(all, comparePlaces)
	var d xxhash.Digest
	d.Reset()
	var buf [8]byte
	for _, r := range all {
		writeField(&d, r.place)
		binary.LittleEndian.PutUint64(buf[:], r.digest)
		_, _ = d.Write(buf[:])
	}
	return all, nonZero(d.Sum64())
}

// mergeRoster takes over a roster with a higher tick than the one held.
func (s *State) mergeRoster(now basilmoor.Millis, in Roster) {
	vouched := now - max(in.Age, 0)
	if in.Place == "" || in.Place == s.self.Place {
		return
	}
	held, ok := s.rosters[in.Place]
	if ok && held.tick >= in.Tick || !ok && s.placeTicks[in.Place] >= in.Tick {
		return
	}
	members := make([]basilmoor.Member, 0, len(in.Members))
	for _, m := range in.Members {
		if s.accept(now, m, 0) {
			members = append(members, m)
		}
	}
	sortMembers(members)
	r := newRoster(in.Place, in.Region, members, in.Tick, vouched)
	if now-vouched >= s.rosterRemoveAfter(r) {
		return
	}
	s.rosters[in.Place] = r
	if ok {
		s.keepLost(now, held, r)
	}
}

// keepLost makes candidates of the members that are no longer listed.
func (s *State) keepLost(now basilmoor.Millis, old, current *roster) {
	for _, m := range old.members {
		if _, ok := slices.BinarySearchFunc(current.members, m.Host, compareHost); !ok {
			s.addFormer(now, m)
		}
	}
}

// summaries describes rosters without their members.
func summaries(all []*roster) []Summary {
	out := make([]Summary, 0, len(all))
	for _, r := range all {
		out = append(out, Summary{
			Place:  r.place,
			Digest: r.digest,
			Tick:   r.tick,
		})
	}
	return out
}

// compare finds the rosters of which the sender of the summaries holds a later
// state, to ask for, and those of which this host does, to send.
func (s *State) compare(now basilmoor.Millis, place string, theirs []Summary) (want []string, push []Roster) {
	all, _ := s.allRosters(now)
	byPlace := make(map[string]Summary, len(theirs))
	for _, t := range theirs {
		byPlace[t.Place] = t
		if t.Place == s.self.Place {
			continue
		}
		held, ok := s.rosters[t.Place]
		if !ok && t.Tick > s.placeTicks[t.Place] || ok && held.digest != t.Digest && held.tick < t.Tick {
			want = append(want, t.Place)
		}
	}
	for _, r := range all {
		t, ok := byPlace[r.place]
		if r.place != place && (!ok || t.Digest != r.digest && t.Tick < r.tick) {
			push = append(push, r.export(now))
		}
	}
	return want, push
}

func (r *roster) export(now basilmoor.Millis) Roster {
	return Roster{
		Place:   r.place,
		Region:  r.region,
		Tick:    r.tick,
		Age:     now - r.vouched,
		Members: r.members,
	}
}

func compareHost(m basilmoor.Member, host string) int {
	switch {
	case m.Host < host:
		return -1
	case m.Host > host:
		return 1
	default:
		return 0
	}
}

func comparePlaces(a, b *roster) int {
	switch {
	case a.place < b.place:
		return -1
	case a.place > b.place:
		return 1
	default:
		return 0
	}
}
