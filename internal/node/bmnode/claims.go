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
		Live:    n.isLive,
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
	owner, ok := bmmember.Owner(fmt.Sprintf("claims/%d", slot), n.membership.Live())
	if !ok || owner.Host == n.settings.Host {
		return nil, false
	}
	return n.peerPool.Claimer(owner.Address), true
}
