package bmview

import (
	"sync"

	"basilmoor.example/basilmoor"
)

const (
	// keptUpdates and keptBytes bound the updates that are kept for hosts
	// that are a little behind.
	keptUpdates = 512
	keptBytes   = 512 << 10
)

// Update is a step of the platform's state between two revisions of its store.
// It is immutable.
type Update struct {
	From   int64 // 0: Events are all entries that there are
	To     int64
	Events []basilmoor.Event
}

func (u Update) size() int {
	n := 0
	for _, e := range u.Events {
		n += len(e.Entry.Key) + len(e.Entry.Value)
	}
	return n
}

// history keeps the entries of the platform's state and the last updates, so
// that they can be passed on. It is safe for concurrent use.
type history struct {
	mu      sync.Mutex
	entries map[string]basilmoor.Event
	updates []Update
	bytes   int
	to      int64
}

func newHistory() *history {
	return &history{
		entries: map[string]basilmoor.Event{},
	}
}

func (h *history) add(u Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if u.From == 0 {
		clear(h.entries)
		h.updates = nil
		h.bytes = 0
	}
	for _, e := range u.Events {
		if e.Deleted {
			delete(h.entries, e.Entry.Key)
			continue
		}
		h.entries[e.Entry.Key] = e
	}
	h.to = u.To
	if u.From == 0 {
		return
	}
	h.updates = append(h.updates, u)
	h.bytes += u.size()
	for len(h.updates) > keptUpdates || h.bytes > keptBytes {
		h.bytes -= h.updates[0].size()
		h.updates = h.updates[1:]
	}
}

// since returns the updates after a revision, or all entries if those are not
// kept any more.
func (h *history) since(revision int64) []Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.to == 0 || revision >= h.to {
		return nil
	}
	for i, u := range h.updates {
		if u.From <= revision && revision <= u.To {
			return append([]Update(nil), h.updates[i:]...)
		}
	}
	all := Update{
		To: h.to,
	}
	for _, e := range h.entries {
		all.Events = append(all.Events, e)
	}
	return []Update{all}
}
