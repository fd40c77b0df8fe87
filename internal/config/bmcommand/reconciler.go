package bmcommand

import (
	"math/rand/v2"
	"slices"
	"strings"

	"basilmoor.example/basilmoor"
)

// Intervals.
const (
	// drainSettle is the time within which no broker grants a marked target
	// any more (invariant I6). A report taken later shows all work left.
	drainSettle = 3 * basilmoor.Second

	// drainLimit ends a drain that does not get empty, so that one request
	// can't keep a share of a kind from serving.
	drainLimit = 10 * basilmoor.Minute

	// silentAfter is the age from which a report is not relied on. Reports
	// come every few seconds.
	silentAfter = 15 * basilmoor.Second

	// goneAfter is the age from which a target no longer counts as capacity.
	goneAfter = basilmoor.Minute

	// effectLimit is the time within which a report must show the effect of
	// a command that succeeded.
	effectLimit = 30 * basilmoor.Second

	firstBackoff = basilmoor.Second
	maxBackoff   = 5 * basilmoor.Minute

	// maxFailures is the number of failures in a row after which a target no
	// longer counts as capacity, and returns to serving while it waits for
	// the next try.
	maxFailures = 3
)

// Config sets up a reconciler.
type Config struct {
	Seed        uint64
	LeaseTTL    basilmoor.Millis
	LongestCall basilmoor.Millis // bound of a command's call

	// ServingShare is the share of each kind's targets, from 0 to 1, that
	// draining leaves serving. The number is rounded up.
	ServingShare float64

	// LoadsPerMinute and LoadBurst bound loads from the weight store.
	LoadsPerMinute int
	LoadBurst      int
}

// Drain asks brokers to grant a target nothing, or lifts that. A target is
// drained while any host's mark is on; a mark must outlive its host by
// LongestCall, because a call may be under way.
type Drain struct {
	Target string
	On     bool
}

// Reconciler brings targets to the desired state. Calls must not be
// concurrent.
type Reconciler struct {
	cfg     Config
	rand    *rand.Rand
	lease   lease
	kinds   []basilmoor.Kind
	targets map[string]*target
	bucket  bucket
	lastID  int64
}

// target is what is known of one target.
type target struct {
	desired  basilmoor.Target
	report   Report
	taken    basilmoor.Millis // when the report was measured
	reported bool

	draining   bool
	drainSince basilmoor.Millis

	pending  *Command
	sentAt   basilmoor.Millis
	lastTry  basilmoor.Millis
	answered basilmoor.Millis // last success, to wait for a report after it
	awaiting bool             // no report since then
	failures int
	retry    basilmoor.Millis // no command before
}

// New returns a reconciler that holds no lease.
func New(cfg Config, now basilmoor.Millis) *Reconciler {
	return &Reconciler{
		cfg:     cfg,
		rand:    rand.New(rand.NewPCG(cfg.Seed, 0)),
		targets: make(map[string]*target),
		bucket: bucket{
			perMinute: cfg.LoadsPerMinute,
			burst:     cfg.LoadBurst,
			tokens:    float64(cfg.LoadBurst),
			at:        now,
		},
	}
}

// SetDesired takes what the catalog says. Targets that it no longer lists are
// forgotten.
func (r *Reconciler) SetDesired(kinds []basilmoor.Kind, targets []basilmoor.Target) {
	r.kinds = kinds
	listed := make(map[string]bool, len(targets))
	for _, d := range targets {
		listed[d.Name] = true
		t := r.targets[d.Name]
		if t == nil {
			t = &target{}
			r.targets[d.Name] = t
		}
		t.desired = d
	}
	for name := range r.targets {
		if !listed[name] {
			delete(r.targets, name)
		}
	}
}

// Reported takes a target's report. Reports may arrive out of order.
func (r *Reconciler) Reported(now basilmoor.Millis, name string, report Report) {
	t := r.targets[name]
	taken := now - report.Age
	if t == nil || (t.reported && taken < t.taken) {
		return
	}
	t.report = report
	t.taken = taken
	t.reported = true
	if taken > t.answered {
		t.awaiting = false
	}
}

// Answered takes the result of a command.
func (r *Reconciler) Answered(now basilmoor.Millis, c Command, err error) []Drain {
	t := r.targets[c.Target.Name]
	if t == nil || t.pending == nil || t.pending.ID != c.ID {
		return nil
	}
	t.pending = nil
	if err != nil {
		return r.failed(now, t)
	}
	t.answered = now
	t.awaiting = true
	return nil
}

// Tick returns the commands and drain marks that are due. It must be called at
// least once a second. The targets that were tried longest ago come first, so
// that failing ones don't use up the rate of loads.
func (r *Reconciler) Tick(now basilmoor.Millis) ([]Command, []Drain) {
	var commands []Command
	var marks []Drain
	for _, t := range r.ordered() {
		marks = append(marks, r.expire(now, t)...)
		c, m := r.reconcile(now, t)
		if c != nil {
			commands = append(commands, *c)
		}
		marks = append(marks, m...)
	}
	return commands, marks
}

func (r *Reconciler) ordered() []*target {
	list := make([]*target, 0, len(r.targets))
	for _, t := range r.targets {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *target) int {
		if a.lastTry != b.lastTry {
			return int(a.lastTry - b.lastTry)
		}
		return strings.Compare(a.desired.Name, b.desired.Name)
	})
	return list
}

// expire counts what took too long as a failure.
func (r *Reconciler) expire(now basilmoor.Millis, t *target) []Drain {
	switch {
	case t.pending != nil && now-t.sentAt > r.cfg.LongestCall:
		t.pending = nil
		return r.failed(now, t)
	case t.awaiting && now-t.answered > effectLimit:
		t.awaiting = false
		return r.failed(now, t)
	case t.draining && t.pending == nil && now-t.drainSince > drainLimit:
		r.backOff(now, t)
		return []Drain{r.lift(t)}
	}
	return nil
}

func (r *Reconciler) failed(now basilmoor.Millis, t *target) []Drain {
	r.backOff(now, t)
	if t.draining && t.failures >= maxFailures {
		return []Drain{r.lift(t)}
	}
	return nil
}

// backOff doubles the wait with each failure in a row, with jitter.
func (r *Reconciler) backOff(now basilmoor.Millis, t *target) {
	const maxDoublings = 20 // keeps the shift from overflowing
	wait := min(maxBackoff, firstBackoff<<min(t.failures, maxDoublings))
	t.failures++
	t.lastTry = now
	t.retry = now + wait/2 + basilmoor.Millis(r.rand.Int64N(int64(wait/2)+1))
}

// reconcile does the next step for one target.
func (r *Reconciler) reconcile(now basilmoor.Millis, t *target) (*Command, []Drain) {
	if !r.lease.held && t.draining && t.pending == nil {
		return nil, []Drain{r.lift(t)}
	}
	if !r.lease.allows(now, t.desired.ChecksFencing) || t.pending != nil || t.awaiting || !t.fresh(now) {
		return nil, nil
	}
	action, value, differs := next(t.desired, t.report)
	if !differs || t.desired.Leaving {
		t.failures = 0
		if t.draining {
			return nil, []Drain{r.lift(t)}
		}
		return nil, nil
	}
	if now < t.retry {
		return nil, nil
	}
	if action.disturbs() && !t.draining {
		return nil, r.beginDrain(now, t)
	}
	if action.disturbs() && !t.empty() {
		return nil, nil
	}
	if action.loads() && !r.bucket.take(now) {
		return nil, nil
	}
	r.lastID++
	t.pending = &Command{
		ID:     r.lastID,
		Target: t.desired,
		Action: action,
		Value:  value,
		Fence:  r.lease.fence,
	}
	t.sentAt = now
	t.lastTry = now
	return t.pending, nil
}

func (t *target) fresh(now basilmoor.Millis) bool {
	return t.reported && now-t.taken < silentAfter
}
