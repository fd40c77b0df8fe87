package bmgrant

import (
	"math"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

// listedBefore is the instant since which the hosts of a broker's first view
// are taken to be in it.
const listedBefore = basilmoor.Millis(math.MinInt64)

// listHosts notes since when each host is in the view.
func (b *Broker) listHosts(now basilmoor.Millis) {
	if b.view.Table == nil {
		return
	}
	since := now
	if b.listed == nil {
		since = listedBefore
	}
	listed := map[string]basilmoor.Millis{}
	for _, m := range b.view.Hosts() {
		listed[m.Host] = since
		if at, known := b.listed[m.Host]; known {
			listed[m.Host] = at
		}
	}
	b.listed = listed
}

// spend records what a host has spent without a grant of this broker. What an
// earlier broker has recorded counts once.
func (b *Broker) spend(now basilmoor.Millis, host string, spendings []*bmgrantpb.Spending) {
	for _, s := range spendings {
		at := now - basilmoor.Millis(s.GetAgeMs())
		if b.hasRecord && at <= b.recorded {
			continue
		}
		if s.GetAssumed() && !b.mayHaveSpent(host, at) {
			continue
		}
		b.allowances.spend(at, s.GetWorkspace(), int(s.GetTokens()))
	}
}

// mayHaveSpent reports whether a host may have spent tokens at an instant that
// this broker does not know of: the host was there, and has not told of that
// time before it ended.
func (b *Broker) mayHaveSpent(host string, at basilmoor.Millis) bool {
	listed, known := b.listed[host]
	if !known || at < listed {
		return false
	}
	heard, known := b.heard[host]
	return !known || at > heard
}
