package bmcapacity

import "basilmoor.example/basilmoor"

// Observe processes a host's report on a request. Reports on ended requests and
// reports on unknown requests without a demand are ignored.
func (p *Pool) Observe(now basilmoor.Millis, o basilmoor.Observation) {
	switch o.Stage {
	case basilmoor.StageReturned:
		p.handleReturned(now, o)
	case basilmoor.StageUnreachable:
		if t, ok := p.targets[o.Target]; ok {
			t.connectionRefused(now)
		}
		p.handleReturned(now, o)
	case basilmoor.StageFinished, basilmoor.StageFailed:
		p.handleEnded(now, o)
	case basilmoor.StageDispatched, basilmoor.StageFirstToken, basilmoor.StageProgress:
		p.handleRunning(now, o)
	}
}

// handleReturned frees the capacity of a returned grant: either nothing was sent,
// or the target stated that it did not run the request.
func (p *Pool) handleReturned(now basilmoor.Millis, o basilmoor.Observation) {
	r, ok := p.reservations[o.Request]
	if !ok || r.target.spec.Name != o.Target {
		return
	}
	p.endReservation(now, r, endedReturned)
}

// handleEnded frees the capacity of a request that was dispatched and has ended.
func (p *Pool) handleEnded(now basilmoor.Millis, o basilmoor.Observation) {
	r, ok := p.reservations[o.Request]
	if ok {
		p.endReservation(now, r, endedDispatched)
		return
	}
	// Reports on a stream arrive in order, but a duplicate dispatch report may
	// follow the final report. The history entry keeps it from reserving
	// capacity again.
	d := basilmoor.Demand{
		Request: o.Request,
	}
	if o.Demand != nil {
		d = *o.Demand
	}
	p.history.add(now, d, endedDispatched)
}

// handleRunning updates the reservation and the estimates of the target from a
// report on a dispatched request.
func (p *Pool) handleRunning(now basilmoor.Millis, o basilmoor.Observation) {
	r := p.reservationFor(now, o)
	if r == nil {
		return
	}
	r.dispatched = true
	r.lastReport = now
	if o.Stage == basilmoor.StageDispatched {
		r.target.refusals = 0
	}
	switch o.Stage {
	case basilmoor.StageFirstToken:
		r.target.recordFirstToken(now, r, o.Tokens, o.Elapsed)
	case basilmoor.StageProgress:
		r.target.recordFirstToken(now, r, o.Tokens, o.Elapsed)
		r.target.recordProgress(now, r, o.Tokens, o.Elapsed)
	}
}

// reservationFor returns the reservation that an observation refers to, or nil if
// the observation is to be ignored. If the request is unknown, its grant has
// expired, or it runs on another target than the granted one, a reservation is
// created on the target that the host reported.
func (p *Pool) reservationFor(now basilmoor.Millis, o basilmoor.Observation) *reservation {
	r, ok := p.reservations[o.Request]
	if ok && r.target.spec.Name == o.Target {
		return r
	}
	if ok {
		if r.dispatched {
			return nil
		}
		d := r.demand
		r.target.remove(r)
		delete(p.reservations, o.Request)
		p.dropIfIdle(r.target)
		return p.addReservation(now, d, p.targetFor(o.Target), true)
	}
	e, remembered := p.history.ended[o.Request]
	switch {
	case remembered && e.reason != endedWithoutReport:
		return nil
	case o.Demand != nil:
		return p.addReservation(now, *o.Demand, p.targetFor(o.Target), true)
	case remembered:
		return p.addReservation(now, e.demand, p.targetFor(o.Target), true)
	default:
		return nil
	}
}

// targetFor returns the target with the given name. If it is unknown, it is added
// as unlisted and kept until its requests have ended: if a late report of a
// dispatch to an unlisted target were dropped, the request would be granted again.
func (p *Pool) targetFor(name string) *target {
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

// Report records a load report. Reports are delayed and include the pool's own
// requests, so they are used only to estimate load beyond the target's slots.
func (p *Pool) Report(now basilmoor.Millis, r basilmoor.LoadReport) {
	t, ok := p.targets[r.Target]
	if !ok {
		return
	}
	t.report = r
	t.reportedAt = now - r.Age
	t.hasReport = true
}
