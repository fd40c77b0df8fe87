package bmstandinstore

import (
	"net/http"
	"strconv"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// maxWait limits the time that a watch waits for a change.
const maxWait = 5 * basilmoor.Minute

type wireEvent struct {
	wireEntry
	Deleted bool `json:"deleted"`
}

type eventBatch struct {
	Events   []wireEvent `json:"events"`
	Revision int64       `json:"revision"`
}

// watchResult is the result of one check for changes by a watch.
type watchResult struct {
	batch     eventBatch
	compacted bool
	outage    bool

	changed      <-chan struct{}
	recheckAfter basilmoor.Millis // time until the watch must check again
}

func (s *Store) watch(w http.ResponseWriter, r request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	if err1 != nil || err2 != nil || after < 0 || wait < 0 {
		failRead(w, http.StatusBadRequest, errorBody{
			Error: msgAfterAndWaitRequired,
		})
		return
	}
	s.addOpenWatches(1)
	defer s.addOpenWatches(-1)
	deadline := s.clock.Now() + min(basilmoor.Millis(wait), maxWait)
	for {
		found := s.collectEvents(q.Get("prefix"), after, deadline)
		switch {
		case found.outage:
			bmstandin.AbortResponse()
		case found.compacted:
			failRead(w, http.StatusGone, errorBody{
				Error:    msgCompacted,
				Revision: found.batch.Revision,
			})
			return
		case len(found.batch.Events) > 0 || found.recheckAfter <= 0:
			bmstandin.WriteJSON(w, http.StatusOK, found.batch)
			return
		}
		if !s.waitForChange(r, found) {
			bmstandin.AbortResponse()
		}
	}
}

// addOpenWatches adds n to the number of open watches.
func (s *Store) addOpenWatches(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.WatchesOpen += n
}

// collectEvents returns the events after the given revision. A watch whose
// revision is higher than the store's, which happens after a restore, gets no
// events.
func (s *Store) collectEvents(prefix string, after int64, deadline basilmoor.Millis) watchResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	now := s.clock.Now()
	found := watchResult{
		batch: eventBatch{
			Events:   []wireEvent{},
			Revision: max(after, s.state.revision),
		},
		outage:       s.outage,
		changed:      s.changed,
		recheckAfter: deadline - now,
	}
	if found.recheckAfter > 0 {
		found.recheckAfter = max(s.state.timeToNextExpiry(now, found.recheckAfter), 1)
	}
	if after < s.state.compacted {
		found.compacted = true
		found.batch.Revision = s.state.compacted
		return found
	}
	for _, c := range s.state.changes(prefix, after) {
		found.batch.Events = append(found.batch.Events, wireEvent{
			wireEntry: wireEntry{
				Key:      c.key,
				Value:    c.after.value,
				Version:  c.atVersion,
				Revision: c.after.revision,
			},
			Deleted: c.deleted,
		})
	}
	return found
}

// waitForChange waits for a change or until recheckAfter has passed, when a
// lease may expire or the watch times out. It returns false if the client
// disconnects or the store stops.
func (s *Store) waitForChange(r request, found watchResult) bool {
	timer := s.clock.NewTimer(found.recheckAfter)
	defer timer.Stop()
	select {
	case <-found.changed:
		return true
	case <-timer.C():
		return true
	case <-r.Context().Done():
		return false
	case <-s.ctx.Done():
		return false
	}
}
