package bmscheduler

import "sync"

// mailbox is an unbounded queue whose put never blocks, so that a client and a
// broker on one node can send to each other without a deadlock. Its users
// bound what they put.
type mailbox[T any] struct {
	ready chan struct{}

	mu     sync.Mutex
	items  []T
	closed bool
}

func newMailbox[T any]() *mailbox[T] {
	return &mailbox[T]{
		ready: make(chan struct{}, 1),
	}
}

// put appends an item. It returns the length, or 0 if the mailbox is closed.
func (m *mailbox[T]) put(item T) int {
	n := m.putLater(item)
	m.wake()
	return n
}

// putLater appends an item without waking the receiver.
func (m *mailbox[T]) putLater(item T) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return 0
	}
	m.items = append(m.items, item)
	return len(m.items)
}

// empty reports whether there are no items.
func (m *mailbox[T]) empty() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.items) == 0
}

// take removes and returns all items.
func (m *mailbox[T]) take() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = nil
	return items
}

// closeIfEmpty refuses further items if there are none.
func (m *mailbox[T]) closeIfEmpty() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.items) > 0 {
		return false
	}
	m.closed = true
	return true
}

// close refuses further items and drops the rest.
func (m *mailbox[T]) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.items = nil
	m.wake()
}

func (m *mailbox[T]) wake() {
	select {
	case m.ready <- struct{}{}:
	default:
	}
}
