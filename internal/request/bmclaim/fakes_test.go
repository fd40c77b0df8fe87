package bmclaim

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// steppingClock advances by the duration of each sleep without blocking, so that
// a commit runs to completion in one goroutine.
type steppingClock struct {
	now basilmoor.Millis
}

func (c *steppingClock) Now() basilmoor.Millis { return c.now }

func (c *steppingClock) Sleep(ctx context.Context, d basilmoor.Millis) error {
	c.now += d
	return ctx.Err()
}

func (c *steppingClock) NewTimer(basilmoor.Millis) basilmoor.Timer {
	panic("steppingClock has no timers")
}

// fault is the failure that the fake store injects into a call.
type fault int

const (
	noFault       fault = iota
	noEffect            // the call has no effect and gets no response
	lostResponse        // the call takes effect but its response is lost
	delayedEffect       // the call gets no response and takes effect later
)

var errNoAnswer = &basilmoor.UnavailableError{
	Operation: "store",
	Err:       errors.New("no answer"),
}

// fakeStore is an in-memory store. Methods that the tests don't need panic.
type fakeStore struct {
	basilmoor.Store
	mu             sync.Mutex
	entries        map[string]basilmoor.Entry
	delayedEffects []func()

	// hook runs before and after the effect of each call, without holding mu.
	hook  func()
	fault func(write bool) fault
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		entries: make(map[string]basilmoor.Entry),
		hook:    func() {},
		fault:   func(bool) fault { return noFault },
	}
}

func (s *fakeStore) call(write bool, effect func() error) error {
	s.hook()
	f := s.fault(write)
	if f == noEffect {
		return errNoAnswer
	}
	locked := func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		return effect()
	}
	if f == delayedEffect {
		s.delayedEffects = append(s.delayedEffects, func() { _ = locked() })
		return errNoAnswer
	}
	err := locked()
	s.hook()
	if f == lostResponse {
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
		if current := s.entries[key]; current.Version != version {
			return &basilmoor.ConflictError{
				Key:     key,
				Want:    version,
				Current: current,
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
		current, ok := s.entries[key]
		if !ok {
			return &basilmoor.NotFoundError{
				Key: key,
			}
		}
		if current.Version != version {
			return &basilmoor.ConflictError{
				Key: key,
			}
		}
		delete(s.entries, key)
		return nil
	})
}
