package bmcapacity

import "basilmoor.example/basilmoor"

// reservation is the capacity that a request holds on a target.
type reservation struct {
	demand         basilmoor.Demand
	target         *target
	granted        basilmoor.Millis
	dispatched     bool
	streaming      bool
	uncachedTokens int // prompt tokens of the request that the target must process
	promptAhead    int // prompt tokens to process before its first token, including its own
	occupancy      int // requests in flight on the target when reserved, including this one
	lastReport     basilmoor.Millis
	tokens         int
	elapsed        basilmoor.Millis
}

// endReason is the reason why a request no longer holds capacity.
type endReason int

const (
	// endedWithoutReport means that the dispatch of a grant was not reported in
	// time, or that a request was silent for too long or its host was dropped.
	// The request is counted again if it reports again.
	endedWithoutReport endReason = iota
	// endedReturned means that the request did not run: its grant was returned,
	// or released before dispatch. The request may be resubmitted.
	endedReturned
	// endedDispatched means that the request was dispatched and has ended. Later
	// reports are ignored, and the request must not be granted again.
	endedDispatched
)

// endedRequest is the record of an ended request, by which late and duplicate
// reports are recognised.
type endedRequest struct {
	demand basilmoor.Demand
	reason endReason
	at     basilmoor.Millis
}

// history holds the records of recently ended requests.
type history struct {
	ended map[basilmoor.RequestID]endedRequest
	order []timestampedID // oldest first
}

// timestampedID is a request ID with the time of its grant or of its end.
type timestampedID struct {
	id basilmoor.RequestID
	at basilmoor.Millis
}

func newHistory() *history {
	return &history{
		ended: map[basilmoor.RequestID]endedRequest{},
	}
}

func (h *history) add(now basilmoor.Millis, d basilmoor.Demand, e endReason) {
	d.PrefixDigests = nil
	h.ended[d.Request] = endedRequest{
		demand: d,
		reason: e,
		at:     now,
	}
	h.order = append(h.order, timestampedID{
		id: d.Request,
		at: now,
	})
}

// evictBefore deletes the records of requests that ended before the given time.
func (h *history) evictBefore(before basilmoor.Millis) {
	n := 0
	for n < len(h.order) && h.order[n].at < before {
		entry := h.order[n]
		if h.ended[entry.id].at == entry.at {
			delete(h.ended, entry.id)
		}
		n++
	}
	h.order = h.order[n:]
}
