package bmmember

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"basilmoor.example/basilmoor"
)

// roster is what is known of a data centre. The own data centre's has no
// members; they are in the records. It is never changed in place but for tick
// and vouched, which only grow while the digest stays the same.
type roster struct {
	dataCentre string
	region     string
	members    []basilmoor.Member
	digest     uint64
	tick       uint64
	vouched    basilmoor.Millis // when the tick counts as heard
	line       timeline
}

func newRoster(dataCentre, region string, members []basilmoor.Member, tick uint64, vouched basilmoor.Millis) *roster {
	return &roster{
		dataCentre: dataCentre,
		region:     region,
		members:    members,
		digest:     digestMembers(members),
		tick:       tick,
		vouched:    vouched,
		line:       newTimeline(vouched, tick),
	}
}

// digestMembers covers what a change of has to be passed on. Load, shed level
// and configuration version change too often for that; other data centres don't
// learn them.
func digestMembers(members []basilmoor.Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	for i := range members {
		writeMember(&d, &members[i])
	}
	return nonZero(d.Sum64())
}

func digestRecords(records []*record) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, r := range records {
		writeMember(&d, &r.member)
	}
	return nonZero(d.Sum64())
}

func writeMember(d *xxhash.Digest, m *basilmoor.Member) {
	var buf [9]byte
	writeField(d, m.Host)
	binary.LittleEndian.PutUint64(buf[:8], m.Incarnation)
	if m.Leaving {
		buf[8] = 1
	}
	_, _ = d.Write(buf[:])
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

// ownDataCentre returns the members of this host's data centre that aren't
// suspected, ordered by name.
func (s *State) ownDataCentre(now basilmoor.Millis) []*record {
	return slices.DeleteFunc(s.mesh(), func(r *record) bool {
		suspected := r.member.Host != s.self.Host && now-r.heard >= SuspectAfter
		return suspected || r.member.DataCentre != s.self.DataCentre
	})
}

func (s *State) ownMembers(now basilmoor.Millis) []basilmoor.Member {
	records := s.ownDataCentre(now)
	members := make([]basilmoor.Member, 0, len(records))
	for _, r := range records {
		members = append(members, r.member)
	}
	return members
}

// forRoster returns the members without what changes too often to be passed on
// to other data centres.
func forRoster(members []basilmoor.Member) []basilmoor.Member {
	out := make([]basilmoor.Member, 0, len(members))
	for _, m := range members {
		m.ConfigVersion = 0
		m.ConfigNote = ""
		m.Load = 0
		out = append(out, m)
	}
	return out
}

func (s *State) deleteRoster(dataCentre string) {
	delete(s.rosters, dataCentre)
	s.dataCentres = nil
	s.changes++
}

func (s *State) putRoster(r *roster) {
	s.rosters[r.dataCentre] = r
	delete(s.wanted, r.dataCentre)
	s.dataCentres = nil
	s.changes++
}

// orderedRosters returns the rosters of the other data centres by name.
func (s *State) orderedRosters() []*roster {
	if s.dataCentres == nil {
		s.dataCentres = make([]*roster, 0, len(s.rosters))
		for _, r := range s.rosters {
			s.dataCentres = append(s.dataCentres, r)
		}
		slices.SortFunc(s.dataCentres, func(a, b *roster) int { return strings.Compare(a.dataCentre, b.dataCentre) })
	}
	return s.dataCentres
}

// vouchAfter is the time after its start from which a host vouches for the
// members of its data centre. Before, it doesn't know them all.
const vouchAfter = 5 * basilmoor.Second

// tombFor is how long the tick of a removed roster is kept, so that the roster
// isn't taken up again from hearsay. A data centre that is restarted with
// clocks behind its former tick is known again after that.
const tombFor = 2 * basilmoor.Minute

// tombstone remembers a removed roster.
type tombstone struct {
	tick uint64
	at   basilmoor.Millis
}

// dataCentreTick returns the tick of this host's data centre.
func (s *State) dataCentreTick(now basilmoor.Millis) uint64 {
	return uint64((now + s.dataCentreClock) / basilmoor.Second)
}

// dataCentreTickFor returns what a heartbeat to a host of the data centre says.
func (s *State) dataCentreTickFor(now basilmoor.Millis, dataCentre string) uint64 {
	if dataCentre != s.self.DataCentre {
		return 0
	}
	return s.dataCentreTick(now)
}

// young reports whether this host can't vouch for its data centre yet.
func (s *State) young(now basilmoor.Millis) bool {
	return now-s.started < vouchAfter
}

// allRosters returns the rosters of all data centres, ordered by data centre,
// and their digest. This host's own has tick 0, which nobody takes over, until
// the host can vouch for it. A fleet that is one mesh has none.
func (s *State) allRosters(now basilmoor.Millis) ([]*roster, uint64) {
	if !s.large {
		return nil, 0
	}
	others := s.orderedRosters()
	at, _ := slices.BinarySearchFunc(others, s.self.DataCentre, func(r *roster, dataCentre string) int {
		return strings.Compare(r.dataCentre, dataCentre)
	})
	own := &roster{
		dataCentre: s.self.DataCentre,
		region:     s.self.Region,
		digest:     digestRecords(s.ownDataCentre(now)),
		tick:       s.dataCentreTick(now),
		vouched:    now,
	}
	if s.young(now) {
		own.tick = 0
	}
	all := make([]*roster, 0, 1+len(others))
	all = append(all, others[:at]...)
	all = append(all, own)
	all = append(all, others[at:]...)
	return all, digestRosters(all)
}

func digestRosters(all []*roster) uint64 {
	var d xxhash.Digest
	d.Reset()
	var buf [8]byte
	for _, r := range all {
		writeField(&d, r.dataCentre)
		binary.LittleEndian.PutUint64(buf[:], r.digest)
		_, _ = d.Write(buf[:])
	}
	return nonZero(d.Sum64())
}

// mergeRoster takes over a roster with a higher tick than the one held.
func (s *State) mergeRoster(now basilmoor.Millis, in Roster) {
	vouched := now - max(in.Age, 0)
	if in.DataCentre == "" || in.DataCentre == s.self.DataCentre {
		return
	}
	held, ok := s.rosters[in.DataCentre]
	if ok && held.tick >= in.Tick || !ok && s.tombs[in.DataCentre].tick >= in.Tick {
		return
	}
	members := make([]basilmoor.Member, 0, len(in.Members))
	for _, m := range in.Members {
		if s.accept(now, m, 0) {
			members = append(members, m)
		}
	}
	sortMembers(members)
	r := newRoster(in.DataCentre, in.Region, members, in.Tick, vouched)
	if now-vouched >= s.rosterRemoveAfter(r) {
		return
	}
	if ok {
		r.line.origin = min(r.line.origin, held.line.origin)
		r.vouched = min(vouched, r.line.heard(now, r.tick))
	}
	s.putRoster(r)
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
			DataCentre: r.dataCentre,
			Digest:     r.digest,
			Tick:       r.tick,
		})
	}
	return out
}

// wantAgain is the time after which a roster that was asked for is asked for
// again. A host that has just started would else get all rosters, 20 KB at 390
// hosts, from each of its neighbours.
const wantAgain = 3 * basilmoor.Second

// compare finds the rosters of which the sender of the summaries holds a later
// state, to ask for, and those of which this host does, to send. Hosts of one
// data centre only ask, since each of them starts exchanges inside the data
// centre.
func (s *State) compare(now basilmoor.Millis, dataCentre string, theirs []Summary) (want []string, push []Roster) {
	all, _ := s.allRosters(now)
	byDataCentre := make(map[string]Summary, len(theirs))
	for _, t := range theirs {
		byDataCentre[t.DataCentre] = t
		if t.DataCentre == s.self.DataCentre {
			continue
		}
		held, ok := s.rosters[t.DataCentre]
		missing := !ok && t.Tick > s.tombs[t.DataCentre].tick
		older := ok && held.digest != t.Digest && held.tick < t.Tick
		asked, recently := s.wanted[t.DataCentre]
		if recently && now-asked < wantAgain || !missing && !older {
			continue
		}
		s.wanted[t.DataCentre] = now
		want = append(want, t.DataCentre)
	}
	if dataCentre == s.self.DataCentre {
		return want, nil
	}
	for _, r := range all {
		t, ok := byDataCentre[r.dataCentre]
		if r.dataCentre != dataCentre && (!ok || t.Digest != r.digest && t.Tick < r.tick) {
			push = append(push, s.export(now, r))
		}
	}
	return want, push
}

// export returns a roster with its members.
func (s *State) export(now basilmoor.Millis, r *roster) Roster {
	members := r.members
	if r.dataCentre == s.self.DataCentre {
		members = forRoster(s.ownMembers(now))
	}
	return Roster{
		DataCentre: r.dataCentre,
		Region:     r.region,
		Tick:       r.tick,
		Age:        now - r.vouched,
		Members:    members,
	}
}

func compareHost(m basilmoor.Member, host string) int {
	return strings.Compare(m.Host, host)
}
