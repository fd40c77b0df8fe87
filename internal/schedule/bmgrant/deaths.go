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
	b.log.Info().Str("peer", from.host).Int("deaths", len(records)).Uint64("digest", records[len(records)-1].Digest).Msg("deaths learned from a host")
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

// recordDeath keeps the death of the target of this host's own request. If the session
// with the broker ends first, the next broker learns of it from no other host.
func (c *Client) recordDeath(e *entry) {
	now := c.clock.Now()
	if len(e.demand.CrashKeys) == 0 || e.firstToken > 0 && now-e.grantedAt-e.firstToken >= settleTime {
		return
	}
	c.broker.history.Merge(now, []bmquarantine.Record{
		{
			Digest:    e.demand.CrashKeys[0],
			Target:    e.target.Incarnation(),
			At:        now,
			GrantedAt: e.grantedAt,
		},
	})
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
