package bmmember

import (
	"slices"
	"strings"

	"basilmoor.example/basilmoor"
)

// crashResend is the time after which a crash that hasn't changed is sent to
// the same peer again, in case the first message was lost. Sent with every
// heartbeat, ten crashes would cost 5 KB/s.
const crashResend = 10 * basilmoor.Second

// crashesPerBeat bounds the crashes in one heartbeat.
const crashesPerBeat = 16

const (
	// changedFor is how long a change in the mesh is sent to peers whose mesh
	// differs. Two hops take two periods.
	changedFor = 4 * basilmoor.Second

	// differsAll is the number of exchanges after which a peer whose mesh
	// still differs is sent all members.
	differsAll = 4
)

// peer is what the protocol remembers of an exchange partner.
type peer struct {
	introduced bool // the peer holds this host's address, data centre and region
	introduce  bool // this host doesn't hold the peer's
	differs    int  // exchanges in sequence after which the meshes differed
	want       []string
	push       []Roster
	crashes    map[crashKey]basilmoor.Millis // when each was sent last
	failed     bool
	failedAt   basilmoor.Millis
}

// crashKey identifies a crash as sent to a peer. A registry may report one
// digest several times, with different targets.
type crashKey struct {
	digest  uint64
	targets string
	lifted  bool
}

func keyOf(c basilmoor.Crash) crashKey {
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
			crashes: make(map[crashKey]basilmoor.Millis),
		}
		s.peers[host] = p
	}
	return p
}

// Beats returns the heartbeats that are due. The caller calls it once a Period.
func (s *State) Beats(now basilmoor.Millis) []Outgoing {
	s.countTick(now)
	s.expire(now)
	targets := s.meshTargets(now)
	targets = append(targets, s.dueCandidates(now)...)
	targets = append(targets, s.linkTargets(now)...)
	sent := make(map[string]bool, len(targets))
	out := make([]Outgoing, 0, len(targets))
	v := s.newView(now)
	for _, m := range targets {
		if sent[m.Host] || m.Host == s.self.Host {
			continue
		}
		sent[m.Host] = true
		out = append(out, s.compose(now, m, v))
	}
	return out
}

// countTick counts the seconds of this incarnation, from 1.
func (s *State) countTick(now basilmoor.Millis) {
	s.tick = uint64((now-s.started)/basilmoor.Second) + 1
}

// view holds what all heartbeats of one instant have in common.
type view struct {
	mesh         []*record
	meshDigest   uint64
	rosters      []*roster
	rosterDigest uint64
}

func (s *State) newView(now basilmoor.Millis) view {
	v := view{
		mesh: s.mesh(),
	}
	v.meshDigest = digestRecords(v.mesh)
	v.rosters, v.rosterDigest = s.allRosters(now)
	return v
}

func (s *State) compose(now basilmoor.Millis, to basilmoor.Member, v view) Outgoing {
	p := s.peer(to.Host)
	_, held := s.records[to.Host]
	s.sequence++
	b := Beat{
		Self:      s.describe(p.introduced),
		Sequence:  s.sequence,
		Tick:      s.tick,
		Introduce: !held || p.introduce,
		Large:     s.counted,
		Want:      p.want,
		Rosters:   p.push,
		Crashes:   s.crashesFor(now, p),
	}
	p.want = nil
	p.push = nil
	if s.inMesh(to.DataCentre) {
		b.MeshDigest = v.meshDigest
		b.MeshTicks = meshTicks(v.mesh)
	}
	if b.MeshDigest != 0 && p.differs > 0 {
		b.Known = s.known(now, v.mesh, p, to.Host)
	}
	if v.rosterDigest != 0 {
		b.DataCentreTick = s.dataCentreTickFor(now, to.DataCentre)
		b.RosterDigest = v.rosterDigest
		b.RosterTicks = s.rosterTicks(now, to.DataCentre, v.rosters)
	}
	return Outgoing{
		Peer: to,
		Beat: b,
	}
}

// describe returns this host's description, without what an introduced peer
// holds already.
func (s *State) describe(introduced bool) basilmoor.Member {
	m := s.self
	if introduced {
		m.Address = ""
		m.DataCentre = ""
		m.Region = ""
	}
	return m
}

// Handle merges a heartbeat that a peer sent and returns the reply.
func (s *State) Handle(now basilmoor.Millis, in Beat) Beat {
	known := s.learn(now, in)
	s.noteShape(now, in)
	p := s.peer(in.Self.Host)
	v := s.merge(now, in)
	s.countTick(now)
	s.sequence++
	out := Beat{
		Self:      s.describe(!in.Introduce),
		Sequence:  s.sequence,
		Tick:      s.tick,
		Introduce: !known,
		Large:     s.counted,
		Crashes:   s.crashesFor(now, p),
	}
	if in.MeshDigest != 0 {
		out.MeshDigest = v.meshDigest
		out.MeshTicks = meshTicks(v.mesh)
	}
	p.compareMesh(in, v)
	if p.differs > 0 {
		out.MeshTicks = nil
		out.Known = s.known(now, v.mesh, p, in.Self.Host)
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
			out.Rosters = append(out.Rosters, s.export(now, r))
		}
	}
	return out
}

// Reply merges the answer to a heartbeat. It returns a further heartbeat to
// the same peer if the two hosts turned out to hold different rosters or not
// to know each other. The answer to that one is merged with follow false, so
// that an exchange ends.
func (s *State) Reply(now basilmoor.Millis, to basilmoor.Member, in Beat, follow bool) *Outgoing {
	if in.Self.Host != to.Host {
		return nil
	}
	known := s.learn(now, in)
	s.noteShape(now, in)
	p := s.peer(to.Host)
	p.failed = false
	p.introduce = !known
	p.introduced = !in.Introduce
	v := s.merge(now, in)
	p.compareMesh(in, v)
	p.want, p.push = nil, nil
	if v.rosterDigest != 0 && len(in.Summaries) > 0 {
		p.want, p.push = s.compare(now, to.DataCentre, in.Summaries)
	}
	differ := len(p.want) > 0 || len(p.push) > 0
	if !follow || !differ && known && !in.Introduce {
		return nil
	}
	out := s.compose(now, to, v)
	return &out
}

// Failed records that a heartbeat got no answer.
func (s *State) Failed(now basilmoor.Millis, host string) {
	p := s.peer(host)
	p.failed = true
	p.failedAt = now
	p.introduced = false
	p.crashes = nil
}

// Versions returns what peers reported of their configuration since the last
// call.
func (s *State) Versions() []VersionNews {
	news := s.versions
	s.versions = nil
	return news
}

// learn records a direct heartbeat. It returns false if the sender has to
// introduce itself first.
func (s *State) learn(now basilmoor.Millis, in Beat) bool {
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
	if !s.accept(now, m, in.Tick) {
		return true
	}
	if !held || r.member.Incarnation != m.Incarnation {
		delete(s.peers, m.Host)
		r = &record{
			member:  m,
			changed: now,
			line:    newTimeline(now, in.Tick),
		}
		s.putRecord(r)
	}
	if in.Sequence <= r.sequence {
		return true
	}
	delete(s.candidates, m.Host)
	if r.member.Leaving != m.Leaving {
		r.changed = now
	}
	r.sequence = in.Sequence
	r.tick = max(r.tick, in.Tick)
	r.line.heard(now, in.Tick)
	r.heard = now
	r.direct = now
	r.member = m
	s.noteVersion(m)
	return true
}

func (s *State) noteShape(now basilmoor.Millis, in Beat) {
	if in.Large {
		s.told = true
		s.toldLarge = now
		s.large = true
	}
}

func (s *State) noteVersion(m basilmoor.Member) {
	if m.ConfigVersion < s.self.ConfigVersion {
		return
	}
	if m.ConfigVersion == s.self.ConfigVersion && m.ConfigNote == s.self.ConfigNote {
		return
	}
	s.versions = append(s.versions, VersionNews{
		Host:    m.Host,
		Version: m.ConfigVersion,
		Note:    m.ConfigNote,
	})
}

// compareMesh counts the exchanges after which the peer's mesh differs.
func (p *peer) compareMesh(in Beat, v view) {
	if in.MeshDigest == 0 || in.MeshDigest == v.meshDigest {
		p.differs = 0
		return
	}
	p.differs++
}

// merge takes over what a heartbeat says of other hosts and returns the view
// after that.
func (s *State) merge(now basilmoor.Millis, in Beat) view {
	s.dataCentreClock = max(s.dataCentreClock, basilmoor.Millis(in.DataCentreTick)*basilmoor.Second-now)
	v := s.newView(now)
	changes := s.changes
	for _, k := range in.Known {
		s.sight(now, k)
	}
	if in.MeshDigest != 0 && in.MeshDigest == v.meshDigest && len(in.MeshTicks) == len(v.mesh) {
		for i, r := range v.mesh {
			s.advanceRecord(now, r, advance(r.tick, in.MeshTicks[i]), 0)
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
	if s.changes != changes {
		v = s.newView(now)
	}
	return v
}

func (s *State) advanceRecord(now basilmoor.Millis, r *record, tick uint64, age basilmoor.Millis) {
	if tick <= r.tick || !s.accept(now, r.member, tick) {
		return
	}
	if now-r.heard >= SuspectAfter {
		s.changes++
	}
	r.tick = tick
	r.heard = max(r.heard, min(now-age, r.line.heard(now, tick)))
}

func (s *State) advanceRosters(now basilmoor.Millis, all []*roster, ticks []byte) {
	for i, r := range all {
		if tick := advance(r.tick, ticks[i]); tick > r.tick && r.dataCentre != s.self.DataCentre {
			r.tick = tick
			r.vouched = max(r.vouched, r.line.heard(now, tick))
		}
	}
}

// sight takes over what a peer knows of another member of the mesh.
func (s *State) sight(now basilmoor.Millis, k Sighting) {
	m := k.Member
	if k.Age >= RemoveAfter || m.Address == "" || !s.inMesh(m.DataCentre) {
		return
	}
	before := s.highest[m.Host]
	if !s.accept(now, m, k.Tick) {
		return
	}
	r, held := s.records[m.Host]
	if held && r.member.Incarnation == m.Incarnation {
		s.advanceRecord(now, r, k.Tick, max(k.Age, 0))
		if m.Leaving && !r.member.Leaving {
			r.member.Leaving = true
			r.changed = now
			s.changes++
		}
		return
	}
	if m.Incarnation == before.incarnation && k.Tick <= before.tick {
		return
	}
	delete(s.peers, m.Host)
	s.putRecord(&record{
		member:  m,
		tick:    k.Tick,
		heard:   now - max(k.Age, 0),
		direct:  now - silentAfter,
		line:    newTimeline(now-max(k.Age, 0), k.Tick),
		changed: now,
	})
}

// known returns the members that a peer with another mesh may lack: those that
// changed lately, or all if the peer has just been met or the difference stays.
// A restarted host changes the meshes of all its neighbours at once; with all
// members in each heartbeat, that doubled their traffic for half a minute.
func (s *State) known(now basilmoor.Millis, mesh []*record, p *peer, host string) []Sighting {
	met, held := s.records[host]
	all := !held || now-met.changed < changedFor || p.differs >= differsAll
	var out []Sighting
	for _, r := range mesh {
		if r.member.Host != s.self.Host && (all || now-r.changed < changedFor) {
			out = append(out, Sighting{
				Member: r.member,
				Tick:   r.tick,
				Age:    now - r.heard,
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

// rosterTicks returns the low bytes of the ticks for a host of the data centre.
// Another data centre isn't sent any before this host can vouch for its own.
func (s *State) rosterTicks(now basilmoor.Millis, dataCentre string, all []*roster) []byte {
	if dataCentre != s.self.DataCentre && s.young(now) {
		return nil
	}
	ticks := make([]byte, len(all))
	for i, r := range all {
		ticks[i] = byte(r.tick)
	}
	return ticks
}

// crashesFor returns the crashes that the peer hasn't been sent yet.
func (s *State) crashesFor(now basilmoor.Millis, p *peer) []basilmoor.Crash {
	if s.crashes == nil {
		return nil
	}
	var out []basilmoor.Crash
	current := make(map[crashKey]basilmoor.Millis)
	for _, c := range s.crashes.Recent() {
		key := keyOf(c)
		at, sent := p.crashes[key]
		if (!sent || now-at >= crashResend) && len(out) < crashesPerBeat {
			out = append(out, c)
			at = now
			sent = true
		}
		if sent {
			current[key] = at
		}
	}
	p.crashes = current
	return out
}
