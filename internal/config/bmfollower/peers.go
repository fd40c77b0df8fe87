package bmfollower

import (
	"slices"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

// peer is what heartbeats tell of a host.
type peer struct {
	version int64
	note    string
	heard   basilmoor.Millis
	retry   basilmoor.Millis // no fetch before
}

// RecordHeartbeat takes the version that a heartbeat reports.
func (c *Core) RecordHeartbeat(now basilmoor.Millis, host string, version int64, note string) []Effect {
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
	p.heard = now
	c.compareNote(host, version, note)
	return c.finish(now)
}

// catchUp pulls from a peer that reported a higher version, the highest first.
// Peers with equal versions are chosen at random, so that they share the load.
func (c *Core) catchUp(now basilmoor.Millis) {
	held := c.snapshot.Version()
	if behind := c.Known() > held; behind != c.lagging {
		c.lagging = behind
		c.lagSince = now
		c.lagReads = 0
	}
	if !c.lagging || c.fetch.busy(now) {
		return
	}
	var best []string
	version := held
	for host, p := range c.peers {
		if p.version <= held || p.version < version || now < p.retry {
			continue
		}
		if p.version > version {
			best = nil
			version = p.version
		}
		best = append(best, host)
	}
	if len(best) == 0 {
		return
	}
	slices.Sort(best) // the order of a map is not reproducible
	host := best[c.rand.IntN(len(best))]
	c.peers[host].retry = now + retryInterval
	c.fetch.begin(now, transferLimit(c.snapshot))
	c.emit(FetchPeer{
		Host: host,
		Held: c.snapshot.Digests(),
	})
}

// transferLimit is longer for a host that holds nothing.
func transferLimit(held *bmcatalog.Snapshot) basilmoor.Millis {
	if held == nil {
		return transferTimeout
	}
	return callTimeout
}

// PeerFetched takes the answer of a peer.
func (c *Core) PeerFetched(now basilmoor.Millis, host string, head []byte, parts []basilmoor.ConfigPart, err error) []Effect {
	c.fetch.pending = false
	if err != nil {
		c.sources.count(countFetchFailed)
		return c.finish(now)
	}
	c.lastContact = now
	if len(head) > 0 {
		values := make(map[string][]byte, len(parts))
		for _, p := range parts {
			values[p.Digest] = p.Value
		}
		c.offer(host, head, values)
	}
	if p := c.peers[host]; p != nil && c.sources.faulty(host) {
		p.retry = now + backstopInterval // it will offer the same again
	}
	return c.finish(now)
}

func (c *Core) forgetPeers(now basilmoor.Millis) {
	for host, p := range c.peers {
		if now-p.heard >= peerMemory {
			delete(c.peers, host)
			c.sources.forget(host)
		}
	}
}
