package bmbench

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmbaseline"
	"basilmoor.example/basilmoor/internal/schedule/bmcapacity"
)

const (
	tickPeriod   = 20 * millisecond
	reportPeriod = second
	reportAge    = 2 * second
	maxAttempts  = 3
	drainPeriod  = 30 * second
)

// Scheme is a policy and where it runs.
type Scheme struct {
	Name string

	// Central places one policy behind the message latency. Otherwise each
	// entry host has its own policy, without latency.
	Central bool

	// Clairvoyant gives the whole pool one policy without latency, also
	// towards the targets. It implies not Central.
	Clairvoyant bool

	// New makes the policy of a host, or of the whole pool as host 0 of 1.
	New func(host, hosts int, seed uint64, o bmbaseline.Oracle) basilmoor.Policy
}

// instance is one policy and the demands that wait in it.
type instance struct {
	policy  basilmoor.Policy
	waiting map[basilmoor.RequestID]*request
}

// request is one arrival on its way.
type request struct {
	*arrival
	pool      *poolRun
	attempts  int
	excluded  []string
	target    *engine // set while dispatched
	sequence  *sequence
	sent      micros // when it was dispatched
	first     micros // time to first token, 0 before
	ended     bool
	refused   bool
	left      bool
	admitted  bool
	finished  bool
	prefilled int // prompt tokens processed over all attempts
	duplicate int
}

// poolRun is one pool during a run.
type poolRun struct {
	sim        *simulation
	d          *Deployment
	scheme     Scheme
	spec       *poolSpec
	engines    []*engine
	byName     map[string]*engine
	instances  []*instance
	requests   map[basilmoor.RequestID]*request
	all        []*request
	pending    []map[*request]struct{} // by tier: alive and not admitted
	beforeStep func()
	deciding   int // nested calls of decide
	samplers   map[samplerKey]*bmcapacity.Sampler
	measure    measure
}

// samplerKey names the sampler of a target on a host.
type samplerKey struct {
	host   int
	target string
}

// tiersMeasured is the number of tier ranks in the deployments.
const tiersMeasured = 3

// newPoolRun builds the targets and policies of one pool.
func newPoolRun(sim *simulation, d *Deployment, spec *poolSpec, scheme Scheme, seed uint64, slow map[string][]window) *poolRun {
	p := &poolRun{
		sim:      sim,
		d:        d,
		scheme:   scheme,
		spec:     spec,
		byName:   map[string]*engine{},
		requests: map[basilmoor.RequestID]*request{},
		samplers: map[samplerKey]*bmcapacity.Sampler{},
	}
	for range tiersMeasured {
		p.pending = append(p.pending, map[*request]struct{}{})
	}
	var targets []basilmoor.Target
	for _, es := range spec.engines {
		e := &engine{
			engineSpec: es,
			pool:       p,
			cache:      newBlockCache(),
			slow:       slow[es.target.Name],
		}
		p.engines = append(p.engines, e)
		p.byName[es.target.Name] = e
		targets = append(targets, es.target)
	}
	p.startPolicies(seed, targets)
	p.startReports()
	return p
}

func (p *poolRun) startPolicies(seed uint64, targets []basilmoor.Target) {
	n := p.d.hosts
	if p.scheme.Central || p.scheme.Clairvoyant {
		n = 1
	}
	for host := range n {
		in := &instance{
			policy:  p.scheme.New(host, n, seed, (*oracle)(p)),
			waiting: map[basilmoor.RequestID]*request{},
		}
		p.instances = append(p.instances, in)
		p.decide(in, in.policy.SetTargets(p.sim.clock(), targets))
		p.sim.every(tickPeriod, func() { p.decide(in, in.policy.Tick(p.sim.clock())) })
	}
	if p.scheme.Clairvoyant {
		in := p.instances[0]
		p.beforeStep = func() {
			if p.deciding == 0 {
				p.decide(in, in.policy.Tick(p.sim.clock()))
			}
		}
	}
}

// startReports delivers each target's load two seconds after it was measured.
func (p *poolRun) startReports() {
	p.sim.every(reportPeriod, func() {
		for _, e := range p.engines {
			r := basilmoor.LoadReport{
				Target:          e.target.Name,
				Running:         len(e.running),
				Waiting:         len(e.waiting),
				CacheTokensUsed: e.private + e.cache.recent.Len()*basilmoor.PrefixBlockTokens,
				Age:             basilmoor.Millis(reportAge / millisecond),
			}
			p.sim.after(reportAge, func() { p.report(r) })
		}
	})
}

func (p *poolRun) report(r basilmoor.LoadReport) {
	for _, in := range p.instances {
		p.decide(in, in.policy.Report(p.sim.clock(), r))
	}
}

// instanceOf returns the policy that serves a host.
func (p *poolRun) instanceOf(host int) *instance {
	if len(p.instances) == 1 {
		return p.instances[0]
	}
	return p.instances[host]
}

// toPolicy calls the policy of a request's host after the message latency, if
// there is one.
func (p *poolRun) toPolicy(r *request, call func(in *instance) []basilmoor.Decision) {
	in := p.instanceOf(r.host)
	if !p.scheme.Central {
		p.decide(in, call(in))
		return
	}
	p.sim.after(p.d.Latency, func() { p.decide(in, call(in)) })
}

// toHost acts on a decision at the entry host.
func (p *poolRun) toHost(act func()) {
	if !p.scheme.Central {
		act()
		return
	}
	p.sim.after(p.d.Latency, act)
}

// toTarget acts at a target, or at the host on what comes from a target.
func (p *poolRun) toTarget(act func()) {
	if p.scheme.Clairvoyant {
		act()
		return
	}
	p.sim.after(p.d.Latency, act)
}

// decide carries out decisions. While it does, a clairvoyant policy is not
// called again for the start of a step: it would not see the decisions that
// are still to be carried out.
func (p *poolRun) decide(in *instance, decisions []basilmoor.Decision) {
	p.deciding++
	defer func() { p.deciding-- }()
	for _, d := range decisions {
		if d.Refusal != nil {
			r := p.requests[d.Refusal.Request]
			delete(in.waiting, r.id)
			p.measure.refusal(p, r, *d.Refusal)
			p.toHost(func() { p.refuse(r) })
			continue
		}
		r := p.requests[d.Grant.Request]
		delete(in.waiting, r.id)
		p.measure.grant(p, r, *d.Grant)
		e := p.byName[d.Grant.Target.Name]
		p.toHost(func() { p.dispatch(r, e) })
	}
}

// oracle gives the clairvoyant policy access to the run.
type oracle poolRun

func (o *oracle) OutputTokens(id basilmoor.RequestID) int {
	return o.requests[id].outputTokens
}

func (o *oracle) AvailableSlots(target string) int {
	e := o.byName[target]
	room := e.batch - len(e.running) - len(e.waiting)
	if room > 0 && e.target.CacheTokens > 0 && e.private > e.target.CacheTokens*8/10 {
		return 0
	}
	return room
}

func (o *oracle) CachedBlocks(target string, digests []uint64) int {
	return o.byName[target].cache.match(digests)
}

func (o *oracle) State(target string) bmbaseline.TargetState {
	e := o.byName[target]
	slow := e.slowness(o.sim.now)
	state := bmbaseline.TargetState{
		PrefillPerToken: e.prefill / float64(millisecond) * slow,
		Sequences:       len(e.running) + len(e.waiting),
	}
	state.StepTime = (e.base + e.perSequence*micros(state.Sequences+1)).millis() * slow
	for _, s := range e.running {
		state.Backlog += s.left
	}
	for _, s := range e.waiting {
		state.Backlog += s.r.promptTokens
	}
	return state
}

func (o *oracle) TimeLeft(id basilmoor.RequestID) basilmoor.Millis {
	r := o.requests[id]
	return basilmoor.Millis((r.at + r.kind.bound - o.sim.now) / millisecond)
}
