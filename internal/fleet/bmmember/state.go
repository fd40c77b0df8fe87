package bmmember

import (
	"slices"
	"strings"

	"basilmoor.example/basilmoor"
)

// Timing and size parameters of the protocol.
const (
	// Period is the interval between heartbeats to a neighbour.
	Period = basilmoor.Second

	// SuspectAfter is the silence after which a member of the mesh is suspected
	// and no longer counts as live.
	SuspectAfter = 3 * basilmoor.Second

	// RemoveAfter is the silence after which a member of the mesh is removed.
	RemoveAfter = 10 * basilmoor.Second

	// RegionSuspectAfter is the silence after which the members of a data
	// centre in the same region no longer count as live. One exchange between
	// the data centres and two hops within each of them take up to 5 s.
	RegionSuspectAfter = 6 * basilmoor.Second

	// CrossRegionRemoveAfter is the silence after which the roster of a data
	// centre in another region is removed. Such rosters travel over more hops
	// and are exchanged a third as often.
	CrossRegionRemoveAfter = 30 * basilmoor.Second

	// MaxFullMeshHosts is the largest fleet in which every host exchanges
	// heartbeats with every other.
	MaxFullMeshHosts = 16

	// crossRegionPeriods is the number of periods between two exchanges with
	// another region.
	crossRegionPeriods = 3

	// neighbourSilenceLimit is the silence after which a host sends a heartbeat
	// to a neighbour that would normally send one itself.
	neighbourSilenceLimit = Period + Period/2

	// linkSilenceLimit is the silence after which a host starts the exchange
	// with another data centre that would normally start it itself.
	linkSilenceLimit = 3 * basilmoor.Second

	// formerMemberTTL is how long a removed host is still contacted. Regions
	// can lose contact with each other for an hour.
	formerMemberTTL = 2 * 60 * basilmoor.Minute
)

// Status holds the fields of a host's own description that change while it
// runs.
type Status struct {
	ConfigVersion int64
	ConfigNote    string
	Load          int
	Leaving       bool
}

// record is the state of a member of the mesh, or of a host of another data
// centre that exchanged heartbeats with this one.
type record struct {
	member        basilmoor.Member
	sequence      uint64
	tick          uint64
	heardAt       basilmoor.Millis // when the tick was heard, directly or relayed
	lastHeartbeat basilmoor.Millis // when this host last received a heartbeat from the member
	clock         tickClock
	changedAt     basilmoor.Millis // last change of a field in the mesh digest
}

// watermark holds the highest incarnation and tick seen of a host. It outlives
// the record, so that a removed host isn't restored by relayed information.
type watermark struct {
	incarnation uint64
	tick        uint64
	seenAt      basilmoor.Millis
}

// State is the membership as seen by one host. It is not safe for concurrent
// use.
type State struct {
	self                  basilmoor.Member
	sequence              uint64
	tick                  uint64
	started               basilmoor.Millis
	dataCentreClockOffset basilmoor.Millis // difference between the data centre's tick in milliseconds and this host's time
	crashes               basilmoor.CrashRegistry
	records               map[string]*record
	rosters               map[string]*roster
	candidates            map[string]*candidate
	peers                 map[string]*peer
	watermarks            map[string]watermark
	tombstones            map[string]tombstone
	rosterRequestedAt     map[string]basilmoor.Millis // time of the last request, by data centre
	sortedRecords         []*record                   // cache of recordsByHost; nil after a change
	sortedRosters         []*roster                   // cache of rostersByDataCentre; nil after a change
	snapshotGeneration    int                         // incremented by each change that affects a snapshot
	largeFleet            bool                        // whether the fleet is larger than one mesh
	knowsLargeFleet       bool                        // whether this host itself knows more hosts than fit in one mesh
	largeReportedAt       basilmoor.Millis            // when a peer last reported a large fleet
	largeReported         bool
	versions              []VersionReport
}

// VersionReport reports that a peer has a configuration that this host lacks.
type VersionReport struct {
	Host    string
	Version int64
	Note    string
}

// NewState returns the state of a host that knows only itself. The crash
// registry may be nil.
//
// The incarnation of self must be the start time of the process in milliseconds
// of the wall clock. A data centre's tick starts at that value, so that it
// keeps growing when all hosts of the data centre are restarted.
func NewState(now basilmoor.Millis, self basilmoor.Member, crashes basilmoor.CrashRegistry) *State {
	return &State{
		self:                  self,
		started:               now,
		dataCentreClockOffset: basilmoor.Millis(self.Incarnation) - now,
		crashes:               crashes,
		records:               make(map[string]*record),
		rosters:               make(map[string]*roster),
		candidates:            make(map[string]*candidate),
		peers:                 make(map[string]*peer),
		watermarks:            make(map[string]watermark),
		tombstones:            make(map[string]tombstone),
		rosterRequestedAt:     make(map[string]basilmoor.Millis),
	}
}

// SetStatus updates the host's own status.
func (s *State) SetStatus(st Status) {
	s.self.ConfigVersion = st.ConfigVersion
	s.self.ConfigNote = st.ConfigNote
	s.self.Load = st.Load
	s.self.Leaving = st.Leaving
}

// Self returns the host's own description.
func (s *State) Self() basilmoor.Member {
	return s.self
}

// Live returns the live members ordered by name, including this host, without
// those that are leaving. In fleets of more than MaxFullMeshHosts, members of
// other data centres have no configuration version and load.
func (s *State) Live(now basilmoor.Millis) []basilmoor.Member {
	members := make([]basilmoor.Member, 0, 1+len(s.records))
	if !s.self.Leaving {
		members = append(members, s.self)
	}
	for _, r := range s.records {
		if r.member.Leaving || now-r.heardAt >= SuspectAfter || s.rosterIsAuthoritative(now, r) {
			continue
		}
		members = append(members, r.member)
	}
	for _, r := range s.rosters {
		if now-r.confirmedAt >= s.rosterSuspectAfter(r) {
			continue
		}
		members = append(members, s.liveInRoster(now, r)...)
	}
	sortMembers(members)
	return members
}

func (s *State) liveInRoster(now basilmoor.Millis, r *roster) []basilmoor.Member {
	var members []basilmoor.Member
	for _, m := range r.members {
		if m.Leaving || m.Host == s.self.Host {
			continue
		}
		if rec, ok := s.records[m.Host]; ok && !s.rosterIsAuthoritative(now, rec) && now-rec.heardAt < SuspectAfter {
			continue
		}
		members = append(members, m)
	}
	return members
}

// rosterIsAuthoritative reports whether the roster of the record's data centre
// determines whether the host is live. A host outside the mesh has a record if
// it exchanges rosters with this one, but its own data centre has more recent
// information.
func (s *State) rosterIsAuthoritative(now basilmoor.Millis, r *record) bool {
	if s.inMesh(r.member.DataCentre) {
		return false
	}
	dataCentreRoster, ok := s.rosters[r.member.DataCentre]
	return ok && now-dataCentreRoster.confirmedAt < s.rosterSuspectAfter(dataCentreRoster)
}

// inMesh reports whether the hosts of the data centre belong to this host's
// mesh.
func (s *State) inMesh(dataCentre string) bool {
	return !s.largeFleet || dataCentre == s.self.DataCentre
}

// meshMembers returns the members of the mesh ordered by name, including this
// host, suspected members and those that are leaving.
func (s *State) meshMembers() []*record {
	self := &record{
		member: s.self,
		tick:   s.tick,
	}
	members := make([]*record, 0, 1+len(s.records))
	for _, r := range s.recordsByHost() {
		if self != nil && s.self.Host < r.member.Host {
			members = append(members, self)
			self = nil
		}
		if s.inMesh(r.member.DataCentre) {
			members = append(members, r)
		}
	}
	if self != nil {
		members = append(members, self)
	}
	return members
}

// recordsByHost returns the records ordered by host name.
func (s *State) recordsByHost() []*record {
	if s.sortedRecords == nil {
		s.sortedRecords = make([]*record, 0, len(s.records))
		for _, r := range s.records {
			s.sortedRecords = append(s.sortedRecords, r)
		}
		slices.SortFunc(s.sortedRecords, func(a, b *record) int {
			return strings.Compare(a.member.Host, b.member.Host)
		})
	}
	return s.sortedRecords
}

func (s *State) putRecord(r *record) {
	s.records[r.member.Host] = r
	s.sortedRecords = nil
	s.snapshotGeneration++
}

func (s *State) deleteRecord(host string) {
	delete(s.records, host)
	delete(s.peers, host)
	s.sortedRecords = nil
	s.snapshotGeneration++
}

// expire removes state that has outlived its limits and updates whether the
// fleet is larger than one mesh.
func (s *State) expire(now basilmoor.Millis) {
	for host, r := range s.records {
		if now-r.heardAt >= RemoveAfter {
			s.deleteRecord(host)
			s.addFormerMember(now, r.member)
		}
	}
	for dataCentre, r := range s.rosters {
		if now-r.confirmedAt >= s.rosterRemoveAfter(r) {
			s.deleteRoster(dataCentre)
			s.tombstones[dataCentre] = tombstone{
				tick:      r.tick,
				removedAt: now,
			}
			s.addFormerMembers(now, r)
		}
	}
	for host, h := range s.watermarks {
		if now-h.seenAt >= formerMemberTTL {
			delete(s.watermarks, host)
		}
	}
	for dataCentre, t := range s.tombstones {
		if now-t.removedAt >= tombstoneTTL {
			delete(s.tombstones, dataCentre)
		}
	}
	s.expireCandidates(now)
	s.expirePeers()
	s.updateFleetSize(now)
}

// updateFleetSize updates whether the fleet is larger than one mesh. A host
// that has just started learns this from its peers. Hosts report only what they
// counted themselves, so that the state ends when the fleet shrinks.
func (s *State) updateFleetSize(now basilmoor.Millis) {
	s.knowsLargeFleet = s.exceedsFullMesh()
	s.largeFleet = s.knowsLargeFleet || s.largeReported && now-s.largeReportedAt < RemoveAfter
}

// exceedsFullMesh reports whether more distinct hosts are known or listed than
// fit in one mesh. It stops counting at that point.
func (s *State) exceedsFullMesh() bool {
	n := 1 + len(s.records)
	for _, r := range s.rosters {
		for _, m := range r.members {
			if n > MaxFullMeshHosts {
				return true
			}
			if _, ok := s.records[m.Host]; !ok && m.Host != s.self.Host {
				n++
			}
		}
	}
	for host, c := range s.candidates {
		if n > MaxFullMeshHosts {
			return true
		}
		if _, ok := s.records[host]; !ok && c.listed && !s.inRosters(host) {
			n++
		}
	}
	return n > MaxFullMeshHosts
}

// expirePeers removes the protocol state of hosts that are no longer contacted.
func (s *State) expirePeers() {
	for host := range s.peers {
		_, recorded := s.records[host]
		_, candidate := s.candidates[host]
		if !recorded && !candidate && !s.inRosters(host) {
			delete(s.peers, host)
		}
	}
}

// acceptIncarnation reports whether the incarnation is at least the highest one
// seen of the host. If so, it records the incarnation and the tick.
func (s *State) acceptIncarnation(now basilmoor.Millis, m basilmoor.Member, tick uint64) bool {
	if m.Host == "" || m.Host == s.self.Host {
		return false
	}
	h := s.watermarks[m.Host]
	if m.Incarnation < h.incarnation {
		return false
	}
	if m.Incarnation == h.incarnation {
		tick = max(tick, h.tick)
	}
	s.watermarks[m.Host] = watermark{
		incarnation: m.Incarnation,
		tick:        tick,
		seenAt:      now,
	}
	return true
}

func sortMembers(members []basilmoor.Member) {
	slices.SortFunc(members, func(a, b basilmoor.Member) int {
		return strings.Compare(a.Host, b.Host)
	})
}
