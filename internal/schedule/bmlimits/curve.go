package bmlimits

import (
	"slices"

	"basilmoor.example/basilmoor"
)

const (
	// minSamples is the number of responses at a concurrency from which it is
	// compared with others.
	minSamples = 10

	// sampleWeight is the weight of a response in the average of its concurrency.
	sampleWeight = 0.2

	// retention is the age from which the responses at a concurrency say nothing
	// about the present.
	retention = 30 * basilmoor.Second

	// minAdvantage is the ratio of throughputs from which a lower concurrency is
	// preferred. Smaller differences can't be told from noise, and a limit that
	// gains little is not worth the slots.
	minAdvantage = 1.25

	// minProbePeriod is the time from a change of the limit to a trial of one
	// request more. It doubles with each trial that fails, up to maxProbePeriod.
	minProbePeriod = 2 * basilmoor.Second
	maxProbePeriod = 32 * basilmoor.Second
)

// Curve is the time that work takes on a target by the number of requests at once, and
// the concurrency limit that follows from it. The zero value has no limit.
type Curve struct {
	levels      []level // by number of requests at once; the first is not used
	limit       int     // 0 for none
	changedAt   basilmoor.Millis
	probePeriod basilmoor.Millis
}

// level is what is known of one concurrency.
type level struct {
	time    float64 // average time of work, relative to any fixed time
	samples int
	at      basilmoor.Millis // of the latest sample
}

// Limit returns the number of requests that may run at once, at most slots.
func (c Curve) Limit(now basilmoor.Millis, slots int) int {
	if c.limit == 0 {
		return slots
	}
	if c.probing(now) {
		return min(c.limit+1, slots)
	}
	return min(c.limit, slots)
}

// probing reports whether one request more than the limit is on trial.
func (c Curve) probing(now basilmoor.Millis) bool {
	return now-c.changedAt >= c.probePeriod
}

// WithSample returns c after a response that took the given time, relative to any fixed
// time that is the same for all samples, while atOnce requests ran.
func (c Curve) WithSample(now basilmoor.Millis, atOnce int, time float64) Curve {
	if atOnce < 1 || time <= 0 {
		return c
	}
	c.levels = slices.Clone(c.levels)
	for len(c.levels) <= atOnce {
		c.levels = append(c.levels, level{})
	}
	l := &c.levels[atOnce]
	trialBegan := c.limit > 0 && atOnce > c.limit && c.probing(now) && l.at < c.changedAt+c.probePeriod
	if l.samples == 0 || now-l.at > retention || trialBegan {
		*l = level{
			time: time,
		}
	}
	l.time += sampleWeight * (time - l.time)
	l.samples++
	l.at = now
	if l.samples < minSamples {
		return c
	}
	return c.judge(now, atOnce)
}

// judge lowers the limit to a concurrency at which the target completes more than it
// does with atOnce requests, or raises it after a trial that did well.
func (c Curve) judge(now basilmoor.Millis, atOnce int) Curve {
	best := c.best(now, atOnce)
	switch {
	case c.limit == 0 || atOnce <= c.limit:
		if best < atOnce {
			c.limit = best
			c.changedAt = now
			c.probePeriod = minProbePeriod
		}
	case !c.probing(now):
		// Responses to requests that were granted before the limit fell.
	case best < atOnce:
		c.changedAt = now
		c.probePeriod = min(2*c.probePeriod, maxProbePeriod)
	default:
		c.limit = atOnce
		c.changedAt = now
		c.probePeriod = minProbePeriod
	}
	return c
}

// best returns the concurrency, up to atOnce, at which the target completes the most
// work, or atOnce if the others are not clearly better.
func (c Curve) best(now basilmoor.Millis, atOnce int) int {
	best := atOnce
	highest := minAdvantage * c.throughput(atOnce)
	for n := 1; n < atOnce; n++ {
		l := c.levels[n]
		if l.samples >= minSamples && now-l.at <= retention && c.throughput(n) > highest {
			best = n
			highest = c.throughput(n)
		}
	}
	return best
}

func (c Curve) throughput(atOnce int) float64 {
	return float64(atOnce) / c.levels[atOnce].time
}
