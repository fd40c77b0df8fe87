package bmbroker

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmcapacity"
	"basilmoor.example/basilmoor/internal/schedule/bmqueue"
)

// stragglerCheckPeriod is the minimum time between straggler checks. It is about
// two token intervals, because new samples do not arrive faster.
const stragglerCheckPeriod basilmoor.Millis = 50

// prefixLookahead is the number of demands of one workspace that are searched
// for the one with the lowest prompt processing cost.
const prefixLookahead = 32

// maxConsecutiveSkips is the number of consecutive grants that may skip the first
// demand in scheduling order for the benefit of cached prompts.
const maxConsecutiveSkips = 3

// Broker is the scheduling policy of one pool. It is not safe for concurrent
// use.
type Broker struct {
	cfg        Config
	queue      *bmqueue.Queue
	pool       *bmcapacity.Pool
	classifier *classifier
	drain      drainRate

	configured         bool // SetTargets has been called
	warmUpStarted      bool
	warmUpEnds         basilmoor.Millis
	lastStragglerCheck basilmoor.Millis

	consecutiveSkips int // consecutive grants that skipped the first demand
	grantedByTier    map[int]int64
	refused          map[basilmoor.Reason]int64
	inversions       int64

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
		classifier:    newClassifier(nil),
		grantedByTier: map[int]int64{},
		refused:       map[basilmoor.Reason]int64{},
	}
}

// EndWarmUp ends the warm-up, so that the broker starts granting. The caller
// invokes it once every live host has reported its open dispatches.
func (b *Broker) EndWarmUp(now basilmoor.Millis) []basilmoor.Decision {
	b.warmUpStarted = true
	b.warmUpEnds = now
	return b.advance(now)
}

// SetTargets implements basilmoor.Policy.
func (b *Broker) SetTargets(now basilmoor.Millis, targets []basilmoor.Target) []basilmoor.Decision {
	b.configured = true
	b.pool.SetTargets(targets)
	b.classifier = newClassifier(targets)
	b.queue.Reclassify(b.classifier.classify)
	return b.advance(now)
}

// Submit implements basilmoor.Policy.
func (b *Broker) Submit(now basilmoor.Millis, d basilmoor.Demand) []basilmoor.Decision {
	b.startWarmUp(now)
	b.pool.ReleaseExpired(now)
	if _, held := b.pool.ReservedOn(d.Request); held || b.pool.HasEnded(d.Request) {
		return b.advance(now)
	}
	b.queue.Remove(d.Request)
	if d.Deadline <= 0 {
		b.refuse(d, basilmoor.ReasonDeadline)
		return b.advance(now)
	}
	b.enqueue(now, d)
	return b.advance(now)
}

// enqueue adds a demand to the queue, or refuses it if no target can serve it or
// the queue is full.
func (b *Broker) enqueue(now basilmoor.Millis, d basilmoor.Demand) {
	if b.classifier.full() {
		b.classifier = newClassifier(b.pool.Listed())
		b.queue.Reclassify(b.classifier.classify)
	}
	class := b.classifier.classify(d)
	if b.configured && !b.classifier.servable(class) {
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
	return b.advance(now)
}

// Observe implements basilmoor.Policy.
func (b *Broker) Observe(now basilmoor.Millis, o basilmoor.Observation) []basilmoor.Decision {
	b.startWarmUp(now)
	if o.Stage == basilmoor.StageFinished {
		b.drain.recordFinished(now, o.Tokens)
	}
	b.pool.Observe(now, o)
	if _, held := b.pool.ReservedOn(o.Request); held || b.pool.HasEnded(o.Request) {
		// A request that was dispatched must not be granted again, even if its
		// demand has been resubmitted in the meantime.
		b.queue.Remove(o.Request)
	}
	return b.advance(now)
}

// Report implements basilmoor.Policy.
func (b *Broker) Report(now basilmoor.Millis, r basilmoor.LoadReport) []basilmoor.Decision {
	b.pool.Report(now, r)
	return b.advance(now)
}

// Tick implements basilmoor.Policy.
func (b *Broker) Tick(now basilmoor.Millis) []basilmoor.Decision {
	return b.advance(now)
}

// DropHost removes the waiting demands of a failed host and frees the capacity
// held by its requests.
func (b *Broker) DropHost(now basilmoor.Millis, host string) []basilmoor.Decision {
	for _, item := range b.queue.All() {
		if item.Demand.Host == host {
			b.queue.Remove(item.Demand.Request)
		}
	}
	b.pool.DropHost(now, host)
	return b.advance(now)
}

// startWarmUp starts the warm-up period at the first message.
func (b *Broker) startWarmUp(now basilmoor.Millis) {
	if b.warmUpStarted {
		return
	}
	b.warmUpStarted = true
	b.warmUpEnds = now + b.cfg.WarmUp
}

func (b *Broker) warmingUp(now basilmoor.Millis) bool {
	return !b.warmUpStarted || now < b.warmUpEnds
}

// advance runs the work that is due at now, grants waiting demands, and returns
// all decisions made since the last call.
func (b *Broker) advance(now basilmoor.Millis) []basilmoor.Decision {
	b.pool.ReleaseExpired(now)
	if now-b.lastStragglerCheck >= stragglerCheckPeriod {
		b.lastStragglerCheck = now
		b.pool.UpdateStragglers(now)
	}
	for _, item := range b.queue.Expire(now) {
		b.refuse(item.Demand, b.expiryReason(item))
	}
	if !b.warmingUp(now) {
		b.grantWaiting(now)
	}
	decisions := b.decisions
	b.decisions = nil
	return decisions
}

// expiryReason returns why an expired demand is refused: no listed target can
// serve it, or no slot became free before its deadline.
func (b *Broker) expiryReason(item *bmqueue.Item) basilmoor.Reason {
	if b.classifier.servable(item.Class) {
		return basilmoor.ReasonDeadline
	}
	return basilmoor.ReasonNoTarget
}

// grantWaiting grants waiting demands until no free target can serve any of
// them.
func (b *Broker) grantWaiting(now basilmoor.Millis) {
	b.pool.CollectFree(now)
	for b.queue.Len() > 0 {
		item := b.queue.Peek(func(c bmqueue.Class) bool {
			return b.pool.AnyFree(now, func(t basilmoor.Target) bool { return b.classifier.canServe(c, t) })
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

// choose returns the demand to grant and its target. This is the first demand in
// scheduling order, or one of the demands returned by FrontOf if a free target can
// process its uncached prompt at a lower cost. At least every fourth grant goes
// to the first demand, so that demands with uncommon prompts are not starved.
func (b *Broker) choose(now basilmoor.Millis, first *bmqueue.Item) (*bmqueue.Item, basilmoor.Target, bool) {
	fit := func(t basilmoor.Target) bool { return b.classifier.canServe(first.Class, t) }
	target, estimate, ok := b.pool.Choose(now, first.Demand, fit)
	if !ok || b.consecutiveSkips >= maxConsecutiveSkips {
		b.consecutiveSkips = 0
		return first, target, ok
	}
	best := first
	for _, item := range b.queue.FrontOf(first, prefixLookahead) {
		t, e, _ := b.pool.Choose(now, item.Demand, fit)
		if e.PromptCost < estimate.PromptCost {
			best = item
			target = t
			estimate = e
		}
	}
	if best == first {
		b.consecutiveSkips = 0
	} else {
		b.consecutiveSkips++
	}
	return best, target, ok
}

func (b *Broker) grant(now basilmoor.Millis, item *bmqueue.Item, t basilmoor.Target) {
	b.queue.Dequeue(item)
	b.pool.Reserve(now, item.Demand, t.Name)
	b.grantedByTier[item.Demand.Tier]++
	b.countInversion(item.Demand, t)
	b.decisions = append(b.decisions, basilmoor.Decision{
		Grant: &basilmoor.Grant{
			Request: item.Demand.Request,
			Target:  t,
			TTL:     b.cfg.Capacity.GrantTTL,
		},
	})
}

// countInversion counts an inversion if granting d on t skipped a demand of a
// higher tier that t can serve.
func (b *Broker) countInversion(d basilmoor.Demand, t basilmoor.Target) {
	first := b.queue.Peek(func(c bmqueue.Class) bool { return b.classifier.canServe(c, t) })
	if first != nil && first.Demand.Tier < d.Tier {
		b.inversions++
	}
}

// refuse records a refusal of d. Refusing d because the queue is full while a
// demand of a lower tier waits counts as an inversion.
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
