package bmclaim

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// steppingClock passes the time of each timer at once, so that a whole commit
// runs in one goroutine.
type steppingClock struct {
	now basilmoor.Millis
}

func (c *steppingClock) Now() basilmoor.Millis { return c.now }

func (c *steppingClock) Sleep(ctx context.Context, d basilmoor.Millis) error {
	c.now += d
	return ctx.Err()
}

func (c *steppingClock) NewTimer(basilmoor.Millis) basilmoor.Timer {
	panic("commits don't use timers")
}

// fault is what the fake store does with a call.
type fault int

const (
	works   fault = iota
	outage        // no effect, no answer
	lost          // effect, no answer
	delayed       // no answer, the effect of a write comes later
)

var errNoAnswer = &basilmoor.UnavailableError{
	Operation: "store",
	Err:       errors.New("no answer"),
}

// fakeStore keeps entries in memory. Calls not needed here panic.
type fakeStore struct {
	basilmoor.Store
	mu      sync.Mutex
	entries map[string]basilmoor.Entry
	late    []func()

	// around runs before and after the effect of each call, unlocked.
	around func()
	fault  func(write bool) fault
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		entries: make(map[string]basilmoor.Entry),
		around:  func() {},
		fault:   func(bool) fault { return works },
	}
}

func (s *fakeStore) call(write bool, effect func() error) error {
	s.around()
	f := s.fault(write)
	if f == outage {
		return errNoAnswer
	}
	locked := func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		return effect()
	}
	if f == delayed {
		s.late = append(s.late, func() { _ = locked() })
		return errNoAnswer
	}
	err := locked()
	s.around()
	if f == lost {
		return errNoAnswer
	}
	return err
}

func (s *fakeStore) Get(_ context.Context, key string) (e basilmoor.Entry, err error) {
	err = s.call(false, func() error {
		var ok bool
		if e, ok = s.entries[key]; !ok {
			return &basilmoor.NotFoundError{
				Key: key,
			}
		}
		return nil
	})
	return e, err
}

func (s *fakeStore) List(_ context.Context, prefix string) (list []basilmoor.Entry, err error) {
	err = s.call(false, func() error {
		list = s.list(prefix)
		return nil
	})
	return list, err
}

func (s *fakeStore) list(prefix string) []basilmoor.Entry {
	var list []basilmoor.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, version int64, value []byte, _ string) (e basilmoor.Entry, err error) {
	err = s.call(true, func() error {
		if have := s.entries[key]; have.Version != version {
			return &basilmoor.ConflictError{
				Key:     key,
				Want:    version,
				Current: have,
			}
		}
		e = basilmoor.Entry{
			Key:     key,
			Value:   value,
			Version: version + 1,
		}
		s.entries[key] = e
		return nil
	})
	return e, err
}

func (s *fakeStore) Delete(_ context.Context, key string, version int64) error {
	return s.call(true, func() error {
		have, ok := s.entries[key]
		if !ok {
			return &basilmoor.NotFoundError{
				Key: key,
			}
		}
		if have.Version != version {
			return &basilmoor.ConflictError{
				Key: key,
			}
		}
		delete(s.entries, key)
		return nil
	})
}
