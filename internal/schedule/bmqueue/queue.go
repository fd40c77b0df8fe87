// Package bmqueue implements the priority queue of the waiting demands of one
// pool.
//
// Tiers are served in strict priority order of their rank. Within a tier,
// workspaces share capacity in proportion to their weights by start-time fair
// queueing (SFQ) on estimated tokens. Within a workspace, demands are sorted by
// arrival time plus a delay proportional to their tokens: a short request may
// overtake a long one, but only if it arrives within that delay, so long
// requests are not starved.
//
// Each demand belongs to a [Class], whose demands can all be served by the same
// targets. The next demand for a target is therefore found by comparing the
// heads of the classes instead of scanning all demands. All operations take
// logarithmic time in the number of demands and linear time in the number of
// classes.
package bmqueue

import (
	"sort"

	"basilmoor.example/basilmoor"
)

// Class identifies a set of demands that can be served by the same targets.
type Class int

// Config holds the limits and scheduling parameters of a queue.
type Config struct {
	// MaxCount is the maximum number of waiting demands.
	MaxCount int

	// MaxBytes is the maximum sum of BodyBytes of the waiting demands.
	MaxBytes int

	// DelayPerToken is the delay, in milliseconds per token, that is added
	// to a demand's arrival time when the demands of a workspace are sorted.
	DelayPerToken float64
}

// DefaultConfig returns limits that suit the memory of an entry host. Request
// bodies stay on the entry hosts; MaxBytes limits their sum over the fleet.
func DefaultConfig() Config {
	return Config{
		MaxCount:      50_000,
		MaxBytes:      1 << 30,
		DelayPerToken: 1,
	}
}

// Item is a waiting demand.
type Item struct {
	Demand  basilmoor.Demand
	Class   Class
	Arrived basilmoor.Millis // time of submission minus the demand's age
	Expires basilmoor.Millis // absolute deadline

	sortKey       float64
	subqueue      *subqueue
	subqueueIndex int
	evictionIndex int
	expiryIndex   int
}

// Queue holds waiting demands. It is not safe for concurrent use.
type Queue struct {
	cfg    Config
	items  map[basilmoor.RequestID]*Item
	tiers  []*tier // sorted by rank, highest priority first
	expiry indexedHeap[*Item]
	bytes  int
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{
		cfg:   cfg,
		items: map[basilmoor.RequestID]*Item{},
		expiry: indexedHeap[*Item]{
			before: func(a, b *Item) bool { return a.Expires < b.Expires },
			moved:  func(item *Item, i int) { item.expiryIndex = i },
		},
	}
}

// Len returns the number of waiting demands.
func (q *Queue) Len() int {
	return len(q.items)
}

// Bytes returns the sum of BodyBytes of waiting demands.
func (q *Queue) Bytes() int {
	return q.bytes
}

// LenByTier returns the number of waiting demands by tier rank.
func (q *Queue) LenByTier() map[int]int {
	lens := make(map[int]int, len(q.tiers))
	for _, t := range q.tiers {
		if n := t.evictionOrder.len(); n > 0 {
			lens[t.rank] = n
		}
	}
	return lens
}

// TokensUpTo returns the sum of the estimated tokens of demands that wait in the
// tier with the given rank and in higher-priority tiers.
func (q *Queue) TokensUpTo(rank int) int {
	tokens := 0
	for _, t := range q.tiers {
		if t.rank <= rank {
			tokens += t.tokens
		}
	}
	return tokens
}

// LowerTierWaits reports whether any demand waits in a tier of lower priority
// than rank.
func (q *Queue) LowerTierWaits(rank int) bool {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		t := q.tiers[i]
		if t.rank <= rank {
			return false
		}
		if t.evictionOrder.len() > 0 {
			return true
		}
	}
	return false
}

// Get returns the waiting demand of a request.
func (q *Queue) Get(id basilmoor.RequestID) (*Item, bool) {
	item, ok := q.items[id]
	return item, ok
}

// All returns all waiting demands, in no particular order.
func (q *Queue) All() []*Item {
	all := make([]*Item, 0, len(q.items))
	for _, item := range q.items {
		all = append(all, item)
	}
	return all
}

// Push adds a demand whose request is not in the queue. If the queue is full, it
// evicts and returns the most recently arrived demands of the lowest-priority
// tiers. If the new demand itself would be evicted first, the queue stays
// unchanged and accepted is false.
func (q *Queue) Push(now basilmoor.Millis, d basilmoor.Demand, class Class) (displaced []*Item, accepted bool) {
	item := &Item{
		Demand:  d,
		Class:   class,
		Arrived: now - d.Age,
		Expires: now + d.Deadline,
	}
	item.sortKey = float64(item.Arrived) + q.cfg.DelayPerToken*float64(d.Tokens())
	for len(q.items)+1 > q.cfg.MaxCount || q.bytes+d.BodyBytes > q.cfg.MaxBytes {
		victim := q.evictionCandidate()
		if victim == nil || !displaces(item, victim) {
			for _, v := range displaced {
				q.insert(v)
			}
			return nil, false
		}
		q.remove(victim)
		displaced = append(displaced, victim)
	}
	q.insert(item)
	return displaced, true
}

// displaces reports whether arrival may evict victim from a full queue.
func displaces(arrival, victim *Item) bool {
	if arrival.Demand.Tier != victim.Demand.Tier {
		return arrival.Demand.Tier < victim.Demand.Tier
	}
	return arrival.Arrived < victim.Arrived
}

// evictionCandidate returns the most recently arrived demand of the
// lowest-priority tier, or nil if the queue is empty.
func (q *Queue) evictionCandidate() *Item {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		if t := q.tiers[i]; t.evictionOrder.len() > 0 {
			return t.evictionOrder.top()
		}
	}
	return nil
}

// Remove removes a demand without charging its workspace.
func (q *Queue) Remove(id basilmoor.RequestID) (*Item, bool) {
	item, ok := q.items[id]
	if ok {
		q.remove(item)
	}
	return item, ok
}

// Dequeue removes a demand that is being granted and charges its tokens to its
// workspace.
func (q *Queue) Dequeue(item *Item) {
	f := item.subqueue.flow
	t := f.tier
	q.remove(item)
	t.charge(f, item.Demand)
}

// Reclassify recomputes the class of every demand with classOf.
func (q *Queue) Reclassify(classOf func(basilmoor.Demand) Class) {
	for _, item := range q.All() {
		class := classOf(item.Demand)
		if class == item.Class {
			continue
		}
		q.remove(item)
		item.Class = class
		q.insert(item)
	}
}

// Expire removes and returns the demands whose deadline is at or before now.
func (q *Queue) Expire(now basilmoor.Millis) []*Item {
	var expired []*Item
	for q.expiry.len() > 0 && q.expiry.top().Expires <= now {
		item := q.expiry.top()
		q.remove(item)
		expired = append(expired, item)
	}
	return expired
}

// Peek returns the first demand in scheduling order whose class satisfies fit,
// or nil if there is none. It does not remove the demand.
func (q *Queue) Peek(fit func(Class) bool) *Item {
	for _, t := range q.tiers {
		if l := t.best(fit); l != nil {
			return l.items.top()
		}
	}
	return nil
}

// FrontOf returns up to n demands from the front of item's tier, workspace and
// class, in unspecified order. If item was returned by Peek, it is among them.
// Taking any of them charges the same workspace.
func (q *Queue) FrontOf(item *Item, n int) []*Item {
	items := item.subqueue.items.items
	return items[:min(n, len(items))]
}

func (q *Queue) insert(item *Item) {
	t := q.tierFor(item.Demand.Tier)
	t.insert(item)
	q.expiry.push(item)
	q.items[item.Demand.Request] = item
	q.bytes += item.Demand.BodyBytes
}

func (q *Queue) remove(item *Item) {
	item.subqueue.flow.tier.remove(item)
	q.expiry.removeAt(item.expiryIndex)
	delete(q.items, item.Demand.Request)
	q.bytes -= item.Demand.BodyBytes
}

// tierFor returns the tier with the given rank and creates it if necessary.
func (q *Queue) tierFor(rank int) *tier {
	i := sort.Search(len(q.tiers), func(i int) bool { return q.tiers[i].rank >= rank })
	if i < len(q.tiers) && q.tiers[i].rank == rank {
		return q.tiers[i]
	}
	q.tiers = append(q.tiers, nil)
	copy(q.tiers[i+1:], q.tiers[i:])
	q.tiers[i] = newTier(rank)
	return q.tiers[i]
}
