package bmcapacity

import "basilmoor.example/basilmoor"

// Observe records what a host saw of a request. Reports of requests that have
// ended are ignored, as are reports of unknown requests without a demand.
func (p *Pool) Observe(now basilmoor.Millis, o basilmoor.Observation) {
	switch o.Stage {
	case basilmoor.StageReturned:
		p.returned(now, o)
	case basilmoor.StageUnreachable:
		if t, ok := p.targets[o.Target]; ok {
			t.refuse(now)
		}
		p.returned(now, o)
	case basilmoor.StageFinished, basilmoor.StageFailed:
		p.ended(now, o)
	case basilmoor.StageDispatched, basilmoor.StageFirstToken, basilmoor.StageProgress:
		p.running(now, o)
	}
}

// returned frees a grant that was given back: either nothing was sent, or the
// target stated that it did not run the request.
func (p *Pool) returned(now basilmoor.Millis, o basilmoor.Observation) {
	f, ok := p.flights[o.Request]
	if !ok || f.target.spec.Name != o.Target {
		return
	}
	p.end(now, f, endedReturned)
}

func (p *Pool) ended(now basilmoor.Millis, o basilmoor.Observation) {
	f, ok := p.flights[o.Request]
	if ok {
		p.end(now, f, endedRun)
		return
	}
	// The end may overtake nothing on an ordered stream, but a repeated
	// dispatch report after it must not count the request again.
	d := basilmoor.Demand{
		Request: o.Request,
	}
	if o.Demand != nil {
		d = *o.Demand
	}
	p.history.add(now, d, endedRun)
}

func (p *Pool) running(now basilmoor.Millis, o basilmoor.Observation) {
	f := p.adopt(now, o)
	if f == nil {
		return
	}
	f.dispatched = true
	f.last = now
	if o.Stage == basilmoor.StageDispatched {
		f.target.refusals = 0
	}
	switch o.Stage {
	case basilmoor.StageFirstToken:
		f.target.firstToken(now, f, o.Tokens, o.Elapsed)
	case basilmoor.StageProgress:
		f.target.firstToken(now, f, o.Tokens, o.Elapsed)
		f.target.progress(now, f, o.Tokens, o.Elapsed)
	}
}

// adopt returns the flight that an observation belongs to. A request that is
// unknown, whose grant lapsed, or that runs elsewhere than assumed is counted
// on the target that the host names.
func (p *Pool) adopt(now basilmoor.Millis, o basilmoor.Observation) *flight {
	f, ok := p.flights[o.Request]
	if ok && f.target.spec.Name == o.Target {
		return f
	}
	if ok {
		if f.dispatched {
			return nil
		}
		d := f.demand
		f.target.remove(f)
		delete(p.flights, o.Request)
		p.drop(f.target)
		return p.dataCentre(now, d, p.named(o.Target), true)
	}
	e, remembered := p.history.ended[o.Request]
	switch {
	case remembered && e.ending != endedLapsed:
		return nil
	case o.Demand != nil:
		return p.dataCentre(now, *o.Demand, p.named(o.Target), true)
	case remembered:
		return p.dataCentre(now, e.demand, p.named(o.Target), true)
	default:
		return nil
	}
}

// named returns a target. One that is not listed any more is kept until its
// requests have ended: a late report of a dispatch to it must not be lost, else
// the request would be granted again.
func (p *Pool) named(name string) *target {
	t, ok := p.targets[name]
	if !ok {
		t = newTarget(basilmoor.Target{
			Name: name,
		})
		t.listed = false
		p.targets[name] = t
	}
	return t
}

// Report records a load report. Reports are late and contain the pool's own
// requests: they are only a hint at load beyond the slots.
func (p *Pool) Report(now basilmoor.Millis, r basilmoor.LoadReport) {
	t, ok := p.targets[r.Target]
	if !ok {
		return
	}
	t.report = r
	t.reported = now - r.Age
	t.hasLoad = true
}
