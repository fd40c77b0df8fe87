package bmgrant

import (
	"iter"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmquota"
)

// admit charges a demand to the quota of its workspace, or returns its refusal. shareSource
// is the source of the refusal if only this owner's share of the quota is exhausted.
func (q *quotas) admit(now basilmoor.Millis, d basilmoor.Demand, shareSource basilmoor.RefusalSource) *basilmoor.Refusal {
	acc, limited := q.accounts[d.Workspace]
	if !limited || d.Charge == 0 {
		return nil
	}
	q.expire(now, acc)
	if quota := q.windowQuota(acc); float64(d.Charge) <= quota {
		// A larger charge is admitted only while nothing else is spent.
		acc.demand.Record(now, d.Tier, d.Charge, quota/float64(max(q.tolerance.Window, 1)))
	}
	refusal := &basilmoor.Refusal{
		Request: d.Request,
		Reason:  basilmoor.ReasonRateLimit,
	}
	if wait := q.reservedFor(now, acc, d); wait > 0 {
		refusal.Source = basilmoor.SourceHigherTiers
		refusal.RetryAfter = wait
		return refusal
	}
	wait, ok := q.tryCharge(now, d.Workspace, d.Charge)
	if ok {
		return nil
	}
	refusal.Source = q.refusalSource(acc, d.Charge, shareSource)
	refusal.RetryAfter = wait
	return refusal
}

// reservedFor returns for how long the free tokens of an account are kept for demands of
// higher tiers than d; 0 if d may use them. A demand for which there are none is left to
// tryCharge.
func (q *quotas) reservedFor(now basilmoor.Millis, acc *account, d basilmoor.Demand) basilmoor.Millis {
	if !q.tolerance.ReserveForTiers {
		return 0
	}
	free := q.windowQuota(acc) - q.used(acc)
	if free < float64(d.Charge) {
		return 0
	}
	return acc.demand.Wait(now, d.Tier, d.Charge, bmquota.Balance{
		Free:     free,
		Releases: q.releases(acc),
		Window:   q.tolerance.Window,
	})
}

// releases returns when the spending of the last window leaves it.
func (q *quotas) releases(acc *account) iter.Seq[bmquota.Release] {
	return func(yield func(bmquota.Release) bool) {
		for _, s := range acc.spent {
			r := bmquota.Release{
				At:     s.at + q.tolerance.Window + spendingResolution,
				Tokens: q.counted(s),
			}
			if !yield(r) {
				return
			}
		}
	}
}

// refusalSource returns the source of the refusal of a charge that tryCharge has rejected.
func (q *quotas) refusalSource(acc *account, tokens int, shareSource basilmoor.RefusalSource) basilmoor.RefusalSource {
	over := q.used(acc) + float64(tokens) - q.windowQuota(acc)
	switch {
	case over <= acc.assumedTokens():
		return basilmoor.SourceAssumedSpending
	case q.share < 1:
		return shareSource
	}
	return basilmoor.SourceFleetQuota
}

// assumedTokens returns the tokens of the last window that are not known to have been
// spent.
func (acc *account) assumedTokens() float64 {
	sum := 0
	for _, s := range acc.spent {
		if s.assumed {
			sum += s.tokens
		}
	}
	return float64(sum)
}
