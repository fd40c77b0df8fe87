package bmcommand

import (
	"math/rand/v2"
	"slices"
	"strings"

	"basilmoor.example/basilmoor"
)

// Time limits, backoff and failure limits of the reconciler.
const (
	// drainPropagation is the time after which no broker grants requests to a
	// draining target (invariant I6). A report measured later shows all the
	// work that is left.
	drainPropagation = 3 * basilmoor.Second

	// drainTimeout ends a drain whose target still has work, so that a single
	// long request can't keep part of a kind's capacity out of service.
	drainTimeout = 10 * basilmoor.Minute

	// reportMaxAge is the age from which a report is ignored. Targets report
	// every few seconds.
	reportMaxAge = 15 * basilmoor.Second

	// targetLostAfter is the age of the last report from which a target no
	// longer counts as capacity.
	targetLostAfter = basilmoor.Minute

	// effectTimeout is the time after a successful command within which a
	// newer report must arrive.
	effectTimeout = 30 * basilmoor.Second

	initialBackoff = basilmoor.Second
	maxBackoff     = 5 * basilmoor.Minute

	// maxConsecutiveFailures is the number of failures after which a target
	// no longer counts as capacity, and its drain ends until the next
	// attempt.
	maxConsecutiveFailures = 3
)

// Config holds the settings of a Reconciler.
type Config struct {
	Seed        uint64
	LeaseTTL    basilmoor.Millis
	CallTimeout basilmoor.Millis // upper bound on the duration of a command's call

	// MinServingFraction is the fraction of each kind's targets, from 0 to 1, that
	// must keep serving during a drain. The number of targets is rounded up.
	MinServingFraction float64

	// LoadsPerMinute and LoadBurst limit the rate of loads from the weight
	// store.
	LoadsPerMinute int
	LoadBurst      int
}

// DrainChange tells brokers to stop granting requests to a target, or to resume. A
// target is drained while any host has an active drain mark on it. A mark must
// stay active for CallTimeout after its host failed, because a call of that
// host may still be in progress.
type DrainChange struct {
	Target string
	On     bool
}

// Reconciler brings targets to their desired state. It is not safe for
// concurrent use.
type Reconciler struct {
	cfg           Config
	rand          *rand.Rand
	lease         lease
	kinds         []basilmoor.Kind
	targets       map[string]*targetState
	loadLimit     tokenBucket
	lastCommandID int64
}

// targetState is the desired and the last known state of one target.
type targetState struct {
	desired    basilmoor.Target
	report     Report
	measuredAt basilmoor.Millis // when the report was measured
	hasReport  bool

	draining   bool
	drainSince basilmoor.Millis

	pendingCommand *Command
	sentAt         basilmoor.Millis
	lastAttempt    basilmoor.Millis
	succeededAt    basilmoor.Millis // when the last command succeeded
	awaitingReport bool             // no report measured after succeededAt has arrived
	failures       int
	retryAt        basilmoor.Millis // no command is sent before this time
}

// New returns a reconciler that holds no lease.
func New(cfg Config, now basilmoor.Millis) *Reconciler {
	return &Reconciler{
		cfg:     cfg,
		rand:    rand.New(rand.NewPCG(cfg.Seed, 0)),
		targets: make(map[string]*targetState),
		loadLimit: tokenBucket{
			perMinute: cfg.LoadsPerMinute,
			burst:     cfg.LoadBurst,
			tokens:    float64(cfg.LoadBurst),
			updatedAt: now,
		},
	}
}

// SetDesired replaces the desired state. The state of targets that are not
// listed is discarded.
func (r *Reconciler) SetDesired(kinds []basilmoor.Kind, targets []basilmoor.Target) {
	r.kinds = kinds
	inCatalog := make(map[string]bool, len(targets))
	for _, d := range targets {
		inCatalog[d.Name] = true
		t := r.targets[d.Name]
		if t == nil {
			t = &targetState{}
			r.targets[d.Name] = t
		}
		t.desired = d
	}
	for name := range r.targets {
		if !inCatalog[name] {
			delete(r.targets, name)
		}
	}
}

// HandleReport records a report of a target. Reports may arrive out of order: one
// that was measured before the last known one is ignored.
func (r *Reconciler) HandleReport(now basilmoor.Millis, name string, report Report) {
	t := r.targets[name]
	measuredAt := now - report.Age
	if t == nil || (t.hasReport && measuredAt < t.measuredAt) {
		return
	}
	t.report = report
	t.measuredAt = measuredAt
	t.hasReport = true
	if measuredAt > t.succeededAt {
		t.awaitingReport = false
	}
}

// HandleResult records the result of a command; err is nil if it succeeded.
// Results of commands that are no longer pending are ignored.
func (r *Reconciler) HandleResult(now basilmoor.Millis, c Command, err error) []DrainChange {
	t := r.targets[c.Target.Name]
	if t == nil || t.pendingCommand == nil || t.pendingCommand.ID != c.ID {
		return nil
	}
	t.pendingCommand = nil
	if err != nil {
		return r.recordFailure(now, t)
	}
	t.succeededAt = now
	t.awaitingReport = true
	return nil
}

// Tick returns the commands to send and the drains to start or end. It must be
// called at least once a second. Targets are handled in the order of their last
// attempt, the oldest first, so that failing ones don't use up the load rate.
func (r *Reconciler) Tick(now basilmoor.Millis) ([]Command, []DrainChange) {
	var commands []Command
	var drains []DrainChange
	for _, t := range r.targetsByLastAttempt() {
		drains = append(drains, r.checkTimeouts(now, t)...)
		c, d := r.reconcile(now, t)
		if c != nil {
			commands = append(commands, *c)
		}
		drains = append(drains, d...)
	}
	return commands, drains
}

func (r *Reconciler) targetsByLastAttempt() []*targetState {
	list := make([]*targetState, 0, len(r.targets))
	for _, t := range r.targets {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *targetState) int {
		if a.lastAttempt != b.lastAttempt {
			return int(a.lastAttempt - b.lastAttempt)
		}
		return strings.Compare(a.desired.Name, b.desired.Name)
	})
	return list
}

// checkTimeouts records a failure if the pending call or the report after a
// command took too long, and ends a drain that took too long.
func (r *Reconciler) checkTimeouts(now basilmoor.Millis, t *targetState) []DrainChange {
	switch {
	case t.pendingCommand != nil && now-t.sentAt > r.cfg.CallTimeout:
		t.pendingCommand = nil
		return r.recordFailure(now, t)
	case t.awaitingReport && now-t.succeededAt > effectTimeout:
		t.awaitingReport = false
		return r.recordFailure(now, t)
	case t.draining && t.pendingCommand == nil && now-t.drainSince > drainTimeout:
		r.backOff(now, t)
		return []DrainChange{r.endDrain(t)}
	}
	return nil
}

// recordFailure schedules the next attempt and ends the drain of a target that
// failed too often.
func (r *Reconciler) recordFailure(now basilmoor.Millis, t *targetState) []DrainChange {
	r.backOff(now, t)
	if t.draining && t.failures >= maxConsecutiveFailures {
		return []DrainChange{r.endDrain(t)}
	}
	return nil
}

// backOff schedules the next attempt after a failure, with exponential backoff
// and jitter.
func (r *Reconciler) backOff(now basilmoor.Millis, t *targetState) {
	const maxDoublings = 20 // prevents overflow of the shift
	wait := min(maxBackoff, initialBackoff<<min(t.failures, maxDoublings))
	t.failures++
	t.lastAttempt = now
	t.retryAt = now + wait/2 + basilmoor.Millis(r.rand.Int64N(int64(wait/2)+1))
}

// reconcile returns the command to send to a target or the drain to start or
// end, if any.
func (r *Reconciler) reconcile(now basilmoor.Millis, t *targetState) (*Command, []DrainChange) {
	if !r.lease.held && t.draining && t.pendingCommand == nil {
		return nil, []DrainChange{r.endDrain(t)}
	}
	if !r.lease.allowsCommand(now, t.desired.ChecksFencing) || t.pendingCommand != nil || t.awaitingReport || !t.hasFreshReport(now) {
		return nil, nil
	}
	action, value, differs := nextAction(t.desired, t.report)
	if !differs || t.desired.Leaving {
		t.failures = 0
		if t.draining {
			return nil, []DrainChange{r.endDrain(t)}
		}
		return nil, nil
	}
	if now < t.retryAt {
		return nil, nil
	}
	if action.requiresDrain() && !t.draining {
		return nil, r.beginDrain(now, t)
	}
	if action.requiresDrain() && !t.drained() {
		return nil, nil
	}
	if action.readsWeights() && !r.loadLimit.take(now) {
		return nil, nil
	}
	r.lastCommandID++
	t.pendingCommand = &Command{
		ID:            r.lastCommandID,
		Target:        t.desired,
		Action:        action,
		Value:         value,
		FencingNumber: r.lease.fencingNumber,
	}
	t.sentAt = now
	t.lastAttempt = now
	return t.pendingCommand, nil
}

func (t *targetState) hasFreshReport(now basilmoor.Millis) bool {
	return t.hasReport && now-t.measuredAt < reportMaxAge
}
