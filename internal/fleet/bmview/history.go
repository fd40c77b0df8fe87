package bmview

import (
	"bytes"
	"sync"

	"basilmoor.example/basilmoor"
)

const (
	// maxKeptUpdates and maxKeptBytes limit the updates that are kept for
	// hosts that lag behind. A host that needs older ones gets all entries.
	maxKeptUpdates = 512
	maxKeptBytes   = 512 << 10

	// goneMemory is how long deleted entries are remembered. The store may come back
	// from a copy that still has them, which is some seconds old.
	goneMemory = basilmoor.Minute
)

// Update holds the changes of the platform's state between two positions of its
// store. It is immutable.
type Update struct {
	From   basilmoor.Position // zero if Events is the complete state
	To     basilmoor.Position
	Events []basilmoor.Event
}

// crossesEras reports whether the store was restored from a copy between the two
// positions.
func (u Update) crossesEras() bool {
	return !u.From.IsZero() && u.From.Era != u.To.Era
}

// appliesAt reports whether the update can be applied to a state at position p. An
// update that crosses eras says only what differs from the state at its start: a state
// that was further in the old era may differ in more.
func (u Update) appliesAt(p basilmoor.Position) bool {
	if u.crossesEras() {
		return p == u.From
	}
	return u.From.IsZero() || (p.Era == u.From.Era && !p.Before(u.From))
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
	gone     map[string]goneEntry
	updates  []Update
	bytes    int
	position basilmoor.Position
}

// goneEntry is the last state of an entry that was deleted.
type goneEntry struct {
	event basilmoor.Event
	at    basilmoor.Millis // of the deletion
	lost  bool             // a copy of the store lacks it; nobody has deleted it
}

func newHistory() *history {
	return &history{
		entries: map[string]basilmoor.Event{},
		gone:    map[string]goneEntry{},
	}
}

// add records an update that is applied at an instant.
func (h *history) add(u Update, now basilmoor.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range u.Events {
		if e.Deleted {
			h.forget(e.Entry.Key, now, u.crossesEras())
			continue
		}
		h.entries[e.Entry.Key] = e
		delete(h.gone, e.Entry.Key)
	}
	h.expireGone(now)
	h.position = u.To
	if u.From.IsZero() {
		return
	}
	h.updates = append(h.updates, u)
	h.bytes += u.size()
	for len(h.updates) > maxKeptUpdates || h.bytes > maxKeptBytes {
		h.bytes -= h.updates[0].size()
		h.updates = h.updates[1:]
	}
}

// forget removes an entry and remembers it as gone, or as lost with a restoration.
func (h *history) forget(key string, now basilmoor.Millis, lost bool) {
	e, known := h.entries[key]
	if !known {
		return
	}
	delete(h.entries, key)
	h.gone[key] = goneEntry{
		event: e,
		at:    now,
		lost:  lost,
	}
}

// expireGone drops the entries that were deleted long ago.
func (h *history) expireGone(now basilmoor.Millis) {
	for key, g := range h.gone {
		if now-g.at > goneMemory {
			delete(h.gone, key)
		}
	}
}

// lookUp returns the recorded entry of a key, or its last state if it was deleted or lost
// a short time ago, and nil if it was not there.
func (h *history) lookUp(key string) (last *basilmoor.Event, deleted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e, ok := h.entries[key]; ok {
		return &e, false
	}
	if g, ok := h.gone[key]; ok {
		return &g.event, !g.lost
	}
	return nil, false
}

// difference returns the changes that lead from the recorded state to the
// complete state u. Hosts that follow this one get only these when the store has
// lost its history. Values are compared as well, since an entry of an earlier era may
// have the same revision.
func (h *history) difference(u Update) Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	changes := Update{
		From: h.position,
		To:   u.To,
	}
	listed := make(map[string]bool, len(u.Events))
	for _, e := range u.Events {
		listed[e.Entry.Key] = true
		known, ok := h.entries[e.Entry.Key]
		sameRevision := known.Entry.Revision == e.Entry.Revision || changes.crossesEras()
		if !ok || !sameRevision || !bytes.Equal(known.Entry.Value, e.Entry.Value) {
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
				Version:  u.To.Revision,
				Revision: u.To.Revision,
			},
			Deleted: true,
		})
	}
	return changes
}

// since returns the updates after a position, or one update with all entries if
// those updates are no longer kept.
func (h *history) since(p basilmoor.Position) []Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.position.IsZero() || !p.Before(h.position) {
		return nil
	}
	for i, u := range h.updates {
		if u.appliesAt(p) && !u.To.Before(p) {
			return append([]Update(nil), h.updates[i:]...)
		}
	}
	all := Update{
		To: h.position,
	}
	for _, e := range h.entries {
		all.Events = append(all.Events, e)
	}
	return []Update{all}
}
