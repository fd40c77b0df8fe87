package bmfollower

import (
	"slices"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

// peer holds what the heartbeats of another host reported.
type peer struct {
	version       int64
	note          string
	lastHeartbeat basilmoor.Millis
	nextFetch     basilmoor.Millis // earliest time of the next fetch from this host
}

// HandleHeartbeat handles the version and note that a heartbeat reported.
func (c *Core) HandleHeartbeat(now basilmoor.Millis, host string, version int64, note string) []Effect {
	if host == c.cfg.Host {
		return nil
	}
	c.lastContact = now
	p := c.peers[host]
	if p == nil {
		p = &peer{}
		c.peers[host] = p
	}
	p.version = version
	p.note = note
	p.lastHeartbeat = now
	c.checkPeerNote(host, version, note)
	return c.finishEvent(now)
}

// fetchIfBehind fetches the configuration from a peer with the highest reported
// version, if that is higher than the held one. It chooses among peers with the
// same version at random to spread the load.
func (c *Core) fetchIfBehind(now basilmoor.Millis) {
	held := c.snapshot.Version()
	if behind := c.HighestKnownVersion() > held; behind != c.lagging {
		c.lagging = behind
		c.laggingSince = now
		c.lagHeadReads = 0
	}
	if !c.lagging || c.peerFetch.inFlight(now) {
		return
	}
	var candidates []string
	version := held
	for host, p := range c.peers {
		if p.version <= held || p.version < version || now < p.nextFetch {
			continue
		}
		if p.version > version {
			candidates = nil
			version = p.version
		}
		candidates = append(candidates, host)
	}
	if len(candidates) == 0 {
		return
	}
	slices.Sort(candidates) // map iteration order would make the choice irreproducible
	host := candidates[c.rand.IntN(len(candidates))]
	c.peers[host].nextFetch = now + retryInterval
	c.peerFetch.start(now, fetchTimeout(c.snapshot))
	c.emit(FetchFromPeer{
		Host: host,
		Held: c.snapshot.Digests(),
	})
}

// fetchTimeout returns the timeout of a fetch from a peer. It is longer for a
// host that holds no configuration and needs all parts.
func fetchTimeout(held *bmcatalog.Snapshot) basilmoor.Millis {
	if held == nil {
		return transferTimeout
	}
	return callTimeout
}

// HandlePeerFetch handles the result of FetchFromPeer.
func (c *Core) HandlePeerFetch(now basilmoor.Millis, host string, head []byte, parts []basilmoor.ConfigPart, err error) []Effect {
	c.peerFetch.pending = false
	if err != nil {
		c.sources.count(countFetchFailed)
		return c.finishEvent(now)
	}
	c.lastContact = now
	if len(head) > 0 {
		values := make(map[string][]byte, len(parts))
		for _, p := range parts {
			values[p.Digest] = p.Value
		}
		c.handleHeadWithParts(host, head, values)
	}
	if p := c.peers[host]; p != nil && c.sources.hasFault(host) {
		p.nextFetch = now + headPollInterval // the peer would return the same head again
	}
	return c.finishEvent(now)
}

func (c *Core) forgetPeers(now basilmoor.Millis) {
	for host, p := range c.peers {
		if now-p.lastHeartbeat >= peerExpiry {
			delete(c.peers, host)
			c.sources.forget(host)
		}
	}
}
