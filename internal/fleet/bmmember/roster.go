package bmmember

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"basilmoor.example/basilmoor"
)

// roster is what this host knows about a data centre. The roster of its own
// data centre has no members, since those are in the records. Only tick and
// confirmedAt of a roster are modified in place; both only grow while the
// digest stays the same.
type roster struct {
	dataCentre  string
	region      string
	members     []basilmoor.Member
	digest      uint64
	tick        uint64
	confirmedAt basilmoor.Millis // when the tick was heard; see tickClock.heardAt
	clock       tickClock
}

func newRoster(dataCentre, region string, members []basilmoor.Member, tick uint64, confirmedAt basilmoor.Millis) *roster {
	return &roster{
		dataCentre:  dataCentre,
		region:      region,
		members:     members,
		digest:      digestMembers(members),
		tick:        tick,
		confirmedAt: confirmedAt,
		clock:       newTickClock(confirmedAt, tick),
	}
}

// digestMembers returns a digest of the fields whose changes are sent to other
// data centres. Load and configuration version are excluded because they change
// too often; other data centres don't receive them.
func digestMembers(members []basilmoor.Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	for i := range members {
		hashMember(&d, &members[i])
	}
	return nonZero(d.Sum64())
}

func digestRecords(records []*record) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, r := range records {
		hashMember(&d, &r.member)
	}
	return nonZero(d.Sum64())
}

func hashMember(d *xxhash.Digest, m *basilmoor.Member) {
	var buf [9]byte
	hashField(d, m.Host)
	binary.LittleEndian.PutUint64(buf[:8], m.Incarnation)
	if m.Leaving {
		buf[8] = 1
	}
	_, _ = d.Write(buf[:])
}

// nonZero maps 0 to 1, since 0 stands for the absence of a digest.
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
	return CrossRegionRemoveAfter
}

func (s *State) rosterRemoveAfter(r *roster) basilmoor.Millis {
	if r.region == s.self.Region {
		return RemoveAfter
	}
	return CrossRegionRemoveAfter
}

func (s *State) inRosters(host string) bool {
	for _, r := range s.rosters {
		if _, ok := slices.BinarySearchFunc(r.members, host, compareHost); ok {
			return true
		}
	}
	return false
}

// ownDataCentreRecords returns the members of this host's data centre that
// aren't suspected, ordered by name.
func (s *State) ownDataCentreRecords(now basilmoor.Millis) []*record {
	return slices.DeleteFunc(s.meshMembers(), func(r *record) bool {
		suspected := r.member.Host != s.self.Host && now-r.heardAt >= SuspectAfter
		return suspected || r.member.DataCentre != s.self.DataCentre
	})
}

func (s *State) ownDataCentreMembers(now basilmoor.Millis) []basilmoor.Member {
	records := s.ownDataCentreRecords(now)
	members := make([]basilmoor.Member, 0, len(records))
	for _, r := range records {
		members = append(members, r.member)
	}
	return members
}

// withoutVolatileFields returns copies of the members without the fields that
// change too often to be sent to other data centres.
func withoutVolatileFields(members []basilmoor.Member) []basilmoor.Member {
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
	s.sortedRosters = nil
	s.snapshotGeneration++
}

func (s *State) putRoster(r *roster) {
	s.rosters[r.dataCentre] = r
	delete(s.rosterRequestedAt, r.dataCentre)
	s.sortedRosters = nil
	s.snapshotGeneration++
}

// rostersByDataCentre returns the rosters of the other data centres, ordered by
// data centre.
func (s *State) rostersByDataCentre() []*roster {
	if s.sortedRosters == nil {
		s.sortedRosters = make([]*roster, 0, len(s.rosters))
		for _, r := range s.rosters {
			s.sortedRosters = append(s.sortedRosters, r)
		}
		slices.SortFunc(s.sortedRosters, func(a, b *roster) int { return strings.Compare(a.dataCentre, b.dataCentre) })
	}
	return s.sortedRosters
}

// rosterWarmUp is the time after its start during which a host doesn't confirm
// the members of its data centre to others, because it may not know all of them
// yet.
const rosterWarmUp = 5 * basilmoor.Second

// tombstoneTTL is how long the tick of a removed roster is kept, so that the
// roster isn't restored by a relayed copy. A data centre that restarts with
// clocks behind its former tick becomes known again after this time.
const tombstoneTTL = 2 * basilmoor.Minute

// tombstone records the last tick of a removed roster.
type tombstone struct {
	tick      uint64
	removedAt basilmoor.Millis
}

// dataCentreTick returns the tick of this host's data centre.
func (s *State) dataCentreTick(now basilmoor.Millis) uint64 {
	return uint64((now + s.dataCentreClockOffset) / basilmoor.Second)
}

// dataCentreTickFor returns the tick of this host's data centre for a heartbeat
// to a host of the given data centre, or 0 if that is another one.
func (s *State) dataCentreTickFor(now basilmoor.Millis, dataCentre string) uint64 {
	if dataCentre != s.self.DataCentre {
		return 0
	}
	return s.dataCentreTick(now)
}

// warmingUp reports whether this host started too recently to confirm the
// members of its data centre.
func (s *State) warmingUp(now basilmoor.Millis) bool {
	return now-s.started < rosterWarmUp
}

// allRosters returns the rosters of all data centres, ordered by data centre,
// and their digest. While this host is warming up, its own roster has tick 0,
// which no peer accepts. A fleet that fits in one mesh has no rosters.
func (s *State) allRosters(now basilmoor.Millis) ([]*roster, uint64) {
	if !s.largeFleet {
		return nil, 0
	}
	others := s.rostersByDataCentre()
	index, _ := slices.BinarySearchFunc(others, s.self.DataCentre, func(r *roster, dataCentre string) int {
		return strings.Compare(r.dataCentre, dataCentre)
	})
	own := &roster{
		dataCentre:  s.self.DataCentre,
		region:      s.self.Region,
		digest:      digestRecords(s.ownDataCentreRecords(now)),
		tick:        s.dataCentreTick(now),
		confirmedAt: now,
	}
	if s.warmingUp(now) {
		own.tick = 0
	}
	all := make([]*roster, 0, 1+len(others))
	all = append(all, others[:index]...)
	all = append(all, own)
	all = append(all, others[index:]...)
	return all, digestRosters(all)
}

func digestRosters(all []*roster) uint64 {
	var d xxhash.Digest
	d.Reset()
	var buf [8]byte
	for _, r := range all {
		hashField(&d, r.dataCentre)
		binary.LittleEndian.PutUint64(buf[:], r.digest)
		_, _ = d.Write(buf[:])
	}
	return nonZero(d.Sum64())
}

// mergeRoster stores a roster whose tick is higher than that of the one held.
func (s *State) mergeRoster(now basilmoor.Millis, in Roster) {
	confirmedAt := now - max(in.Age, 0)
	if in.DataCentre == "" || in.DataCentre == s.self.DataCentre {
		return
	}
	held, ok := s.rosters[in.DataCentre]
	if ok && held.tick >= in.Tick || !ok && s.tombstones[in.DataCentre].tick >= in.Tick {
		return
	}
	members := make([]basilmoor.Member, 0, len(in.Members))
	for _, m := range in.Members {
		if s.acceptIncarnation(now, m, 0) {
			members = append(members, m)
		}
	}
	sortMembers(members)
	r := newRoster(in.DataCentre, in.Region, members, in.Tick, confirmedAt)
	if now-confirmedAt >= s.rosterRemoveAfter(r) {
		return
	}
	if ok {
		r.clock.origin = min(r.clock.origin, held.clock.origin)
		r.confirmedAt = min(confirmedAt, r.clock.heardAt(now, r.tick))
	}
	s.putRoster(r)
	if ok {
		s.addDroppedMembers(now, held, r)
	}
}

// addDroppedMembers makes candidates of the members of old that current lacks.
func (s *State) addDroppedMembers(now basilmoor.Millis, old, current *roster) {
	for _, m := range old.members {
		if _, ok := slices.BinarySearchFunc(current.members, m.Host, compareHost); !ok {
			s.addFormerMember(now, m)
		}
	}
}

// summaries returns the digests and ticks of the rosters.
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

// rosterRequestInterval is the time after which an unanswered request for a
// roster is repeated. Without it, a host that has just started would receive
// all rosters, 20 KB at 390 hosts, from each of its neighbours.
const rosterRequestInterval = 3 * basilmoor.Second

// compareSummaries compares a peer's summaries with the rosters held. It
// returns the data centres whose rosters to request, because the peer's are
// newer, and the rosters to send, because this host's are newer. Hosts of one
// data centre only request rosters, since each of them starts exchanges within
// the data centre.
func (s *State) compareSummaries(now basilmoor.Millis, dataCentre string, remote []Summary) (request []string, send []Roster) {
	all, _ := s.allRosters(now)
	byDataCentre := make(map[string]Summary, len(remote))
	for _, summary := range remote {
		byDataCentre[summary.DataCentre] = summary
		if summary.DataCentre == s.self.DataCentre {
			continue
		}
		held, ok := s.rosters[summary.DataCentre]
		missing := !ok && summary.Tick > s.tombstones[summary.DataCentre].tick
		older := ok && held.digest != summary.Digest && held.tick < summary.Tick
		requestedAt, requested := s.rosterRequestedAt[summary.DataCentre]
		if requested && now-requestedAt < rosterRequestInterval || !missing && !older {
			continue
		}
		s.rosterRequestedAt[summary.DataCentre] = now
		request = append(request, summary.DataCentre)
	}
	if dataCentre == s.self.DataCentre {
		return request, nil
	}
	for _, r := range all {
		summary, ok := byDataCentre[r.dataCentre]
		if r.dataCentre != dataCentre && (!ok || summary.Digest != r.digest && summary.Tick < r.tick) {
			send = append(send, s.exportRoster(now, r))
		}
	}
	return request, send
}

// exportRoster converts a roster to the form sent in heartbeats, including the
// members of this host's own data centre.
func (s *State) exportRoster(now basilmoor.Millis, r *roster) Roster {
	members := r.members
	if r.dataCentre == s.self.DataCentre {
		members = withoutVolatileFields(s.ownDataCentreMembers(now))
	}
	return Roster{
		DataCentre: r.dataCentre,
		Region:     r.region,
		Tick:       r.tick,
		Age:        now - r.confirmedAt,
		Members:    members,
	}
}

func compareHost(m basilmoor.Member, host string) int {
	return strings.Compare(m.Host, host)
}
