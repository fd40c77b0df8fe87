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

// difference returns the changes that lead from the recorded state to the
// complete state u. Hosts that follow this one get only these when the store has
// lost its history.
func (h *history) difference(u Update) Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	changes := Update{
		From: h.revision,
		To:   u.To,
	}
	listed := make(map[string]bool, len(u.Events))
	for _, e := range u.Events {
		listed[e.Entry.Key] = true
		known, ok := h.entries[e.Entry.Key]
		if !ok || known.Entry.Revision != e.Entry.Revision {
			changes.Events = append(changes.Events, e)
		}
	}
	for key := range h.entries {
		if listed[key] {
			continue
		}
		changes.Events = append(changes.Events, basilmoor.Event{
			Entry: basilmoor.Entry{
				Key:      key,
				Version:  u.To,
				Revision: u.To,
			},
			Deleted: true,
		})
	}
	return changes
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
