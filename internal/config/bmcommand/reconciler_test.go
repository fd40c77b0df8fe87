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
	LeaseTTL:           10 * basilmoor.Second,
	CallTimeout:        5 * basilmoor.Second,
	MinServingFraction: 0.5,
	LoadsPerMinute:     30,
	LoadBurst:          5,
}

const (
	simStep   = basilmoor.Millis(500)
	reportAge = 2 * basilmoor.Second
)

// simulation runs two hosts that compete for the lease, and the targets that
// carry out their commands.
type simulation struct {
	t                 *rapid.T
	now               basilmoor.Millis
	hosts             []*simHost
	targets           map[string]*simTarget
	kinds             []basilmoor.Kind
	adapterChanges    int
	leaseHolder       *simHost
	leaseExpiry       basilmoor.Millis
	lastFencingNumber int64
	loadTimes         []basilmoor.Millis
}

type simHost struct {
	reconciler        *Reconciler
	pausedUntil       basilmoor.Millis
	disconnectedUntil basilmoor.Millis // has no access to the store until then
	hasLease          bool             // from LeaseAcquired until LeaseLost
	unsent            []Command
	drainedSince      map[string]basilmoor.Millis // start time by target
}

type simCall struct {
	host    *simHost
	command Command
	endsAt  basilmoor.Millis
}

// defect is the kind of command that a target never completes.
type defect string

const (
	noDefect   defect = "sound"
	loadFails  defect = "load-fails" // also has no model loaded, so that it serves no kind
	roleFails  defect = "role-fails"
	roleHangs  defect = "role-hangs" // never returns a result
	firstModel        = "m"
)

// desiredModels takes enough loads to reach the rate limit.
var desiredModels = []string{firstModel, "n1", "n2", "n3", "n4", "n5", "n6"}

type simTarget struct {
	desired              basilmoor.Target
	state                Report
	history              []Report // one per step
	defect               defect
	highestFencingNumber int64 // highest fencing number received
	activeCalls          []simCall
	lastSuccess          simCall
	attempts             int
	drainedSteps         int // steps during which the target was draining
}

func (s *simulation) chance(n int) bool { return rapid.IntRange(0, n-1).Draw(s.t, "chance") == 0 }

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t:       t,
		targets: make(map[string]*simTarget),
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
			Models:        desiredModels,
			Adapters:      []string{"a"},
			Role:          "decode",
			ChecksFencing: i%2 == 0,
		}
		x := &simTarget{
			desired: d,
			state: Report{
				Models: []string{firstModel},
				Role:   "prefill",
			},
			defect: noDefect,
		}
		if i < 2 {
			x.defect = rapid.SampledFrom([]defect{noDefect, loadFails, roleFails, roleHangs}).Draw(t, "defect")
		}
		if x.defect == loadFails {
			x.state.Models = nil
		}
		s.targets[d.Name] = x
	}
	for i := range 2 {
		cfg := testConfig
		cfg.Seed = uint64(i)
		h := &simHost{
			reconciler:   New(cfg, 0),
			drainedSince: make(map[string]basilmoor.Millis),
		}
		s.hosts = append(s.hosts, h)
	}
	s.setDesired()
	return s
}

func (s *simulation) targetNames() []string { return slices.Sorted(maps.Keys(s.targets)) }

func (s *simulation) setDesired() {
	var desired []basilmoor.Target
	for _, name := range s.targetNames() {
		desired = append(desired, s.targets[name].desired)
	}
	for _, h := range s.hosts {
		h.reconciler.SetDesired(s.kinds, desired)
	}
}

// changeAdapter makes the desired state of one target list another adapter.
func (s *simulation) changeAdapter() {
	s.adapterChanges++
	x := s.targets[rapid.SampledFrom(s.targetNames()).Draw(s.t, "changed")]
	x.desired.Adapters = []string{fmt.Sprintf("a-%d", s.adapterChanges)}
	s.setDesired()
}

// step advances the simulation by simStep. If faulty is set, it also changes the
// desired state, disconnects hosts from the store and pauses them at any point,
// including between Tick and the sending of its commands.
func (s *simulation) step(faulty bool) {
	s.now += simStep
	for _, name := range s.targetNames() {
		s.targets[name].step(s)
	}
	if faulty && s.chance(3) {
		s.changeAdapter()
	}
	for _, h := range s.hosts {
		if faulty && s.chance(12) {
			h.pausedUntil = s.now + simStep*basilmoor.Millis(rapid.IntRange(1, 60).Draw(s.t, "pause"))
		}
		if faulty && s.chance(12) {
			h.disconnectedUntil = s.now + simStep*basilmoor.Millis(rapid.IntRange(1, 60).Draw(s.t, "cut"))
		}
		if s.now < h.pausedUntil {
			continue
		}
		s.sendCommands(h)
		s.updateLease(h)
		for name, x := range s.targets {
			if n := len(x.history) - int(reportAge/simStep); n >= 0 {
				r := x.history[n]
				r.Age = reportAge
				h.reconciler.HandleReport(s.now, name, r)
			}
		}
		commands, drains := h.reconciler.Tick(s.now)
		h.unsent = append(h.unsent, commands...)
		s.applyDrains(h, drains)
	}
}

// updateLease acquires, renews or ends the lease of a host.
func (s *simulation) updateLease(h *simHost) {
	switch {
	case s.now < h.disconnectedUntil:
		// Without the store, the host can only tell from its own clock that its
		// lease has expired.
	case s.leaseHolder == h && s.now < s.leaseExpiry:
		s.leaseExpiry = s.now + testConfig.LeaseTTL
		h.reconciler.LeaseRenewed(s.now, s.now)
	case s.now >= s.leaseExpiry:
		s.leaseHolder = h
		s.leaseExpiry = s.now + testConfig.LeaseTTL
		s.lastFencingNumber++
		h.reconciler.LeaseAcquired(s.now, s.now, s.lastFencingNumber)
		h.hasLease = true
	case h.hasLease:
		h.hasLease = false
		h.reconciler.LeaseLost()
	}
}

// applyDrains records the drains of a host, and checks for each that starts that
// enough targets keep serving.
func (s *simulation) applyDrains(h *simHost, drains []DrainChange) {
	for _, d := range drains {
		if !d.On {
			delete(h.drainedSince, d.Target)
			continue
		}
		h.drainedSince[d.Target] = s.now
		serving, total := h.reconciler.countTargets(s.now, h.reconciler.kinds[0])
		require.GreaterOrEqual(s.t, 2*serving, total, "a drain left fewer targets serving than ServingShare")
	}
}

// sendCommands starts the calls for the commands of earlier ticks.
func (s *simulation) sendCommands(h *simHost) {
	for _, c := range h.unsent {
		if !h.reconciler.ConfirmSend(s.now, c) {
			continue
		}
		x := s.targets[c.Target.Name]
		if c.Action.readsWeights() {
			s.recordLoad()
		}
		if c.Target.ChecksFencing && c.FencingNumber < x.highestFencingNumber {
			s.applyDrains(h, h.reconciler.HandleResult(s.now, c, errors.New("outdated fencing number")))
			continue
		}
		x.attempts++
		repeated := x.lastSuccess.host == h && x.lastSuccess.command.Action == c.Action && x.lastSuccess.command.Value == c.Value
		require.False(s.t, repeated, "%s %s was repeated after it succeeded", c.Action, c.Value)
		require.GreaterOrEqual(s.t, c.FencingNumber, x.highestFencingNumber, "command of an old holder after one of a new holder")
		x.highestFencingNumber = c.FencingNumber
		if c.Action.requiresDrain() {
			require.Zero(s.t, x.state.Running, "%s interrupted running work", c.Action)
		}
		if !c.Target.ChecksFencing {
			for _, other := range x.activeCalls {
				require.Equal(s.t, c.FencingNumber, other.command.FencingNumber, "calls of two holders overlap")
			}
		}
		limit := int((testConfig.CallTimeout - simStep) / simStep)
		x.activeCalls = append(x.activeCalls, simCall{
			host:    h,
			command: c,
			endsAt:  s.now + simStep*basilmoor.Millis(rapid.IntRange(0, limit).Draw(s.t, "call")),
		})
	}
	h.unsent = nil
}

// recordLoad records a load and checks the rate limit over the last minute.
func (s *simulation) recordLoad() {
	s.loadTimes = append(s.loadTimes, s.now)
	recent := 0
	for _, at := range s.loadTimes {
		if at > s.now-basilmoor.Minute {
			recent++
		}
	}
	require.LessOrEqual(s.t, recent, testConfig.LoadsPerMinute+testConfig.LoadBurst)
}

func (x *simTarget) step(s *simulation) {
	var active []simCall
	for _, c := range x.activeCalls {
		if s.now < c.endsAt {
			active = append(active, c)
			continue
		}
		if c.command.Action == ChangeRole && x.defect == roleHangs {
			continue
		}
		err := x.apply(c.command)
		if err == nil {
			x.lastSuccess = c
		}
		s.applyDrains(c.host, c.host.reconciler.HandleResult(s.now, c.command, err))
	}
	x.activeCalls = active
	if x.mayReceiveWork(s) {
		x.state.Running = rapid.IntRange(0, 2).Draw(s.t, "running")
	} else if x.state.Running > 0 && s.chance(3) {
		x.state.Running--
	}
	x.history = append(x.history, x.state)
	if slices.ContainsFunc(s.hosts, func(h *simHost) bool { return h.drainedSince[x.desired.Name] > 0 }) {
		x.drainedSteps++
	}
}

// mayReceiveWork reports whether brokers may still grant requests to the target.
// A drain takes effect within drainPropagation.
func (x *simTarget) mayReceiveWork(s *simulation) bool {
	for _, h := range s.hosts {
		if since, ok := h.drainedSince[x.desired.Name]; ok && s.now-since >= drainPropagation {
			return false
		}
	}
	return true
}

func (x *simTarget) apply(c Command) error {
	if c.Action.readsWeights() && x.defect == loadFails || c.Action == ChangeRole && x.defect == roleFails {
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

// Guards against commands that arrive out of order when the lease changes hands,
// interrupt running work, drain too many targets or exceed the load rate, and
// against a faulty target that prevents others from reaching the desired state.
func TestReconcile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			s.step(true)
		}
		s.runWithoutFaults(10 * basilmoor.Minute)
		for name, x := range s.targets {
			_, _, differs := nextAction(x.desired, x.state)
			require.Equal(t, x.defect != noDefect, differs, "%s: %+v", name, x.state)
			x.attempts, x.drainedSteps = 0, 0
		}
		s.runWithoutFaults(10 * basilmoor.Minute)
		for name, x := range s.targets {
			require.LessOrEqual(t, x.attempts, 10, "%s gets too many commands", name)
			require.LessOrEqual(t, basilmoor.Millis(x.drainedSteps)*simStep, 5*basilmoor.Minute, "%s is drained too long", name)
		}
	})
}

func (s *simulation) runWithoutFaults(d basilmoor.Millis) {
	for range d / simStep {
		s.step(false)
	}
}

// Guards against a drain of the only target of a kind, and against a target
// that stays out of service because its work never ends.
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
		r.LeaseAcquired(0, 0, 1)
		var drains []DrainChange
		for now := basilmoor.Millis(0); now < drainTimeout+basilmoor.Minute; now += basilmoor.Second {
			r.LeaseRenewed(now, now)
			for _, d := range targets[:n] {
				r.HandleReport(now, d.Name, Report{
					Models:  d.Models,
					Running: 1,
				})
			}
			commands, changes := r.Tick(now)
			require.Empty(t, commands)
			drains = append(drains, changes...)
		}
		if n == 1 {
			require.Empty(t, drains)
			continue
		}
		require.Equal(t, []DrainChange{{
			Target: "a",
			On:     true,
		}, {
			Target: "a",
			On:     false,
		}}, drains[:2])
	}
}
