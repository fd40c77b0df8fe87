// Package bmquota decides which requests of a workspace are admitted while its quota
// is short: those of higher tiers before the others.
//
// A [Demand] belongs to the account of one workspace, at the broker or at a host without
// one, and is not stored. After a start, and under a new broker, it is empty and reserves
// nothing until requests arrive. A host without a broker knows the demand that it sees
// itself and reserves of its own share. While its owner is paused, demand decays as if no
// request had arrived.
package bmquota

import (
	"iter"
	"math"

	"basilmoor.example/basilmoor"
)

const (
	// demandWindow is the time constant of the measured demand.
	demandWindow = 2 * basilmoor.Second

	// smallCharge is the fraction of the mean charge in higher tiers up to which a
	// request is admitted without regard to them: refusing ten such requests makes
	// room for at most one.
	smallCharge = 0.1

	// maxTiers is the number of tiers whose demand is tracked separately.
	maxTiers = 16
)

// Release is a number of tokens that leave the window of a quota.
type Release struct {
	At     basilmoor.Millis
	Tokens float64
}

// Balance is the state of a quota in a sliding window.
type Balance struct {
	Free     float64           // tokens that the quota permits now
	Releases iter.Seq[Release] // ordered by time
	Window   basilmoor.Millis
}

// Demand measures what a workspace asks for in each tier, admitted or not. The zero
// value is ready to use. It is not safe for concurrent use.
type Demand struct {
	tokens   [maxTiers]float64 // per ms
	requests [maxTiers]float64 // per ms
	at       basilmoor.Millis  // of the latest request
}

// Record adds a request. limit is the number of tokens per ms that the quota permits in
// the long run: a tier can't be granted more, so what exceeds it doesn't count. Else
// callers that repeat refused requests would keep tokens that their tier can't use.
func (d *Demand) Record(now basilmoor.Millis, tier, tokens int, limit float64) {
	decay := d.decay(now)
	for i := range maxTiers {
		d.tokens[i] *= decay
		d.requests[i] *= decay
	}
	d.at = now
	i := tierIndex(tier)
	d.tokens[i] += float64(tokens) / float64(demandWindow)
	d.requests[i] += 1 / float64(demandWindow)
	if d.tokens[i] > limit {
		d.requests[i] *= limit / d.tokens[i]
		d.tokens[i] = limit
	}
}

// Wait returns for how long a request is refused in favour of higher tiers; 0 admits it.
// It is admitted if the quota then still permits what the higher tiers ask for at their
// present rate, at any time until its own tokens leave the window.
func (d *Demand) Wait(now basilmoor.Millis, tier, tokens int, b Balance) basilmoor.Millis {
	rate, mean := d.higher(now, tier)
	if rate == 0 || float64(tokens) <= smallCharge*mean {
		return 0
	}
	left := b.Free - float64(tokens)
	short := basilmoor.Millis(0) // latest time at which the quota is short
	for r := range b.Releases {
		after := r.At - now
		if after >= b.Window {
			break
		}
		if left < rate*float64(after) {
			short = after
		}
		left += r.Tokens
	}
	if left < rate*float64(b.Window) {
		return b.Window
	}
	return short
}

// higher returns the rate at which the tiers above the given one ask for tokens, and
// their mean charge.
func (d *Demand) higher(now basilmoor.Millis, tier int) (rate, mean float64) {
	requests := 0.0
	for i := range tierIndex(tier) {
		rate += d.tokens[i]
		requests += d.requests[i]
	}
	if requests == 0 {
		return 0, 0
	}
	return rate * d.decay(now), rate / requests
}

// decay returns the factor by which the demand has fallen since the latest request.
func (d *Demand) decay(now basilmoor.Millis) float64 {
	return math.Exp(-float64(max(now-d.at, 0)) / float64(demandWindow))
}

func tierIndex(tier int) int {
	return min(max(tier, 0), maxTiers-1)
}
