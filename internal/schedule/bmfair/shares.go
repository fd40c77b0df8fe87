// Package bmfair divides the room of a pool between the workspaces that compete for it
// within one tier.
//
// A [Shares] belongs to one pool and is not stored. After a start, and under a new broker,
// it is empty: every demand is within its share until the rates are known. A host without a
// broker divides its own slots by the demand that it sees. While its owner is paused, the
// rates decay as if nothing had been asked for.
package bmfair

import (
	"math"
	"slices"

	"basilmoor.example/basilmoor"
)

const (
	// rateWindow is the time constant of the measured rates.
	rateWindow = 2 * basilmoor.Second

	// levelPeriod is the time for which a computed level is used.
	levelPeriod basilmoor.Millis = 50

	// maxWorkspaces is the largest number of workspaces that are tracked in a tier.
	// Demands of others are within their share.
	maxWorkspaces = 4096

	// minRate is the rate, in slots, under which a workspace is forgotten.
	minRate = 1e-4
)

// Shares tells which demands exceed the max-min fair share of their workspace. It is not
// safe for concurrent use.
type Shares struct {
	tiers map[int]*tier
}

type tier struct {
	workspaces map[string]*workspace
	level      float64 // largest rate, in slots, that is served in full
	levelAt    basilmoor.Millis
}

// workspace is the demand of a workspace in a tier.
type workspace struct {
	rate   float64 // work that arrives, in slots
	at     basilmoor.Millis
	credit float64 // work in ms that is within the share and not yet used
}

// New returns shares without demand.
func New() *Shares {
	return &Shares{
		tiers: map[int]*tier{},
	}
}

// Offer records a demand of so many ms of a slot and reports whether it is within the
// share of its workspace. room returns the number of slots that the tier has.
func (s *Shares) Offer(now basilmoor.Millis, rank int, name string, work float64, room func() float64) bool {
	t, ok := s.tiers[rank]
	if !ok {
		t = &tier{
			workspaces: map[string]*workspace{},
			level:      math.Inf(1),
		}
		s.tiers[rank] = t
	}
	w, ok := t.workspaces[name]
	if !ok {
		if len(t.workspaces) >= maxWorkspaces {
			return true
		}
		w = &workspace{
			at: now,
		}
		t.workspaces[name] = w
	}
	w.decayTo(now)
	w.rate += work / float64(rateWindow)
	if now-t.levelAt >= levelPeriod {
		t.levelAt = now
		t.level = t.fairLevel(now, room())
	}
	return w.use(work, t.level)
}

// use reports whether a demand is within the share. Of a workspace that asks for more than
// the level, that part of the demands is which the level permits.
func (w *workspace) use(work, level float64) bool {
	if w.rate <= level {
		w.credit = 0
		return true
	}
	w.credit += work * level / w.rate
	if w.credit < work {
		return false
	}
	w.credit -= work
	return true
}

func (w *workspace) decayTo(now basilmoor.Millis) {
	w.rate *= math.Exp(-float64(max(now-w.at, 0)) / float64(rateWindow))
	w.at = now
}

// fairLevel returns the level at which the rates up to it, and the level for each larger
// one, add up to the room; +Inf if the room suffices for all. It takes time in proportion
// to the number of active workspaces, n log n while the room is short.
func (t *tier) fairLevel(now basilmoor.Millis, room float64) float64 {
	rates := make([]float64, 0, len(t.workspaces))
	sum := 0.0
	for name, w := range t.workspaces {
		w.decayTo(now)
		if w.rate < minRate {
			delete(t.workspaces, name)
			continue
		}
		rates = append(rates, w.rate)
		sum += w.rate
	}
	if sum <= room {
		return math.Inf(1)
	}
	slices.Sort(rates)
	left := room
	for i, rate := range rates {
		level := left / float64(len(rates)-i)
		if rate > level {
			return level
		}
		left -= rate
	}
	return math.Inf(1)
}
