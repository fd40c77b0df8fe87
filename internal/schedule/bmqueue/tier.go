package bmqueue

import (
	"basilmoor.example/basilmoor"
)

// idleFlowsKept bounds the idle workspaces whose virtual time is remembered
// before those that are owed nothing are dropped.
const idleFlowsKept = 1024

// tier holds the demands of one rank.
type tier struct {
	rank     int
	virtual  float64 // virtual time: start tag of the demand taken last
	flows    map[string]*flow
	sweepAt  int
	classes  map[Class]*indexedHeap[*lane]
	youngest indexedHeap[*Item]
	tokens   int
}

// flow is a workspace inside a tier.
type flow struct {
	tier  *tier
	name  string
	start float64 // start tag of the next demand
	count int
	lanes map[Class]*lane
}

// lane holds the demands of one workspace and one class.
type lane struct {
	flow  *flow
	class Class
	items indexedHeap[*Item]
	index int // in the heap of its class
}

func newTier(rank int) *tier {
	return &tier{
		rank:    rank,
		flows:   map[string]*flow{},
		sweepAt: idleFlowsKept,
		classes: map[Class]*indexedHeap[*lane]{},
		youngest: indexedHeap[*Item]{
			before: func(a, b *Item) bool {
				if a.Arrived != b.Arrived {
					return a.Arrived > b.Arrived
				}
				return a.Demand.Request > b.Demand.Request
			},
			moved: func(item *Item, i int) { item.youngestIndex = i },
		},
	}
}

func newLane(f *flow, class Class) *lane {
	return &lane{
		flow:  f,
		class: class,
		index: -1,
		items: indexedHeap[*Item]{
			before: itemBefore,
			moved:  func(item *Item, i int) { item.laneIndex = i },
		},
	}
}

func itemBefore(a, b *Item) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.Demand.Request < b.Demand.Request
}

func laneBefore(a, b *lane) bool {
	if a.flow.start != b.flow.start {
		return a.flow.start < b.flow.start
	}
	return itemBefore(a.items.top(), b.items.top())
}

func (t *tier) class(c Class) *indexedHeap[*lane] {
	h, ok := t.classes[c]
	if !ok {
		h = &indexedHeap[*lane]{
			before: laneBefore,
			moved:  func(l *lane, i int) { l.index = i },
		}
		t.classes[c] = h
	}
	return h
}

func (t *tier) flow(name string) *flow {
	f, ok := t.flows[name]
	if !ok {
		t.sweep()
		f = &flow{
			tier:  t,
			name:  name,
			start: t.virtual,
			lanes: map[Class]*lane{},
		}
		t.flows[name] = f
	}
	return f
}

// sweep drops idle workspaces that are owed nothing, once enough have
// gathered. A dropped workspace starts again at the virtual time, as it would
// have done anyway.
func (t *tier) sweep() {
	if len(t.flows) < t.sweepAt {
		return
	}
	for name, f := range t.flows {
		if f.count == 0 && f.start <= t.virtual {
			delete(t.flows, name)
		}
	}
	t.sweepAt = 2*len(t.flows) + idleFlowsKept
}

func (t *tier) insert(item *Item) {
	f := t.flow(item.Demand.Workspace)
	if f.count == 0 {
		f.start = max(f.start, t.virtual)
	}
	f.count++
	l, ok := f.lanes[item.Class]
	if !ok {
		l = newLane(f, item.Class)
		f.lanes[item.Class] = l
	}
	item.lane = l
	l.items.push(item)
	h := t.class(item.Class)
	if l.index < 0 {
		h.push(l)
	} else {
		h.fix(l.index)
	}
	t.youngest.push(item)
	t.tokens += item.Demand.Tokens()
}

func (t *tier) remove(item *Item) {
	l := item.lane
	h := t.classes[l.class]
	// The lane leaves its heap while its head may change, because the heap
	// compares heads.
	h.removeAt(l.index)
	l.items.removeAt(item.laneIndex)
	if l.items.len() > 0 {
		h.push(l)
	} else {
		delete(l.flow.lanes, l.class)
	}
	if h.len() == 0 {
		delete(t.classes, l.class)
	}
	l.flow.count--
	t.youngest.removeAt(item.youngestIndex)
	t.tokens -= item.Demand.Tokens()
}

// charge advances the virtual times after a demand of f was taken.
func (t *tier) charge(f *flow, d basilmoor.Demand) {
	t.virtual = max(t.virtual, f.start)
	f.start += float64(max(d.Tokens(), 1)) / float64(max(d.Weight, 1))
	for class, l := range f.lanes {
		t.classes[class].fix(l.index)
	}
}

func (t *tier) best(fit func(Class) bool) *lane {
	var best *lane
	for class, h := range t.classes {
		l := h.top()
		if best != nil && !laneBefore(l, best) {
			continue
		}
		if fit(class) {
			best = l
		}
	}
	return best
}
