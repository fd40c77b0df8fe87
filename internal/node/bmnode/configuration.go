package bmnode

import (
	"context"
	"hash/fnv"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmfollower"
	"basilmoor.example/basilmoor/internal/fleet/bmmember"
)

// buildConfiguration creates the follower of the configuration.
func (n *Node) buildConfiguration() error {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(n.settings.Host))
	n.follower = bmfollower.New(bmfollower.Options{
		Config: bmfollower.Config{
			Host:               n.settings.Host,
			Seed:               seed.Sum64(),
			IsWatcher:          n.isWatcher,
			FleetSize:          n.fleetSize,
			HasMajorityContact: n.hasMajorityContact,
		},
		Clock: n.clock,
		Store: n.store.WithPurpose("configuration"),
		Log:   n.log,
		Peer:  n.configPeer,
	})
	return nil
}

// isWatcher reports whether this host is the live host of its data centre that
// watches the store.
func (n *Node) isWatcher() bool {
	var dataCentre []basilmoor.Member
	for _, m := range n.membership.Live() {
		if m.DataCentre == n.settings.DataCentre {
			dataCentre = append(dataCentre, m)
		}
	}
	owner, ok := bmmember.Owner("watch/"+n.settings.DataCentre, dataCentre)
	return ok && owner.Host == n.settings.Host
}

// fleetSize returns the number of hosts in the last read of the host list, or
// the number of live hosts if that is larger. With live hosts alone, a host
// that lost contact with all peers would take itself for the whole fleet.
func (n *Node) fleetSize() int {
	return max(int(n.listedHostCount.Load()), len(n.membership.Live()))
}

func (n *Node) hasMajorityContact() bool {
	return 2*len(n.membership.Live()) > n.fleetSize()
}

// liveMember returns the live member with the given host name.
func (n *Node) liveMember(host string) (basilmoor.Member, bool) {
	for _, m := range n.membership.Live() {
		if m.Host == host {
			return m, true
		}
	}
	return basilmoor.Member{}, false
}

func (n *Node) configPeer(host string) (basilmoor.ConfigPeer, bool) {
	m, ok := n.liveMember(host)
	if !ok {
		return nil, false
	}
	return n.peerPool.ConfigPeer(m.Address), true
}

// recordHeartbeat reports the sender of a heartbeat and its configuration
// version to the follower, which counts each heartbeat as a contact.
func (n *Node) recordHeartbeat(host string) {
	if m, ok := n.liveMember(host); ok {
		n.follower.RecordHeartbeat(m.Host, m.ConfigVersion, m.ConfigNote)
	}
}

// heartbeatTransport sends heartbeats and records the peers that reply.
type heartbeatTransport struct {
	node *Node
}

// Exchange implements bmmember.Transport.
func (t *heartbeatTransport) Exchange(ctx context.Context, to basilmoor.Member, b bmmember.Heartbeat) (bmmember.Heartbeat, error) {
	reply, err := t.node.peerPool.Exchange(ctx, to, b)
	if err == nil {
		t.node.recordHeartbeat(to.Host)
	}
	return reply, err
}
