package bmstandinstore

import (
	"net/http"
	"strconv"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// maxWait bounds the waiting time of a watch.
const maxWait = 5 * basilmoor.Minute

type wireEvent struct {
	wireEntry
	Deleted bool `json:"deleted"`
}

type eventBatch struct {
	Events   []wireEvent `json:"events"`
	Revision int64       `json:"revision"`
}

// look is what a watch finds at one instant.
type look struct {
	batch     eventBatch
	compacted bool
	outage    bool

	changed <-chan struct{}
	pause   basilmoor.Millis // until it must look again
}

func (s *Store) watch(w http.ResponseWriter, r request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	if err1 != nil || err2 != nil || after < 0 || wait < 0 {
		failRead(w, http.StatusBadRequest, problem{
			Error: wantAfterAndMs,
		})
		return
	}
	s.openWatches(1)
	defer s.openWatches(-1)
	deadline := s.clock.Now() + min(basilmoor.Millis(wait), maxWait)
	for {
		found := s.look(q.Get("prefix"), after, deadline)
		switch {
		case found.outage:
			bmstandin.Drop()
		case found.compacted:
			failRead(w, http.StatusGone, problem{
				Error:    compacted,
				Revision: found.batch.Revision,
			})
			return
		case len(found.batch.Events) > 0 || found.pause <= 0:
			bmstandin.WriteJSON(w, http.StatusOK, found.batch)
			return
		}
		if !s.pause(r, found) {
			bmstandin.Drop()
		}
	}
}

func (s *Store) openWatches(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.WatchesOpen += n
}

// look collects the events after the given revision. A watch after a revision
// that the store has not reached, as after a restoration, finds nothing.
func (s *Store) look(prefix string, after int64, deadline basilmoor.Millis) look {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	now := s.clock.Now()
	found := look{
		batch: eventBatch{
			Events:   []wireEvent{},
			Revision: max(after, s.state.revision),
		},
		outage:  s.outage,
		changed: s.changed,
		pause:   deadline - now,
	}
	if found.pause > 0 {
		found.pause = max(s.state.nextExpiry(now, found.pause), 1)
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

// pause waits for a change or the next instant at which time alone may bring
// one. It reports whether the watch goes on.
func (s *Store) pause(r request, found look) bool {
	timer := s.clock.NewTimer(found.pause)
	defer timer.Stop()
	select {
	case <-found.changed:
		return true
	case <-timer.C():
		return true
	case <-r.Context().Done():
		return false
	case <-s.life.Done():
		return false
	}
}
