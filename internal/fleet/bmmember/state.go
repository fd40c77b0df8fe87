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

	// RegionSuspectAfter is the silence after which a data centre of the same
	// region no longer counts as live: one exchange between the data centres
	// and two hops inside each data centre take up to 5 s.
	RegionSuspectAfter = 6 * basilmoor.Second

	// DistantRemoveAfter is the silence after which the data centres of another
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

	// linkSilentAfter is the same for the other data centre of a pair of data
	// centres.
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
	Leaving       bool
}

// record is what is known of a member of the mesh, or of a host of another
// data centre that exchanged heartbeats with this one.
type record struct {
	member   basilmoor.Member
	sequence uint64
	tick     uint64
	heard    basilmoor.Millis // when the tick counts as heard
	direct   basilmoor.Millis // last heartbeat at this host
	line     timeline
	changed  basilmoor.Millis // last change that the digest of the mesh covers
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
	self            basilmoor.Member
	sequence        uint64
	tick            uint64
	started         basilmoor.Millis
	dataCentreClock basilmoor.Millis // added to the time, gives the data centre's tick in ms
	crashes         basilmoor.CrashRegistry
	records         map[string]*record
	rosters         map[string]*roster
	candidates      map[string]*candidate
	peers           map[string]*peer
	highest         map[string]highest
	tombs           map[string]tombstone
	wanted          map[string]basilmoor.Millis // data centres whose roster was asked for
	order           []*record                   // records by host name; nil after a change
	dataCentres     []*roster                   // rosters by data centre; nil after a change
	changes         int                         // counts what a view depends on
	large           bool                        // whether the fleet is larger than one mesh
	counted         bool                        // whether this host knows so many hosts itself
	toldLarge       basilmoor.Millis            // last time that a peer said so
	told            bool
	versions        []VersionNews
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
// The incarnation of self is the time of the process's start in milliseconds of
// the wall clock. A data centre's tick starts there, so that it also grows when
// all hosts of the data centre are restarted.
func NewState(now basilmoor.Millis, self basilmoor.Member, crashes basilmoor.CrashRegistry) *State {
	return &State{
		self:            self,
		started:         now,
		dataCentreClock: basilmoor.Millis(self.Incarnation) - now,
		crashes:         crashes,
		records:         make(map[string]*record),
		rosters:         make(map[string]*roster),
		candidates:      make(map[string]*candidate),
		peers:           make(map[string]*peer),
		highest:         make(map[string]highest),
		tombs:           make(map[string]tombstone),
		wanted:          make(map[string]basilmoor.Millis),
	}
}

// SetStatus replaces the changing part of the host's own description.
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

// Live returns the live members including this host, ordered by name, without
// those that are leaving. In fleets of more than FullMeshHosts, members of
// other data centres have no configuration version, load and shed level.
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

// rosterDecides reports whether the roster of the record's data centre tells
// whether the host is alive. A host outside the mesh may have a record because
// it exchanges rosters with this one; its own data centre knows better.
func (s *State) rosterDecides(now basilmoor.Millis, r *record) bool {
	if s.inMesh(r.member.DataCentre) {
		return false
	}
	ro, ok := s.rosters[r.member.DataCentre]
	return ok && now-ro.vouched < s.rosterSuspectAfter(ro)
}

// inMesh reports whether hosts of the data centre belong to this host's mesh.
func (s *State) inMesh(dataCentre string) bool {
	return !s.large || dataCentre == s.self.DataCentre
}

// mesh returns the members of the mesh including this host, suspects and those
// that are leaving, ordered by name.
func (s *State) mesh() []*record {
	self := &record{
		member: s.self,
		tick:   s.tick,
	}
	members := make([]*record, 0, 1+len(s.records))
	for _, r := range s.ordered() {
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

// ordered returns the records by host name.
func (s *State) ordered() []*record {
	if s.order == nil {
		s.order = make([]*record, 0, len(s.records))
		for _, r := range s.records {
			s.order = append(s.order, r)
		}
		slices.SortFunc(s.order, func(a, b *record) int {
			return strings.Compare(a.member.Host, b.member.Host)
		})
	}
	return s.order
}

func (s *State) putRecord(r *record) {
	s.records[r.member.Host] = r
	s.order = nil
	s.changes++
}

func (s *State) deleteRecord(host string) {
	delete(s.records, host)
	delete(s.peers, host)
	s.order = nil
	s.changes++
}

// expire removes what has been silent for too long and chooses the shape of
// the mesh.
func (s *State) expire(now basilmoor.Millis) {
	for host, r := range s.records {
		if now-r.heard >= RemoveAfter {
			s.deleteRecord(host)
			s.addFormer(now, r.member)
		}
	}
	for dataCentre, r := range s.rosters {
		if now-r.vouched >= s.rosterRemoveAfter(r) {
			s.deleteRoster(dataCentre)
			s.tombs[dataCentre] = tombstone{
				tick: r.tick,
				at:   now,
			}
			s.addFormerRoster(now, r)
		}
	}
	for host, h := range s.highest {
		if now-h.seen >= formerFor {
			delete(s.highest, host)
		}
	}
	for dataCentre, t := range s.tombs {
		if now-t.at >= tombFor {
			delete(s.tombs, dataCentre)
		}
	}
	s.expireCandidates(now)
	s.expirePeers()
	s.chooseShape(now)
}

// chooseShape decides whether the fleet is larger than one mesh. A host that
// has just started learns it from its peers. It isn't passed on as hearsay,
// so that it ends when the fleet shrinks.
func (s *State) chooseShape(now basilmoor.Millis) {
	s.counted = s.manyHosts()
	s.large = s.counted || s.told && now-s.toldLarge < RemoveAfter
}

// manyHosts reports whether more distinct hosts are known or listed than one
// mesh holds. It stops counting there.
func (s *State) manyHosts() bool {
	n := 1 + len(s.records)
	for _, r := range s.rosters {
		for _, m := range r.members {
			if n > FullMeshHosts {
				return true
			}
			if _, ok := s.records[m.Host]; !ok && m.Host != s.self.Host {
				n++
			}
		}
	}
	for host, c := range s.candidates {
		if n > FullMeshHosts {
			return true
		}
		if _, ok := s.records[host]; !ok && c.listed && !s.inRosters(host) {
			n++
		}
	}
	return n > FullMeshHosts
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
