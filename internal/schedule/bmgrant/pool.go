package bmgrant

import (
	"slices"
	"sync"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmquarantine"
	"basilmoor.example/basilmoor/internal/schedule/bmrollout"
)

// Each tier spans two priority classes: that of the demands that can still meet
// their objective, and behind it that of the others. No demand comes behind those
// of a lower tier.
const (
	classesPerTier = 2
	latePenalty    = 1
)

const (
	// maxWaiting is the largest number of demands that wait in one pool.
	maxWaiting = 20_000

	// silentRequestTimeout is the time from the grant of a dispatched request
	// to the release of its slot if its end is not reported.
	silentRequestTimeout = 30 * basilmoor.Second

	// maxTrackedKinds is the largest number of request kinds whose service
	// time is tracked.
	maxTrackedKinds = 4096

	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter basilmoor.Millis = 300
	maxRetryAfter                  = 3 * basilmoor.Second
)

// queuedDemand is a demand that waits for a slot. Its times are absolute.
type queuedDemand struct {
	demand     basilmoor.Demand
	objective  basilmoor.Millis // when the first token is due; 0 for none
	deadline   basilmoor.Millis // when the response has to be complete
	lastOnTime basilmoor.Millis // latest time of a grant that meets the objective
	expires    basilmoor.Millis // latest time of a grant that can still be served

	// expiryReason is the reason of a refusal because of expires.
	expiryReason basilmoor.Reason

	heldBack bool // a free target could not take its prompt
}

// Pool schedules the demands for one pool of targets. It is not safe for
// concurrent use.
type Pool struct {
	targets          map[string]*target // by name; also delisted ones with requests in progress
	listed           []*target          // in the order of the last SetTargets
	inFlight         map[basilmoor.RequestID]*target
	waiting          []*queuedDemand
	holdOff          basilmoor.Millis // no grants before this time
	lastSilenceCheck basilmoor.Millis
	lastForecast     basilmoor.Millis
	serviceTimes     map[string]float64 // average ms of a plain service's response, by kind
	grantedByTier    map[int]int        // since the last summary
	refusedByTier    map[int]int        // since the last summary
	estimates        estimates
	prefill          prefillLimits

	quarantine *bmquarantine.Quarantine
	settling   []settling        // in the order of their first tokens
	ended      []endedRequest    // in the order of their ends
	trials     []*grantedRequest // in progress
	news       quarantineNews

	rollout *bmrollout.Rollout // nil unless the pool moves to another version

	decisions []basilmoor.Decision
}

var _ basilmoor.Policy = (*Pool)(nil)

// NewPool returns a pool without targets that grants nothing before holdOff.
func NewPool(holdOff basilmoor.Millis) *Pool {
	return &Pool{
		targets:       map[string]*target{},
		inFlight:      map[basilmoor.RequestID]*target{},
		serviceTimes:  map[string]float64{},
		grantedByTier: map[int]int{},
		refusedByTier: map[int]int{},
		estimates:     newEstimates(),
		quarantine:    bmquarantine.New(),
		holdOff:       holdOff,
	}
}

// SetTargets implements basilmoor.Policy.
func (p *Pool) SetTargets(now basilmoor.Millis, targets []basilmoor.Target) []basilmoor.Decision {
	listed := make(map[string]bool, len(targets))
	p.listed = p.listed[:0]
	for _, spec := range targets {
		listed[spec.Name] = true
		t, known := p.targets[spec.Name]
		if !known {
			t = newTarget(spec)
			p.targets[spec.Name] = t
		}
		t.spec = spec
		p.listed = append(p.listed, t)
	}
	for name, t := range p.targets {
		if listed[name] {
			continue
		}
		t.spec.Leaving = true
		if len(t.inFlight) == 0 {
			delete(p.targets, name)
		}
	}
	return p.schedule(now)
}

// Submit implements basilmoor.Policy.
func (p *Pool) Submit(now basilmoor.Millis, d basilmoor.Demand) []basilmoor.Decision {
	if _, held := p.inFlight[d.Request]; held {
		return p.schedule(now)
	}
	p.removeWaiting(d.Request)
	p.estimates.offer(now, d.Tier, float64(p.fastestDuration(d)))
	q := &queuedDemand{
		demand:       d,
		objective:    now + d.Objective,
		deadline:     now + d.Deadline,
		lastOnTime:   now + d.Objective - p.firstTokenReserve(d),
		expires:      now + d.Deadline - p.fastestDuration(d),
		expiryReason: basilmoor.ReasonDeadline,
	}
	if d.OnlyInTime {
		// Only the host that stops is too late for the demand.
		q.expiryReason = basilmoor.ReasonStopping
	}
	if lastInTime := now + d.FirstByteTimeout - p.fastestFirstToken(d); d.FirstByteTimeout != 0 && lastInTime < q.expires {
		q.expires = lastInTime
		q.expiryReason = basilmoor.ReasonDeadline
	}
	if d.Objective == 0 {
		q.objective = 0
		q.lastOnTime = q.expires
	}
	if !d.OnlyInTime && slices.ContainsFunc(p.listed, func(t *target) bool { return t.free(now) }) {
		// A free target gets the demand even if it is expected to be too slow:
		// only a request can show that it has become faster.
		q.expires = max(q.expires, now)
	}
	if len(p.waiting) >= maxWaiting {
		p.refuse(d, basilmoor.ReasonQueueFull, "", p.drainTime())
		return p.schedule(now)
	}
	if p.excludesAll(d) {
		p.refuse(d, basilmoor.ReasonNoTarget, "", p.drainTime())
		return p.schedule(now)
	}
	p.waiting = append(p.waiting, q)
	return p.schedule(now)
}

// excludesAll reports whether a demand excludes every listed target that is not
// leaving, so that none of them can serve it.
func (p *Pool) excludesAll(d basilmoor.Demand) bool {
	if len(d.Excluded) == 0 {
		return false
	}
	return !slices.ContainsFunc(p.listed, func(t *target) bool {
		return !t.spec.Leaving && !slices.Contains(d.Excluded, t.spec.Name)
	})
}

// Cancel implements basilmoor.Policy.
func (p *Pool) Cancel(now basilmoor.Millis, id basilmoor.RequestID) []basilmoor.Decision {
	p.removeWaiting(id)
	p.releaseSlot(id)
	return p.schedule(now)
}

// Observe implements basilmoor.Policy.
func (p *Pool) Observe(now basilmoor.Millis, o basilmoor.Observation) []basilmoor.Decision {
	p.settleAnswered(now)
	p.settleEnded(now)
	t, held := p.inFlight[o.Request]
	if !held && o.TargetDied {
		p.observeLateDeath(now, o.Request)
		return p.schedule(now)
	}
	if !held {
		if o.Demand == nil || o.Stage.Terminal() {
			return p.schedule(now)
		}
		t = p.adopt(now, o)
	}
	r := t.inFlight[o.Request]
	p.observeForRollout(now, t, r, o)
	switch o.Stage {
	case basilmoor.StageDispatched:
		r.dispatched = true
	case basilmoor.StageFirstToken:
		r.dispatched = true
		if r.firstToken == 0 {
			t.estimateTokenLatency(o.Elapsed, p.lowestTokenLatency())
			p.estimates.observeFirstToken(r.expectedFirst, now-r.grantedAt)
			r.firstToken = max(o.Elapsed, 1)
			t.backlog -= r.demand.PromptTokens
			p.settling = append(p.settling, settling{
				request: r,
				at:      now + settleTime,
			})
		}
		t.consecutiveFailures = 0
	case basilmoor.StageFinished:
		t.consecutiveFailures = 0
		p.learnPause(r, o.LongestPause)
		if r.demand.OutputTokens == 0 {
			p.observeServiceTime(t, r.demand.Kind, o.Elapsed)
		} else {
			t.observeTokenLatency(r, o.Tokens, o.Elapsed)
		}
		p.estimates.observeHold(r.expectedHold, now-r.grantedAt)
		if o.Answered {
			p.survive(now, r)
		} else {
			p.awaitVerdict(now, t, r)
		}
	case basilmoor.StageUnreachable, basilmoor.StageFailed:
		t.recordFailure(now)
		switch {
		case o.TargetDied:
			p.observeDeath(now, t, r)
		case o.Stage == basilmoor.StageFailed:
			p.awaitVerdict(now, t, r)
		}
	}
	if o.Stage.Terminal() {
		p.releaseSlot(o.Request)
	}
	return p.schedule(now)
}

// observeServiceTime updates the token latency of t and the average service
// time of a kind after a response of a plain service, which has no tokens.
// Kinds differ in service time, so the token latency is derived from the ratio
// of elapsed to the average of the kind. An elapsed time of 0 means unknown and
// is ignored.
func (p *Pool) observeServiceTime(t *target, kind string, elapsed basilmoor.Millis) {
	if elapsed == 0 {
		return
	}
	average, known := p.serviceTimes[kind]
	if !known {
		if len(p.serviceTimes) < maxTrackedKinds {
			p.serviceTimes[kind] = float64(elapsed)
		}
		return
	}
	t.updateTokenLatency(defaultTokenLatency * float64(elapsed) / max(average, 1))
	p.serviceTimes[kind] += serviceTimeWeight * (float64(elapsed) - average)
}

// adopt adds a request that another broker granted to the requests in progress.
func (p *Pool) adopt(now basilmoor.Millis, o basilmoor.Observation) *target {
	p.removeWaiting(o.Request)
	t, known := p.targets[o.Target]
	if !known {
		t = newTarget(basilmoor.Target{
			Name:    o.Target,
			Leaving: true,
		})
		p.targets[o.Target] = t
	}
	r := &grantedRequest{
		demand:    *o.Demand,
		grantedAt: now,
	}
	r.demand.Request = o.Request
	p.beginCount(r)
	t.add(r)
	p.inFlight[o.Request] = t
	return t
}

// Report implements basilmoor.Policy. It ignores the load report, which is a few
// hundred milliseconds old on arrival; the pool uses its own request count.
func (p *Pool) Report(now basilmoor.Millis, _ basilmoor.LoadReport) []basilmoor.Decision {
	return p.schedule(now)
}

// Tick implements basilmoor.Policy.
func (p *Pool) Tick(now basilmoor.Millis) []basilmoor.Decision {
	return p.schedule(now)
}

// DropHost removes the waiting demands of a host and releases its slots.
func (p *Pool) DropHost(now basilmoor.Millis, host string) []basilmoor.Decision {
	p.waiting = slices.DeleteFunc(p.waiting, func(q *queuedDemand) bool { return q.demand.Host == host })
	for id, t := range p.inFlight {
		if t.inFlight[id].demand.Host == host {
			p.releaseSlot(id)
		}
	}
	return p.schedule(now)
}

// SetHoldOff makes the pool grant nothing before a time.
func (p *Pool) SetHoldOff(until basilmoor.Millis) {
	p.holdOff = until
}

// HasGrant reports whether a request holds a slot.
func (p *Pool) HasGrant(id basilmoor.RequestID) bool {
	_, held := p.inFlight[id]
	return held
}

// Has reports whether a demand waits or its request holds a slot.
func (p *Pool) Has(id basilmoor.RequestID) bool {
	return p.HasGrant(id) || slices.ContainsFunc(p.waiting, func(q *queuedDemand) bool { return q.demand.Request == id })
}

// Waiting returns the number of waiting demands.
func (p *Pool) Waiting() int {
	return len(p.waiting)
}

func (p *Pool) removeWaiting(id basilmoor.RequestID) {
	p.waiting = slices.DeleteFunc(p.waiting, func(q *queuedDemand) bool { return q.demand.Request == id })
}

func (p *Pool) releaseSlot(id basilmoor.RequestID) {
	t, held := p.inFlight[id]
	if !held {
		return
	}
	r := t.inFlight[id]
	if !r.ended {
		p.settle(r)
	}
	t.remove(r)
	delete(p.inFlight, id)
	if t.spec.Leaving && len(t.inFlight) == 0 && !slices.Contains(p.listed, t) {
		delete(p.targets, t.spec.Name)
	}
}

// schedule refuses demands that can no longer be served, grants free slots, and
// returns the decisions made since the last call.
func (p *Pool) schedule(now basilmoor.Millis) []basilmoor.Decision {
	p.settleAnswered(now)
	p.settleEnded(now)
	p.endOverdueTrials(now)
	p.releaseSilent(now)
	p.refuseExpired(now)
	if now >= p.holdOff {
		p.grantWaiting(now)
		p.shed(now)
	}
	decisions := p.decisions
	p.decisions = nil
	return decisions
}

// releaseSilent releases the slots of requests that were not dispatched, or
// whose end was not reported, in time. It runs at most once a second.
func (p *Pool) releaseSilent(now basilmoor.Millis) {
	if now-p.lastSilenceCheck < basilmoor.Second {
		return
	}
	p.lastSilenceCheck = now
	p.quarantine.Prune(now)
	for id, t := range p.inFlight {
		r := t.inFlight[id]
		bound := silentRequestTimeout
		if !r.dispatched {
			bound = 2 * grantTTL
		}
		if now-r.grantedAt > bound {
			p.releaseSlot(id)
		}
	}
}

// refuseExpired refuses the demands that can no longer be served in time.
func (p *Pool) refuseExpired(now basilmoor.Millis) {
	wait := sync.OnceValue(p.drainTime)
	p.waiting = slices.DeleteFunc(p.waiting, func(q *queuedDemand) bool {
		if now <= q.expires {
			return false
		}
		p.refuse(q.demand, q.expiryReason, basilmoor.SourceExpired, wait())
		return true
	})
}

// grantWaiting grants free slots to the waiting demands in priority order.
func (p *Pool) grantWaiting(now basilmoor.Millis) {
	p.updateFastest()
	for len(p.waiting) > 0 {
		n := p.nextGrantable(now)
		if n < 0 {
			return
		}
		q := p.waiting[n]
		t := p.chooseTarget(now, q)
		p.waiting = slices.Delete(p.waiting, n, n+1)
		p.recordPrompt(t, q)
		p.grant(now, q.demand, t)
	}
}

// nextGrantable returns the index of the waiting demand of the highest priority
// that has a suitable free target, or -1.
func (p *Pool) nextGrantable(now basilmoor.Millis) int {
	if !slices.ContainsFunc(p.listed, func(t *target) bool { return t.free(now) }) {
		return -1
	}
	best := -1
	for n, q := range p.waiting {
		if best >= 0 && !q.precedes(p.waiting[best], now) {
			continue
		}
		if p.chooseTarget(now, q) != nil {
			best = n
		}
	}
	return best
}

// precedes reports whether q is granted before other.
func (q *queuedDemand) precedes(other *queuedDemand, now basilmoor.Millis) bool {
	if a, b := q.priorityClass(now), other.priorityClass(now); a != b {
		return a < b
	}
	if a, b := q.demand.WorkspaceRank, other.demand.WorkspaceRank; a != b {
		return a < b
	}
	return q.lastOnTime < other.lastOnTime
}

// priorityClass returns the class that is compared first; the lowest one has
// the highest priority.
func (q *queuedDemand) priorityClass(now basilmoor.Millis) int {
	class := classesPerTier * q.demand.Tier
	if now > q.lastOnTime {
		class += latePenalty
	}
	return class
}

func (p *Pool) grant(now basilmoor.Millis, d basilmoor.Demand, t *target) {
	p.grantedByTier[d.Tier]++
	latency := p.tokenLatencyOf(t)
	r := &grantedRequest{
		demand:        d,
		grantedAt:     now,
		onTrial:       p.quarantine.Level(d.CrashKeys) >= bmquarantine.Limited,
		expectedFirst: p.fastestFirstToken(d),
		expectedHold:  p.durationAt(latency, d),
	}
	if r.onTrial {
		p.news.trials++
		p.trials = append(p.trials, r)
	}
	p.countVersion(t, r)
	p.beginCount(r)
	t.add(r)
	p.inFlight[d.Request] = t
	p.decisions = append(p.decisions, basilmoor.Decision{
		Grant: &basilmoor.Grant{
			Request: d.Request,
			Target:  t.spec,
			TTL:     grantTTL,
		},
	})
}

// refuse adds a refusal of a demand that may be retried after about wait.
func (p *Pool) refuse(d basilmoor.Demand, reason basilmoor.Reason, source basilmoor.RefusalSource, wait basilmoor.Millis) {
	p.refusedByTier[d.Tier]++
	p.decisions = append(p.decisions, basilmoor.Decision{
		Refusal: &basilmoor.Refusal{
			Request:    d.Request,
			Reason:     reason,
			Source:     source,
			RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
			Workspace:  d.Workspace,
			Charge:     d.Charge,
		},
	})
}
