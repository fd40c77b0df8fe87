package bmgrant

import (
	"math"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

// alwaysListed is the time since which the hosts in a broker's first view are
// assumed to be listed.
const alwaysListed = basilmoor.Millis(math.MinInt64)

// updateListedSince updates since when each host has been in the view.
func (b *Broker) updateListedSince(now basilmoor.Millis) {
	if b.view.Table == nil {
		return
	}
	since := now
	if b.listedSince == nil {
		since = alwaysListed
	}
	listed := map[string]basilmoor.Millis{}
	for _, m := range b.view.Hosts() {
		listed[m.Host] = since
		if at, known := b.listedSince[m.Host]; known {
			listed[m.Host] = at
		}
	}
	b.listedSince = listed
}

// recordSpending records what a host has spent without a grant of this broker.
// Spending that is already in the loaded record is skipped, so that it counts
// once.
func (b *Broker) recordSpending(now basilmoor.Millis, host string, spendings []*bmgrantpb.Spending) {
	for _, s := range spendings {
		at := now - basilmoor.Millis(s.GetAgeMs())
		if b.hasRecord && at <= b.recordWritten {
			continue
		}
		if s.GetAssumed() && !b.mayHaveSpent(host, at) {
			continue
		}
		b.quotas.charge(at, s.GetWorkspace(), int(s.GetTokens()))
	}
}

// mayHaveSpent reports whether a host may have spent tokens at a time without
// this broker knowing: the host was listed then, and the broker has received no
// batch from it since.
func (b *Broker) mayHaveSpent(host string, at basilmoor.Millis) bool {
	listed, known := b.listedSince[host]
	if !known || at < listed {
		return false
	}
	heard, known := b.lastHeard[host]
	return !known || at > heard
}
