// Package bmqueue holds the waiting demands of one pool.
//
// Demands are ordered strictly by tier rank. Inside a tier, workspaces share
// by weight with start-time fair queueing on estimated tokens. Inside a
// workspace, a demand is ordered by its arrival plus a delay in proportion to
// its tokens: short requests overtake long ones, but only those that arrived
// within that delay, so that a long request is not starved.
//
// Each demand belongs to a [Class]. All demands of a class can be served by
// the same targets, so that the best demand for a target is found by looking
// at the head of each class instead of at each demand. All operations take
// logarithmic time in the number of demands and linear time in the number of
// classes.
package bmqueue

import (
	"sort"

	"basilmoor.example/basilmoor"
)

// Class identifies demands that fit the same targets.
type Class int

// Config bounds and tunes a queue.
type Config struct {
	// MaxCount bounds the number of waiting demands.
	MaxCount int

	// MaxBytes bounds the sum of BodyBytes of waiting demands.
	MaxBytes int

	// AgeingPerToken is how many milliseconds of waiting outweigh one token
	// of size inside a workspace.
	AgeingPerToken float64
}

// DefaultConfig returns the bounds that suit an entry host's memory: the
// bodies stay on the entry hosts, MaxBytes bounds their sum over the fleet.
func DefaultConfig() Config {
	return Config{
		MaxCount:       50_000,
		MaxBytes:       1 << 30,
		AgeingPerToken: 1,
	}
}

// Item is a waiting demand.
type Item struct {
	Demand  basilmoor.Demand
	Class   Class
	Arrived basilmoor.Millis // includes the age at submission
	Expires basilmoor.Millis

	key           float64
	lane          *lane
	laneIndex     int
	youngestIndex int
	expiryIndex   int
}

// Queue holds waiting demands. It is not safe for concurrent use.
type Queue struct {
	cfg    Config
	items  map[basilmoor.RequestID]*Item
	tiers  []*tier // ordered by rank
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
		if n := t.youngest.len(); n > 0 {
			lens[t.rank] = n
		}
	}
	return lens
}

// TokensUpTo returns the estimated tokens that wait in tiers of rank and
// better.
func (q *Queue) TokensUpTo(rank int) int {
	tokens := 0
	for _, t := range q.tiers {
		if t.rank <= rank {
			tokens += t.tokens
		}
	}
	return tokens
}

// LowerTierWaits reports whether a demand of a worse tier than rank waits.
func (q *Queue) LowerTierWaits(rank int) bool {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		t := q.tiers[i]
		if t.rank <= rank {
			return false
		}
		if t.youngest.len() > 0 {
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

// All returns the waiting demands in no particular order.
func (q *Queue) All() []*Item {
	all := make([]*Item, 0, len(q.items))
	for _, item := range q.items {
		all = append(all, item)
	}
	return all
}

// Push adds a demand that does not wait yet. When the queue is full, it
// removes and returns the youngest demands of the lowest tiers; if the new
// demand is itself the first of those, nothing changes and accepted is false.
func (q *Queue) Push(now basilmoor.Millis, d basilmoor.Demand, class Class) (displaced []*Item, accepted bool) {
	item := &Item{
		Demand:  d,
		Class:   class,
		Arrived: now - d.Age,
		Expires: now + d.Deadline,
	}
	item.key = float64(item.Arrived) + q.cfg.AgeingPerToken*float64(d.Tokens())
	for len(q.items)+1 > q.cfg.MaxCount || q.bytes+d.BodyBytes > q.cfg.MaxBytes {
		victim := q.worst()
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

func displaces(arrival, victim *Item) bool {
	if arrival.Demand.Tier != victim.Demand.Tier {
		return arrival.Demand.Tier < victim.Demand.Tier
	}
	return arrival.Arrived < victim.Arrived
}

func (q *Queue) worst() *Item {
	for i := len(q.tiers) - 1; i >= 0; i-- {
		if t := q.tiers[i]; t.youngest.len() > 0 {
			return t.youngest.top()
		}
	}
	return nil
}

// Remove takes a demand out without charging its workspace.
func (q *Queue) Remove(id basilmoor.RequestID) (*Item, bool) {
	item, ok := q.items[id]
	if ok {
		q.remove(item)
	}
	return item, ok
}

// Take takes out a demand that is being granted and charges its workspace.
func (q *Queue) Take(item *Item) {
	f := item.lane.flow
	t := f.tier
	q.remove(item)
	t.charge(f, item.Demand)
}

// Reclassify assigns all demands to classes anew.
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

// Expire removes and returns the demands whose deadline is now or has passed.
func (q *Queue) Expire(now basilmoor.Millis) []*Item {
	var expired []*Item
	for q.expiry.len() > 0 && q.expiry.top().Expires <= now {
		item := q.expiry.top()
		q.remove(item)
		expired = append(expired, item)
	}
	return expired
}

// Best returns the first demand in order whose class is accepted by fit, or
// nil. It does not remove the demand.
func (q *Queue) Best(fit func(Class) bool) *Item {
	for _, t := range q.tiers {
		if l := t.best(fit); l != nil {
			return l.items.top()
		}
	}
	return nil
}

// Near returns up to n demands of the same tier, workspace and class that come
// first, item among them if it is what Best returned. Taking any of them
// charges the same workspace. The order of the result is not defined.
func (q *Queue) Near(item *Item, n int) []*Item {
	items := item.lane.items.items
	return items[:min(n, len(items))]
}

func (q *Queue) insert(item *Item) {
	t := q.tier(item.Demand.Tier)
	t.insert(item)
	q.expiry.push(item)
	q.items[item.Demand.Request] = item
	q.bytes += item.Demand.BodyBytes
}

func (q *Queue) remove(item *Item) {
	item.lane.flow.tier.remove(item)
	q.expiry.removeAt(item.expiryIndex)
	delete(q.items, item.Demand.Request)
	q.bytes -= item.Demand.BodyBytes
}

func (q *Queue) tier(rank int) *tier {
	i := sort.Search(len(q.tiers), func(i int) bool { return q.tiers[i].rank >= rank })
	if i < len(q.tiers) && q.tiers[i].rank == rank {
		return q.tiers[i]
	}
	q.tiers = append(q.tiers, nil)
	copy(q.tiers[i+1:], q.tiers[i:])
	q.tiers[i] = newTier(rank)
	return q.tiers[i]
}
