package bmview

import (
	"sync"

	"basilmoor.example/basilmoor"
)

const (
	// maxKeptUpdates and maxKeptBytes limit the updates that are kept for
	// hosts that lag behind. A host that needs older ones gets all entries.
	maxKeptUpdates = 512
	maxKeptBytes   = 512 << 10
)

// Update holds the changes of the platform's state between two revisions of its
// store. It is immutable.
type Update struct {
	From   int64 // 0 if Events is the complete state
	To     int64
	Events []basilmoor.Event
}

// size returns the length of the keys and values in bytes.
func (u Update) size() int {
	n := 0
	for _, e := range u.Events {
		n += len(e.Entry.Key) + len(e.Entry.Value)
	}
	return n
}

// history keeps the current entries of the platform's state and the latest
// updates for relaying to other hosts. It is safe for concurrent use.
type history struct {
	mu       sync.Mutex
	entries  map[string]basilmoor.Event
	updates  []Update
	bytes    int
	revision int64
}

func newHistory() *history {
	return &history{
		entries: map[string]basilmoor.Event{},
	}
}

// add records an update. One with the complete state replaces everything that
// was recorded before.
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
	h.revision = u.To
	if u.From == 0 {
		return
	}
	h.updates = append(h.updates, u)
	h.bytes += u.size()
	for len(h.updates) > maxKeptUpdates || h.bytes > maxKeptBytes {
		h.bytes -= h.updates[0].size()
		h.updates = h.updates[1:]
	}
}

// since returns the updates after a revision, or one update with all entries if
// those updates are no longer kept.
func (h *history) since(revision int64) []Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.revision == 0 || revision >= h.revision {
		return nil
	}
	for i, u := range h.updates {
		if u.From <= revision && revision <= u.To {
			return append([]Update(nil), h.updates[i:]...)
		}
	}
	all := Update{
		To: h.revision,
	}
	for _, e := range h.entries {
		all.Events = append(all.Events, e)
	}
	return []Update{all}
}
