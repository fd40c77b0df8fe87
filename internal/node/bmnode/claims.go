package bmnode

import (
	"fmt"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmmember"
	"basilmoor.example/basilmoor/internal/request/bmclaim"
)

// buildClaims makes the committer of this host and the router that sends
// claims to the owners of their slots.
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

// claimOwner returns the committer that sees the claims of all hosts for a
// slot, so that they share batches.
func (n *Node) claimOwner(slot int) (basilmoor.Claimer, bool) {
	owner, ok := bmmember.Owner(fmt.Sprintf("claims/%d", slot), n.members.Live())
	if !ok || owner.Host == n.settings.Host {
		return nil, false
	}
	return n.pool.Claimer(owner.Address), true
}
