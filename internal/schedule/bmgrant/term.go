package bmgrant

import (
	"math"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmelection"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

const (
	// retireTimeout is how long a broker that has named a successor keeps the
	// sessions of hosts that have not moved.
	retireTimeout = basilmoor.Second

	// reportGrace is the time from the start of a broker's term in which the
	// hosts without a session count as holding their share of the slots. Hosts
	// that have not come by then are taken to be down.
	reportGrace = 3 * basilmoor.Second

	// isolatedShare is the fraction of the hosts under which a broker takes
	// itself to be cut off from the others, which then have another broker.
	isolatedShare = 0.25

	// never is later than every time.
	never = basilmoor.Millis(math.MaxInt64)
)

// NotBrokerError means that a host refused a session because it is not the
// broker.
type NotBrokerError struct {
	Answer bmelection.Answer
}

func (e *NotBrokerError) Error() string {
	if e.Answer.Broker.Host == "" {
		return e.Answer.From + " is not the broker and knows none"
	}
	return e.Answer.From + " is not the broker, it names " + e.Answer.Broker.Host
}

// activate begins a term of this host as the broker, without any state of an
// earlier one.
func (b *Broker) activate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.endAllSessions()
	b.reset()
	b.recordChecked = false
	b.hasRecord = false
	b.active = true
	b.activeSince = now
	b.holdOff = now + warmUp
}

// retire ends the term: the broker grants nothing more and asks its hosts to move
// to the successor. Their sessions stay open meanwhile.
func (b *Broker) retire(successor basilmoor.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.active {
		return
	}
	b.active = false
	b.retiredAt = b.clock.Now()
	b.holdOff = never
	for _, p := range b.pools {
		p.SetHoldOff(never)
	}
	for _, s := range b.sessions {
		s.pending.Successor = encodeAnswer(bmelection.Answer{
			Broker: successor,
		})
		s.wake.signal()
	}
	b.log.Info().Str("successor", successor.Host).Int("sessions", len(b.sessions)).Msg("broker hands over")
}

// resign ends the term and all sessions. It has no effect after retire.
func (b *Broker) resign() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.active {
		return
	}
	b.active = false
	b.endAllSessions()
}

// endAllSessions ends the sessions without granting their slots to others.
func (b *Broker) endAllSessions() {
	for host, s := range b.sessions {
		delete(b.sessions, host)
		close(s.ended)
	}
	b.updateViewShared()
}

// sessionCount returns the number of hosts with a session.
func (b *Broker) sessionCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.sessions)
}

// slotShare returns the fraction of each target's slots that this broker may
// grant. The hosts without a session hold the rest: at the start of a term their
// requests in progress are not known yet, and a broker that is cut off from most
// hosts leaves the slots to the broker of the others.
func (b *Broker) slotShare(now basilmoor.Millis) float64 {
	hosts := len(b.view.Hosts())
	share := float64(len(b.sessions)) / float64(max(hosts, 1))
	if share >= 1 || now-b.activeSince >= reportGrace && share >= isolatedShare {
		return 1
	}
	return share
}

// shareSlots returns the targets with a fraction of their slots. The slots of all
// targets together are reduced by that fraction, rounded up.
func shareSlots(targets []basilmoor.Target, share float64) []basilmoor.Target {
	if share >= 1 {
		return targets
	}
	shared := make([]basilmoor.Target, 0, len(targets))
	sum, granted := 0.0, 0
	for _, t := range targets {
		sum += float64(t.Slots) * share
		t.Slots = min(t.Slots, int(math.Ceil(sum))-granted)
		granted += t.Slots
		shared = append(shared, t)
	}
	return shared
}

func encodeAnswer(a bmelection.Answer) *bmgrantpb.FollowedReply {
	return &bmgrantpb.FollowedReply{
		From:     a.From,
		Broker:   a.Broker.Host,
		Address:  a.Broker.Address,
		Sessions: int32(a.Sessions),
		Indirect: a.Indirect,
	}
}

func decodeAnswer(r *bmgrantpb.FollowedReply) bmelection.Answer {
	return bmelection.Answer{
		From: r.GetFrom(),
		Broker: basilmoor.Member{
			Host:    r.GetBroker(),
			Address: r.GetAddress(),
		},
		Sessions: int(r.GetSessions()),
		Indirect: r.GetIndirect(),
	}
}
