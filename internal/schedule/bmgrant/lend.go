package bmgrant

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

const (
	// staleProofAge is the age of the broker's proof from which hosts with a
	// younger one lend theirs. While the store answers, the age of a broker's
	// proof stays under 1.1 s.
	staleProofAge basilmoor.Millis = 1200

	// minLentAdvantage is how much younger a lent proof has to be.
	minLentAdvantage basilmoor.Millis = 300

	// firstReaders is the number of hosts that read the store first when the
	// broker's proof is stale.
	firstReaders = 4

	// standbyDelay and standbySpread are how much older the view of the other
	// hosts has to be before they read the store as well: the delay, and up to
	// the spread by their rank.
	standbyDelay  basilmoor.Millis = 700
	standbySpread basilmoor.Millis = 900
)

// standbyAge returns how much older than that of the first readers the view of a host
// has to be before the host reads the store itself, so that the hosts of a large
// fleet do not all read it at once when the broker has lost it.
func standbyAge(rank, hosts int) basilmoor.Millis {
	if rank <= firstReaders {
		return 0
	}
	return standbyDelay + standbySpread*basilmoor.Millis(rank)/basilmoor.Millis(max(hosts, 1))
}

// lendView sends the broker this host's updates and proof if they are younger
// than the broker's, so that a broker that has lost the store keeps its role.
// The broker's stamp was taken before this host's age, so the proof never becomes
// younger on the way.
func (c *Client) lendView(u *uplink, batch *bmgrantpb.BrokerBatch) {
	if u.host == c.self.Host {
		return
	}
	// The proof is read before the updates: they contain all changes up to the instant
	// that its age stands for.
	proof := encodeProof(c.broker.views, batch.GetStamp())
	if proof == nil || !lends(basilmoor.Millis(proof.GetAgeMs()), batch) {
		return
	}
	updates := c.broker.views.UpdatesSince(positionIn(batch))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uplink != u {
		return
	}
	u.pending.Proof = proof
	u.pending.Updates = nil
	for _, update := range updates {
		u.pending.Updates = append(u.pending.Updates, encodeUpdate(update))
	}
	u.wake.signal()
	c.metrics.Add("view.lent", 1)
}

// lends reports whether a view of the given age is worth sending to the broker.
func lends(age basilmoor.Millis, batch *bmgrantpb.BrokerBatch) bool {
	if positionIn(batch).IsZero() {
		return true
	}
	p := batch.GetProof()
	if p == nil || basilmoor.Millis(p.GetAgeMs()) < staleProofAge {
		return false
	}
	return basilmoor.Millis(p.GetAgeMs())-age >= minLentAdvantage
}

// applyLentView applies the updates and the proof that a host has lent. It must
// be called without the mutex, because a new view is passed to SetView.
func (b *Broker) applyLentView(s *session, batch *bmgrantpb.HostBatch) {
	p := batch.GetProof()
	if p == nil {
		return
	}
	updates, err := decodeUpdates(batch.GetUpdates())
	if err != nil {
		b.log.Warn().Err(err).Str("peer", s.host).Msg("cannot decode a lent view")
		return
	}
	if !b.views.ApplyRelayed(updates) {
		return
	}
	applyProof(b.views, p)
}
