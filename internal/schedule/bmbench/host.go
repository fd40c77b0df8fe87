package bmbench

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmcapacity"
)

// slowestPrefill and slowestStep are the time per prompt token and the time of
// one step that entry hosts reserve between the last instant of dispatch and
// the caller's bound on the first token.
const (
	slowestPrefill = 200 // microseconds
	slowestStep    = 40 * millisecond
)

// arrive starts a request at its entry host.
func (p *poolRun) arrive(a *arrival) {
	r := &request{
		arrival: a,
		pool:    p,
	}
	p.requests[a.id] = r
	p.all = append(p.all, r)
	p.setPending(r, true)
	p.sim.after(a.kind.bound, func() { p.leave(r) })
	p.submit(r)
}

func (p *poolRun) setPending(r *request, pending bool) {
	p.measure.account(p)
	set := p.pending[r.kind.tier]
	if pending {
		set[r] = struct{}{}
	} else {
		delete(set, r)
	}
}

func (p *poolRun) demand(r *request) basilmoor.Demand {
	age := p.sim.now - r.at
	reserve := slowestStep + micros(slowestPrefill*r.promptTokens)
	return basilmoor.Demand{
		Request:       r.id,
		Host:          hostName(r.host),
		DataCentre:    p.d.dataCentres[r.host%len(p.d.dataCentres)],
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
		Deadline:      basilmoor.Millis((r.kind.bound - age - reserve) / millisecond),
		BodyBytes:     4 * r.promptTokens,
		Excluded:      r.excluded,
	}
}

func hostName(host int) string {
	return "entry-" + string(rune('0'+host))
}

func (p *poolRun) submit(r *request) {
	d := p.demand(r)
	p.measure.demandMessage(p, d)
	p.toPolicy(r, func(in *instance) []basilmoor.Decision {
		in.waiting[r.id] = r
		return in.policy.Submit(p.sim.clock(), d)
	})
}

func (p *poolRun) observe(r *request, target string, stage basilmoor.Stage) {
	o := basilmoor.Observation{
		Request: r.id,
		Target:  target,
		Stage:   stage,
	}
	if r.sequence != nil {
		o.Tokens = r.sequence.generated
		o.Elapsed = p.elapsed(r)
	}
	p.send(r, o)
}

func (p *poolRun) send(r *request, o basilmoor.Observation) {
	p.measure.observationMessage(p, o)
	p.toPolicy(r, func(in *instance) []basilmoor.Decision {
		return in.policy.Observe(p.sim.clock(), o)
	})
}

// dispatch sends a granted request to its target.
func (p *poolRun) dispatch(r *request, e *engine) {
	if r.ended || r.target != nil {
		p.observe(r, e.target.Name, basilmoor.StageReturned)
		return
	}
	r.target = e
	r.sent = p.sim.now
	r.attempts++
	p.observe(r, e.target.Name, basilmoor.StageDispatched)
	p.toTarget(func() {
		if r.ended {
			return
		}
		if !e.enqueue(r) {
			p.toTarget(func() { p.rejected(r, e) })
		}
	})
}

// rejected tries another target after a target's queue was full.
func (p *poolRun) rejected(r *request, e *engine) {
	if r.ended {
		return
	}
	p.observe(r, e.target.Name, basilmoor.StageReturned)
	r.target = nil
	if r.attempts >= maxAttempts {
		p.refuse(r)
		return
	}
	r.excluded = append(r.excluded[:len(r.excluded):len(r.excluded)], e.target.Name)
	p.submit(r)
}

func (p *poolRun) refuse(r *request) {
	if r.ended {
		return
	}
	r.refused = true
	p.end(r)
}

// leave ends a request whose caller got no first token in time.
func (p *poolRun) leave(r *request) {
	if r.ended || r.first > 0 {
		return
	}
	r.left = true
	e := r.target
	p.end(r)
	if e == nil {
		p.measure.cancelMessage(p)
		p.toPolicy(r, func(in *instance) []basilmoor.Decision {
			delete(in.waiting, r.id)
			return in.policy.Cancel(p.sim.clock(), r.id)
		})
		return
	}
	p.observe(r, e.target.Name, basilmoor.StageFailed)
	p.toTarget(func() {
		if r.sequence != nil {
			e.cancel(r)
			r.settle()
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

// settle adds the work of the current attempt to the request's account.
func (r *request) settle() {
	r.prefilled += r.sequence.done
	r.duplicate += r.sequence.duplicate
}

// admitted is called by an engine that starts a request.
func (p *poolRun) admitted(e *engine, r *request) {
	if !r.ended {
		p.setPending(r, false)
	}
	r.admitted = true
	p.measure.admission(p, e, r)
}

// emitted is called by an engine for each token of a request.
func (p *poolRun) emitted(_ *engine, s *sequence) {
	r := s.r
	finished := s.generated >= r.outputTokens
	if finished {
		p.measure.account(p)
		r.settle()
	}
	if s.generated == 1 {
		p.toTarget(func() { p.firstToken(r) })
	}
	if finished {
		p.toTarget(func() { p.finish(r) })
		return
	}
	if s.generated > 1 {
		p.reportProgress(r)
	}
}

func (p *poolRun) firstToken(r *request) {
	if r.ended {
		return
	}
	r.first = p.sim.now - r.at
	p.observe(r, r.target.target.Name, basilmoor.StageFirstToken)
}

func (p *poolRun) finish(r *request) {
	if r.ended {
		return
	}
	r.finished = true
	p.end(r)
	p.observe(r, r.target.target.Name, basilmoor.StageFinished)
}

// reportProgress passes a token to the sampler of its host and target, and
// reports what is due.
func (p *poolRun) reportProgress(r *request) {
	if r.ended || r.target == nil {
		return
	}
	due := p.sampler(r).RecordToken(p.sim.clock(), r.id, bmcapacity.Sample{
		Tokens:  r.sequence.generated,
		Elapsed: p.elapsed(r),
	})
	for _, sample := range due {
		p.toTarget(func() {
			if r.ended {
				return
			}
			p.send(r, basilmoor.Observation{
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
	return basilmoor.Millis((p.sim.now - r.sent) / millisecond)
}

// heldElsewhere returns the leading blocks beyond own that another target with
// room holds.
func (p *poolRun) heldElsewhere(e *engine, digests []uint64, own int) int {
	best := own
	for _, other := range p.engines {
		if other != e && len(other.running)+len(other.waiting) < other.batch {
			best = max(best, other.cache.match(digests))
		}
	}
	return best - own
}
