package bmqueue

import (
	"basilmoor.example/basilmoor"
)

// minPruneThreshold is the minimum number of flows in a tier at which idle flows
// are pruned.
const minPruneThreshold = 1024

// tier holds the waiting demands of one rank.
type tier struct {
	rank           int
	virtualTime    float64 // SFQ virtual time: start tag of the last demand taken
	flows          map[string]*flow
	pruneThreshold int
	classHeaps     map[Class]*indexedHeap[*subqueue]
	evictionOrder  indexedHeap[*Item]
	tokens         int
}

// flow holds the demands of one workspace in a tier (a flow in SFQ terms).
type flow struct {
	tier      *tier
	name      string
	startTag  float64 // SFQ start tag of the next demand
	count     int
	subqueues map[Class]*subqueue
}

// subqueue holds the demands of one workspace and one class.
type subqueue struct {
	flow  *flow
	class Class
	items indexedHeap[*Item]
	index int // in the heap of its class, -1 if not in it
}

func newTier(rank int) *tier {
	return &tier{
		rank:           rank,
		flows:          map[string]*flow{},
		pruneThreshold: minPruneThreshold,
		classHeaps:     map[Class]*indexedHeap[*subqueue]{},
		evictionOrder: indexedHeap[*Item]{
			before: func(a, b *Item) bool {
				if a.Arrived != b.Arrived {
					return a.Arrived > b.Arrived
				}
				return a.Demand.Request > b.Demand.Request
			},
			moved: func(item *Item, i int) { item.evictionIndex = i },
		},
	}
}

func newSubqueue(f *flow, class Class) *subqueue {
	return &subqueue{
		flow:  f,
		class: class,
		index: -1,
		items: indexedHeap[*Item]{
			before: lessItem,
			moved:  func(item *Item, i int) { item.subqueueIndex = i },
		},
	}
}

func lessItem(a, b *Item) bool {
	if a.sortKey != b.sortKey {
		return a.sortKey < b.sortKey
	}
	return a.Demand.Request < b.Demand.Request
}

func subqueueBefore(a, b *subqueue) bool {
	if a.flow.startTag != b.flow.startTag {
		return a.flow.startTag < b.flow.startTag
	}
	return lessItem(a.items.top(), b.items.top())
}

func (t *tier) classHeap(c Class) *indexedHeap[*subqueue] {
	h, ok := t.classHeaps[c]
	if !ok {
		h = &indexedHeap[*subqueue]{
			before: subqueueBefore,
			moved:  func(l *subqueue, i int) { l.index = i },
		}
		t.classHeaps[c] = h
	}
	return h
}

func (t *tier) flowFor(name string) *flow {
	f, ok := t.flows[name]
	if !ok {
		t.pruneIdleFlows()
		f = &flow{
			tier:      t,
			name:      name,
			startTag:  t.virtualTime,
			subqueues: map[Class]*subqueue{},
		}
		t.flows[name] = f
	}
	return f
}

// pruneIdleFlows deletes empty flows whose start tag is not ahead of the virtual
// time, once the number of flows reaches pruneThreshold. Deleting them does not
// affect scheduling, because such a flow would resume at the current virtual
// time anyway.
func (t *tier) pruneIdleFlows() {
	if len(t.flows) < t.pruneThreshold {
		return
	}
	for name, f := range t.flows {
		if f.count == 0 && f.startTag <= t.virtualTime {
			delete(t.flows, name)
		}
	}
	t.pruneThreshold = 2*len(t.flows) + minPruneThreshold
}

func (t *tier) insert(item *Item) {
	f := t.flowFor(item.Demand.Workspace)
	if f.count == 0 {
		f.startTag = max(f.startTag, t.virtualTime)
	}
	f.count++
	l, ok := f.subqueues[item.Class]
	if !ok {
		l = newSubqueue(f, item.Class)
		f.subqueues[item.Class] = l
	}
	item.subqueue = l
	l.items.push(item)
	h := t.classHeap(item.Class)
	if l.index < 0 {
		h.push(l)
	} else {
		h.fix(l.index)
	}
	t.evictionOrder.push(item)
	t.tokens += item.Demand.Tokens()
}

func (t *tier) remove(item *Item) {
	l := item.subqueue
	h := t.classHeaps[l.class]
	// The class heap compares the heads of subqueues, so the subqueue must be
	// out of the heap while its head changes.
	h.removeAt(l.index)
	l.items.removeAt(item.subqueueIndex)
	if l.items.len() > 0 {
		h.push(l)
	} else {
		delete(l.flow.subqueues, l.class)
	}
	if h.len() == 0 {
		delete(t.classHeaps, l.class)
	}
	l.flow.count--
	t.evictionOrder.removeAt(item.evictionIndex)
	t.tokens -= item.Demand.Tokens()
}

// charge advances the tier's virtual time and the start tag of f after demand d
// of f was taken.
func (t *tier) charge(f *flow, d basilmoor.Demand) {
	t.virtualTime = max(t.virtualTime, f.startTag)
	f.startTag += float64(max(d.Tokens(), 1)) / float64(max(d.Weight, 1))
	for class, l := range f.subqueues {
		t.classHeaps[class].fix(l.index)
	}
}

// best returns the subqueue with the first demand in scheduling order among the
// classes that satisfy fit, or nil if there is none.
func (t *tier) best(fit func(Class) bool) *subqueue {
	var best *subqueue
	for class, h := range t.classHeaps {
		l := h.top()
		if best != nil && !subqueueBefore(l, best) {
			continue
		}
		if fit(class) {
			best = l
		}
	}
	return best
}
