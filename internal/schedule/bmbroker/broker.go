package bmbroker

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmcapacity"
	"basilmoor.example/basilmoor/internal/schedule/bmqueue"
)

// comparePeriod is the time between comparisons of the targets' speeds. It is
// about two token intervals: no new evidence comes sooner.
const comparePeriod basilmoor.Millis = 50

// lookAhead is the number of demands of one workspace among which the one with
// the most cached prompt is granted first.
const lookAhead = 32

// maxPassed is the number of grants in a row that may pass over the first
// demand of the order for a better use of cached prompts.
const maxPassed = 3

// Broker is the policy of one pool. It is not safe for concurrent use.
type Broker struct {
	cfg     Config
	queue   *bmqueue.Queue
	pool    *bmcapacity.Pool
	classes *classes
	drain   drainRate

	configured bool // targets are known
	started    bool
	readyAt    basilmoor.Millis
	compared   basilmoor.Millis // last comparison of speeds

	passed        int // grants since the first demand of the order was taken
	grantedByTier map[int]int64
	refused       map[basilmoor.Reason]int64
	inversions    int64

	decisions []basilmoor.Decision
}

var _ basilmoor.Policy = (*Broker)(nil)

// New returns a broker without targets. Zero values of cfg.Queue and
// cfg.Capacity select the defaults.
func New(cfg Config) *Broker {
	cfg = cfg.withDefaults()
	return &Broker{
		cfg:           cfg,
		queue:         bmqueue.New(cfg.Queue),
		pool:          bmcapacity.NewPool(cfg.Capacity),
		classes:       newClasses(nil),
		grantedByTier: map[int]int64{},
		refused:       map[basilmoor.Reason]int64{},
	}
}

// EndWarmUp lets the broker grant at once. It is called when every live host
// has reported its open dispatches.
func (b *Broker) EndWarmUp(now basilmoor.Millis) []basilmoor.Decision {
	b.started = true
	b.readyAt = now
	return b.step(now)
}

// SetTargets implements basilmoor.Policy.
func (b *Broker) SetTargets(now basilmoor.Millis, targets []basilmoor.Target) []basilmoor.Decision {
	b.configured = true
	b.pool.SetTargets(targets)
	b.classes = newClasses(targets)
	b.queue.Reclassify(b.classes.of)
	return b.step(now)
}

// Submit implements basilmoor.Policy.
func (b *Broker) Submit(now basilmoor.Millis, d basilmoor.Demand) []basilmoor.Decision {
	b.start(now)
	b.pool.Sweep(now)
	if _, held := b.pool.Holds(d.Request); held || b.pool.HasRun(d.Request) {
		return b.step(now)
	}
	b.queue.Remove(d.Request)
	if d.Deadline <= 0 {
		b.refuse(d, basilmoor.ReasonDeadline)
		return b.step(now)
	}
	b.enqueue(now, d)
	return b.step(now)
}

func (b *Broker) enqueue(now basilmoor.Millis, d basilmoor.Demand) {
	if b.classes.full() {
		b.classes = newClasses(b.pool.Listed())
		b.queue.Reclassify(b.classes.of)
	}
	class := b.classes.of(d)
	if b.configured && !b.classes.servable(class) {
		b.refuse(d, basilmoor.ReasonNoTarget)
		return
	}
	displaced, accepted := b.queue.Push(now, d, class)
	if !accepted {
		b.refuse(d, basilmoor.ReasonQueueFull)
		return
	}
	for _, item := range displaced {
		b.refuse(item.Demand, basilmoor.ReasonDisplaced)
	}
}

// Cancel implements basilmoor.Policy.
func (b *Broker) Cancel(now basilmoor.Millis, id basilmoor.RequestID) []basilmoor.Decision {
	b.queue.Remove(id)
	b.pool.Release(now, id)
	return b.step(now)
}

// Observe implements basilmoor.Policy.
func (b *Broker) Observe(now basilmoor.Millis, o basilmoor.Observation) []basilmoor.Decision {
	b.start(now)
	if o.Stage == basilmoor.StageFinished {
		b.drain.finished(now, o.Tokens)
	}
	b.pool.Observe(now, o)
	if _, held := b.pool.Holds(o.Request); held || b.pool.HasRun(o.Request) {
		// A request that was dispatched must not be granted again, even if
		// its demand was submitted anew in the meantime.
		b.queue.Remove(o.Request)
	}
	return b.step(now)
}

// Report implements basilmoor.Policy.
func (b *Broker) Report(now basilmoor.Millis, r basilmoor.LoadReport) []basilmoor.Decision {
	b.pool.Report(now, r)
	return b.step(now)
}

// Tick implements basilmoor.Policy.
func (b *Broker) Tick(now basilmoor.Millis) []basilmoor.Decision {
	return b.step(now)
}

// DropHost forgets the waiting demands of a dead host and frees the capacity
// of its requests.
func (b *Broker) DropHost(now basilmoor.Millis, host string) []basilmoor.Decision {
	for _, item := range b.queue.All() {
		if item.Demand.Host == host {
			b.queue.Remove(item.Demand.Request)
		}
	}
	b.pool.DropHost(now, host)
	return b.step(now)
}

func (b *Broker) start(now basilmoor.Millis) {
	if b.started {
		return
	}
	b.started = true
	b.readyAt = now + b.cfg.WarmUp
}

func (b *Broker) warming(now basilmoor.Millis) bool {
	return !b.started || now < b.readyAt
}

// step does what became due and returns all decisions since the last call.
func (b *Broker) step(now basilmoor.Millis) []basilmoor.Decision {
	b.pool.Sweep(now)
	if now-b.compared >= comparePeriod {
		b.compared = now
		b.pool.UpdateStragglers(now)
	}
	for _, item := range b.queue.Expire(now) {
		b.refuse(item.Demand, b.expiryReason(item))
	}
	if !b.warming(now) {
		b.match(now)
	}
	decisions := b.decisions
	b.decisions = nil
	return decisions
}

// expiryReason tells a demand that no target can serve from one that waited
// in vain.
func (b *Broker) expiryReason(item *bmqueue.Item) basilmoor.Reason {
	if b.classes.servable(item.Class) {
		return basilmoor.ReasonDeadline
	}
	return basilmoor.ReasonNoTarget
}

func (b *Broker) match(now basilmoor.Millis) {
	b.pool.CollectFree(now)
	for b.queue.Len() > 0 {
		item := b.queue.Best(func(c bmqueue.Class) bool {
			return b.pool.AnyFree(now, func(t basilmoor.Target) bool { return b.classes.fits(c, t) })
		})
		if item == nil {
			return
		}
		item, t, ok := b.choose(now, item)
		if !ok {
			return
		}
		b.grant(now, item, t)
	}
}

// choose returns the demand to grant and its target. It is the first demand
// of the order, or one of those next to it whose prompt is cached to a larger
// part on a free target. At least every fourth grant goes to the first demand,
// so that one with a rare prompt is not starved.
func (b *Broker) choose(now basilmoor.Millis, first *bmqueue.Item) (*bmqueue.Item, basilmoor.Target, bool) {
	fit := func(t basilmoor.Target) bool { return b.classes.fits(first.Class, t) }
	target, estimate, ok := b.pool.Choose(now, first.Demand, fit)
	if !ok || b.passed >= maxPassed {
		b.passed = 0
		return first, target, ok
	}
	best := first
	for _, item := range b.queue.Near(first, lookAhead) {
		t, e, _ := b.pool.Choose(now, item.Demand, fit)
		if e.PromptCost < estimate.PromptCost {
			best = item
			target = t
			estimate = e
		}
	}
	if best == first {
		b.passed = 0
	} else {
		b.passed++
	}
	return best, target, ok
}

func (b *Broker) grant(now basilmoor.Millis, item *bmqueue.Item, t basilmoor.Target) {
	b.queue.Take(item)
	b.pool.Reserve(now, item.Demand, t.Name)
	b.grantedByTier[item.Demand.Tier]++
	b.checkOrder(item.Demand, t)
	b.decisions = append(b.decisions, basilmoor.Decision{
		Grant: &basilmoor.Grant{
			Request: item.Demand.Request,
			Target:  t,
			TTL:     b.cfg.Capacity.GrantTTL,
		},
	})
}

// checkOrder counts a grant that passes over a demand of a higher tier.
func (b *Broker) checkOrder(d basilmoor.Demand, t basilmoor.Target) {
	first := b.queue.Best(func(c bmqueue.Class) bool { return b.classes.fits(c, t) })
	if first != nil && first.Demand.Tier < d.Tier {
		b.inversions++
	}
}

func (b *Broker) refuse(d basilmoor.Demand, reason basilmoor.Reason) {
	b.refused[reason]++
	if reason == basilmoor.ReasonQueueFull || reason == basilmoor.ReasonDisplaced {
		if b.queue.LowerTierWaits(d.Tier) {
			b.inversions++
		}
	}
	b.decisions = append(b.decisions, basilmoor.Decision{
		Refusal: &basilmoor.Refusal{
			Request:    d.Request,
			Reason:     reason,
			RetryAfter: b.drain.retryAfter(d, b.queue.TokensUpTo(d.Tier)),
		},
	})
}
