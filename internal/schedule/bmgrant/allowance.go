package bmgrant

import (
	"slices"
	"strings"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
)

// initialShare is the part of the burst that a new bucket holds. A host that
// becomes the broker does not know what was spent before; a full bucket would
// allow the burst once more with each change of the broker.
const initialShare = 0.25

// Tolerance is what the agreement with the workspaces allows over their
// allowances, so that no host has to refuse a request that is within one:
// Excess is a share of rate and burst, Slack a number of tokens.
type Tolerance struct {
	Excess float64
	Slack  float64
}

// The parts of the tolerance that are spent. The rest covers one large request
// that overdraws a bucket, and the time until a change of the broker or of a
// limit is known everywhere.
const (
	excessUsed = 0.7
	slackUsed  = 0.5
)

// allowances are the token buckets of the workspaces. They are not safe for
// concurrent use.
type allowances struct {
	// share is the part of each allowance that this holder may spend; the
	// parts of all holders add up to at most 1.
	share     float64
	tolerance Tolerance
	buckets   map[string]*bucket
}

type bucket struct {
	limit bmrouting.Allowance
	level float64
	at    basilmoor.Millis // of level
}

func newAllowances(t Tolerance) *allowances {
	return &allowances{
		share:     1,
		tolerance: t,
		buckets:   map[string]*bucket{},
	}
}

// rate is the tokens a second that flow into a bucket.
func (a *allowances) rate(b *bucket) float64 {
	return b.limit.TokensPerSecond * (1 + excessUsed*a.tolerance.Excess) * a.share
}

// burst is the most that a bucket holds.
func (a *allowances) burst(b *bucket) float64 {
	return (b.limit.Burst*(1+excessUsed*a.tolerance.Excess) + slackUsed*a.tolerance.Slack) * a.share
}

// set replaces the limits.
func (a *allowances) set(now basilmoor.Millis, workspaces []bmrouting.Workspace) {
	known := map[string]bool{}
	for _, w := range workspaces {
		if !w.Allowance.Bounded() {
			continue
		}
		known[w.Name] = true
		b, ok := a.buckets[w.Name]
		if !ok {
			b = &bucket{
				limit: w.Allowance,
				at:    now,
			}
			b.level = initialShare * a.burst(b)
			a.buckets[w.Name] = b
			continue
		}
		a.fill(now, b)
		b.limit = w.Allowance
		b.level = min(b.level, a.burst(b))
	}
	for name := range a.buckets {
		if !known[name] {
			delete(a.buckets, name)
		}
	}
}

// setShare changes the part of the allowances that may be spent.
func (a *allowances) setShare(now basilmoor.Millis, share float64) {
	if share == a.share {
		return
	}
	for _, b := range a.buckets {
		a.fill(now, b)
	}
	a.share = share
	for _, b := range a.buckets {
		b.level = min(b.level, a.burst(b))
	}
}

func (a *allowances) fill(now basilmoor.Millis, b *bucket) {
	b.level += a.rate(b) * float64(now-b.at) / float64(basilmoor.Second)
	b.level = min(b.level, a.burst(b))
	b.at = now
}

// take spends tokens if the workspace has any left. A request may overdraw the
// bucket, so that one larger than the burst is served at all; the debt delays
// the next ones. If there are none, wait is the time until there are.
func (a *allowances) take(now basilmoor.Millis, workspace string, tokens int) (wait basilmoor.Millis, ok bool) {
	b, bounded := a.buckets[workspace]
	if !bounded || tokens == 0 {
		return 0, true
	}
	a.fill(now, b)
	if b.level <= 0 {
		return a.wait(b), false
	}
	b.level -= float64(tokens)
	return 0, true
}

// spend takes tokens that were spent already; a negative number gives them
// back.
func (a *allowances) spend(now basilmoor.Millis, workspace string, tokens int) {
	if b, bounded := a.buckets[workspace]; bounded {
		a.fill(now, b)
		b.level -= float64(tokens)
	}
}

func (a *allowances) wait(b *bucket) basilmoor.Millis {
	rate := a.rate(b)
	if rate <= 0 {
		return maxRetryAfter
	}
	return basilmoor.Millis(-b.level/rate*float64(basilmoor.Second)) + 1
}

// exhaustion is a workspace without allowance.
type exhaustion struct {
	workspace string
	wait      basilmoor.Millis
}

// exhausted lists the workspaces without allowance, ordered by name.
func (a *allowances) exhausted(now basilmoor.Millis) []exhaustion {
	var list []exhaustion
	for name, b := range a.buckets {
		a.fill(now, b)
		if b.level <= 0 {
			list = append(list, exhaustion{
				workspace: name,
				wait:      a.wait(b),
			})
		}
	}
	slices.SortFunc(list, func(x, y exhaustion) int { return strings.Compare(x.workspace, y.workspace) })
	return list
}
