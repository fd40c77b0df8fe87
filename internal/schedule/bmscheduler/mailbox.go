package bmscheduler

import "sync"

// mailbox is an unbounded queue whose put never blocks, so that a client and a
// broker on the same host can send to each other without deadlock. Callers
// limit the number of queued items themselves.
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

// put appends an item and wakes the receiver. It returns the queue length, or 0
// if the mailbox is closed.
func (m *mailbox[T]) put(item T) int {
	n := m.putWithoutWake(item)
	m.wake()
	return n
}

// putWithoutWake is put without waking the receiver.
func (m *mailbox[T]) putWithoutWake(item T) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return 0
	}
	m.items = append(m.items, item)
	return len(m.items)
}

// empty reports whether the queue is empty.
func (m *mailbox[T]) empty() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.items) == 0
}

// drain removes and returns all items.
func (m *mailbox[T]) drain() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = nil
	return items
}

// closeIfEmpty closes the mailbox if its queue is empty, and reports whether it
// did.
func (m *mailbox[T]) closeIfEmpty() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.items) > 0 {
		return false
	}
	m.closed = true
	return true
}

// close rejects further items and discards the queued ones.
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
