package bmqueue

// indexedHeap is a binary heap that supports removing any element in
// logarithmic time. It reports each index change through moved; index -1 means
// that the element was removed.
type indexedHeap[T any] struct {
	items  []T
	before func(a, b T) bool // reports whether a sorts before b
	moved  func(item T, index int)
}

func (h *indexedHeap[T]) len() int {
	return len(h.items)
}

func (h *indexedHeap[T]) top() T {
	return h.items[0]
}

func (h *indexedHeap[T]) push(item T) {
	h.items = append(h.items, item)
	h.moved(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *indexedHeap[T]) removeAt(i int) {
	last := len(h.items) - 1
	removed := h.items[i]
	if i != last {
		h.swap(i, last)
	}
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.moved(removed, -1)
	if i != last {
		h.fix(i)
	}
}

// fix restores the heap order after the element at index i has changed.
func (h *indexedHeap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.moved(h.items[i], i)
	h.moved(h.items[j], j)
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.before(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves the element at index i towards the leaves and reports whether it
// moved.
func (h *indexedHeap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.before(h.items[right], h.items[child]) {
			child = right
		}
		if !h.before(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}
