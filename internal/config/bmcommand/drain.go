package bmcommand

import (
	"math"
	"slices"

	"basilmoor.example/basilmoor"
)

// drained reports whether a draining target has no work left and gets no more. The
// report must have been measured after the drain reached all brokers.
func (t *targetState) drained() bool {
	return t.draining && t.measuredAt >= t.drainSince+drainPropagation && t.report.Running == 0
}

// beginDrain starts to drain a target if enough other targets serve each kind
// that it serves. It returns nil otherwise.
func (r *Reconciler) beginDrain(now basilmoor.Millis, t *targetState) []DrainChange {
	for _, k := range r.kinds {
		if !r.serves(now, t, k) {
			continue
		}
		serving, total := r.countTargets(now, k)
		if serving-1 < r.minServing(total) {
			return nil
		}
	}
	t.draining = true
	t.drainSince = now
	return []DrainChange{{
		Target: t.desired.Name,
		On:     true,
	}}
}

// endDrain returns a draining target to service.
func (r *Reconciler) endDrain(t *targetState) DrainChange {
	t.draining = false
	return DrainChange{
		Target: t.desired.Name,
		On:     false,
	}
}

// minServing returns how many of total targets must keep serving during a
// drain. It is at least one, so that the only target of a kind is never
// drained; the operator has to add another one first.
func (r *Reconciler) minServing(total int) int {
	return max(1, int(math.Ceil(r.cfg.MinServingFraction*float64(total))))
}

// countTargets returns how many targets serve a kind, and how many are eligible
// to. A target that has not reported for targetLostAfter, or that failed
// maxConsecutiveFailures times, is included in total only if it serves.
// Otherwise one faulty target could prevent all others from being drained.
func (r *Reconciler) countTargets(now basilmoor.Millis, k basilmoor.Kind) (serving, total int) {
	for _, t := range r.targets {
		if r.serves(now, t, k) {
			serving++
			total++
			continue
		}
		unavailable := !t.hasReport || now-t.measuredAt >= targetLostAfter || t.failures >= maxConsecutiveFailures
		if eligible(t.desired, k) && !unavailable {
			total++
		}
	}
	return serving, total
}

// serves reports whether a target currently serves a kind.
func (r *Reconciler) serves(now basilmoor.Millis, t *targetState, k basilmoor.Kind) bool {
	if t.draining || !t.hasFreshReport(now) || !eligible(t.desired, k) {
		return false
	}
	return k.Model == "" || slices.Contains(t.report.Models, k.Model)
}

// eligible reports whether a target may serve a kind according to the catalog.
func eligible(t basilmoor.Target, k basilmoor.Kind) bool {
	return t.Pool == k.Pool && t.Serves(k.Model, k.ExpectedPromptTokens+k.ExpectedOutputTokens)
}
