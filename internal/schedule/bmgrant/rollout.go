package bmgrant

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmrollout"
)

// rolloutSample is what the rollout of a pool knows of one granted request.
type rolloutSample struct {
	expectedStart basilmoor.Millis // to the first token or response of a target of the default speed; 0 if unknown
	startReported bool
}

// setRollout makes the pool grant requests as a rollout allows it, or without regard to
// versions if r is nil.
func (p *Pool) setRollout(r *bmrollout.Rollout) {
	p.rollout = r
}

// allowsVersion reports whether a demand may be granted a target of this version.
func (p *Pool) allowsVersion(now basilmoor.Millis, t *target, retried bool) bool {
	switch {
	case p.rollout == nil:
		return true
	case p.rollout.IsNew(t.spec):
		return p.rollout.AllowsNew(now, retried)
	}
	return p.rollout.AllowsOld(now)
}

// compareVersions returns a negative number if the rollout prefers t, and a positive one if
// it prefers other.
func (p *Pool) compareVersions(t, other *target) int {
	if p.rollout == nil {
		return 0
	}
	return p.rollout.Compare(t.spec, other.spec, len(t.inFlight), len(other.inFlight))
}

// countVersion counts a request that is granted t.
func (p *Pool) countVersion(t *target, r *grantedRequest) {
	if p.rollout == nil {
		return
	}
	p.rollout.Granted(t.spec)
	r.sample.expectedStart = p.firstTokenAt(defaultTokenLatency, r.demand, t.backlog)
}

// observeForRollout passes an observation of a granted request to the rollout.
func (p *Pool) observeForRollout(now basilmoor.Millis, t *target, r *grantedRequest, o basilmoor.Observation) {
	if p.rollout == nil || o.TargetDied {
		// The death of a target is that of a host, or due to the request.
		return
	}
	a := bmrollout.Answer{
		New:    p.rollout.IsNew(t.spec),
		Target: t.spec.Name,
		Kind:   r.demand.Kind,
		Ended:  o.BadAnswer || o.Stage == basilmoor.StageFinished && o.Elapsed > 0,
		Bad:    o.BadAnswer,
	}
	stream := r.demand.OutputTokens > 0
	answered := a.Ended && !o.BadAnswer
	switch {
	case !a.Ended && o.Stage != basilmoor.StageFirstToken:
		return
	case stream && o.Stage == basilmoor.StageFirstToken, !stream && answered:
		a.Start = r.startRatio(o.Elapsed)
	case stream && answered && r.firstToken > 0 && o.Tokens >= minLatencyTokens && o.Elapsed > r.firstToken:
		a.Pace = float64(o.Elapsed-r.firstToken) / float64(o.Tokens) / defaultTokenLatency
	}
	p.rollout.Observe(now, a)
}

// startRatio returns the ratio of a time to the first token or response to the expected
// one, or 0 if it is unknown or was sample before.
func (r *grantedRequest) startRatio(elapsed basilmoor.Millis) float64 {
	if r.sample.startReported || r.sample.expectedStart <= 0 || elapsed <= 0 {
		return 0
	}
	r.sample.startReported = true
	return float64(elapsed) / float64(r.sample.expectedStart)
}

// reportOverdueStarts reports a slow start for each dispatched request whose first token or
// response is overdue.
func (p *Pool) reportOverdueStarts(now basilmoor.Millis) {
	for id, t := range p.inFlight {
		r := t.inFlight[id]
		limit := p.rollout.SlowStartLimit(t.spec) * float64(r.sample.expectedStart)
		waited := now - r.grantedAt
		if limit == 0 || r.firstToken > 0 || r.sample.startReported || !r.dispatched || float64(waited) <= limit {
			continue
		}
		p.rollout.Observe(now, bmrollout.Answer{
			New:    p.rollout.IsNew(t.spec),
			Target: t.spec.Name,
			Kind:   r.demand.Kind,
			Start:  r.startRatio(waited),
		})
	}
}

// rolloutFleet returns what the rollout has to know of the registered targets. The pool may
// use only some of their slots.
func (p *Pool) rolloutFleet(registered []basilmoor.Target) bmrollout.Fleet {
	f := bmrollout.Fleet{
		Targets: make(map[string]bool, len(registered)),
	}
	for _, t := range registered {
		f.Targets[t.Name] = true
		switch {
		case t.Leaving:
		case p.rollout.IsNew(t):
			f.NewSlots += t.Slots
		default:
			f.OldTargets++
			f.OldSlots += t.Slots
		}
	}
	for _, t := range p.inFlight {
		if !p.rollout.IsNew(t.spec) {
			f.OldRunning++
		}
	}
	return f
}
