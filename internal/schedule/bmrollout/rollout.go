package bmrollout

import (
	"cmp"
	"slices"

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

// Answer is the end, or the first token, of a granted request.
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

// Counts are the numbers of a rollout for the log.
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

	exposed, total     int // requests, at most and at least
	rateSince          basilmoor.Millis
	totalBefore        int
	perMilli           float64 // requests of the pool per ms
	gateOpen           bool
	shiftNew, shiftAll int // requests of the shifting stage

	failures, start, pace *comparison
	oldStart, newStart    levels
	oldPace, newPace      levels
	seen                  map[string]bool // targets of the new version that have answered
	granted               map[string]int  // requests, by target of the new version
	bad                   int
	earlierAnswers        int // that earlier owners have weighed
}

// New returns the rollout of an order. began is when the order was learned, at the latest.
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

// Resume continues from the record of an earlier owner that was read at a time.
func (r *Rollout) Resume(now basilmoor.Millis, last Record) {
	if !last.Of(r.order) {
		return
	}
	r.began = min(r.began, now-last.Elapsed)
	r.stage = last.Stage
	r.reason = last.Reason
	r.exposed = max(r.exposed, last.Reserved)
	r.total = max(r.total, last.Total)
	r.totalBefore = r.total
	if r.failures.judged == 0 {
		// Good answers reduce the evidence of earlier owners, like that of this one.
		r.failures.all.sum = max(r.failures.all.sum, last.Score)
		r.earlierAnswers = last.Answers
	}
	if last.Stage.Decided() {
		r.recorded = last
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

// Owned reports whether the stored record allows this owner to send requests to the new
// version.
func (r *Rollout) Owned(now basilmoor.Millis) bool {
	return now < r.ownedUntil
}

// AllowsNew reports whether a request may be granted a target of the new version. One
// that was sent before is spared the canary stage.
func (r *Rollout) AllowsNew(now basilmoor.Millis, retried bool) bool {
	if r.recorded.Stage == StageCompleted {
		return true
	}
	if !r.Owned(now) {
		return false
	}
	switch r.stage {
	case StageCanary:
		return !retried && r.canaryGate()
	case StageShifting:
		// Until the stage is stored, a next owner would not know of the requests
		// beyond those reserved.
		return r.recorded.Stage == StageShifting && float64(r.shiftNew) <= r.plan.shareAt(now-r.began)*float64(r.shiftAll)
	case StageDraining, StageCompleted:
		return true
	}
	return false
}

// AllowsOld reports whether a request may be granted an old target.
func (r *Rollout) AllowsOld(now basilmoor.Millis) bool {
	switch r.stage {
	case StageDraining:
		return !r.Owned(now) || r.recorded.Stage != StageDraining
	case StageCompleted:
		return !r.Owned(now) && r.recorded.Stage != StageCompleted
	}
	return true
}

// usesAllNew reports whether requests may go to all targets of the new version, not only
// to the canaries.
func (r *Rollout) usesAllNew() bool {
	return r.stage == StageShifting || r.stage == StageDraining || r.stage == StageCompleted
}

// canaries returns how many targets of the new version get the requests of the canary
// stage.
func (r *Rollout) canaries(targets int) int {
	return max(minCanaries, int(r.bounds.ExposedShare*float64(targets)/2+0.5))
}

// canaryGate reports whether the saved budget is being used.
func (r *Rollout) canaryGate() bool {
	left := min(r.canaryLimit(0), r.recorded.Reserved) - r.exposed
	switch {
	case left <= 0:
		r.gateOpen = false
	case left >= canaryPulse:
		r.gateOpen = true
	}
	return r.gateOpen
}

// canaryLimit returns the number of requests that may go to the new version in the canary
// stage if the pool gets some more requests.
func (r *Rollout) canaryLimit(more int) int {
	return int(canaryBudget * (r.bounds.ExposedShare*float64(r.total+more) + r.bounds.ExposedSlack))
}

// Compare returns a negative number if a request is better granted a than b, both of which
// are allowed, a positive one if it is the reverse, and 0 if the versions don't matter.
// The new version comes first, since the number of its requests is bounded. In the canary
// stage they fill one target after the other: some versions are bad under load only.
func (r *Rollout) Compare(a, b basilmoor.Target, runningOnA, runningOnB int) int {
	newA, newB := r.IsNew(a), r.IsNew(b)
	switch {
	case newA != newB && newA:
		return -1
	case newA != newB:
		return 1
	case !newA || r.stage != StageCanary:
		return 0
	}
	return cmp.Or(cmp.Compare(runningOnB, runningOnA), cmp.Compare(r.granted[a.Name], r.granted[b.Name]))
}

// Granted counts a request that was granted a target.
func (r *Rollout) Granted(t basilmoor.Target) {
	toNew := r.IsNew(t)
	r.total++
	if toNew {
		r.exposed++
		r.granted[t.Name]++
	}
	if r.stage == StageShifting {
		r.shiftAll++
		if toNew {
			r.shiftNew++
		}
	}
}

// Observe weighs an answer. It returns whether it was a bad one of the new version.
func (r *Rollout) Observe(now basilmoor.Millis, a Answer) bool {
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
		return false
	}
	r.seen[a.Target] = true
	if bad {
		r.bad++
	}
	return bad
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
	if len(r.seen) >= minVoters {
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

// Step advances the stage and reports whether it has changed. The stages of a rollout
// that is not owned stay, except that evidence always rolls back.
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
		return judgeDelay
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

// NextRecord returns the record to store under a generation.
func (r *Rollout) NextRecord(now basilmoor.Millis, owner string, generation int64) Record {
	reserved := max(r.exposed, r.recorded.Reserved)
	if r.stage == StageCanary {
		limit := r.canaryLimit(int(r.perMilli * float64(r.ownership())))
		reserved = max(reserved, min(limit, r.exposed+reservedPulses*canaryPulse))
	}
	return Record{
		Version:    r.order.Version,
		Order:      r.order.At.Revision,
		Generation: generation,
		Owner:      owner,
		Stage:      r.stage,
		Reason:     r.reason,
		Reserved:   reserved,
		Total:      r.total,
		Answers:    r.failures.judged + r.earlierAnswers,
		Score:      r.score(),
		Elapsed:    max(now-r.began, 0),
	}
}

// Stored notes that a record was stored, by a call that was sent at a time.
func (r *Rollout) Stored(sent basilmoor.Millis, stored Record) {
	r.recorded = stored
	r.ownedUntil = max(r.ownedUntil, sent+r.ownership())
}

// ownership returns how long a stored record allows its owner to send requests to the new
// version. The next owner may have rolled it back meanwhile.
func (r *Rollout) ownership() basilmoor.Millis {
	if r.bounds.RollbackTime == 0 {
		return maxOwnership
	}
	return min(maxOwnership, r.bounds.RollbackTime/2)
}

// Lost notes that another owner has stored a record: this one sends nothing more to the
// new version.
func (r *Rollout) Lost() {
	r.ownedUntil = 0
}

// RecordDue reports whether a record is to be stored: because of a new stage, or because
// the latest one lapses or is used up. sent is when the latest call was sent.
func (r *Rollout) RecordDue(now, sent basilmoor.Millis) bool {
	if r.recorded.Stage != r.stage {
		return true
	}
	if r.stage == StageCanary && now-sent >= reservePeriod && r.recorded.Reserved-r.exposed < canaryPulse && r.canaryLimit(0)-r.recorded.Reserved >= canaryPulse {
		return true
	}
	return !r.stage.Decided() && now-sent >= renewPeriod
}

// IsNew reports whether a target is of the new version.
func (r *Rollout) IsNew(t basilmoor.Target) bool {
	return t.Version == r.order.Version
}

// Usable returns the targets of a pool; those that get no requests in this stage have no
// slots, so that they don't count as capacity.
func (r *Rollout) Usable(now basilmoor.Millis, targets []basilmoor.Target) []basilmoor.Target {
	usable := slices.Clone(targets)
	fresh := 0
	for _, t := range targets {
		if r.IsNew(t) {
			fresh++
		}
	}
	canaries := r.canaries(fresh)
	for i, t := range usable {
		switch {
		case !r.IsNew(t):
			if !r.AllowsOld(now) {
				usable[i].Slots = 0
			}
		case r.stage == StageRolledBack, !r.Owned(now) && r.recorded.Stage != StageCompleted:
			usable[i].Slots = 0
		case !r.usesAllNew() && !t.Leaving:
			if canaries == 0 {
				usable[i].Slots = 0
				continue
			}
			canaries--
		}
	}
	return usable
}
