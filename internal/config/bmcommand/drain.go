package bmcommand

import (
	"math"
	"slices"

	"basilmoor.example/basilmoor"
)

// empty reports whether a drained target has no work left and gets no more.
func (t *target) empty() bool {
	return t.draining && t.taken >= t.drainSince+drainSettle && t.report.Running == 0
}

// beginDrain marks a target if enough others serve each of its kinds.
func (r *Reconciler) beginDrain(now basilmoor.Millis, t *target) []Drain {
	for _, k := range r.kinds {
		if !r.serves(now, t, k) {
			continue
		}
		serving, total := r.count(now, k)
		if serving-1 < r.least(total) {
			return nil
		}
	}
	t.draining = true
	t.drainSince = now
	return []Drain{{
		Target: t.desired.Name,
		On:     true,
	}}
}

func (r *Reconciler) lift(t *target) Drain {
	t.draining = false
	return Drain{
		Target: t.desired.Name,
		On:     false,
	}
}

// least is the number of targets of total that draining leaves serving. It is
// at least one, so that the only target of a kind is never drained; the
// operator adds another one first.
func (r *Reconciler) least(total int) int {
	return max(1, int(math.Ceil(r.cfg.ServingShare*float64(total))))
}

// count returns how many targets serve a kind, and how many are meant to. A
// target that was silent for long or whose commands keep failing counts only
// if it serves: else one bad target could keep all others from changing.
func (r *Reconciler) count(now basilmoor.Millis, k basilmoor.Kind) (serving, total int) {
	for _, t := range r.targets {
		if r.serves(now, t, k) {
			serving++
			total++
			continue
		}
		gone := !t.reported || now-t.taken >= goneAfter || t.failures >= maxFailures
		if meant(t.desired, k) && !gone {
			total++
		}
	}
	return serving, total
}

// serves reports whether a target serves a kind at present.
func (r *Reconciler) serves(now basilmoor.Millis, t *target, k basilmoor.Kind) bool {
	if t.draining || !t.fresh(now) || !meant(t.desired, k) {
		return false
	}
	return k.Model == "" || slices.Contains(t.report.Models, k.Model)
}

// meant reports whether the catalog lets a target serve a kind.
func meant(t basilmoor.Target, k basilmoor.Kind) bool {
	return t.Pool == k.Pool && t.Serves(k.Model, k.ExpectedPromptTokens+k.ExpectedOutputTokens)
}
