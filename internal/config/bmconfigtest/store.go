// Package bmconfigtest provides an in-memory store with fault injection for the
// tests of the configuration packages. It implements only what configuration
// needs of the platform's store: it has no leases.
//
// Invariants: every call is counted, whether or not it succeeds; a write that
// succeeds takes effect exactly once.
package bmconfigtest

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// Fault is a fault injected into one call.
type Fault int

// Faults. Calls other than CompareAndSwap treat every fault as Unavailable.
const (
	// None lets the call succeed.
	None Fault = iota
	// Unavailable fails the call before it takes effect.
	Unavailable
	// LostResponse drops the response after the call has taken effect.
	LostResponse
	// Delayed drops the response; the write takes effect at the next call of
	// ApplyDelayed.
	Delayed
)

// Call describes a call of the store to the function set by SetFault.
type Call struct {
	Operation string
	Key       string
}

// Store is an in-memory basilmoor.Store. It is safe for concurrent use.
type Store struct {
	basilmoor.Store // nil; calls of methods that Store lacks panic

	mu       sync.Mutex
	cond     *sync.Cond
	entries  map[string]basilmoor.Entry
	revision int64
	calls    map[string]int
	fault    func(Call) Fault
	delayed  []func()
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{
		entries: make(map[string]basilmoor.Entry),
		calls:   make(map[string]int),
	}
	s.cond = sync.NewCond(&s.mu)
	return s
}

// SetFault sets the function that returns the fault of each call; nil disables
// faults. The function is called without the store's lock, so that it may call
// the store.
func (s *Store) SetFault(f func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls of an operation, which is one of get, cas,
// delete and watch.
func (s *Store) Calls(operation string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[operation]
}

// ApplyDelayed runs the delayed writes. A write whose key has changed since has
// no effect.
func (s *Store) ApplyDelayed() {
	s.mu.Lock()
	delayed := s.delayed
	s.delayed = nil
	s.mu.Unlock()
	for _, write := range delayed {
		write()
	}
}

// Backup is a copy of the entries and the revision of a Store.
type Backup struct {
	entries  map[string]basilmoor.Entry
	revision int64
}

// Backup returns a copy of the store for Restore.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{
		entries:  copyEntries(s.entries),
		revision: s.revision,
	}
}

// Restore replaces the entries and the revision by those of a backup. Delayed
// writes are lost, because the real service is stopped for a restoration, which
// ends the connections that carried them.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = copyEntries(b.entries)
	s.revision = b.revision
	s.delayed = nil
	s.cond.Broadcast()
}

func copyEntries(entries map[string]basilmoor.Entry) map[string]basilmoor.Entry {
	c := make(map[string]basilmoor.Entry, len(entries))
	for k, e := range entries {
		c[k] = e
	}
	return c
}

// Keys returns the keys with the given prefix in lexical order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.entries {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *Store) beginCall(operation, key string) Fault {
	s.mu.Lock()
	s.calls[operation]++
	fault := s.fault
	s.mu.Unlock()
	if fault == nil {
		return None
	}
	return fault(Call{
		Operation: operation,
		Key:       key,
	})
}

func unavailable(operation string) error {
	return &basilmoor.UnavailableError{
		Operation: operation,
		Err:       errors.New("no answer"),
	}
}

// Get returns the entry of key, or a *basilmoor.NotFoundError.
func (s *Store) Get(_ context.Context, key string) (basilmoor.Entry, error) {
	if s.beginCall("get", key) != None {
		return basilmoor.Entry{}, unavailable("get")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return basilmoor.Entry{}, &basilmoor.NotFoundError{
			Key: key,
		}
	}
	return e, nil
}

// CompareAndSwap writes value if key has the given version, which is 0 for a key
// that does not exist.
func (s *Store) CompareAndSwap(_ context.Context, key string, version int64, value []byte, _ string) (basilmoor.Entry, error) {
	switch s.beginCall("cas", key) {
	case Unavailable:
		return basilmoor.Entry{}, unavailable("cas")
	case LostResponse:
		_, _ = s.write(key, version, value)
		return basilmoor.Entry{}, unavailable("cas")
	case Delayed:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.delayed = append(s.delayed, func() { _, _ = s.write(key, version, value) })
		return basilmoor.Entry{}, unavailable("cas")
	}
	return s.write(key, version, value)
}

func (s *Store) write(key string, version int64, value []byte) (basilmoor.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkVersion(key, version); err != nil {
		return basilmoor.Entry{}, err
	}
	if len(value) > basilmoor.MaxValueBytes {
		return basilmoor.Entry{}, errors.Errorf("value of %s takes %d bytes", key, len(value))
	}
	s.revision++
	e := basilmoor.Entry{
		Key:      key,
		Value:    value,
		Version:  version + 1,
		Revision: s.revision,
	}
	s.entries[key] = e
	s.cond.Broadcast()
	return e, nil
}

func (s *Store) checkVersion(key string, version int64) error {
	if current := s.entries[key]; current.Version != version {
		return &basilmoor.ConflictError{
			Key:     key,
			Want:    version,
			Current: current,
		}
	}
	return nil
}

// Delete removes key if it has the given version.
func (s *Store) Delete(_ context.Context, key string, version int64) error {
	if s.beginCall("delete", key) != None {
		return unavailable("delete")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkVersion(key, version); err != nil {
		return err
	}
	s.revision++
	delete(s.entries, key)
	return nil
}

// Watch waits until keys with the given prefix change after revision, or ctx
// ends. It returns the current entries that changed, and does not report
// deletions. It ignores the wait limit.
func (s *Store) Watch(ctx context.Context, prefix string, revision int64, _ basilmoor.Millis) ([]basilmoor.Event, int64, error) {
	if s.beginCall("watch", prefix) != None {
		return nil, 0, unavailable("watch")
	}
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cond.Broadcast()
	})
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for ctx.Err() == nil {
		if events := s.eventsAfter(prefix, revision); len(events) > 0 {
			return events, s.revision, nil
		}
		s.cond.Wait()
	}
	return nil, 0, ctx.Err()
}

// Poll returns the events that Watch would return, without waiting. It does not
// count as a call.
func (s *Store) Poll(prefix string, revision int64) ([]basilmoor.Event, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eventsAfter(prefix, revision), s.revision
}

func (s *Store) eventsAfter(prefix string, revision int64) []basilmoor.Event {
	var events []basilmoor.Event
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) && e.Revision > revision {
			events = append(events, basilmoor.Event{
				Entry: e,
			})
		}
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Entry.Revision < events[j].Entry.Revision })
	return events
}
