package bmgrant

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmview"
	"basilmoor.example/basilmoor/internal/schedule/bmrollout"
)

const (
	// rolloutStepPeriod is the time between two decisions on a rollout. It adds to the
	// time after which a bad version gets no more requests.
	rolloutStepPeriod basilmoor.Millis = 60

	// rolloutRetryPeriod is the delay after a failed call to the store.
	rolloutRetryPeriod basilmoor.Millis = 200

	// rolloutReclaimDelay is how long a broker whose record was refused waits before it
	// tries again. It exceeds the time for which two brokers can overlap.
	rolloutReclaimDelay = basilmoor.Second
)

// rolloutOwner is the broker's side of an order: the decision, and what is stored of it.
type rolloutOwner struct {
	roll       *bmrollout.Rollout
	owned      bool // at the last step
	recordRead bool // whether the record of earlier owners was read

	generation     int64            // of this owner's stored record; 0 if it has none
	lastGeneration int64            // highest generation known, stored or refused
	recordVersion  int64            // store version of the record
	recordSent     basilmoor.Millis // when the latest record that was stored was sent
	statusVersion  int64            // store version of the status
	status         bmrollout.State  // the latest that was stored, "" if none by this owner
	unanswered     bmrollout.Record // the latest whose write got no answer
	unansweredAt   basilmoor.Millis // when it was sent
	retryAt        basilmoor.Millis
	counted        bmrollout.Counts // when the metrics were last updated
}

// SetRolloutBounds makes the broker of a host follow the operator's orders within bounds.
// It must be called before the broker is used.
func (b *Broker) SetRolloutBounds(host string, bounds bmrollout.Bounds) {
	b.hostName = host
	b.rolloutBounds = bounds
}

// rolloutOf returns the latest order for a pool if orders are followed.
func (b *Broker) rolloutOf(v *bmview.View, pool string) (bmrollout.View, bool) {
	if !b.rolloutBounds.Enabled() {
		return bmrollout.View{}, false
	}
	return v.Rollout(pool)
}

// targetsAfterDecisions returns the targets of all pools. Targets that a decided rollout
// excludes are marked as leaving.
func (b *Broker) targetsAfterDecisions(now basilmoor.Millis, v *bmview.View) []basilmoor.Target {
	if v.Table == nil || !b.rolloutBounds.Enabled() {
		return v.AllTargets()
	}
	var all []basilmoor.Target
	for _, pool := range v.Pools() {
		targets := v.Targets(pool)
		if view, ordered := v.Rollout(pool); ordered {
			targets = view.WithoutDecided(now, targets)
		}
		all = append(all, targets...)
	}
	return all
}

// targetsWithoutBroker returns the targets of a pool for a host without a broker, which
// keeps to the old version until the order has completed.
func (b *Broker) targetsWithoutBroker(now basilmoor.Millis, v *bmview.View, pool string) []basilmoor.Target {
	if view, ordered := b.rolloutOf(v, pool); ordered {
		return view.WithoutNew(now, v.Targets(pool))
	}
	return v.Targets(pool)
}

// rolloutTargets restricts the targets of a pool to those that may get requests.
func (b *Broker) rolloutTargets(now basilmoor.Millis, pool string, targets []basilmoor.Target) []basilmoor.Target {
	view, ordered := b.rolloutOf(b.view, pool)
	if !ordered {
		return targets
	}
	if o, known := b.rollouts[pool]; known && o.roll.Order() == view.Order && view.State() == bmrollout.StateServing {
		return o.roll.Usable(now, targets)
	}
	if view.State() == bmrollout.StateServing {
		return view.WithoutNew(now, targets)
	}
	return view.WithoutDecided(now, targets)
}

// stepRollouts advances the rollouts of the pools. It reports whether the targets that may
// get requests have changed.
func (b *Broker) stepRollouts(now basilmoor.Millis) bool {
	if now-b.rolloutsStepped < rolloutStepPeriod {
		return false
	}
	b.rolloutsStepped = now
	changed := false
	for name, p := range b.pools {
		view, ordered := b.rolloutOf(b.view, name)
		if !ordered || view.State() != bmrollout.StateServing {
			if _, known := b.rollouts[name]; known {
				delete(b.rollouts, name)
				p.setRollout(nil)
				changed = true
			}
			continue
		}
		o := b.rollouts[name]
		if o == nil || o.roll.Order() != view.Order {
			o = &rolloutOwner{
				roll:          bmrollout.New(view.Order, b.rolloutBounds, view.LearnedAt),
				statusVersion: view.Status.At.Revision,
				status:        view.StoredState(),
			}
			b.rollouts[name] = o
			p.setRollout(o.roll)
			b.logRollout(name, o, "order to move to another version")
			changed = true
		}
		changed = b.stepRollout(now, name, p, o) || changed
	}
	return changed
}

func (b *Broker) stepRollout(now basilmoor.Millis, name string, p *Pool, o *rolloutOwner) bool {
	owned := o.roll.Owned(now)
	p.reportOverdueStarts(now)
	b.countRollout(o)
	changed := o.roll.Step(now, p.rolloutFleet(b.view.Targets(name)))
	if changed {
		b.logRollout(name, o, "rollout enters a stage")
	}
	if owned != o.owned {
		o.owned = owned
		changed = true
	}
	return changed
}

// countRollout adds the requests and bad answers since the last call to the metrics of
// the present stage.
func (b *Broker) countRollout(o *rolloutOwner) {
	c := o.roll.Counts()
	b.metrics.Add("rollouts.requests."+string(o.roll.Stage())+".new", int64(c.Exposed-o.counted.Exposed))
	b.metrics.Add("rollouts.requests."+string(o.roll.Stage())+".all", int64(c.Total-o.counted.Total))
	b.metrics.Add("rollouts.bad-answers", int64(c.Bad-o.counted.Bad))
	o.counted = c
}

func (b *Broker) logRollout(pool string, o *rolloutOwner, message string) {
	order, c := o.roll.Order(), o.roll.Counts()
	b.log.Info().
		Str("pool", pool).
		Str("version", order.Version).
		Int64("order", order.At.Revision).
		Str("stage", string(o.roll.Stage())).
		Str("reason", string(o.roll.Reason())).
		Int64("generation", o.generation).
		Int("requests-new", c.Exposed).
		Int("requests", c.Total).
		Int("answers", c.Answers).
		Int("bad-answers", c.Bad).
		Float64("evidence", c.Score).
		Msg(message)
}
