package bmcapacity

import "basilmoor.example/basilmoor"

// flight is one request that holds capacity on a target.
type flight struct {
	demand     basilmoor.Demand
	target     *target
	granted    basilmoor.Millis
	dispatched bool
	streaming  bool
	uncached   int // own prompt tokens that the target must process
	ahead      int // prompt tokens to process before its first token, with its own
	rank       int // requests in flight on the target with this one, at the grant
	last       basilmoor.Millis
	tokens     int
	elapsed    basilmoor.Millis
}

// ending tells why a request holds no capacity any more.
type ending int

const (
	// endedLapsed is a grant whose dispatch was not reported, or a request
	// that was silent for too long. It counts again if it reports again.
	endedLapsed ending = iota
	// endedReturned is a grant that was given back. The request may be
	// submitted again.
	endedReturned
	// endedRun is a request that was dispatched and ended. Nothing revives
	// it.
	endedRun
)

// endedFlight remembers an ended request, so that late and repeated reports
// are recognised.
type endedFlight struct {
	demand basilmoor.Demand
	ending ending
	at     basilmoor.Millis
}

// history remembers ended requests for a bounded time.
type history struct {
	ended map[basilmoor.RequestID]endedFlight
	order []historyEntry
}

type historyEntry struct {
	id basilmoor.RequestID
	at basilmoor.Millis
}

func newHistory() *history {
	return &history{
		ended: map[basilmoor.RequestID]endedFlight{},
	}
}

func (h *history) add(now basilmoor.Millis, d basilmoor.Demand, e ending) {
	d.PrefixDigests = nil
	h.ended[d.Request] = endedFlight{
		demand: d,
		ending: e,
		at:     now,
	}
	h.order = append(h.order, historyEntry{
		id: d.Request,
		at: now,
	})
}

func (h *history) forget(before basilmoor.Millis) {
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
