package bmnode

import (
	"fmt"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmmember"
	"basilmoor.example/basilmoor/internal/request/bmclaim"
)

// buildClaims creates the committer of this host and the router that sends
// each claim to the owner of its slot.
func (n *Node) buildClaims() error {
	committer, closeCommitter := bmclaim.New(bmclaim.Config{
		Clock:   n.clock,
		Store:   n.store.WithPurpose("claims"),
		Metrics: n.metrics,
		Log:     n.log,
		Live:    n.isLive,
		Peers:   n.claimPeers,
	})
	n.onClose(closeCommitter)
	n.committer = committer
	n.claimer = bmclaim.NewRouter(n.clock, committer, n.claimOwner)
	return nil
}

func (n *Node) isLive(host string) bool {
	_, live := n.liveMember(host)
	return live || host == n.settings.Host
}

// claimOwner returns the remote committer that owns a slot, or false if this
// host owns it. All hosts send the claims of a slot to its owner, so that the
// claims share batches.
func (n *Node) claimOwner(slot int) (basilmoor.Claimer, bool) {
	owner, ok := bmmember.Owner(claimKey(slot), n.membership.Live())
	if !ok || owner.Host == n.settings.Host {
		return nil, false
	}
	return n.peerPool.Claimer(owner.Address), true
}

// claimKey is the key by which hosts rank for a slot.
func claimKey(slot int) string {
	return fmt.Sprintf("claims/%d", slot)
}

// maxClaimPeers is the number of other hosts that are asked what they remember of a
// slot: with this one, those that a slot's claims reach while one host is lost.
const maxClaimPeers = 2

// claimPeers returns the other hosts that rank highest for a slot, and whether this one
// ranks above them.
func (n *Node) claimPeers(slot int) (peers []basilmoor.ClaimPeer, first bool) {
	ranked := bmmember.Rank(claimKey(slot), n.membership.Live())
	first = len(ranked) == 0 || ranked[0].Host == n.settings.Host
	for _, m := range ranked {
		if m.Host != n.settings.Host && len(peers) < maxClaimPeers {
			peers = append(peers, n.peerPool.ClaimPeer(m.Address))
		}
	}
	return peers, first
}
