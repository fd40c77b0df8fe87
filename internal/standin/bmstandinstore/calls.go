package bmstandinstore

import (
	"io"
	"net/http"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// request is a call whose body has been read completely. Reading it before the
// simulated delay lets the call take effect even if the client disconnects.
type request struct {
	*http.Request
	value []byte
}

// reply sends the response to a call. It is called without holding mu.
type reply func(w http.ResponseWriter)

// operation executes a call while mu is held. It returns the reply and whether
// the call changed the store.
type operation func(r request) (answer reply, effect bool)

// handleRead registers a handler whose calls count as reads.
func (s *Store) handleRead(pattern, name string, h func(http.ResponseWriter, request)) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if s.admit(w, name, false) {
			h(w, request{
				Request: r,
			})
		}
	})
}

// handleWrite registers an operation whose calls count as writes.
func (s *Store) handleWrite(pattern, name string, op operation) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		value, err := io.ReadAll(io.LimitReader(r.Body, basilmoor.MaxValueBytes+1))
		if err != nil {
			bmstandin.AbortResponse()
		}
		if !s.admit(w, name, true) {
			return
		}
		answer := s.applyWrite(op, request{
			Request: r,
			value:   value,
		})
		answer(w)
	})
}

// applyWrite executes a write and returns its reply. If the lose-next-answers
// fault is set and the write took effect, the reply drops the connection.
func (s *Store) applyWrite(op operation, r request) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	answer, effect := op(r)
	if !effect {
		return answer
	}
	s.notifyWatches()
	if s.responsesToDrop == 0 {
		return answer
	}
	s.responsesToDrop--
	s.stats.Unanswered++
	return func(http.ResponseWriter) { bmstandin.AbortResponse() }
}

// admit counts a call and applies the rate limit, the injected delay and the
// outage. It reports whether the call may proceed.
func (s *Store) admit(w http.ResponseWriter, name string, write bool) bool {
	if s.countCall(name, write) {
		bmstandin.WriteProblem(w, http.StatusTooManyRequests, "rate limit")
		return false
	}
	s.mu.Lock()
	slow := s.callDelay
	s.mu.Unlock()
	if slow > 0 && s.clock.Sleep(s.ctx, slow) != nil {
		bmstandin.AbortResponse()
	}
	s.dropInOutage()
	return true
}

// countCall updates the statistics and reports whether the call exceeds the
// rate limit. During an outage the rate limit does not apply.
func (s *Store) countCall(name string, write bool) (limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Operations[name]++
	limiter := s.readLimiter
	if write {
		s.stats.Writes++
		limiter = s.writeLimiter
	} else {
		s.stats.Reads++
	}
	if s.outage || limiter.allow() {
		return false
	}
	s.stats.RateLimited++
	return true
}

// dropInOutage drops the connection if an outage is in effect.
func (s *Store) dropInOutage() {
	s.mu.Lock()
	outage := s.outage
	if outage {
		s.stats.Unanswered++
	}
	s.mu.Unlock()
	if outage {
		bmstandin.AbortResponse()
	}
}

// rateLimiter is a token bucket that rejects calls instead of delaying them. A
// nil rateLimiter allows every call. It counts in thousandths of a token, so
// that integer arithmetic is exact for a clock in milliseconds.
type rateLimiter struct {
	clock     basilmoor.Clock
	perSecond int64
	units     int64
	updated   basilmoor.Millis
}

const unitsPerToken = 1000

func newRateLimiter(clock basilmoor.Clock, perSecond int) *rateLimiter {
	if perSecond <= 0 {
		return nil
	}
	return &rateLimiter{
		clock:     clock,
		perSecond: int64(perSecond),
		units:     int64(perSecond) * unitsPerToken,
		updated:   clock.Now(),
	}
}

// allow takes a token and reports whether one was available.
func (l *rateLimiter) allow() bool {
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

// errorBody is the JSON body of an error response. Version and Revision describe
// the current state if the error depends on it.
type errorBody struct {
	Error    string `json:"error"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"`
}

// failWrite returns the result of an operation that failed without effect.
func failWrite(status int, p errorBody) (reply, bool) {
	return func(w http.ResponseWriter) {
		bmstandin.WriteJSON(w, status, p)
	}, false
}

// failRead sends the error response to a read.
func failRead(w http.ResponseWriter, status int, p errorBody) {
	bmstandin.WriteJSON(w, status, p)
}
