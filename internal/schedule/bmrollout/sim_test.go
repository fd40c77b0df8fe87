package bmrollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"basilmoor.example/basilmoor"
)

// orderAt is the revision of the order of the tests.
const orderAt = 7

// behaviour is how a version answers: the share of failures, and the share of answers
// that take slowBy times as long.
type behaviour struct {
	failing, slow float64
	slowBy        float64
}

// conditions are what a bad version may depend on.
type conditions struct {
	elapsed basilmoor.Millis // since the order
	kind    string
	running int // requests on the target
	slots   int
}

// scenario is a pool during an order.
type scenario struct {
	duration   basilmoor.Millis
	perSecond  float64
	oldTargets int
	newTargets int
	started    basilmoor.Millis // of the new targets, after the order
	next       func(c conditions) behaviour
	old        func(c conditions) behaviour
	// change is called every step, for changes of the owner.
	change func(s *sim)
}

func good(conditions) behaviour { return behaviour{failing: 0.005} }

// run is a request in progress.
type run struct {
	target  *simTarget
	kind    string
	began   basilmoor.Millis
	first   basilmoor.Millis // first token
	end     basilmoor.Millis
	start   float64
	pace    float64
	failing bool
	judged  bool // whether the start was observed
}

type simTarget struct {
	basilmoor.Target
	speed   float64
	running int
}

// sim plays a scenario with an owner and a store that holds its record.
type sim struct {
	scenario
	rng     *rand.Rand
	now     basilmoor.Millis
	owner   *Rollout
	stored  Record
	sent    basilmoor.Millis
	cut     bool // the owner can't write
	targets []*simTarget
	usable  map[string]int // slots by name
	runs    []run

	refused      int // no target was usable
	toNew, total int // requests before the time limit
	cutOff       int // requests on old targets at the completion
	decidedAt    basilmoor.Millis
}

var testBounds = Bounds{
	ExposedShare: 0.1,
	ExposedSlack: 50,
	RollbackTime: 5000,
}

const orderedAt = 1000

func newSim(s scenario, seed uint64) *sim {
	w := &sim{
		scenario: s,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		now:      orderedAt,
	}
	w.owner = w.newOwner()
	for i := range s.oldTargets + s.newTargets {
		t := &simTarget{
			Target: basilmoor.Target{
				Name:    fmt.Sprintf("t%03d", i),
				Version: "v1",
				Slots:   6,
			},
			speed: []float64{1.5, 1.5, 0.33}[w.rng.IntN(3)],
		}
		if i >= s.oldTargets {
			t.Version = "v2"
		}
		w.targets = append(w.targets, t)
	}
	return w
}

func (w *sim) newOwner() *Rollout {
	return New(Order{
		Pool:     "p",
		Version:  "v2",
		Duration: w.duration,
		At: basilmoor.Position{
			Revision: orderAt,
		},
	}, testBounds, w.now)
}

// listed returns the registered targets.
func (w *sim) listed() []basilmoor.Target {
	var all []basilmoor.Target
	for _, t := range w.targets {
		if t.Version == "v1" || w.now-orderedAt >= w.started {
			all = append(all, t.Target)
		}
	}
	return all
}

// store stores the owner's record if it is due and the generation is not an earlier one.
func (w *sim) store(generation int64) {
	if w.cut || w.sent != 0 && !w.owner.RecordDue(w.now, w.sent) {
		return
	}
	r := w.owner.NextRecord(w.now, "h", generation)
	w.stored = r
	w.sent = w.now
	w.owner.Stored(w.now, r)
}

// play plays the scenario until the order is decided, or for some time after its limit.
func (w *sim) play() {
	const step basilmoor.Millis = 10
	generation := int64(1)
	for w.now-orderedAt < w.duration+2000 {
		w.now += step
		if w.change != nil {
			w.change(w)
			generation = max(generation, w.stored.Generation)
		}
		w.finish()
		w.owner.Step(w.now, w.fleet())
		w.store(generation)
		if w.owner.Stage().Decided() && w.decidedAt == 0 {
			w.decidedAt = w.now - orderedAt
			w.cutOff = w.fleet().OldRunning
		}
		w.usable = map[string]int{}
		for _, t := range w.owner.Usable(w.now, w.listed()) {
			w.usable[t.Name] = t.Slots
		}
		arrivals := w.perSecond * float64(step) / 1000
		for n := int(arrivals + w.rng.Float64()); n > 0; n-- {
			w.arrive([]string{"a", "b", "c"}[w.rng.IntN(3)])
		}
	}
}

func (w *sim) fleet() Fleet {
	f := Fleet{
		Targets: map[string]bool{},
	}
	for _, t := range w.listed() {
		f.Targets[t.Name] = true
		if t.Version == "v2" {
			f.NewSlots += t.Slots
		} else {
			f.OldTargets++
			f.OldSlots += t.Slots
		}
	}
	for _, r := range w.runs {
		if r.target.Version == "v1" {
			f.OldRunning++
		}
	}
	return f
}

// arrive grants a request a free target as a pool does, the new version first.
func (w *sim) arrive(kind string) {
	var chosen *simTarget
	for _, t := range w.targets {
		isNew := t.Version == "v2"
		if t.running >= w.usable[t.Name] || isNew && !w.owner.AllowsNew(w.now, false) || !isNew && !w.owner.AllowsOld(w.now) {
			continue
		}
		order := -1
		if chosen != nil {
			order = w.owner.Compare(t.Target, chosen.Target, t.running, chosen.running)
		}
		if order < 0 || order == 0 && t.speed*float64(1+t.running) < chosen.speed*float64(1+chosen.running) {
			chosen = t
		}
	}
	if chosen == nil {
		w.refused++
		return
	}
	isNew := chosen.Version == "v2"
	w.owner.Granted(chosen.Target)
	if w.now-orderedAt <= w.duration {
		w.total++
		if isNew {
			w.toNew++
		}
	}
	w.begin(chosen, kind, isNew)
}

func (w *sim) begin(t *simTarget, kind string, isNew bool) {
	c := conditions{
		elapsed: w.now - orderedAt,
		kind:    kind,
		running: t.running,
		slots:   t.Slots,
	}
	answer := w.old
	if isNew {
		answer = w.next
	}
	b := answer(c)
	slow := 1.0
	if w.rng.Float64() < b.slow {
		slow = b.slowBy
	}
	noise := func() float64 {
		f := math.Exp(0.25 * w.rng.NormFloat64())
		if w.rng.Float64() < 0.15 {
			f *= 2.5
		}
		return f
	}
	r := run{
		target:  t,
		kind:    kind,
		start:   t.speed * slow * noise(),
		pace:    t.speed * slow * math.Exp(0.15*w.rng.NormFloat64()),
		failing: w.rng.Float64() < b.failing,
	}
	r.began = w.now
	r.first = w.now + basilmoor.Millis(startMillis*r.start)
	r.end = r.first + basilmoor.Millis(300*w.rng.ExpFloat64()*r.pace)
	t.running++
	w.runs = append(w.runs, r)
}

// startMillis is the time to the first token of a target of the default speed.
const startMillis = 100

// observeStart observes the start of a run once, as soon as it is known to be slow.
func (w *sim) observeStart(r *run) {
	a := Answer{
		New:    r.target.Version == "v2",
		Target: r.target.Name,
		Kind:   r.kind,
	}
	waited := float64(w.now-r.began) / startMillis
	limit := w.owner.SlowStartLimit(r.target.Target)
	switch {
	case r.judged:
		return
	case w.now >= r.first:
		a.Start = r.start
	case limit > 0 && waited > limit:
		a.Start = waited
	default:
		return
	}
	r.judged = true
	w.owner.Observe(w.now, a)
}

func (w *sim) finish() {
	kept := w.runs[:0]
	for _, r := range w.runs {
		w.observeStart(&r)
		if r.end > w.now {
			kept = append(kept, r)
			continue
		}
		r.target.running--
		a := Answer{
			New:    r.target.Version == "v2",
			Target: r.target.Name,
			Kind:   r.kind,
			Ended:  true,
			Bad:    r.failing,
		}
		if !r.failing {
			a.Pace = r.pace
		}
		w.owner.Observe(w.now, a)
	}
	w.runs = kept
}

// seeds is the number of random sequences of each test.
const seeds = 3

// eachSeed runs a test for several seeds.
func eachSeed(t *testing.T, f func(t *testing.T, seed uint64)) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f(t, seed)
		})
	}
}
