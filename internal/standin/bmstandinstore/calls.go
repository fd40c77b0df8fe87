package bmstandinstore

import (
	"io"
	"net/http"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// request is a call whose body was read in full before it is delayed, so that
// it takes effect even if the client leaves.
type request struct {
	*http.Request
	value []byte
}

// reply sends the response to a call. It runs without the lock.
type reply func(w http.ResponseWriter)

// operation runs a call under the lock and reports whether it took effect.
type operation func(r request) (answer reply, effect bool)

// read registers a call that counts as a read.
func (s *Store) read(pattern, name string, h func(http.ResponseWriter, request)) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if s.admit(w, name, false) {
			h(w, request{
				Request: r,
			})
		}
	})
}

// write registers a call that counts as a write.
func (s *Store) write(pattern, name string, op operation) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		value, err := io.ReadAll(io.LimitReader(r.Body, basilmoor.MaxValueBytes+1))
		if err != nil {
			bmstandin.Drop()
		}
		if !s.admit(w, name, true) {
			return
		}
		answer := s.apply(op, request{
			Request: r,
			value:   value,
		})
		answer(w)
	})
}

// apply runs a write and decides whether its answer is lost.
func (s *Store) apply(op operation, r request) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	answer, effect := op(r)
	if !effect {
		return answer
	}
	s.wake()
	if s.lose == 0 {
		return answer
	}
	s.lose--
	s.stats.Unanswered++
	return func(http.ResponseWriter) { bmstandin.Drop() }
}

// admit counts a call, delays it and applies the rate limit and the outage. It
// reports whether the call goes on.
func (s *Store) admit(w http.ResponseWriter, name string, write bool) bool {
	if s.count(name, write) {
		bmstandin.WriteProblem(w, http.StatusTooManyRequests, "rate limit")
		return false
	}
	s.mu.Lock()
	slow := s.slow
	s.mu.Unlock()
	if slow > 0 && s.clock.Sleep(s.life, slow) != nil {
		bmstandin.Drop()
	}
	s.dropInOutage()
	return true
}

func (s *Store) count(name string, write bool) (limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Operations[name]++
	limits := s.reads
	if write {
		s.stats.Writes++
		limits = s.writes
	} else {
		s.stats.Reads++
	}
	if s.outage || limits.allow() {
		return false
	}
	s.stats.RateLimited++
	return true
}

func (s *Store) dropInOutage() {
	s.mu.Lock()
	outage := s.outage
	if outage {
		s.stats.Unanswered++
	}
	s.mu.Unlock()
	if outage {
		bmstandin.Drop()
	}
}

// limiter is a token bucket that refuses and never waits. A nil limiter allows
// everything. Its unit is a thousandth of a token.
type limiter struct {
	clock     basilmoor.Clock
	perSecond int64
	units     int64
	updated   basilmoor.Millis
}

const unitsPerToken = 1000

func newLimiter(clock basilmoor.Clock, perSecond int) *limiter {
	if perSecond <= 0 {
		return nil
	}
	return &limiter{
		clock:     clock,
		perSecond: int64(perSecond),
		units:     int64(perSecond) * unitsPerToken,
		updated:   clock.Now(),
	}
}

func (l *limiter) allow() bool {
	if l == nil {
		return true
	}
	now := l.clock.Now()
	l.units = min(l.units+int64(now-l.updated)*l.perSecond, l.perSecond*unitsPerToken)
	l.updated = now
	if l.units < unitsPerToken {
		return false
	}
	l.units -= unitsPerToken
	return true
}

// problem answers with an error. Version and revision are those of the current
// state where the error is about it.
type problem struct {
	Error    string `json:"error"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"`
}

func fail(status int, p problem) (reply, bool) {
	return func(w http.ResponseWriter) {
		bmstandin.WriteJSON(w, status, p)
	}, false
}

func failRead(w http.ResponseWriter, status int, p problem) {
	bmstandin.WriteJSON(w, status, p)
}
