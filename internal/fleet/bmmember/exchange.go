package bmmember

import (
	"slices"
	"strings"

	"basilmoor.example/basilmoor"
)

// crashResend is the time after which an unchanged crash is sent to the same
// peer again, in case the first message was lost. Sending ten crashes in every
// heartbeat would cost 5 KB/s.
const crashResend = 10 * basilmoor.Second

// crashesPerHeartbeat limits the crashes in one heartbeat.
const crashesPerHeartbeat = 16

const (
	// recentChangeWindow is how long a change in the mesh is sent to peers
	// whose mesh digest differs. A change takes two periods to travel two hops.
	recentChangeWindow = 4 * basilmoor.Second

	// fullListMismatches is the number of consecutive mismatches of the mesh
	// digest after which a peer is sent all members.
	fullListMismatches = 4
)

// peer is the protocol state kept for an exchange partner.
type peer struct {
	knowsSelf         bool // the peer has this host's address, data centre and region
	needsIntroduction bool // this host lacks the peer's
	mismatches        int  // consecutive exchanges with different mesh digests
	requestRosters    []string
	sendRosters       []Roster
	crashSentAt       map[crashKey]basilmoor.Millis // time of the last send
	failed            bool
	failedAt          basilmoor.Millis
}

// crashKey identifies a crash that was sent to a peer. A registry may report
// one digest several times, with different targets.
type crashKey struct {
	digest  uint64
	targets string
	lifted  bool
}

func newCrashKey(c basilmoor.Crash) crashKey {
	return crashKey{
		digest:  c.Digest,
		targets: strings.Join(c.Targets, "\x00"),
		lifted:  c.Lifted,
	}
}

func (s *State) peer(host string) *peer {
	p, ok := s.peers[host]
	if !ok {
		p = &peer{
			crashSentAt: make(map[crashKey]basilmoor.Millis),
		}
		s.peers[host] = p
	}
	return p
}

// DueHeartbeats returns the heartbeats that are due. It must be called once per
// Period.
func (s *State) DueHeartbeats(now basilmoor.Millis) []OutgoingHeartbeat {
	s.updateTick(now)
	s.expire(now)
	recipients := s.dueNeighbours(now)
	recipients = append(recipients, s.dueCandidates(now)...)
	recipients = append(recipients, s.dueLinkPeers(now)...)
	sent := make(map[string]bool, len(recipients))
	out := make([]OutgoingHeartbeat, 0, len(recipients))
	v := s.newSnapshot(now)
	for _, m := range recipients {
		if sent[m.Host] || m.Host == s.self.Host {
			continue
		}
		sent[m.Host] = true
		out = append(out, s.newHeartbeat(now, m, v))
	}
	return out
}

// updateTick sets the tick to the seconds since the start of this incarnation,
// counted from 1.
func (s *State) updateTick(now basilmoor.Millis) {
	s.tick = uint64((now-s.started)/basilmoor.Second) + 1
}

// snapshot holds the fields that all heartbeats composed at one time share.
type snapshot struct {
	mesh         []*record
	meshDigest   uint64
	rosters      []*roster
	rosterDigest uint64
}

func (s *State) newSnapshot(now basilmoor.Millis) snapshot {
	v := snapshot{
		mesh: s.meshMembers(),
	}
	v.meshDigest = digestRecords(v.mesh)
	v.rosters, v.rosterDigest = s.allRosters(now)
	return v
}

func (s *State) newHeartbeat(now basilmoor.Millis, to basilmoor.Member, v snapshot) OutgoingHeartbeat {
	p := s.peer(to.Host)
	_, held := s.records[to.Host]
	s.sequence++
	b := Heartbeat{
		Self:      s.selfForPeer(p.knowsSelf),
		Sequence:  s.sequence,
		Tick:      s.tick,
		Introduce: !held || p.needsIntroduction,
		Large:     s.knowsLargeFleet,
		Want:      p.requestRosters,
		Rosters:   p.sendRosters,
		Crashes:   s.unsentCrashes(now, p),
	}
	p.requestRosters = nil
	p.sendRosters = nil
	if s.inMesh(to.DataCentre) {
		b.MeshDigest = v.meshDigest
		b.MeshTicks = meshTicks(v.mesh)
	}
	if b.MeshDigest != 0 && p.mismatches > 0 {
		b.Known = s.membersForPeer(now, v.mesh, p, to.Host)
	}
	if v.rosterDigest != 0 {
		b.DataCentreTick = s.dataCentreTickFor(now, to.DataCentre)
		b.RosterDigest = v.rosterDigest
		b.RosterTicks = s.rosterTicks(now, to.DataCentre, v.rosters)
	}
	return OutgoingHeartbeat{
		Peer:      to,
		Heartbeat: b,
	}
}

// selfForPeer returns this host's description, without address, data centre and
// region if the peer already has them.
func (s *State) selfForPeer(knowsSelf bool) basilmoor.Member {
	m := s.self
	if knowsSelf {
		m.Address = ""
		m.DataCentre = ""
		m.Region = ""
	}
	return m
}

// Handle merges a heartbeat from a peer and returns the reply.
func (s *State) Handle(now basilmoor.Millis, in Heartbeat) Heartbeat {
	known := s.recordSender(now, in)
	s.recordLargeFlag(now, in)
	p := s.peer(in.Self.Host)
	v := s.mergeHeartbeat(now, in)
	s.updateTick(now)
	s.sequence++
	out := Heartbeat{
		Self:      s.selfForPeer(!in.Introduce),
		Sequence:  s.sequence,
		Tick:      s.tick,
		Introduce: !known,
		Large:     s.knowsLargeFleet,
		Crashes:   s.unsentCrashes(now, p),
	}
	if in.MeshDigest != 0 {
		out.MeshDigest = v.meshDigest
		out.MeshTicks = meshTicks(v.mesh)
	}
	p.recordMeshDigest(in, v)
	if p.mismatches > 0 {
		out.MeshTicks = nil
		out.Known = s.membersForPeer(now, v.mesh, p, in.Self.Host)
	}
	if in.RosterDigest == 0 || v.rosterDigest == 0 {
		return out
	}
	dataCentre := ""
	if r, held := s.records[in.Self.Host]; held {
		dataCentre = r.member.DataCentre
	}
	out.DataCentreTick = s.dataCentreTickFor(now, dataCentre)
	out.RosterDigest = v.rosterDigest
	if in.RosterDigest == v.rosterDigest {
		out.RosterTicks = s.rosterTicks(now, dataCentre, v.rosters)
	} else {
		out.Summaries = summaries(v.rosters)
	}
	for _, r := range v.rosters {
		if slices.Contains(in.Want, r.dataCentre) {
			out.Rosters = append(out.Rosters, s.exportRoster(now, r))
		}
	}
	return out
}

// HandleReply merges the reply to a heartbeat. If the two hosts hold different
// rosters or lack each other's address, it returns a follow-up heartbeat to the
// same peer. allowFollowUp must be false for the reply to a follow-up, so that
// the exchange ends.
func (s *State) HandleReply(now basilmoor.Millis, to basilmoor.Member, in Heartbeat, allowFollowUp bool) *OutgoingHeartbeat {
	if in.Self.Host != to.Host {
		return nil
	}
	known := s.recordSender(now, in)
	s.recordLargeFlag(now, in)
	p := s.peer(to.Host)
	p.failed = false
	p.needsIntroduction = !known
	p.knowsSelf = !in.Introduce
	v := s.mergeHeartbeat(now, in)
	p.recordMeshDigest(in, v)
	p.requestRosters, p.sendRosters = nil, nil
	if v.rosterDigest != 0 && len(in.Summaries) > 0 {
		p.requestRosters, p.sendRosters = s.compareSummaries(now, to.DataCentre, in.Summaries)
	}
	differ := len(p.requestRosters) > 0 || len(p.sendRosters) > 0
	if !allowFollowUp || !differ && known && !in.Introduce {
		return nil
	}
	out := s.newHeartbeat(now, to, v)
	return &out
}

// HandleFailure records that a heartbeat was not answered.
func (s *State) HandleFailure(now basilmoor.Millis, host string) {
	p := s.peer(host)
	p.failed = true
	p.failedAt = now
	p.knowsSelf = false
	p.crashSentAt = nil
}

// TakeVersionReports returns the configuration versions reported by peers since
// the last call.
func (s *State) TakeVersionReports() []VersionReport {
	reports := s.versions
	s.versions = nil
	return reports
}

// recordSender updates the record of a heartbeat's sender. It returns false if
// the sender's address is not known, so that the sender has to introduce
// itself.
func (s *State) recordSender(now basilmoor.Millis, in Heartbeat) bool {
	m := in.Self
	r, held := s.records[m.Host]
	if m.Address == "" {
		if !held || r.member.Incarnation != m.Incarnation {
			return false
		}
		m.Address = r.member.Address
		m.DataCentre = r.member.DataCentre
		m.Region = r.member.Region
	}
	if !s.acceptIncarnation(now, m, in.Tick) {
		return true
	}
	if !held || r.member.Incarnation != m.Incarnation {
		delete(s.peers, m.Host)
		r = &record{
			member:    m,
			changedAt: now,
			clock:     newTickClock(now, in.Tick),
		}
		s.putRecord(r)
	}
	if in.Sequence <= r.sequence {
		return true
	}
	delete(s.candidates, m.Host)
	if r.member.Leaving != m.Leaving {
		r.changedAt = now
	}
	r.sequence = in.Sequence
	r.tick = max(r.tick, in.Tick)
	r.clock.heardAt(now, in.Tick)
	r.heardAt = now
	r.lastHeartbeat = now
	r.member = m
	s.recordVersion(m)
	return true
}

func (s *State) recordLargeFlag(now basilmoor.Millis, in Heartbeat) {
	if in.Large {
		s.largeReported = true
		s.largeReportedAt = now
		s.largeFleet = true
	}
}

func (s *State) recordVersion(m basilmoor.Member) {
	if m.ConfigVersion < s.self.ConfigVersion {
		return
	}
	if m.ConfigVersion == s.self.ConfigVersion && m.ConfigNote == s.self.ConfigNote {
		return
	}
	s.versions = append(s.versions, VersionReport{
		Host:    m.Host,
		Version: m.ConfigVersion,
		Note:    m.ConfigNote,
	})
}

// recordMeshDigest counts the consecutive exchanges in which the peer's mesh
// digest differed from this host's.
func (p *peer) recordMeshDigest(in Heartbeat, v snapshot) {
	if in.MeshDigest == 0 || in.MeshDigest == v.meshDigest {
		p.mismatches = 0
		return
	}
	p.mismatches++
}

// mergeHeartbeat merges what a heartbeat reports about other hosts and data
// centres, and returns a snapshot taken after that.
func (s *State) mergeHeartbeat(now basilmoor.Millis, in Heartbeat) snapshot {
	s.dataCentreClockOffset = max(s.dataCentreClockOffset, basilmoor.Millis(in.DataCentreTick)*basilmoor.Second-now)
	v := s.newSnapshot(now)
	generation := s.snapshotGeneration
	for _, k := range in.Known {
		s.mergeMemberReport(now, k)
	}
	if in.MeshDigest != 0 && in.MeshDigest == v.meshDigest && len(in.MeshTicks) == len(v.mesh) {
		for i, r := range v.mesh {
			s.advanceRecord(now, r, expandTick(r.tick, in.MeshTicks[i]), 0)
		}
	}
	if in.RosterDigest != 0 && in.RosterDigest == v.rosterDigest && len(in.RosterTicks) == len(v.rosters) {
		s.advanceRosters(now, v.rosters, in.RosterTicks)
	}
	for _, r := range in.Rosters {
		s.mergeRoster(now, r)
	}
	if s.crashes != nil && len(in.Crashes) > 0 {
		s.crashes.Merge(in.Crashes)
	}
	if s.snapshotGeneration != generation {
		v = s.newSnapshot(now)
	}
	return v
}

func (s *State) advanceRecord(now basilmoor.Millis, r *record, tick uint64, age basilmoor.Millis) {
	if tick <= r.tick || !s.acceptIncarnation(now, r.member, tick) {
		return
	}
	if now-r.heardAt >= SuspectAfter {
		s.snapshotGeneration++
	}
	r.tick = tick
	r.heardAt = max(r.heardAt, min(now-age, r.clock.heardAt(now, tick)))
}

func (s *State) advanceRosters(now basilmoor.Millis, all []*roster, ticks []byte) {
	for i, r := range all {
		if tick := expandTick(r.tick, ticks[i]); tick > r.tick && r.dataCentre != s.self.DataCentre {
			r.tick = tick
			r.confirmedAt = max(r.confirmedAt, r.clock.heardAt(now, tick))
		}
	}
}

// mergeMemberReport merges what a peer reports about another member of the mesh.
func (s *State) mergeMemberReport(now basilmoor.Millis, k MemberReport) {
	m := k.Member
	if k.Age >= RemoveAfter || m.Address == "" || !s.inMesh(m.DataCentre) {
		return
	}
	previous := s.watermarks[m.Host]
	if !s.acceptIncarnation(now, m, k.Tick) {
		return
	}
	r, held := s.records[m.Host]
	if held && r.member.Incarnation == m.Incarnation {
		s.advanceRecord(now, r, k.Tick, max(k.Age, 0))
		if m.Leaving && !r.member.Leaving {
			r.member.Leaving = true
			r.changedAt = now
			s.snapshotGeneration++
		}
		return
	}
	if m.Incarnation == previous.incarnation && k.Tick <= previous.tick {
		return
	}
	delete(s.peers, m.Host)
	s.putRecord(&record{
		member:        m,
		tick:          k.Tick,
		heardAt:       now - max(k.Age, 0),
		lastHeartbeat: now - neighbourSilenceLimit,
		clock:         newTickClock(now-max(k.Age, 0), k.Tick),
		changedAt:     now,
	})
}

// membersForPeer returns the members to send to a peer whose mesh differs:
// those that changed recently, or all of them if the peer is new or the
// mismatch persists. The restart of a host changes the meshes of all its
// neighbours at once. Sending all members in each heartbeat doubled their
// traffic for half a minute.
func (s *State) membersForPeer(now basilmoor.Millis, mesh []*record, p *peer, host string) []MemberReport {
	peerRecord, held := s.records[host]
	all := !held || now-peerRecord.changedAt < recentChangeWindow || p.mismatches >= fullListMismatches
	var out []MemberReport
	for _, r := range mesh {
		if r.member.Host != s.self.Host && (all || now-r.changedAt < recentChangeWindow) {
			out = append(out, MemberReport{
				Member: r.member,
				Tick:   r.tick,
				Age:    now - r.heardAt,
			})
		}
	}
	return out
}

func meshTicks(mesh []*record) []byte {
	ticks := make([]byte, len(mesh))
	for i, r := range mesh {
		ticks[i] = byte(r.tick)
	}
	return ticks
}

// rosterTicks returns the low bytes of the rosters' ticks to send to a host of
// the given data centre. A host of another data centre gets none until this
// host can confirm the members of its own.
func (s *State) rosterTicks(now basilmoor.Millis, dataCentre string, all []*roster) []byte {
	if dataCentre != s.self.DataCentre && s.warmingUp(now) {
		return nil
	}
	ticks := make([]byte, len(all))
	for i, r := range all {
		ticks[i] = byte(r.tick)
	}
	return ticks
}

// unsentCrashes returns the crashes to send to the peer, up to
// crashesPerHeartbeat: those not sent yet, and those last sent crashResend ago.
func (s *State) unsentCrashes(now basilmoor.Millis, p *peer) []basilmoor.Crash {
	if s.crashes == nil {
		return nil
	}
	var out []basilmoor.Crash
	sentTimes := make(map[crashKey]basilmoor.Millis)
	for _, c := range s.crashes.Recent() {
		key := newCrashKey(c)
		sentAt, sent := p.crashSentAt[key]
		if (!sent || now-sentAt >= crashResend) && len(out) < crashesPerHeartbeat {
			out = append(out, c)
			sentAt = now
			sent = true
		}
		if sent {
			sentTimes[key] = sentAt
		}
	}
	p.crashSentAt = sentTimes
	return out
}
