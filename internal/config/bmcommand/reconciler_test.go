package bmcommand

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
)

var testConfig = Config{
	LeaseTTL:       10 * basilmoor.Second,
	LongestCall:    5 * basilmoor.Second,
	ServingShare:   0.5,
	LoadsPerMinute: 30,
	LoadBurst:      5,
}

const (
	worldStep = basilmoor.Millis(500)
	reportLag = 2 * basilmoor.Second
)

// world runs two hosts that compete for the lease, and targets that obey.
type world struct {
	t       *rapid.T
	now     basilmoor.Millis
	hosts   []*worldHost
	targets map[string]*worldTarget
	kinds   []basilmoor.Kind
	changes int
	owner   *worldHost
	expiry  basilmoor.Millis
	fence   int64
	loads   []basilmoor.Millis
}

type worldHost struct {
	r       *Reconciler
	paused  basilmoor.Millis // until
	cut     basilmoor.Millis // from the store, until
	leading bool
	outbox  []Command
	marks   map[string]basilmoor.Millis // since
}

type worldCall struct {
	host    *worldHost
	command Command
	end     basilmoor.Millis
}

// defect is what a target never manages.
type defect string

const (
	sound      defect = "sound"
	loadFails  defect = "load-fails" // it serves nothing
	roleFails  defect = "role-fails"
	roleHangs  defect = "role-hangs" // no answer
	firstModel        = "m"
)

// models are enough loads to reach the bound of their rate.
var models = []string{firstModel, "n1", "n2", "n3", "n4", "n5", "n6"}

type worldTarget struct {
	desired basilmoor.Target
	state   Report
	history []Report // one a step
	defect  defect
	fence   int64 // highest seen
	busy    []worldCall
	done    worldCall // last one that succeeded
	tries   int
	drained int // steps
}

func (w *world) chance(n int) bool { return rapid.IntRange(0, n-1).Draw(w.t, "chance") == 0 }

func newWorld(t *rapid.T) *world {
	w := &world{
		t:       t,
		targets: make(map[string]*worldTarget),
		kinds: []basilmoor.Kind{{
			Name:  "reviews",
			Pool:  "p",
			Model: firstModel,
		}},
	}
	for i := range 5 {
		d := basilmoor.Target{
			Name:          fmt.Sprintf("t-%d", i),
			Pool:          "p",
			Type:          basilmoor.EngineTarget,
			Models:        models,
			Adapters:      []string{"a"},
			Role:          "decode",
			ChecksFencing: i%2 == 0,
		}
		x := &worldTarget{
			desired: d,
			state: Report{
				Models: []string{firstModel},
				Role:   "prefill",
			},
			defect: sound,
		}
		if i < 2 {
			x.defect = rapid.SampledFrom([]defect{sound, loadFails, roleFails, roleHangs}).Draw(t, "defect")
		}
		if x.defect == loadFails {
			x.state.Models = nil
		}
		w.targets[d.Name] = x
	}
	for i := range 2 {
		cfg := testConfig
		cfg.Seed = uint64(i)
		h := &worldHost{
			r:     New(cfg, 0),
			marks: make(map[string]basilmoor.Millis),
		}
		w.hosts = append(w.hosts, h)
	}
	w.setDesired()
	return w
}

func (w *world) names() []string { return slices.Sorted(maps.Keys(w.targets)) }

func (w *world) setDesired() {
	var desired []basilmoor.Target
	for _, name := range w.names() {
		desired = append(desired, w.targets[name].desired)
	}
	for _, h := range w.hosts {
		h.r.SetDesired(w.kinds, desired)
	}
}

// change asks for another adapter on one target.
func (w *world) change() {
	w.changes++
	x := w.targets[rapid.SampledFrom(w.names()).Draw(w.t, "changed")]
	x.desired.Adapters = []string{fmt.Sprintf("a-%d", w.changes)}
	w.setDesired()
}

// step moves the world on. Faulty worlds pause hosts at any point, also
// between the decision to send a command and the sending.
func (w *world) step(faulty bool) {
	w.now += worldStep
	for _, name := range w.names() {
		w.targets[name].step(w)
	}
	if faulty && w.chance(3) {
		w.change()
	}
	for _, h := range w.hosts {
		if faulty && w.chance(12) {
			h.paused = w.now + worldStep*basilmoor.Millis(rapid.IntRange(1, 60).Draw(w.t, "pause"))
		}
		if faulty && w.chance(12) {
			h.cut = w.now + worldStep*basilmoor.Millis(rapid.IntRange(1, 60).Draw(w.t, "cut"))
		}
		if w.now < h.paused {
			continue
		}
		w.send(h)
		w.lead(h)
		for name, x := range w.targets {
			if n := len(x.history) - int(reportLag/worldStep); n >= 0 {
				r := x.history[n]
				r.Age = reportLag
				h.r.Reported(w.now, name, r)
			}
		}
		commands, marks := h.r.Tick(w.now)
		h.outbox = append(h.outbox, commands...)
		w.mark(h, marks)
	}
}

func (w *world) lead(h *worldHost) {
	switch {
	case w.now < h.cut:
		// It believes in its lease until its own clock says otherwise.
	case w.owner == h && w.now < w.expiry:
		w.expiry = w.now + testConfig.LeaseTTL
		h.r.Renewed(w.now, w.now)
	case w.now >= w.expiry:
		w.owner = h
		w.expiry = w.now + testConfig.LeaseTTL
		w.fence++
		h.r.Elected(w.now, w.now, w.fence)
		h.leading = true
	case h.leading:
		h.leading = false
		h.r.Deposed()
	}
}

func (w *world) mark(h *worldHost, marks []Drain) {
	for _, m := range marks {
		if !m.On {
			delete(h.marks, m.Target)
			continue
		}
		h.marks[m.Target] = w.now
		serving, total := h.r.count(w.now, h.r.kinds[0])
		require.GreaterOrEqual(w.t, 2*serving, total, "a drain went below the share")
	}
}

// send starts the calls of an earlier tick.
func (w *world) send(h *worldHost) {
	for _, c := range h.outbox {
		if !h.r.Begin(w.now, c) {
			continue
		}
		x := w.targets[c.Target.Name]
		if c.Action.loads() {
			w.load()
		}
		if c.Target.ChecksFencing && c.Fence < x.fence {
			w.mark(h, h.r.Answered(w.now, c, errors.New("old fencing number")))
			continue
		}
		x.tries++
		repeated := x.done.host == h && x.done.command.Action == c.Action && x.done.command.Value == c.Value
		require.False(w.t, repeated, "%s %s again", c.Action, c.Value)
		require.GreaterOrEqual(w.t, c.Fence, x.fence, "a command of an old holder after one of a new holder")
		x.fence = c.Fence
		if c.Action.disturbs() {
			require.Zero(w.t, x.state.Running, "%s broke off running work", c.Action)
		}
		if !c.Target.ChecksFencing {
			for _, other := range x.busy {
				require.Equal(w.t, c.Fence, other.command.Fence, "calls of two holders overlap")
			}
		}
		limit := int((testConfig.LongestCall - worldStep) / worldStep)
		x.busy = append(x.busy, worldCall{
			host:    h,
			command: c,
			end:     w.now + worldStep*basilmoor.Millis(rapid.IntRange(0, limit).Draw(w.t, "call")),
		})
	}
	h.outbox = nil
}

func (w *world) load() {
	w.loads = append(w.loads, w.now)
	recent := 0
	for _, at := range w.loads {
		if at > w.now-basilmoor.Minute {
			recent++
		}
	}
	require.LessOrEqual(w.t, recent, testConfig.LoadsPerMinute+testConfig.LoadBurst)
}

func (x *worldTarget) step(w *world) {
	var busy []worldCall
	for _, c := range x.busy {
		if w.now < c.end {
			busy = append(busy, c)
			continue
		}
		if c.command.Action == ChangeRole && x.defect == roleHangs {
			continue
		}
		err := x.apply(c.command)
		if err == nil {
			x.done = c
		}
		w.mark(c.host, c.host.r.Answered(w.now, c.command, err))
	}
	x.busy = busy
	if x.grants(w) {
		x.state.Running = rapid.IntRange(0, 2).Draw(w.t, "running")
	} else if x.state.Running > 0 && w.chance(3) {
		x.state.Running--
	}
	x.history = append(x.history, x.state)
	if slices.ContainsFunc(w.hosts, func(h *worldHost) bool { return h.marks[x.desired.Name] > 0 }) {
		x.drained++
	}
}

// grants reports whether brokers may still send work: marks take effect within
// drainSettle.
func (x *worldTarget) grants(w *world) bool {
	for _, h := range w.hosts {
		if since, ok := h.marks[x.desired.Name]; ok && w.now-since >= drainSettle {
			return false
		}
	}
	return true
}

func (x *worldTarget) apply(c Command) error {
	if c.Action.loads() && x.defect == loadFails || c.Action == ChangeRole && x.defect == roleFails {
		return errors.New("out of memory")
	}
	switch c.Action {
	case LoadModel:
		x.state.Models = append(slices.Clone(x.state.Models), c.Value)
	case LoadAdapter:
		x.state.Adapters = append(slices.Clone(x.state.Adapters), c.Value)
	case ChangeRole:
		x.state.Role = c.Value
	}
	return nil
}

// Guards against commands that overtake each other at a change of the holder,
// that break off work, that take too much capacity or load too fast, and
// against a bad target that keeps others from the desired state.
func TestReconcile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			w.step(true)
		}
		w.quiet(10 * basilmoor.Minute)
		for name, x := range w.targets {
			_, _, differs := next(x.desired, x.state)
			require.Equal(t, x.defect != sound, differs, "%s: %+v", name, x.state)
			x.tries, x.drained = 0, 0
		}
		w.quiet(10 * basilmoor.Minute)
		for name, x := range w.targets {
			require.LessOrEqual(t, x.tries, 10, "%s is tried too often", name)
			require.LessOrEqual(t, basilmoor.Millis(x.drained)*worldStep, 5*basilmoor.Minute, "%s does not serve", name)
		}
	})
}

func (w *world) quiet(d basilmoor.Millis) {
	for range d / worldStep {
		w.step(false)
	}
}

// Guards against a drain of the only target of a kind, and against a target
// that never gets empty and stays out of service.
func TestDrainLimits(t *testing.T) {
	kinds := []basilmoor.Kind{{
		Name:  "reviews",
		Pool:  "p",
		Model: "m",
	}}
	targets := []basilmoor.Target{
		{
			Name:          "a",
			Pool:          "p",
			Models:        []string{"m"},
			Role:          "decode",
			ChecksFencing: true,
		},
		{
			Name:          "b",
			Pool:          "p",
			Models:        []string{"m"},
			ChecksFencing: true,
		},
	}
	for n := 1; n <= 2; n++ {
		r := New(testConfig, 0)
		r.SetDesired(kinds, targets[:n])
		r.Elected(0, 0, 1)
		var marks []Drain
		for now := basilmoor.Millis(0); now < drainLimit+basilmoor.Minute; now += basilmoor.Second {
			r.Renewed(now, now)
			for _, d := range targets[:n] {
				r.Reported(now, d.Name, Report{
					Models:  d.Models,
					Running: 1,
				})
			}
			commands, m := r.Tick(now)
			require.Empty(t, commands)
			marks = append(marks, m...)
		}
		if n == 1 {
			require.Empty(t, marks)
			continue
		}
		require.Equal(t, []Drain{{
			Target: "a",
			On:     true,
		}, {
			Target: "a",
			On:     false,
		}}, marks[:2])
	}
}
