package bmbench

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmbaseline"
	"basilmoor.example/basilmoor/internal/schedule/bmcapacity"
)

const (
	tickPeriod       = 20 * millisecond // between ticks of a policy
	loadReportPeriod = second
	loadReportAge    = 2 * second  // delay of a load report
	maxAttempts      = 3           // dispatches of a request, the first included
	drainPeriod      = 30 * second // time after the last arrival for requests to end
)

// Scheme is a scheduling policy with its placement in the deployment.
type Scheme struct {
	Name string

	// Central runs one policy per pool, which entry hosts reach with the
	// message latency. Otherwise each entry host runs its own policy and
	// reaches it without latency.
	Central bool

	// Clairvoyant runs one policy per pool and removes the latency between
	// hosts, policy and targets. Central must not be set with it.
	Clairvoyant bool

	// New returns the policy of a host. A policy of the whole pool is made as
	// host 0 of 1.
	New func(host, hosts int, seed uint64, o bmbaseline.Oracle) basilmoor.Policy
}

// policyInstance is a running policy with the requests that wait in it.
type policyInstance struct {
	policy  basilmoor.Policy
	waiting map[basilmoor.RequestID]*request
}

// request is the state of an arrival during a run.
type request struct {
	*arrival
	pool            *poolRun
	attempts        int
	excluded        []string
	target          *engine // set while dispatched
	sequence        *sequence
	dispatchedAt    micros // when it was last dispatched
	ttft            micros // time to first token, 0 until it arrives
	lastEvent       micros // when the target made the latest event
	longestPause    micros // between events
	ended           bool
	refused         bool
	callerLeft      bool
	admitted        bool
	finished        bool
	prefilledTokens int // prompt tokens processed over all attempts
	duplicateTokens int
}

// poolRun is the state of a pool during a run.
type poolRun struct {
	sim           *simulation
	deployment    *Deployment
	scheme        Scheme
	spec          *poolSpec
	engines       []*engine
	enginesByName map[string]*engine
	instances     []*policyInstance
	requests      map[basilmoor.RequestID]*request
	allRequests   []*request
	pendingByTier []map[*request]struct{} // neither ended nor admitted by an engine
	beforeStep    func()
	applyDepth    int // nested calls of applyDecisions
	samplers      map[samplerKey]*bmcapacity.Sampler
	stats         poolStats
}

// samplerKey identifies the sampler of a target on a host.
type samplerKey struct {
	host   int
	target string
}

// tierCount is the number of tier ranks in the deployments.
const tierCount = 3

// newPoolRun creates the targets and policies of a pool and schedules its load
// reports.
func newPoolRun(sim *simulation, d *Deployment, spec *poolSpec, scheme Scheme, seed uint64, slowWindows map[string][]window) *poolRun {
	p := &poolRun{
		sim:           sim,
		deployment:    d,
		scheme:        scheme,
		spec:          spec,
		enginesByName: map[string]*engine{},
		requests:      map[basilmoor.RequestID]*request{},
		samplers:      map[samplerKey]*bmcapacity.Sampler{},
	}
	for range tierCount {
		p.pendingByTier = append(p.pendingByTier, map[*request]struct{}{})
	}
	var targets []basilmoor.Target
	for _, es := range spec.engines {
		e := &engine{
			engineSpec:  es,
			pool:        p,
			cache:       newBlockCache(),
			slowWindows: slowWindows[es.target.Name],
		}
		p.engines = append(p.engines, e)
		p.enginesByName[es.target.Name] = e
		targets = append(targets, es.target)
	}
	p.startPolicies(seed, targets)
	p.startLoadReports()
	return p
}

// startPolicies creates the policies and schedules their ticks. A clairvoyant
// policy also ticks before each step of an engine.
func (p *poolRun) startPolicies(seed uint64, targets []basilmoor.Target) {
	n := p.deployment.hosts
	if p.scheme.Central || p.scheme.Clairvoyant {
		n = 1
	}
	for host := range n {
		instance := &policyInstance{
			policy:  p.scheme.New(host, n, seed, (*oracle)(p)),
			waiting: map[basilmoor.RequestID]*request{},
		}
		p.instances = append(p.instances, instance)
		p.applyDecisions(instance, instance.policy.SetTargets(p.sim.policyTime(), targets))
		p.sim.every(tickPeriod, func() { p.applyDecisions(instance, instance.policy.Tick(p.sim.policyTime())) })
	}
	if p.scheme.Clairvoyant {
		instance := p.instances[0]
		p.beforeStep = func() {
			if p.applyDepth == 0 {
				p.applyDecisions(instance, instance.policy.Tick(p.sim.policyTime()))
			}
		}
	}
}

// startLoadReports samples the load of each target every loadReportPeriod and
// delivers it two seconds later.
func (p *poolRun) startLoadReports() {
	p.sim.every(loadReportPeriod, func() {
		for _, e := range p.engines {
			r := basilmoor.LoadReport{
				Target:          e.target.Name,
				Running:         len(e.running),
				Waiting:         len(e.waiting),
				CacheTokensUsed: e.privateTokens + e.cache.lru.Len()*basilmoor.PrefixBlockTokens,
				Age:             basilmoor.Millis(loadReportAge / millisecond),
			}
			p.sim.after(loadReportAge, func() { p.deliverLoadReport(r) })
		}
	})
}

func (p *poolRun) deliverLoadReport(r basilmoor.LoadReport) {
	for _, instance := range p.instances {
		p.applyDecisions(instance, instance.policy.Report(p.sim.policyTime(), r))
	}
}

// policyFor returns the policy that serves a host.
func (p *poolRun) policyFor(host int) *policyInstance {
	if len(p.instances) == 1 {
		return p.instances[0]
	}
	return p.instances[host]
}

// callPolicy calls the policy that serves a request's host, after the message
// latency if the policy is central, and applies its decisions.
func (p *poolRun) callPolicy(r *request, call func(instance *policyInstance) []basilmoor.Decision) {
	instance := p.policyFor(r.host)
	if !p.scheme.Central {
		p.applyDecisions(instance, call(instance))
		return
	}
	p.sim.after(p.deployment.Latency, func() { p.applyDecisions(instance, call(instance)) })
}

// afterPolicyLatency runs an entry host's reaction to a decision, after the
// message latency if the policy is central.
func (p *poolRun) afterPolicyLatency(act func()) {
	if !p.scheme.Central {
		act()
		return
	}
	p.sim.after(p.deployment.Latency, act)
}

// afterTargetLatency runs an action after the latency between entry host and
// target, which is the same in both directions.
func (p *poolRun) afterTargetLatency(act func()) {
	if p.scheme.Clairvoyant {
		act()
		return
	}
	p.sim.after(p.deployment.Latency, act)
}

// applyDecisions applies the decisions of a policy. Meanwhile, steps that start
// don't tick a clairvoyant policy, which would not see the decisions that are
// still to be applied.
func (p *poolRun) applyDecisions(instance *policyInstance, decisions []basilmoor.Decision) {
	p.applyDepth++
	defer func() { p.applyDepth-- }()
	for _, d := range decisions {
		if d.Refusal != nil {
			r := p.requests[d.Refusal.Request]
			delete(instance.waiting, r.id)
			p.stats.countRefusal(p, r, *d.Refusal)
			p.afterPolicyLatency(func() { p.refuse(r) })
			continue
		}
		r := p.requests[d.Grant.Request]
		delete(instance.waiting, r.id)
		p.stats.countGrant(p, r, *d.Grant)
		e := p.enginesByName[d.Grant.Target.Name]
		p.afterPolicyLatency(func() { p.dispatch(r, e) })
	}
}

// oracle exposes the state of the run to the clairvoyant policy.
type oracle poolRun

func (o *oracle) OutputTokens(id basilmoor.RequestID) int {
	return o.requests[id].outputTokens
}

func (o *oracle) AvailableSlots(target string) int {
	e := o.enginesByName[target]
	room := e.maxBatch - len(e.running) - len(e.waiting)
	if room > 0 && e.target.CacheTokens > 0 && e.privateTokens > e.target.CacheTokens*8/10 {
		return 0
	}
	return room
}

func (o *oracle) CachedBlocks(target string, digests []uint64) int {
	return o.enginesByName[target].cache.cachedPrefix(digests)
}

func (o *oracle) State(target string) bmbaseline.TargetState {
	e := o.enginesByName[target]
	slow := e.slowdown(o.sim.now)
	state := bmbaseline.TargetState{
		PrefillPerToken: e.prefillPerToken / float64(millisecond) * slow,
		Sequences:       len(e.running) + len(e.waiting),
		EventTokens:     eventTokens,
		ChunkTokens:     e.maxChunkTokens,
	}
	state.StepTime = (e.stepBase + e.stepPerSequence*micros(state.Sequences+1)).millis() * slow
	for _, s := range e.running {
		state.Backlog += s.promptLeft
		if pause := s.request.kind.maxPause.millis(); pause > 0 && (state.MaxPause == 0 || pause < state.MaxPause) {
			state.MaxPause = pause
		}
	}
	for _, s := range e.waiting {
		state.Backlog += s.request.promptTokens
	}
	return state
}

func (o *oracle) TimeLeft(id basilmoor.RequestID) basilmoor.Millis {
	r := o.requests[id]
	return basilmoor.Millis((r.at + r.kind.ttftBound - o.sim.now) / millisecond)
}
