package bmrollout

import (
	"maps"
	"math"
)

const (
	// slowFactor is the ratio of a time to the usual one of its target from which an
	// answer is slow.
	slowFactor = 3.0

	// levelQuantile is the fraction of a target's times that are shorter than its
	// usual one: below one half, so that slow answers barely change it.
	levelQuantile = 0.3
	levelStep     = 0.05

	// minLevelSamples is the number of times from which the usual one is known.
	minLevelSamples = 4

	// minJudgedTargets is the number of targets of each version with a known level from
	// which the versions are compared as a whole, and minKnownShare the fraction of the
	// old targets that must have one: targets differ in speed, and a scheduler prefers
	// the faster ones.
	minJudgedTargets = 5
	minKnownShare    = 0.5

	// slowerVersion is the ratio of the usual times from which the new version is
	// slower as a whole.
	slowerVersion = 2.7
)

// level is the usual ratio of a target's times to those expected of a target of the
// default speed.
type level struct {
	value   float64
	samples int
}

// observe adds a ratio and reports whether it is that of a slow answer, if the level was
// known before.
func (l *level) observe(ratio float64) (slow, known bool) {
	known = l.known()
	slow = known && ratio > slowFactor*l.value
	l.samples++
	switch {
	case l.samples == 1 || l.samples <= minLevelSamples && ratio < l.value:
		l.value = ratio
	case ratio > l.value:
		l.value *= 1 + levelStep*levelQuantile
	default:
		l.value *= 1 - levelStep*(1-levelQuantile)
	}
	return slow, known
}

func (l *level) known() bool {
	return l.samples >= minLevelSamples
}

// levels holds the levels of the targets by name.
type levels map[string]*level

func (v levels) of(target string) *level {
	l, known := v[target]
	if !known {
		l = &level{}
		v[target] = l
	}
	return l
}

// keep forgets the targets that are not listed.
func (v levels) keep(listed map[string]bool) {
	maps.DeleteFunc(v, func(name string, _ *level) bool { return !listed[name] })
}

// mean returns the geometric mean of the known levels and their number.
func (v levels) mean() (mean float64, n int) {
	sum := 0.0
	for _, l := range v {
		if l.known() && l.value > 0 {
			sum += math.Log(l.value)
			n++
		}
	}
	return math.Exp(sum / float64(max(n, 1))), n
}

// slower reports whether the targets of the new version are slower as a whole.
func slower(old, next levels, oldTargets int) bool {
	usual, known := old.mean()
	mean, judged := next.mean()
	if min(judged, known) < minJudgedTargets || float64(known) < minKnownShare*float64(oldTargets) {
		return false
	}
	return mean > slowerVersion*usual
}
