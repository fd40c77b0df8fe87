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

// CacheEvent is a change of the prefix cache. Events are numbered without gaps,
// so a reader that sees a gap has missed events.
type CacheEvent struct {
	Sequence int64            `json:"sequence"`
	Kind     EventKind        `json:"kind"`
	Digest   string           `json:"digest"` // 16 hexadecimal digits
	At       basilmoor.Millis `json:"-"`
}

// CacheEvents is the response to GET /v1/cache/events.
type CacheEvents struct {
	// Epoch changes when the engine loses its cache. Sequence numbers then
	// restart at 1.
	Epoch  int          `json:"epoch"`
	Events []CacheEvent `json:"events"`
	Next   int64        `json:"next"` // value of the after parameter of the next call

	// Gap is set if events after the given sequence number are missing, because
	// they were dropped or are no longer in the history.
	Gap bool `json:"gap"`
}

// eventLog keeps the most recent cache events. It is guarded by the engine's mu.
type eventLog struct {
	clock        basilmoor.Clock
	delay        basilmoor.Millis
	limit        int // maximum number of events kept
	dropEvery    int64
	lastSequence int64 // sequence number of the newest event
	events       []CacheEvent
}

func newEventLog(clock basilmoor.Clock, s Settings) *eventLog {
	return &eventLog{
		clock:     clock,
		delay:     s.CacheEventDelay,
		limit:     s.CacheEventHistory,
		dropEvery: int64(s.CacheEventDropEvery),
	}
}

// add numbers an event and appends it to the log, unless it is dropped because
// of dropEvery.
func (l *eventLog) add(kind EventKind, block uint64) {
	l.lastSequence++
	if l.dropEvery > 0 && l.lastSequence%l.dropEvery == 0 {
		return
	}
	l.events = append(l.events, CacheEvent{
		Sequence: l.lastSequence,
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
	latestVisible := l.clock.Now() - l.delay
	for _, ev := range l.events {
		if ev.Sequence > sequence && ev.At <= latestVisible {
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

// FormatDigest formats a prefix digest as 16 hexadecimal digits.
func FormatDigest(block uint64) string {
	return fmt.Sprintf("%016x", block)
}

func parseDigest(text string) (uint64, error) {
	return strconv.ParseUint(text, 16, 64)
}

// serveCacheEvents handles GET /v1/cache/events.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
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
