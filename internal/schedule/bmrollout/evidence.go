package bmrollout

import (
	"math"

	"basilmoor.example/basilmoor"
)

const (
	// rollbackScore is the evidence, as a log likelihood ratio, that rolls a version
	// back, and suspectScore that which keeps it from getting more requests.
	rollbackScore = 10.0
	suspectScore  = 4.0

	// targetScore is the largest part of rollbackScore that a single target
	// contributes if several have answered: a fault of one target isn't one of the
	// version.
	targetScore = 0.4 * rollbackScore

	// longWindow is the time constant of the bad share of the old version, and
	// shortWindow that by which a fault that has just begun on both versions shows.
	longWindow  = 2 * basilmoor.Second
	shortWindow = 300 * basilmoor.Millis(1)

	// peakWindow is the time constant by which a high share of the short window is
	// forgotten. Answers of the two versions to requests of the same time don't come at
	// the same time.
	peakWindow = basilmoor.Second

	// usualWeight is the number of answers as which the share of the long window counts
	// in that of the short one.
	usualWeight = 10.0

	// usualJudgeDelay is the time after which an answer of the new version is judged: those
	// that the old one gave beside it count as well.
	usualJudgeDelay = 300 * basilmoor.Millis(1)

	// baseAge is the age from which the baseline of the old version is too old to compare
	// with. agedShare is then the least share of bad answers assumed of the old version.
	baseAge   = basilmoor.Second
	agedShare = 0.1

	// maxShare and maxWorseShare bound the shares of bad answers that are assumed of the
	// old version and of a bad new one.
	maxShare      = 0.7
	maxWorseShare = 0.95

	// maxKinds limits the kinds of requests that are judged apart.
	maxKinds = 64
)

// window is the share of bad answers over a time constant.
type window struct {
	bad, all float64 // decaying
}

func (w *window) observe(age, constant basilmoor.Millis, bad bool) {
	decay := math.Exp(-float64(age) / float64(constant))
	w.bad *= decay
	w.all = w.all*decay + 1
	if bad {
		w.bad++
	}
}

// baseline is the share of the old version's answers that are bad, of one kind or of all.
type baseline struct {
	long, short window
	peak        float64 // of the latest share, decaying
	at          basilmoor.Millis
}

func (b *baseline) observe(now basilmoor.Millis, bad bool) {
	b.long.observe(now-b.at, longWindow, bad)
	b.short.observe(now-b.at, shortWindow, bad)
	b.peak = max(b.peak*math.Exp(-float64(now-b.at)/float64(peakWindow)), b.latest())
	b.at = now
}

// latest returns the share over the short window, in which there may be few answers.
func (b *baseline) latest() float64 {
	usual := b.long.bad / (b.long.all + 1)
	return (b.short.bad + usualWeight*usual) / (b.short.all + usualWeight)
}

// share returns an upper estimate of the share at a time, at least least.
func (b *baseline) share(now basilmoor.Millis, least float64) float64 {
	if now-b.at > baseAge {
		least = max(least, agedShare)
	}
	n := b.long.all + 1
	mean := (b.long.bad + least) / n
	upper := mean + math.Sqrt(mean*(1-mean)/n) + 0.5/n
	return max(upper, b.peak, least)
}

// sequence is a cumulative sum test on the answers of the new version, which finds a
// change for the worse soon after it has begun.
type sequence struct {
	sum  float64
	part map[string]float64 // of sum since it was 0, by target
}

func (s *sequence) add(target string, ratio float64) {
	s.sum += ratio
	if s.sum <= 0 {
		s.sum = 0
		clear(s.part)
		return
	}
	if s.part == nil {
		s.part = map[string]float64{}
	}
	s.part[target] += ratio
}

// score returns the sum, to which each target contributes at most limit.
func (s *sequence) score(limit float64) float64 {
	score := s.sum
	for _, part := range s.part {
		score -= max(part-limit, 0)
	}
	return max(score, 0)
}

// comparison compares the bad answers of two versions in one respect.
type comparison struct {
	reason    Reason
	least     float64              // least bad share that is assumed of the old version
	step      float64              // a bad version has twice the share and this more
	baselines map[string]*baseline // by kind
	total     baseline
	pending   []newAnswer // in the order of their times
	judged    int         // answers of the new version
	kinds     map[string]*sequence
	all       sequence
}

func newComparison(reason Reason, least, step float64) *comparison {
	return &comparison{
		reason:    reason,
		least:     least,
		step:      step,
		baselines: map[string]*baseline{},
		kinds:     map[string]*sequence{},
	}
}

func (c *comparison) observeOld(now basilmoor.Millis, kind string, bad bool) {
	of(c.baselines, kind).observe(now, bad)
	c.total.observe(now, bad)
}

// newAnswer is an answer of the new version that is to be judged.
type newAnswer struct {
	at           basilmoor.Millis
	kind, target string
	bad          bool
}

func (c *comparison) observeNew(now basilmoor.Millis, kind, target string, bad bool) {
	c.pending = append(c.pending, newAnswer{
		at:     now,
		kind:   kind,
		target: target,
		bad:    bad,
	})
}

// judge judges the answers of the new version that are older than delay.
func (c *comparison) judge(now, delay basilmoor.Millis) {
	n := 0
	for n < len(c.pending) && now-c.pending[n].at >= delay {
		c.judgeAnswer(now, c.pending[n])
		n++
	}
	c.pending = c.pending[n:]
	c.judged += n
}

func (c *comparison) judgeAnswer(now basilmoor.Millis, a newAnswer) {
	usual := min(max(of(c.baselines, a.kind).share(now, c.least), c.total.peak), maxShare)
	worse := min(2*usual+c.step, maxWorseShare)
	ratio := math.Log((1 - worse) / (1 - usual))
	if a.bad {
		ratio = math.Log(worse / usual)
	}
	of(c.kinds, a.kind).add(a.target, ratio)
	c.all.add(a.target, ratio)
}

// score returns the largest evidence, of a kind or of all together.
func (c *comparison) score(limit float64) float64 {
	score := c.all.score(limit)
	for _, s := range c.kinds {
		score = max(score, s.score(limit))
	}
	return score
}

// of returns the value of a kind, or that which the kinds beyond maxKinds share.
func of[V any](values map[string]*V, kind string) *V {
	if v, known := values[kind]; known {
		return v
	}
	if len(values) >= maxKinds {
		kind = ""
	}
	if values[kind] == nil {
		values[kind] = new(V)
	}
	return values[kind]
}
