package bmnode

import (
	"context"
	"hash/fnv"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmfollower"
	"basilmoor.example/basilmoor/internal/fleet/bmmember"
)

// buildConfiguration makes the follower of the configuration.
func (n *Node) buildConfiguration() error {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(n.settings.Host))
	n.config = bmfollower.New(bmfollower.Options{
		Config: bmfollower.Config{
			Host:          n.settings.Host,
			Seed:          seed.Sum64(),
			IsWatcher:     n.isWatcher,
			FleetSize:     n.fleetSize,
			HearsMajority: n.hearsMajority,
		},
		Clock: n.clock,
		Store: n.store.WithPurpose("configuration"),
		Log:   n.log,
		Peer:  n.configPeer,
	})
	return nil
}

// isWatcher is true for one live host of each data centre.
func (n *Node) isWatcher() bool {
	var dataCentre []basilmoor.Member
	for _, m := range n.members.Live() {
		if m.DataCentre == n.settings.DataCentre {
			dataCentre = append(dataCentre, m)
		}
	}
	owner, ok := bmmember.Owner("watch/"+n.settings.DataCentre, dataCentre)
	return ok && owner.Host == n.settings.Host
}

// fleetSize counts the hosts of the platform's list as it was read last, or
// the live ones if there are more. Live hosts alone would make a host that
// lost all peers believe that it has none.
func (n *Node) fleetSize() int {
	return max(int(n.listedHosts.Load()), len(n.members.Live()))
}

func (n *Node) hearsMajority() bool {
	return 2*len(n.members.Live()) > n.fleetSize()
}

// liveMember returns the live member of a name.
func (n *Node) liveMember(host string) (basilmoor.Member, bool) {
	for _, m := range n.members.Live() {
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
	return n.pool.ConfigPeer(m.Address), true
}

// heard passes the sender of a heartbeat on to the follower, which counts
// every one as a contact.
func (n *Node) heard(host string) {
	if m, ok := n.liveMember(host); ok {
		n.config.Heard(m.Host, m.ConfigVersion, m.ConfigNote)
	}
}

// beatTransport sends heartbeats and reports whose reply came.
type beatTransport struct {
	node *Node
}

// Beat implements bmmember.Transport.
func (t *beatTransport) Beat(ctx context.Context, to basilmoor.Member, b bmmember.Beat) (bmmember.Beat, error) {
	reply, err := t.node.pool.Beat(ctx, to, b)
	if err == nil {
		t.node.heard(to.Host)
	}
	return reply, err
}
