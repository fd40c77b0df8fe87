package bmstandinengine

import (
	"fmt"
	"net/http"
	"strconv"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// EventKind is a kind of cache event.
type EventKind string

// Kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventEvicted EventKind = "evicted"
)

// CacheEvent is one change of the prefix cache. Sequence numbers have no gaps
// in the engine; a reader that sees one has lost events.
type CacheEvent struct {
	Sequence int64            `json:"sequence"`
	Kind     EventKind        `json:"kind"`
	Digest   string           `json:"digest"` // 16 hexadecimal digits
	At       basilmoor.Millis `json:"-"`
}

// CacheEvents is the response to GET /v1/cache/events.
type CacheEvents struct {
	// Epoch changes when the engine has lost its cache. Sequence numbers then
	// start again from 1.
	Epoch  int          `json:"epoch"`
	Events []CacheEvent `json:"events"`
	Next   int64        `json:"next"` // value of after for the next call

	// Gap tells that events after the given one are gone from the history.
	Gap bool `json:"gap"`
}

// eventLog keeps the latest cache events. The engine's mu guards it.
type eventLog struct {
	clock     basilmoor.Clock
	delay     basilmoor.Millis
	limit     int
	dropEvery int64
	last      int64 // sequence number
	events    []CacheEvent
}

func newEventLog(clock basilmoor.Clock, s Settings) *eventLog {
	return &eventLog{
		clock:     clock,
		delay:     s.CacheEventDelay,
		limit:     s.CacheEventHistory,
		dropEvery: int64(s.CacheEventDropEvery),
	}
}

func (l *eventLog) add(kind EventKind, block uint64) {
	l.last++
	if l.dropEvery > 0 && l.last%l.dropEvery == 0 {
		return
	}
	l.events = append(l.events, CacheEvent{
		Sequence: l.last,
		Kind:     kind,
		Digest:   FormatDigest(block),
		At:       l.clock.Now(),
	})
	l.events = l.events[max(len(l.events)-l.limit, 0):]
}

// after returns the visible events after the given sequence number.
func (l *eventLog) after(sequence int64) CacheEvents {
	found := CacheEvents{
		Events: []CacheEvent{},
		Next:   sequence,
	}
	visible := l.clock.Now() - l.delay
	for _, ev := range l.events {
		if ev.Sequence > sequence && ev.At <= visible {
			found.Events = append(found.Events, ev)
			found.Next = ev.Sequence
		}
	}
	expected := sequence + 1
	for _, ev := range found.Events {
		found.Gap = found.Gap || ev.Sequence != expected
		expected = ev.Sequence + 1
	}
	return found
}

// FormatDigest returns the text form of a prefix digest.
func FormatDigest(block uint64) string {
	return fmt.Sprintf("%016x", block)
}

func parseDigest(text string) (uint64, error) {
	return strconv.ParseUint(text, 16, 64)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil || after < 0 {
		writeError(w, http.StatusBadRequest, "malformed", "want after")
		return
	}
	bmstandin.WriteJSON(w, http.StatusOK, e.eventsAfter(after))
}

func (e *Engine) eventsAfter(sequence int64) CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := e.events.after(sequence)
	found.Epoch = e.epoch
	return found
}
