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

// allowances are the token buckets of the workspaces. They are not safe for
// concurrent use.
type allowances struct {
	// share is the part of each allowance that this holder may spend; the
	// parts of all holders add up to at most 1.
	share   float64
	buckets map[string]*bucket
}

type bucket struct {
	limit bmrouting.Allowance
	level float64
	at    basilmoor.Millis // of level
}

func newAllowances() *allowances {
	return &allowances{
		share:   1,
		buckets: map[string]*bucket{},
	}
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
			a.buckets[w.Name] = &bucket{
				limit: w.Allowance,
				level: initialShare * w.Allowance.Burst * a.share,
				at:    now,
			}
			continue
		}
		a.fill(now, b)
		b.limit = w.Allowance
		b.level = min(b.level, b.limit.Burst*a.share)
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
		b.level = min(b.level, b.limit.Burst*share)
	}
	a.share = share
}

func (a *allowances) fill(now basilmoor.Millis, b *bucket) {
	b.level += b.limit.TokensPerSecond * a.share * float64(now-b.at) / float64(basilmoor.Second)
	b.level = min(b.level, b.limit.Burst*a.share)
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
	rate := b.limit.TokensPerSecond * a.share
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
