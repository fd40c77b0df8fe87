package bmmember

import "basilmoor.example/basilmoor"

// Sighting is a member with its tick and the time since that increased.
type Sighting struct {
	Member basilmoor.Member
	Tick   uint64
	Age    basilmoor.Millis
}

// Summary identifies the members of a data centre without listing them.
type Summary struct {
	DataCentre string
	Digest     uint64
	Tick       uint64
}

// Roster lists the live members of a data centre, ordered by host name, as one
// of them vouched for them at the data centre's tick, Age ago.
type Roster struct {
	DataCentre string
	Region     string
	Tick       uint64
	Age        basilmoor.Millis
	Members    []basilmoor.Member
}

// Beat is a heartbeat. Self lacks address, data centre and region if the
// receiver holds them already.
type Beat struct {
	Self     basilmoor.Member
	Sequence uint64 // orders the heartbeats of one incarnation
	Tick     uint64 // periods since the start of the incarnation

	// Introduce asks for the address, data centre and region of the receiver.
	Introduce bool

	// Large tells that the sender knows more hosts than one mesh holds.
	Large bool

	// DataCentreTick is the tick of the data centre, if the receiver is in the
	// same one and the fleet has rosters.
	DataCentreTick uint64

	// MeshDigest covers the members of the sender's mesh and MeshTicks the
	// low bytes of their ticks; 0 if the receiver is outside of that mesh.
	MeshDigest uint64
	MeshTicks  []byte
	Known      []Sighting

	// RosterDigest covers the rosters of all data centres and RosterTicks the
	// low bytes of their ticks; 0 in a fleet without rosters.
	RosterDigest uint64
	RosterTicks  []byte
	Summaries    []Summary
	Want         []string
	Rosters      []Roster

	Crashes []basilmoor.Crash
}

// Outgoing is a heartbeat to send.
type Outgoing struct {
	Peer basilmoor.Member
	Beat Beat
}

// hearsaySlack is the largest age that passing a tick on is taken to cause: one
// second of rounding and one on the way. A tick that arrives later than that
// counts as heard when it should have arrived, so that an old one, held back
// while digests differed, doesn't keep a dead host.
const hearsaySlack = 2 * basilmoor.Second

// timeline relates the ticks of a host or data centre, one a second, to this
// host's time: origin is the earliest instant that tick 0 can have had.
type timeline struct {
	origin basilmoor.Millis
}

func newTimeline(heard basilmoor.Millis, tick uint64) timeline {
	return timeline{
		origin: heard - basilmoor.Millis(tick)*basilmoor.Second,
	}
}

// heard returns when a tick that arrives now counts as heard.
func (t *timeline) heard(now basilmoor.Millis, tick uint64) basilmoor.Millis {
	since := basilmoor.Millis(tick) * basilmoor.Second
	t.origin = min(t.origin, now-since)
	return min(now, t.origin+since+hearsaySlack)
}

// advance returns the tick whose low byte is b, if it is ahead of tick by less
// than half of the range, else tick. What is passed on is a few seconds old at
// most, and the range is 256 s.
func advance(tick uint64, b byte) uint64 {
	ahead := b - byte(tick)
	if ahead < 128 {
		return tick + uint64(ahead)
	}
	return tick
}
