package bmrollout

import (
	"basilmoor.example/basilmoor"
)

// Reason tells why a rollout was rolled back.
type Reason string

// Reasons.
const (
	ReasonFailures    Reason = "failures"     // or the evidence of earlier owners
	ReasonSlowStart   Reason = "slow-start"   // to the first token, or to the response of a plain service
	ReasonSlowTokens  Reason = "slow-tokens"  // between tokens
	ReasonSlowVersion Reason = "slow-version" // all its targets
	ReasonSuspect     Reason = "suspect"      // at the time limit
	ReasonFewAnswers  Reason = "few-answers"  // at the time limit
	ReasonFewTargets  Reason = "few-targets"  // at the time limit
)

// Fleet is what the owner knows of the targets of a pool.
type Fleet struct {
	OldTargets int
	OldSlots   int // of targets that are not leaving
	NewSlots   int
	OldRunning int             // requests in progress on old targets
	Targets    map[string]bool // names of all
}

// Answer is an observation of one granted request: its first token, its end, or a start
// that is overdue.
type Answer struct {
	New    bool // of a target of the new version
	Target string
	Kind   string

	// Start is the ratio of the time to the first token, or to the response of a plain
	// service, to the expected one, and Pace that of the time between tokens; 0 if
	// unknown.
	Start float64
	Pace  float64
	// Ended is set at the end of a request, and Bad if the target's answer was a
	// failure.
	Ended bool
	Bad   bool
}

// Counts are the counters of a rollout since its order, for the log and the metrics. After
// a change of the owner, Answers and Bad cover the present owner only.
type Counts struct {
	Exposed int // requests to the new version
	Total   int // requests of the pool since the order
	Answers int // of the new version
	Bad     int // failed or slow answers of the new version
	Score   float64
}

// Rollout is the state of an order at the owner. It is not safe for concurrent use.
type Rollout struct {
	order  Order
	bounds Bounds
	plan   plan
	began  basilmoor.Millis // when the order was written, as far as known

	stage      Stage
	reason     Reason
	recorded   Record           // the latest that was stored
	ownedUntil basilmoor.Millis // requests may go to the new version until then

	exposed            int // requests granted to the new version, upper bound
	total              int // requests of the pool, lower bound
	rateSince          basilmoor.Millis
	totalBefore        int
	perMilli           float64 // requests of the pool per ms
	batchOpen          bool
	alone              bool // no old target is listed
	shiftNew, shiftAll int  // requests of the shifting stage

	failures, start, pace *comparison
	oldStart, newStart    levels
	oldPace, newPace      levels
	seen                  map[string]bool // targets of the new version that have answered
	granted               map[string]int  // requests, by target of the new version
	bad                   int
	earlierAnswers        int // that earlier owners have weighed
}

// New returns the rollout of an order. began is the earliest known time at which the order
// existed; Resume may set it to an earlier one.
func New(order Order, bounds Bounds, began basilmoor.Millis) *Rollout {
	return &Rollout{
		order:    order,
		bounds:   bounds,
		plan:     newPlan(order.Duration),
		began:    began,
		stage:    StageCanary,
		failures: newComparison(ReasonFailures, 0.01, 0.1),
		start:    newComparison(ReasonSlowStart, 0.05, 0.2),
		pace:     newComparison(ReasonSlowTokens, 0.05, 0.2),
		oldStart: levels{},
		newStart: levels{},
		oldPace:  levels{},
		newPace:  levels{},
		seen:     map[string]bool{},
		granted:  map[string]int{},
	}
}

// Order returns the order.
func (r *Rollout) Order() Order { return r.order }

// Stage returns the stage.
func (r *Rollout) Stage() Stage { return r.stage }

// Reason returns the reason of the rollback, if there was one.
func (r *Rollout) Reason() Reason { return r.reason }

// Counts returns the numbers of the rollout.
func (r *Rollout) Counts() Counts {
	return Counts{
		Exposed: r.exposed,
		Total:   r.total,
		Answers: r.failures.judged,
		Bad:     r.bad,
		Score:   r.score(),
	}
}

// Observe weighs an answer.
func (r *Rollout) Observe(now basilmoor.Millis, a Answer) {
	bad := a.Ended && a.Bad
	if a.Ended {
		r.compare(now, r.failures, a, a.Bad)
	}
	if r.observeTime(now, r.start, r.levelsOf(a.New, r.oldStart, r.newStart), a, a.Start) {
		bad = true
	}
	if r.observeTime(now, r.pace, r.levelsOf(a.New, r.oldPace, r.newPace), a, a.Pace) {
		bad = true
	}
	if !a.New {
		return
	}
	r.seen[a.Target] = true
	if bad {
		r.bad++
	}
}

// observeTime weighs the ratio of a time of an answer to the expected one, 0 if unknown, and
// reports whether it is slow.
func (r *Rollout) observeTime(now basilmoor.Millis, c *comparison, v levels, a Answer, ratio float64) bool {
	if ratio <= 0 {
		return false
	}
	slow, known := v.of(a.Target).observe(ratio)
	if known {
		r.compare(now, c, a, slow)
	}
	return slow
}

func (r *Rollout) levelsOf(isNew bool, old, next levels) levels {
	if isNew {
		return next
	}
	return old
}

func (r *Rollout) compare(now basilmoor.Millis, c *comparison, a Answer, bad bool) {
	if a.New {
		c.observeNew(now, a.Kind, a.Target, bad)
		return
	}
	c.observeOld(now, a.Kind, bad)
}

// SlowStartLimit returns the ratio from which a request on a target counts as slow before
// its first token; 0 if the usual one is not known. It holds for both versions, because
// the slow answers of the one are compared with those of the other.
func (r *Rollout) SlowStartLimit(t basilmoor.Target) float64 {
	if l := r.levelsOf(r.IsNew(t), r.oldStart, r.newStart).of(t.Name); l.known() {
		return slowFactor * l.value
	}
	return 0
}

// contribution returns what one target may contribute to the evidence: all of it if no
// other has answered.
func (r *Rollout) contribution() float64 {
	if len(r.seen) >= minTargetsForCap {
		return targetScore
	}
	return rollbackScore / float64(max(len(r.seen), 1))
}

func (r *Rollout) score() float64 {
	limit := r.contribution()
	score := 0.0
	for _, c := range []*comparison{r.failures, r.start, r.pace} {
		score = max(score, c.score(limit))
	}
	return score
}

// verdict returns the reason to roll the version back, if there is one.
func (r *Rollout) verdict(f Fleet) Reason {
	limit := r.contribution()
	for _, c := range []*comparison{r.failures, r.start, r.pace} {
		if c.score(limit) >= rollbackScore {
			return c.reason
		}
	}
	if slower(r.oldStart, r.newStart, f.OldTargets) || slower(r.oldPace, r.newPace, f.OldTargets) {
		return ReasonSlowVersion
	}
	return ""
}

// Step advances the stage and reports whether it has changed. Without a valid record (see
// Owned), the only possible change is a rollback.
func (r *Rollout) Step(now basilmoor.Millis, f Fleet) bool {
	if r.stage.Decided() {
		return false
	}
	before := r.stage
	r.estimateRate(now)
	for _, c := range []*comparison{r.failures, r.start, r.pace} {
		c.judge(now, r.judgeDelay(now))
	}
	r.oldStart.keep(f.Targets)
	r.newStart.keep(f.Targets)
	r.oldPace.keep(f.Targets)
	r.newPace.keep(f.Targets)
	if reason := r.verdict(f); reason != "" {
		r.rollBack(reason)
		return true
	}
	if !r.Owned(now) {
		return false
	}
	elapsed := now - r.began
	switch r.stage {
	case StageCanary:
		r.endCanary(elapsed, f)
	case StageShifting:
		if elapsed >= r.plan.drain && r.recorded.Stage == StageShifting {
			r.stage = StageDraining
		}
	case StageDraining:
		if r.recorded.Stage == StageDraining {
			r.endDrain(elapsed, f)
		}
	}
	return r.stage != before
}

// endDrain ends the draining stage once the old targets are idle and the version has had
// all requests for a while, or when the time limit demands it.
func (r *Rollout) endDrain(elapsed basilmoor.Millis, f Fleet) {
	suspect := r.score() >= suspectScore
	switch {
	case elapsed >= r.plan.complete && suspect:
		r.rollBack(ReasonSuspect)
	case elapsed >= r.plan.complete, !suspect && f.OldRunning == 0 && elapsed >= (r.plan.drain+r.plan.complete)/2:
		r.stage = StageCompleted
	}
}

// judgeDelay returns the time after which the answers of the new version are judged. Once it
// is to get more requests than the bounds allow a bad version, that can't wait.
func (r *Rollout) judgeDelay(now basilmoor.Millis) basilmoor.Millis {
	if now-r.began < r.plan.shift {
		return usualJudgeDelay
	}
	return 0
}

// endCanary ends the canary stage if the version is judged good, or at the latest when the
// time limit leaves no more time to move the requests.
func (r *Rollout) endCanary(elapsed basilmoor.Millis, f Fleet) {
	if elapsed < r.plan.shift {
		return
	}
	last := elapsed >= r.plan.complete
	switch {
	case f.OldTargets == 0 && f.NewSlots > 0:
		r.stage = StageShifting
	case r.failures.judged < minAnswers && r.failures.judged+r.earlierAnswers < minAnswersOfAll:
		r.rollBackIf(last, ReasonFewAnswers)
	case r.score() >= suspectScore:
		r.rollBackIf(last, ReasonSuspect)
	case float64(f.NewSlots) < minCapacity*float64(f.OldSlots):
		r.rollBackIf(last, ReasonFewTargets)
	default:
		r.stage = StageShifting
	}
}

func (r *Rollout) rollBackIf(last bool, reason Reason) {
	if last {
		r.rollBack(reason)
	}
}

func (r *Rollout) rollBack(reason Reason) {
	r.stage = StageRolledBack
	r.reason = reason
}

// estimateRate updates the rate of the pool's requests once per renewPeriod.
func (r *Rollout) estimateRate(now basilmoor.Millis) {
	if now-r.rateSince < renewPeriod {
		return
	}
	if r.rateSince > 0 {
		r.perMilli = float64(r.total-r.totalBefore) / float64(now-r.rateSince)
	}
	r.rateSince = now
	r.totalBefore = r.total
}
