// Package bmconfigtest holds the in-memory store that tests of configuration
// share. It imitates the platform's store only as far as configuration needs:
// it has no leases.
//
// Invariants: calls are counted whether or not they are answered; a call that
// is answered took effect exactly once.
package bmconfigtest

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// Fault is what happens to one call.
type Fault int

// Faults.
const (
	// None lets the call pass.
	None Fault = iota
	// Unavailable drops the call before it takes effect.
	Unavailable
	// LostAnswer drops the answer after the call took effect.
	LostAnswer
	// Delayed drops the answer; the write takes effect at Release.
	Delayed
)

// Call describes a call to the fault function.
type Call struct {
	Operation string
	Key       string
}

// Store is an in-memory basilmoor.Store. It is safe for concurrent use.
type Store struct {
	basilmoor.Store // leases are not implemented

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

// SetFault sets the function that decides the fault of each call; nil for
// none. It is called without the store's lock, so that it may call the store.
func (s *Store) SetFault(f func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls of an operation: get, cas, delete, watch.
func (s *Store) Calls(operation string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[operation]
}

// Release lets the delayed writes take effect, if they still can.
func (s *Store) Release() {
	s.mu.Lock()
	delayed := s.delayed
	s.delayed = nil
	s.mu.Unlock()
	for _, write := range delayed {
		write()
	}
}

// Backup is a copy of a store.
type Backup struct {
	entries  map[string]basilmoor.Entry
	revision int64
}

// Backup copies the store.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{
		entries:  copyEntries(s.entries),
		revision: s.revision,
	}
}

// Restore sets the store back to a copy. Delayed writes are lost: the service
// is stopped for a restoration, which ends the connections they came on.
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

// Keys returns the keys below prefix in order.
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

func (s *Store) begin(operation, key string) Fault {
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

// Get returns the entry of key.
func (s *Store) Get(_ context.Context, key string) (basilmoor.Entry, error) {
	if s.begin("get", key) != None {
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

// CompareAndSwap writes value if the key has the given version.
func (s *Store) CompareAndSwap(_ context.Context, key string, version int64, value []byte, _ string) (basilmoor.Entry, error) {
	switch s.begin("cas", key) {
	case Unavailable:
		return basilmoor.Entry{}, unavailable("cas")
	case LostAnswer:
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
	if err := s.expect(key, version); err != nil {
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

func (s *Store) expect(key string, version int64) error {
	if current := s.entries[key]; current.Version != version {
		return &basilmoor.ConflictError{
			Key:     key,
			Want:    version,
			Current: current,
		}
	}
	return nil
}

// Delete removes the key if it has the given version.
func (s *Store) Delete(_ context.Context, key string, version int64) error {
	if s.begin("delete", key) != None {
		return unavailable("delete")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.expect(key, version); err != nil {
		return err
	}
	s.revision++
	delete(s.entries, key)
	return nil
}

// Watch waits for changes below prefix until ctx ends. It reports the present
// entries that changed after the revision, and no deletions.
func (s *Store) Watch(ctx context.Context, prefix string, revision int64, _ basilmoor.Millis) ([]basilmoor.Event, int64, error) {
	if s.begin("watch", prefix) != None {
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
		if events := s.changes(prefix, revision); len(events) > 0 {
			return events, s.revision, nil
		}
		s.cond.Wait()
	}
	return nil, 0, ctx.Err()
}

// Poll returns what a watch would return now, without waiting. It is not
// counted.
func (s *Store) Poll(prefix string, revision int64) ([]basilmoor.Event, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes(prefix, revision), s.revision
}

func (s *Store) changes(prefix string, revision int64) []basilmoor.Event {
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
