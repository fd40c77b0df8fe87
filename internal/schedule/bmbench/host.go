package bmbench

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmcapacity"
)

// An entry host's dispatch deadline precedes the caller's bound on the first
// token by stepReserve for one step and prefillReserve for each prompt token.
const (
	prefillReserve = 200 // microseconds per prompt token
	stepReserve    = 40 * millisecond
)

// onArrival starts a request at its entry host.
func (p *poolRun) onArrival(a *arrival) {
	r := &request{
		arrival: a,
		pool:    p,
	}
	p.requests[a.id] = r
	p.allRequests = append(p.allRequests, r)
	p.setPending(r, true)
	p.sim.after(a.kind.ttftBound, func() { p.onCallerTimeout(r) })
	p.submit(r)
}

// setPending records whether a request waits for admission to an engine.
func (p *poolRun) setPending(r *request, pending bool) {
	p.stats.accountIdleTime(p)
	set := p.pendingByTier[r.kind.tier]
	if pending {
		set[r] = struct{}{}
	} else {
		delete(set, r)
	}
}

// newDemand returns the demand that the entry host submits for a request now.
func (p *poolRun) newDemand(r *request) basilmoor.Demand {
	if r.kind.objective > 0 {
		return p.newObjectiveDemand(r)
	}
	age := p.sim.now - r.at
	reserve := stepReserve + micros(prefillReserve*r.promptTokens)
	return basilmoor.Demand{
		Request:       r.id,
		Host:          hostName(r.host),
		DataCentre:    p.deployment.dataCentres[r.host%len(p.deployment.dataCentres)],
		Workspace:     r.workspace.name,
		Weight:        r.workspace.weight,
		Tier:          r.kind.tier,
		Kind:          r.kind.name,
		Pool:          r.arrival.pool,
		Model:         r.kind.model,
		PrefixDigests: r.digests,
		PromptTokens:  r.promptTokens,
		OutputTokens:  r.expectedOutput,
		Age:           basilmoor.Millis(age / millisecond),
		Deadline:      basilmoor.Millis((r.kind.ttftBound - age - reserve) / millisecond),
		BodyBytes:     4 * r.promptTokens,
		Excluded:      r.excluded,
	}
}

func hostName(host int) string {
	return "entry-" + string(rune('0'+host))
}

// submit sends the request's demand to its policy.
func (p *poolRun) submit(r *request) {
	d := p.newDemand(r)
	p.stats.countDemand(p, d)
	p.callPolicy(r, func(instance *policyInstance) []basilmoor.Decision {
		instance.waiting[r.id] = r
		return instance.policy.Submit(p.sim.policyTime(), d)
	})
}

// reportStage sends an observation of a stage of the request to its policy.
func (p *poolRun) reportStage(r *request, target string, stage basilmoor.Stage) {
	o := basilmoor.Observation{
		Request: r.id,
		Target:  target,
		Stage:   stage,
	}
	if r.sequence != nil {
		o.Tokens = r.sequence.generated
		o.Elapsed = p.elapsed(r)
		o.LongestPause = basilmoor.Millis(r.longestPause / millisecond)
	}
	p.sendObservation(r, o)
}

func (p *poolRun) sendObservation(r *request, o basilmoor.Observation) {
	p.stats.countObservation(p, o)
	p.callPolicy(r, func(instance *policyInstance) []basilmoor.Decision {
		return instance.policy.Observe(p.sim.policyTime(), o)
	})
}

// dispatch sends a granted request to its target.
func (p *poolRun) dispatch(r *request, e *engine) {
	if r.ended || r.target != nil {
		p.reportStage(r, e.target.Name, basilmoor.StageReturned)
		return
	}
	r.target = e
	r.dispatchedAt = p.sim.now
	r.attempts++
	p.reportStage(r, e.target.Name, basilmoor.StageDispatched)
	p.afterTargetLatency(func() {
		if r.ended {
			return
		}
		if !e.enqueue(r) {
			p.afterTargetLatency(func() { p.onQueueFull(r, e) })
		}
	})
}

// onQueueFull excludes a target whose queue was full and submits the request
// again, or refuses it after maxAttempts.
func (p *poolRun) onQueueFull(r *request, e *engine) {
	if r.ended {
		return
	}
	p.reportStage(r, e.target.Name, basilmoor.StageReturned)
	r.target = nil
	if r.attempts >= maxAttempts {
		p.refuse(r)
		return
	}
	r.excluded = append(r.excluded[:len(r.excluded):len(r.excluded)], e.target.Name)
	p.submit(r)
}

// refuse ends a request without a response from a target.
func (p *poolRun) refuse(r *request) {
	if r.ended {
		return
	}
	r.refused = true
	p.end(r)
}

// onCallerTimeout ends a request whose caller received no first token within
// its bound, and cancels it at its policy or target.
func (p *poolRun) onCallerTimeout(r *request) {
	if r.ended || r.ttft > 0 {
		return
	}
	r.callerLeft = true
	e := r.target
	p.end(r)
	if e == nil {
		p.stats.countCancel(p)
		p.callPolicy(r, func(instance *policyInstance) []basilmoor.Decision {
			delete(instance.waiting, r.id)
			return instance.policy.Cancel(p.sim.policyTime(), r.id)
		})
		return
	}
	p.reportStage(r, e.target.Name, basilmoor.StageFailed)
	p.afterTargetLatency(func() {
		if r.sequence != nil {
			e.cancel(r)
			r.addAttemptWork()
		}
	})
}

func (p *poolRun) end(r *request) {
	r.ended = true
	if r.target != nil {
		p.sampler(r).EndStream(r.id)
	}
	p.setPending(r, false)
}

// addAttemptWork adds the prefill work of the current attempt to the request's
// totals.
func (r *request) addAttemptWork() {
	r.prefilledTokens += r.sequence.promptDone
	r.duplicateTokens += r.sequence.duplicateTokens
}

// onAdmitted is called by an engine when a request enters its batch.
func (p *poolRun) onAdmitted(e *engine, r *request) {
	if !r.ended {
		p.setPending(r, false)
	}
	r.admitted = true
	p.stats.countAdmission(p, e, r)
}

// onToken is called by an engine for each output token of a request.
func (p *poolRun) onToken(_ *engine, s *sequence) {
	r := s.request
	finished := s.generated >= r.outputTokens
	r.recordEvent(p.sim.now)
	if finished {
		p.stats.accountIdleTime(p)
		r.addAttemptWork()
	}
	if s.generated == 1 {
		p.afterTargetLatency(func() { p.onFirstToken(r) })
	}
	if finished {
		p.afterTargetLatency(func() { p.onFinished(r) })
		return
	}
	if s.generated > 1 {
		p.reportProgress(r)
	}
}

func (p *poolRun) onFirstToken(r *request) {
	if r.ended {
		return
	}
	r.ttft = p.sim.now - r.at
	p.reportStage(r, r.target.target.Name, basilmoor.StageFirstToken)
}

func (p *poolRun) onFinished(r *request) {
	if r.ended {
		return
	}
	r.finished = true
	p.end(r)
	p.reportStage(r, r.target.target.Name, basilmoor.StageFinished)
}

// reportProgress passes a token to the sampler of its host and target, and sends
// the samples that are due to the policy.
func (p *poolRun) reportProgress(r *request) {
	if r.ended || r.target == nil {
		return
	}
	due := p.sampler(r).RecordToken(p.sim.policyTime(), r.id, bmcapacity.Sample{
		Tokens:  r.sequence.generated,
		Elapsed: p.elapsed(r),
	})
	for _, sample := range due {
		p.afterTargetLatency(func() {
			if r.ended {
				return
			}
			p.sendObservation(r, basilmoor.Observation{
				Request: r.id,
				Target:  r.target.target.Name,
				Stage:   basilmoor.StageProgress,
				Tokens:  sample.Tokens,
				Elapsed: sample.Elapsed,
			})
		})
	}
}

func (p *poolRun) sampler(r *request) *bmcapacity.Sampler {
	key := samplerKey{
		host:   r.host,
		target: r.target.target.Name,
	}
	s, ok := p.samplers[key]
	if !ok {
		s = &bmcapacity.Sampler{}
		p.samplers[key] = s
	}
	return s
}

func (p *poolRun) elapsed(r *request) basilmoor.Millis {
	return basilmoor.Millis((p.sim.now - r.dispatchedAt) / millisecond)
}

// blocksCachedElsewhere returns how many more leading blocks than own are cached
// by the best other target with free slots.
func (p *poolRun) blocksCachedElsewhere(e *engine, digests []uint64, own int) int {
	best := own
	for _, other := range p.engines {
		if other != e && len(other.running)+len(other.waiting) < other.maxBatch {
			best = max(best, other.cache.cachedPrefix(digests))
		}
	}
	return best - own
}
