package bmmember

import (
	"slices"
	"strings"

	"basilmoor.example/basilmoor"
)

// Periods and bounds of the protocol.
const (
	// Period is the time between two heartbeats to a neighbour.
	Period = basilmoor.Second

	// SuspectAfter is the silence after which a member of the mesh no longer
	// counts as live.
	SuspectAfter = 3 * basilmoor.Second

	// RemoveAfter is the silence after which a member of the mesh is removed.
	RemoveAfter = 10 * basilmoor.Second

	// RegionSuspectAfter is the silence after which a place of the same region
	// no longer counts as live: one exchange between the places and two hops
	// inside each place take up to 5 s.
	RegionSuspectAfter = 6 * basilmoor.Second

	// DistantRemoveAfter is the silence after which the places of another
	// region are removed. Their rosters pass through more hops, and a third of
	// the exchanges.
	DistantRemoveAfter = 30 * basilmoor.Second

	// FullMeshHosts is the largest fleet in which every host exchanges
	// heartbeats with every other.
	FullMeshHosts = 16

	// distantPeriods is the number of periods between two exchanges with
	// another region.
	distantPeriods = 3

	// silentAfter is the silence after which a host sends a heartbeat to a
	// neighbour whose turn it is to send.
	silentAfter = Period + Period/2

	// linkSilentAfter is the same for the other place of a pair of places.
	linkSilentAfter = 3 * basilmoor.Second

	// formerFor is how long a removed host is still contacted. Regions lose
	// contact with each other for an hour.
	formerFor = 2 * 60 * basilmoor.Minute
)

// Status is the changing part of a host's own description.
type Status struct {
	ConfigVersion int64
	ConfigNote    string
	Load          int
	ShedLevel     int
	Leaving       bool
}

// record is what is known of a member of the mesh, or of a host of another
// place that exchanged heartbeats with this one.
type record struct {
	member   basilmoor.Member
	sequence uint64
	tick     uint64
	heard    basilmoor.Millis // last increase of the tick
	direct   basilmoor.Millis // last heartbeat at this host
}

// highest is the highest incarnation and tick seen of a host. It outlives the
// record, so that a removed host isn't taken up again from hearsay.
type highest struct {
	incarnation uint64
	tick        uint64
	seen        basilmoor.Millis
}

// State is the membership as one host knows it. Calls must not be concurrent.
type State struct {
	self       basilmoor.Member
	sequence   uint64
	tick       uint64
	placeTick  uint64
	crashes    basilmoor.CrashRegistry
	records    map[string]*record
	rosters    map[string]*roster
	candidates map[string]*candidate
	peers      map[string]*peer
	highest    map[string]highest
	placeTicks map[string]uint64
	large      bool
	versions   []VersionNews
}

// VersionNews tells that a peer holds another configuration than this host.
type VersionNews struct {
	Host    string
	Version int64
	Note    string
}

// NewState returns the state of a host that knows only itself. The crash
// registry may be nil.
//
// The incarnation of self is the time of the process's start in milliseconds
// of the wall clock. A place's tick starts there, so that it also grows when
// all hosts of the place are restarted.
func NewState(self basilmoor.Member, crashes basilmoor.CrashRegistry) *State {
	return &State{
		self:       self,
		placeTick:  self.Incarnation,
		crashes:    crashes,
		records:    make(map[string]*record),
		rosters:    make(map[string]*roster),
		candidates: make(map[string]*candidate),
		peers:      make(map[string]*peer),
		highest:    make(map[string]highest),
		placeTicks: make(map[string]uint64),
	}
}

// SetStatus replaces the changing part of the host's own description.
func (s *State) SetStatus(st Status) {
	s.self.ConfigVersion = st.ConfigVersion
	s.self.ConfigNote = st.ConfigNote
	s.self.Load = st.Load
	s.self.ShedLevel = st.ShedLevel
	s.self.Leaving = st.Leaving
}

// Self returns the host's own description.
func (s *State) Self() basilmoor.Member {
	return s.self
}

// Live returns the live members including this host, ordered by name, without
// those that are leaving.
func (s *State) Live(now basilmoor.Millis) []basilmoor.Member {
	members := make([]basilmoor.Member, 0, 1+len(s.records))
	if !s.self.Leaving {
		members = append(members, s.self)
	}
	for _, r := range s.records {
		if r.member.Leaving || now-r.heard >= SuspectAfter || s.rosterDecides(now, r) {
			continue
		}
		members = append(members, r.member)
	}
	for _, r := range s.rosters {
		if now-r.vouched >= s.rosterSuspectAfter(r) {
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
		if rec, ok := s.records[m.Host]; ok && !s.rosterDecides(now, rec) && now-rec.heard < SuspectAfter {
			continue
		}
		members = append(members, m)
	}
	return members
}

// rosterDecides reports whether the roster of the record's place tells whether
// the host is alive. A host outside the mesh may have a record because it
// exchanges rosters with this one; its own place knows better.
func (s *State) rosterDecides(now basilmoor.Millis, r *record) bool {
	if s.inMesh(r.member.Place) {
		return false
	}
	ro, ok := s.rosters[r.member.Place]
	return ok && now-ro.vouched < s.rosterSuspectAfter(ro)
}

// inMesh reports whether hosts of the place belong to this host's mesh.
func (s *State) inMesh(place string) bool {
	return !s.large || place == s.self.Place
}

// mesh returns the members of the mesh including this host, suspects and those
// that are leaving, ordered by name.
func (s *State) mesh() []basilmoor.Member {
	members := make([]basilmoor.Member, 0, 1+len(s.records))
	members = append(members, s.self)
	for _, r := range s.records {
		if s.inMesh(r.member.Place) {
			members = append(members, r.member)
		}
	}
	sortMembers(members)
	return members
}

// expire removes what has been silent for too long and chooses the shape of
// the mesh.
func (s *State) expire(now basilmoor.Millis) {
	for host, r := range s.records {
		if now-r.heard >= RemoveAfter {
			delete(s.records, host)
			delete(s.peers, host)
			s.addFormer(now, r.member)
		}
	}
	for place, r := range s.rosters {
		if now-r.vouched >= s.rosterRemoveAfter(r) {
			delete(s.rosters, place)
			s.placeTicks[place] = r.tick
			s.addFormerRoster(now, r)
		}
	}
	for host, h := range s.highest {
		if now-h.seen >= formerFor {
			delete(s.highest, host)
		}
	}
	s.expireCandidates(now)
	s.expirePeers()
	s.large = s.countHosts() > FullMeshHosts
}

// countHosts counts the distinct hosts that may exist.
func (s *State) countHosts() int {
	n := 1 + len(s.records)
	for _, r := range s.rosters {
		for _, m := range r.members {
			if _, ok := s.records[m.Host]; !ok && m.Host != s.self.Host {
				n++
			}
		}
	}
	for host := range s.candidates {
		if _, ok := s.records[host]; !ok && !s.inRosters(host) {
			n++
		}
	}
	return n
}

// expirePeers forgets the protocol state of hosts that are no longer contacted.
func (s *State) expirePeers() {
	for host := range s.peers {
		_, recorded := s.records[host]
		_, candidate := s.candidates[host]
		if !recorded && !candidate && !s.inRosters(host) {
			delete(s.peers, host)
		}
	}
}

// accept reports whether the incarnation is not older than the highest one
// seen of the host, and remembers it together with the tick.
func (s *State) accept(now basilmoor.Millis, m basilmoor.Member, tick uint64) bool {
	if m.Host == "" || m.Host == s.self.Host {
		return false
	}
	h := s.highest[m.Host]
	if m.Incarnation < h.incarnation {
		return false
	}
	if m.Incarnation == h.incarnation {
		tick = max(tick, h.tick)
	}
	s.highest[m.Host] = highest{
		incarnation: m.Incarnation,
		tick:        tick,
		seen:        now,
	}
	return true
}

func sortMembers(members []basilmoor.Member) {
	slices.SortFunc(members, func(a, b basilmoor.Member) int {
		return strings.Compare(a.Host, b.Host)
	})
}
