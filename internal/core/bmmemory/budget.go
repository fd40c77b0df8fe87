// Package bmmemory bounds the memory that a process holds for its callers.
//
// Invariants: bytes are taken before they are allocated, in steps as a request arrives;
// the sum beyond FreeBytes for each connection never exceeds the limit of the budget; a
// request that has arrived completely is never evicted. The budget owns all
// counts.
package bmmemory

import (
	"sync"
	"sync/atomic"

	"basilmoor.example/basilmoor"
)

const (
	// FreeBytes is what each connection may hold whatever the others hold: more than a
	// usual request without a prompt takes.
	FreeBytes = 12 << 10

	// StallTime is the time without progress after which a request may be evicted.
	// Progress is the arrival of progressBytes.
	StallTime = basilmoor.Second

	progressBytes = 4 << 10
)

// Budget is the memory that the connections of callers share. While it is used up, it
// evicts requests that arrive too slowly, the one without progress for the longest first,
// and then those that arrive with a lower rank than the one that needs room. It is safe
// for concurrent use.
type Budget struct {
	limit int64

	mu        sync.Mutex
	used      int64
	receiving map[*Account]struct{} // accounts with shared bytes whose request arrives
	stats     Stats
}

// Stats holds the present use and the counters of a budget.
type Stats struct {
	Used    int64 // bytes that are taken now
	Evicted int64 // requests that were evicted
	Refused int64 // calls of Grow that found no room
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{
		limit:     limit,
		receiving: map[*Account]struct{}{},
	}
}

// Stats returns the present use and the counters.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.Used = b.used
	return s
}

// Account is what one connection holds. All methods but Evicted must be called by the
// goroutine that serves the connection. A nil account has no bound.
type Account struct {
	budget    *Budget
	interrupt func()
	size      int64
	unmarked  int64 // bytes that arrived since the last progress

	progressAt atomic.Int64 // time of the last progress
	evicted    atomic.Bool

	// Guarded by budget.mu.
	shared int64 // bytes of the budget
	rank   int
}

// NewAccount returns an empty account. The budget calls interrupt to evict the request of
// the connection: it must make the connection's reads fail and must not block.
func (b *Budget) NewAccount(interrupt func()) *Account {
	return &Account{
		budget:    b,
		interrupt: interrupt,
	}
}

// Grow takes n further bytes for a request of a rank, of which 0 is the highest. It
// returns false, and takes nothing, if there is no room or the request was evicted.
func (a *Account) Grow(n int64, rank int, clock basilmoor.Clock) bool {
	if a == nil {
		return true
	}
	size := a.size + n
	if size > FreeBytes && !a.budget.take(a, size-max(a.size, FreeBytes), rank, clock.Now()) {
		return false
	}
	a.size = size
	return true
}

// Received records that n bytes of the request have arrived.
func (a *Account) Received(n int, clock basilmoor.Clock) {
	if a == nil || a.size <= FreeBytes {
		return
	}
	a.unmarked += int64(n)
	if a.unmarked >= progressBytes {
		a.unmarked = 0
		a.progressAt.Store(int64(clock.Now()))
	}
}

// Complete records that the request has arrived, so that it is not evicted any more. It
// returns false if it was evicted before.
func (a *Account) Complete() bool {
	if a == nil {
		return true
	}
	if a.size <= FreeBytes {
		// It holds nothing of the budget, so that nobody evicts it.
		return !a.evicted.Load()
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	delete(a.budget.receiving, a)
	return !a.evicted.Load()
}

// Evicted reports whether the request was evicted.
func (a *Account) Evicted() bool {
	return a != nil && a.evicted.Load()
}

// Release returns all bytes to the budget. The account can be used for another request.
func (a *Account) Release() {
	if a == nil {
		return
	}
	a.shrink(0)
	a.unmarked = 0
	a.evicted.Store(false)
}

// held returns the number of bytes that were taken.
func (a *Account) held() int64 {
	if a == nil {
		return 0
	}
	return a.size
}

// shrink returns bytes to the budget until the account holds size bytes.
func (a *Account) shrink(size int64) {
	if a == nil {
		return
	}
	if a.size > FreeBytes {
		a.budget.giveBack(a, a.size-max(size, FreeBytes))
	}
	a.size = size
}

// giveBack returns n bytes of an account, or none if it was evicted.
func (b *Budget) giveBack(a *Account, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, a.shared)
	b.used -= n
	a.shared -= n
	if a.shared == 0 {
		delete(b.receiving, a)
	}
}

// take takes n bytes for an account, and evicts others if that makes the room.
func (b *Budget) take(a *Account, n int64, rank int, now basilmoor.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.evicted.Load() {
		return false
	}
	if !b.makeRoom(a, n, rank, now) {
		b.stats.Refused++
		return false
	}
	b.used += n
	a.shared += n
	a.rank = rank
	a.unmarked = 0
	a.progressAt.Store(int64(now))
	b.receiving[a] = struct{}{}
	return true
}

// makeRoom evicts as many accounts as a needs for n bytes, or none if all that may be
// evicted are not enough. b.mu is held.
func (b *Budget) makeRoom(a *Account, n int64, rank int, now basilmoor.Millis) bool {
	missing := b.used + n - b.limit
	if missing <= 0 {
		return true
	}
	var evictable int64
	for v := range b.receiving {
		if v != a && v.yields(rank, now) {
			evictable += v.shared
		}
	}
	if evictable < missing {
		return false
	}
	for b.used+n > b.limit {
		b.evict(b.victim(a, rank, now))
	}
	return true
}

// yields reports whether an account makes room for a request of a rank.
func (a *Account) yields(rank int, now basilmoor.Millis) bool {
	return a.isStalled(now) || a.rank > rank
}

func (a *Account) isStalled(now basilmoor.Millis) bool {
	return now-basilmoor.Millis(a.progressAt.Load()) >= StallTime
}

// victim returns the account that is evicted next for a request of a rank; nil if there
// is none. b.mu is held.
func (b *Budget) victim(a *Account, rank int, now basilmoor.Millis) *Account {
	var first *Account
	for v := range b.receiving {
		if v != a && v.yields(rank, now) && (first == nil || v.isBefore(first, now)) {
			first = v
		}
	}
	return first
}

// isBefore reports whether an account is evicted before another one.
func (a *Account) isBefore(other *Account, now basilmoor.Millis) bool {
	stalled := a.isStalled(now)
	if stalled != other.isStalled(now) {
		return stalled
	}
	if !stalled && a.rank != other.rank {
		return a.rank > other.rank
	}
	return a.progressAt.Load() < other.progressAt.Load()
}

// evict returns the bytes of an account at once: its goroutine, which the interrupt ends,
// only has to drop them. b.mu is held.
func (b *Budget) evict(v *Account) {
	v.evicted.Store(true)
	delete(b.receiving, v)
	b.used -= v.shared
	v.shared = 0
	b.stats.Evicted++
	v.interrupt()
}
