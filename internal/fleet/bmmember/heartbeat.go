package bmmember

import "basilmoor.example/basilmoor"

// MemberReport is a member as known to the sender of a heartbeat, with its tick
// and the time since the tick last increased.
type MemberReport struct {
	Member basilmoor.Member
	Tick   uint64
	Age    basilmoor.Millis
}

// Summary identifies the member list of a data centre by its digest.
type Summary struct {
	DataCentre string
	Digest     uint64
	Tick       uint64
}

// Roster lists the live members of a data centre, ordered by host name, as one
// of them confirmed them at the data centre's tick, Age ago.
type Roster struct {
	DataCentre string
	Region     string
	Tick       uint64
	Age        basilmoor.Millis
	Members    []basilmoor.Member
}

// Heartbeat is a message that two members exchange. Address, data centre and
// region of Self are empty if the receiver already has them.
type Heartbeat struct {
	Self     basilmoor.Member
	Sequence uint64 // orders the heartbeats of one incarnation
	Tick     uint64 // seconds since the start of the incarnation, counted from 1

	// Introduce asks the receiver for its address, data centre and region.
	Introduce bool

	// Large is set if the sender knows more hosts than fit in one mesh.
	Large bool

	// DataCentreTick is the tick of the data centre. It is set if the receiver
	// is in the same data centre and the fleet uses rosters.
	DataCentreTick uint64

	// MeshDigest is the digest of the members of the sender's mesh, and
	// MeshTicks holds the low bytes of their ticks. MeshDigest is 0 if the
	// receiver is outside that mesh.
	MeshDigest uint64
	MeshTicks  []byte
	Known      []MemberReport

	// RosterDigest is the digest of the rosters of all data centres, and
	// RosterTicks holds the low bytes of their ticks. RosterDigest is 0 in a
	// fleet without rosters.
	RosterDigest uint64
	RosterTicks  []byte
	Summaries    []Summary
	Want         []string
	Rosters      []Roster

	Crashes []basilmoor.Crash
}

// OutgoingHeartbeat is a heartbeat and its recipient.
type OutgoingHeartbeat struct {
	Peer      basilmoor.Member
	Heartbeat Heartbeat
}

// maxRelayDelay is the largest delay that relaying a tick is assumed to add:
// one second of rounding and one in transit. A tick that arrives later is dated
// to when it should have arrived, so that a stale tick, held back while digests
// differed, doesn't keep a dead host live.
const maxRelayDelay = 2 * basilmoor.Second

// tickClock maps the ticks of a host or data centre, one a second, to this
// host's time. origin is the earliest time at which tick 0 can have occurred.
type tickClock struct {
	origin basilmoor.Millis
}

func newTickClock(heardAt basilmoor.Millis, tick uint64) tickClock {
	return tickClock{
		origin: heardAt - basilmoor.Millis(tick)*basilmoor.Second,
	}
}

// heardAt returns the time to record for a tick that arrives now, and updates
// origin.
func (t *tickClock) heardAt(now basilmoor.Millis, tick uint64) basilmoor.Millis {
	elapsed := basilmoor.Millis(tick) * basilmoor.Second
	t.origin = min(t.origin, now-elapsed)
	return min(now, t.origin+elapsed+maxRelayDelay)
}

// expandTick returns the tick with the low byte b if it is ahead of tick by
// less than half the range of a byte, and otherwise tick. A byte covers 256 s,
// and relayed ticks are at most a few seconds old.
func expandTick(tick uint64, b byte) uint64 {
	ahead := b - byte(tick)
	if ahead < 128 {
		return tick + uint64(ahead)
	}
	return tick
}
