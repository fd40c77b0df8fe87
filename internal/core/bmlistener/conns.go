package bmlistener

import (
	"container/list"
	"net"
	"net/http"
	"sync"

	"basilmoor.example/basilmoor"
)

const (
	// NewConnTime is how long a connection on which nothing was received may still be
	// about to send a request.
	NewConnTime basilmoor.Millis = 500

	// connsPerExcess is the number of connections of a limit for each one beyond it
	// that is accepted to refuse its request.
	connsPerExcess = 8
)

// Admission tells what may be done with the requests of a connection.
type Admission int

// Admissions of connections.
const (
	// Admitted connections are served.
	Admitted Admission = iota
	// Excess connections are beyond the limit: their request is refused, and they are
	// closed.
	Excess
	// Closed connections were closed because of the limit before their request was
	// read. The request must not be run: its caller gets no answer.
	Closed
)

// Conns holds the open connections of a listener and limits their number. At the limit
// it chooses for closing the connection that has been idle the longest, or the oldest
// one on which nothing was received for a while; if there is none, the next connections
// are accepted as Excess. Its methods take the time on the host's clock. It is safe for
// concurrent use.
type Conns struct {
	limit     int // connections that are served
	maxExcess int // connections beyond the limit

	mu     sync.Mutex
	conns  map[net.Conn]*connEntry
	open   int
	excess int
	idle   *list.List // of *connEntry, the one that has been idle the longest first
	silent *list.List // of *connEntry on which nothing was received, the oldest first
}

// connEntry is a connection in a Conns.
type connEntry struct {
	conn      net.Conn
	admission Admission
	since     basilmoor.Millis // when it was accepted, or became idle
	list      *list.List       // that holds the connection; nil while it has a request
	element   *list.Element
}

// NewConns returns an empty set of connections of which limit, at least one, are
// served at the same time.
func NewConns(limit int) *Conns {
	limit = max(limit, 1)
	return &Conns{
		limit:     limit,
		maxExcess: maxExcess(limit),
		conns:     map[net.Conn]*connEntry{},
		idle:      list.New(),
		silent:    list.New(),
	}
}

func maxExcess(limit int) int {
	return limit/connsPerExcess + 1
}

// Add adds an accepted connection. The caller must close evict, unless it is nil. If
// added is false, there is no room, and the caller must close c.
func (s *Conns) Add(c net.Conn, now basilmoor.Millis) (evict net.Conn, added bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isFull() {
		evict = s.evict(now - NewConnTime)
	}
	if s.isFull() && s.excess >= s.maxExcess {
		evict = s.evict(now)
	}
	switch {
	case !s.isFull():
		s.insert(c, Admitted, now)
	case s.excess < s.maxExcess:
		s.insert(c, Excess, now)
	default:
		return nil, false
	}
	return evict, true
}

// isFull reports whether as many connections are served as the limit allows. s.mu is
// held.
func (s *Conns) isFull() bool {
	return s.open-s.excess >= s.limit
}

// insert adds a connection on which nothing was received. s.mu is held.
func (s *Conns) insert(c net.Conn, admission Admission, now basilmoor.Millis) *connEntry {
	e := &connEntry{
		conn:      c,
		admission: admission,
		since:     now,
	}
	s.conns[c] = e
	s.open++
	if admission == Excess {
		s.excess++
	}
	s.push(s.silent, e)
	return e
}

// evict chooses an idle connection, or else one that was accepted at acceptedBy or
// before and on which nothing was received, and marks it as closed. It returns nil if
// there is none. s.mu is held.
func (s *Conns) evict(acceptedBy basilmoor.Millis) net.Conn {
	e := first(s.idle)
	if e == nil {
		e = first(s.silent)
		if e == nil || e.since > acceptedBy {
			return nil
		}
	}
	s.release(e)
	e.admission = Closed
	return e.conn
}

// first returns the first connection of a list, or nil if it is empty.
func first(l *list.List) *connEntry {
	front := l.Front()
	if front == nil {
		return nil
	}
	return front.Value.(*connEntry)
}

// SetState records a change of the HTTP server's state of a connection.
func (s *Conns) SetState(c net.Conn, state http.ConnState, now basilmoor.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.conns[c]
	switch {
	case state == http.StateClosed || state == http.StateHijacked:
		if known {
			s.release(e)
			delete(s.conns, c)
		}
		return
	case !known:
		e = s.insert(c, Admitted, now)
	}
	if e.admission == Closed || state == http.StateNew {
		return
	}
	s.unlist(e)
	if state == http.StateIdle {
		e.since = now
		s.push(s.idle, e)
	}
}

// Admission returns what may be done with a request that was read on a connection.
func (s *Conns) Admission(c net.Conn) Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, known := s.conns[c]; known {
		return e.admission
	}
	return Admitted
}

// Counts returns the number of open connections, and of those that may have a request
// without a response: those that were just accepted and those whose request is being
// read or served. It returns zeros if s is nil.
func (s *Conns) Counts(now basilmoor.Millis) (open, busy int) {
	if s == nil {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	busy = s.open - s.idle.Len() - s.silent.Len()
	for element := s.silent.Back(); element != nil; element = element.Prev() {
		if now-element.Value.(*connEntry).since >= NewConnTime {
			break
		}
		busy++
	}
	return s.open, busy
}

// release stops counting a connection that is being closed. s.mu is held.
func (s *Conns) release(e *connEntry) {
	if e.admission == Closed {
		return
	}
	s.unlist(e)
	s.open--
	if e.admission == Excess {
		s.excess--
	}
}

// push appends e to a list. s.mu is held.
func (s *Conns) push(l *list.List, e *connEntry) {
	e.list = l
	e.element = l.PushBack(e)
}

// unlist removes e from its list, if any. s.mu is held.
func (s *Conns) unlist(e *connEntry) {
	if e.list != nil {
		e.list.Remove(e.element)
		e.list = nil
	}
}
