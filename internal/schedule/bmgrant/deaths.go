package bmgrant

import (
	"slices"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
	"basilmoor.example/basilmoor/internal/schedule/bmquarantine"
)

// restore adds deaths that other hosts, or an earlier pool, know of.
func (p *Pool) restore(now basilmoor.Millis, records []bmquarantine.Record) []basilmoor.Decision {
	for _, h := range p.quarantine.Restore(records) {
		p.refuseKeys([]uint64{h.Key})
		p.news.holds = append(p.news.holds, h)
	}
	return p.schedule(now)
}

// recordDeaths adds a death under the digests of the requests that it blames to the news.
func (p *Pool) recordDeaths(now basilmoor.Millis, incarnation string, runs []bmquarantine.Run) {
	for _, r := range runs {
		if len(r.Keys) == 0 {
			continue
		}
		p.news.deaths = append(p.news.deaths, bmquarantine.Record{
			Digest:    r.Keys[0],
			Target:    incarnation,
			At:        now,
			GrantedAt: r.GrantedAt,
		})
	}
}

// knownDeaths returns the deaths that this host knows of, but for requests that are held
// back: a new pool would convict these anew.
func (b *Broker) knownDeaths(now basilmoor.Millis) []bmquarantine.Record {
	return slices.DeleteFunc(b.history.Records(now), func(r bmquarantine.Record) bool { return b.crashes.Suspect(r.Digest) })
}

// recordNews keeps the deaths that a pool has blamed on requests, and the answers that
// clear them, and returns them.
func recordNews(now basilmoor.Millis, history *bmquarantine.History, news quarantineNews) []bmquarantine.Record {
	records := news.deaths
	for _, r := range news.answered {
		if keys := r.demand.CrashKeys; len(keys) > 0 && history.Knows(keys[0]) {
			records = append(records, bmquarantine.Record{
				Digest: keys[0],
				At:     now,
			})
		}
	}
	history.Merge(now, records)
	return records
}

// learnDeaths applies the deaths that a host knows of, as far as they are new to this one,
// and forwards them to the other hosts.
func (b *Broker) learnDeaths(now basilmoor.Millis, from *session, encoded []*bmgrantpb.Death) {
	records := decodeDeaths(now, encoded)
	if !from.local {
		// The host of the broker has one history for both.
		records = b.history.Merge(now, records)
	}
	if len(records) == 0 {
		return
	}
	if !from.local {
		b.log.Info().Str("peer", from.host).Int("deaths", len(records)).Uint64("digest", records[len(records)-1].Digest).Msg("deaths learned from a host")
	}
	b.spreadDeaths(now, from, records)
	open := slices.DeleteFunc(records, func(r bmquarantine.Record) bool { return b.crashes.Suspect(r.Digest) })
	for name, p := range b.pools {
		b.deliver(p.restore(now, open))
		b.applyQuarantine(now, name, p)
	}
}

// spreadDeaths sends deaths to all hosts but one, which may be nil. This host has them.
func (b *Broker) spreadDeaths(now basilmoor.Millis, except *session, records []bmquarantine.Record) {
	if len(records) == 0 {
		return
	}
	for _, s := range b.sessions {
		if s == except || s.local {
			continue
		}
		s.pending.Deaths = append(s.pending.Deaths, encodeDeaths(now, records)...)
		s.wake.signal()
	}
}

// recordDeath records the death of the target of this host's own request. The broker may
// have forgotten the request, or may end before it has told any other host.
func (c *Client) recordDeath(e *entry) {
	now := c.clock.Now()
	if r, blamed := e.deathAt(now); blamed {
		c.tellDeaths(now, []bmquarantine.Record{r})
	}
}

// tellDeaths keeps deaths that this host has found out, and tells the broker.
func (c *Client) tellDeaths(now basilmoor.Millis, records []bmquarantine.Record) {
	c.broker.history.Merge(now, records)
	if c.uplink != nil {
		c.uplink.pending.Deaths = append(c.uplink.pending.Deaths, encodeDeaths(now, records)...)
		c.uplink.wake.signal()
	}
}

// deathAt returns the record of the death of the request's target at a time. blamed is
// false if the request had been answered before.
func (e *entry) deathAt(now basilmoor.Millis) (r bmquarantine.Record, blamed bool) {
	if len(e.demand.CrashKeys) == 0 || e.firstToken > 0 && now-e.grantedAt-e.firstToken >= settleTime {
		return bmquarantine.Record{}, false
	}
	return bmquarantine.Record{
		Digest:    e.demand.CrashKeys[0],
		Target:    e.target.Incarnation(),
		At:        now,
		GrantedAt: e.grantedAt,
	}, true
}

const (
	// restartTime is the longest time from the end of a connection until its target, if it
	// has died, is listed again as a process that has just started.
	restartTime = 30 * basilmoor.Second

	// maxBrokenOff bounds the requests that are kept for that time.
	maxBrokenOff = 256
)

// brokenOff is a request whose target closed the connection and was not found to have
// died.
type brokenOff struct {
	target basilmoor.Target
	death  bmquarantine.Record // if the target did die
}

// noteBrokenOff keeps a request whose target broke off, if a later start of that target
// can be told from the present one.
func (c *Client) noteBrokenOff(e *entry) {
	r, blamed := e.deathAt(c.clock.Now())
	if !blamed || e.target.Born == 0 {
		return
	}
	if len(c.brokenOff) >= maxBrokenOff {
		c.brokenOff = slices.Delete(c.brokenOff, 0, 1)
	}
	c.brokenOff = append(c.brokenOff, brokenOff{
		target: e.target,
		death:  r,
	})
}

// blameRestarts records the deaths of targets that broke off requests and have started
// again under their names since. Nothing else tells of a death if the address of a dead
// target still accepts connections, or answers nothing.
func (c *Client) blameRestarts(now basilmoor.Millis) {
	var deaths []bmquarantine.Record
	c.brokenOff = slices.DeleteFunc(c.brokenOff, func(b brokenOff) bool {
		restarted := c.targets[b.target.Name].Born > b.target.Born
		if restarted {
			deaths = append(deaths, b.death)
		}
		return restarted || now-b.death.At >= restartTime
	})
	if len(deaths) == 0 {
		return
	}
	c.metrics.Add("targets.restarted-after-break", int64(len(deaths)))
	c.log.Warn().Str("incarnation", deaths[0].Target).Uint64("digest", deaths[0].Digest).Int("requests", len(deaths)).Msg("target that broke off has started again")
	c.tellDeaths(now, deaths)
	for name, p := range c.localPools {
		c.deliver(p.restore(now, deaths))
		c.applyQuarantine(now, name, p)
	}
}

func encodeDeaths(now basilmoor.Millis, records []bmquarantine.Record) []*bmgrantpb.Death {
	deaths := make([]*bmgrantpb.Death, 0, len(records))
	for _, r := range records {
		d := &bmgrantpb.Death{
			Digest: r.Digest,
			Target: r.Target,
			AgeMs:  int64(now - r.At),
		}
		if r.Target != "" {
			d.RunMs = int64(r.At - r.GrantedAt)
		}
		deaths = append(deaths, d)
	}
	return deaths
}

func decodeDeaths(now basilmoor.Millis, deaths []*bmgrantpb.Death) []bmquarantine.Record {
	records := make([]bmquarantine.Record, 0, len(deaths))
	for _, d := range deaths {
		r := bmquarantine.Record{
			Digest: d.GetDigest(),
			Target: d.GetTarget(),
			At:     now - max(basilmoor.Millis(d.GetAgeMs()), 0),
		}
		if r.Target != "" {
			r.GrantedAt = r.At - max(basilmoor.Millis(d.GetRunMs()), 0)
		}
		records = append(records, r)
	}
	return records
}
