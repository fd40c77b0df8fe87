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

// peer is what the protocol remembers of an exchange partner.
type peer struct {
	introduced bool // the peer holds this host's address, place and region
	introduce  bool // this host doesn't hold the peer's
	sendKnown  bool // the peer's mesh differs from this host's
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
	s.tick++
	s.placeTick++
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

// view holds what all heartbeats of one instant have in common.
type view struct {
	mesh         []basilmoor.Member
	meshDigest   uint64
	rosters      []*roster
	rosterDigest uint64
}

func (s *State) newView(now basilmoor.Millis) view {
	v := view{
		mesh: s.mesh(),
	}
	v.meshDigest = digestMembers(v.mesh)
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
		Want:      p.want,
		Rosters:   p.push,
		Crashes:   s.crashesFor(now, p),
	}
	p.want = nil
	p.push = nil
	if s.inMesh(to.Place) {
		b.MeshDigest = v.meshDigest
		b.MeshTicks = s.meshTicks(v.mesh)
	}
	if b.MeshDigest != 0 && p.sendKnown {
		b.Known = s.known(now, v.mesh)
		p.sendKnown = false
	}
	if v.rosterDigest != 0 {
		b.RosterDigest = v.rosterDigest
		b.RosterTicks = rosterTicks(v.rosters)
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
		m.Place = ""
		m.Region = ""
	}
	return m
}

// Handle merges a heartbeat that a peer sent and returns the reply.
func (s *State) Handle(now basilmoor.Millis, in Beat) Beat {
	known := s.learn(now, in)
	p := s.peer(in.Self.Host)
	before := s.newView(now)
	s.merge(now, in, before)
	v := s.newView(now)
	s.sequence++
	out := Beat{
		Self:      s.describe(!in.Introduce),
		Sequence:  s.sequence,
		Tick:      s.tick,
		Introduce: !known,
		Crashes:   s.crashesFor(now, p),
	}
	if in.MeshDigest != 0 {
		out.MeshDigest = v.meshDigest
		out.MeshTicks = s.meshTicks(v.mesh)
	}
	if in.MeshDigest != 0 && in.MeshDigest != v.meshDigest {
		out.MeshTicks = nil
		out.Known = s.known(now, v.mesh)
	}
	if in.RosterDigest == 0 || v.rosterDigest == 0 {
		return out
	}
	out.RosterDigest = v.rosterDigest
	if in.RosterDigest == v.rosterDigest {
		out.RosterTicks = rosterTicks(v.rosters)
	} else {
		out.Summaries = summaries(v.rosters)
	}
	for _, r := range v.rosters {
		if slices.Contains(in.Want, r.place) {
			out.Rosters = append(out.Rosters, r.export(now))
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
	p := s.peer(to.Host)
	p.failed = false
	p.introduce = !known
	p.introduced = !in.Introduce
	before := s.newView(now)
	s.merge(now, in, before)
	v := s.newView(now)
	p.sendKnown = in.MeshDigest != 0 && in.MeshDigest != v.meshDigest
	p.want, p.push = nil, nil
	if v.rosterDigest != 0 && len(in.Summaries) > 0 {
		p.want, p.push = s.compare(now, to.Place, in.Summaries)
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
		m.Place = r.member.Place
		m.Region = r.member.Region
	}
	if !s.accept(now, m, in.Tick) {
		return true
	}
	if !held || r.member.Incarnation != m.Incarnation {
		delete(s.peers, m.Host)
		r = &record{}
		s.records[m.Host] = r
	}
	if in.Sequence <= r.sequence {
		return true
	}
	delete(s.candidates, m.Host)
	r.sequence = in.Sequence
	r.tick = max(r.tick, in.Tick)
	r.heard = now
	r.direct = now
	r.member = m
	s.noteVersion(m)
	return true
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

// merge takes over what a heartbeat says of other hosts.
func (s *State) merge(now basilmoor.Millis, in Beat, v view) {
	for _, k := range in.Known {
		s.sight(now, k)
	}
	if in.MeshDigest != 0 && in.MeshDigest == v.meshDigest && len(in.MeshTicks) == len(v.mesh) {
		for i, m := range v.mesh {
			if r, ok := s.records[m.Host]; ok {
				s.advanceRecord(now, r, advance(r.tick, in.MeshTicks[i]))
			}
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
}

func (s *State) advanceRecord(now basilmoor.Millis, r *record, tick uint64) {
	if tick > r.tick && s.accept(now, r.member, tick) {
		r.tick = tick
		r.heard = now
	}
}

func (s *State) advanceRosters(now basilmoor.Millis, all []*roster, ticks []byte) {
	for i, r := range all {
		tick := advance(r.tick, ticks[i])
		if r.place == s.self.Place {
			s.placeTick = max(s.placeTick, tick)
			continue
		}
		if tick > r.tick {
			r.tick = tick
			r.vouched = now
		}
	}
}

// sight takes over what a peer knows of another member of the mesh.
func (s *State) sight(now basilmoor.Millis, k Sighting) {
	m := k.Member
	if k.Age >= RemoveAfter || m.Address == "" || !s.inMesh(m.Place) {
		return
	}
	before := s.highest[m.Host]
	if !s.accept(now, m, k.Tick) {
		return
	}
	r, held := s.records[m.Host]
	if held && r.member.Incarnation == m.Incarnation {
		s.advanceRecord(now, r, k.Tick)
		r.member.Leaving = r.member.Leaving || m.Leaving
		return
	}
	if m.Incarnation == before.incarnation && k.Tick <= before.tick {
		return
	}
	delete(s.peers, m.Host)
	s.records[m.Host] = &record{
		member: m,
		tick:   k.Tick,
		heard:  now - max(k.Age, 0),
		direct: now - silentAfter,
	}
}

func (s *State) known(now basilmoor.Millis, mesh []basilmoor.Member) []Sighting {
	var out []Sighting
	for _, m := range mesh {
		if r, ok := s.records[m.Host]; ok {
			out = append(out, Sighting{
				Member: m,
				Tick:   r.tick,
				Age:    now - r.heard,
			})
		}
	}
	return out
}

func (s *State) meshTicks(mesh []basilmoor.Member) []byte {
	ticks := make([]byte, len(mesh))
	for i, m := range mesh {
		if r, ok := s.records[m.Host]; ok {
			ticks[i] = byte(r.tick)
		} else {
			ticks[i] = byte(s.tick)
		}
	}
	return ticks
}

func rosterTicks(all []*roster) []byte {
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
