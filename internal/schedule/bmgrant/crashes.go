package bmgrant

import (
	"slices"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmpeer"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
	"basilmoor.example/basilmoor/internal/schedule/bmquarantine"
)

// forwardCrashes forwards the holds reported by one host, as far as they are new to
// this one, to the other hosts.
func (b *Broker) forwardCrashes(now basilmoor.Millis, from *session, encoded []*bmpeerpb.Crash) {
	if !from.local {
		encoded = bmpeer.EncodeCrashes(b.crashes.Merge(bmpeer.DecodeCrashes(encoded)))
	}
	b.spreadCrashes(now, from, encoded)
}

// spreadCrashes sends crashes to all hosts but one, which may be nil, and refuses
// the waiting demands that they hold back. The registry of this host has them.
func (b *Broker) spreadCrashes(now basilmoor.Millis, except *session, encoded []*bmpeerpb.Crash) {
	if len(encoded) == 0 {
		return
	}
	for _, s := range b.sessions {
		if s == except || s.local {
			continue
		}
		s.pending.Crashes = append(s.pending.Crashes, encoded...)
		s.wake.signal()
	}
	var held []uint64
	for _, c := range encoded {
		if b.crashes.Suspect(c.GetDigest()) {
			held = append(held, c.GetDigest())
		}
	}
	if len(held) == 0 {
		return
	}
	for _, p := range b.pools {
		b.deliver(p.holdBack(now, held))
	}
}

// applyQuarantine makes the holds of a pool, and the ends of holds, known to all
// hosts.
func (b *Broker) applyQuarantine(now basilmoor.Millis, pool string, p *Pool) {
	news := p.takeQuarantineNews()
	count(b.metrics, news)
	lifts := liftHolds(b.crashes, b.metrics, b.log, pool, news.answered)
	b.spreadCrashes(now, nil, bmpeer.EncodeCrashes(lifts))
	b.spreadDeaths(now, nil, recordNews(now, b.history, news))
	for _, h := range news.holds {
		recordHold(b.crashes, b.log, pool, h)
		b.spreadCrashes(now, nil, bmpeer.EncodeCrashes([]basilmoor.Crash{crashOf(h)}))
	}
}

// applyQuarantine records the holds of a local pool, and the ends of holds. They
// reach the next broker and the other hosts with the recent crashes.
func (c *Client) applyQuarantine(now basilmoor.Millis, pool string, p *Pool) {
	news := p.takeQuarantineNews()
	count(c.metrics, news)
	liftHolds(c.broker.crashes, c.metrics, c.log, pool, news.answered)
	recordNews(now, c.broker.history, news)
	for _, h := range news.holds {
		recordHold(c.broker.crashes, c.log, pool, h)
		for _, other := range c.localPools {
			c.deliver(other.holdBack(now, []uint64{h.Key}))
		}
	}
}

func count(metrics *bmmetrics.Registry, news quarantineNews) {
	for name, n := range map[string]int{
		"quarantine.held":    len(news.holds),
		"quarantine.trials":  news.trials,
		"quarantine.cleared": news.cleared,
	} {
		if n > 0 {
			metrics.Add(name, int64(n))
		}
	}
}

// recordHold records a hold in the registry, as the deaths of several targets under
// the same key, and logs it.
func recordHold(crashes basilmoor.CrashRegistry, log zerolog.Logger, pool string, h bmquarantine.Hold) {
	for _, t := range h.Targets {
		crashes.RecordCrash(h.Key, t)
	}
	log.Warn().
		Uint64("key", h.Key).
		Strs("targets", h.Targets).
		Int64("for-ms", int64(bmcrash.HoldDuration)).
		Str("pool", pool).
		Msg("requests held back")
}

func crashOf(h bmquarantine.Hold) basilmoor.Crash {
	return basilmoor.Crash{
		Digest:  h.Key,
		Targets: h.Targets,
	}
}

// anySuspect reports whether requests with one of the keys are held back.
func anySuspect(crashes basilmoor.CrashRegistry, keys []uint64) bool {
	return slices.ContainsFunc(keys, crashes.Suspect)
}
