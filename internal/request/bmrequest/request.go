// Package bmrequest holds the aggregate of one request on its entry host.
//
// Invariants: a request is handed to at most one connection, there is no way
// back once its first byte is handed over, and Outcome never claims more than
// what is known in the current state.
package bmrequest

import (
	"fmt"
	"sync"

	"basilmoor.example/basilmoor"
)

// State is a step in the life of a request.
type State string

// States of a request. The last four are final.
const (
	Received    State = "received"
	Waiting     State = "waiting"
	Granted     State = "granted"
	Dispatching State = "dispatching"
	Streaming   State = "streaming"
	Done        State = "done"
	NotRun      State = "not-run"
	Unknown     State = "unknown"
	Incomplete  State = "incomplete"
)

// Final reports whether no transition leaves s.
func (s State) Final() bool {
	switch s {
	case Done, NotRun, Unknown, Incomplete:
		return true
	}
	return false
}

// TransitionError tells that a transition is illegal in the request's state.
type TransitionError struct {
	Request    basilmoor.RequestID
	Transition string
	State      State
	Handed     bool // the first byte was handed to a connection
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("request %s: %s is illegal in state %s (handed over: %t)", e.Request, e.Transition, e.State, e.Handed)
}

// Request is the aggregate. It is safe for concurrent use, because the
// connection's writer runs beside the holder of the request.
type Request struct {
	id basilmoor.RequestID

	mu      sync.Mutex
	state   State
	reason  basilmoor.Reason
	target  string
	attempt int
	writing bool // a first write is in progress and may hand over bytes
	handed  bool
}

// New returns a request in state Received.
func New(id basilmoor.RequestID) *Request {
	return &Request{
		id:    id,
		state: Received,
	}
}

// ID returns the request's identifier.
func (r *Request) ID() basilmoor.RequestID {
	return r.id
}

// State returns the current state.
func (r *Request) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Reason returns why the request ended; empty after a complete response.
func (r *Request) Reason() basilmoor.Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reason
}

// Target names the target of the current or last grant.
func (r *Request) Target() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// HandedOver reports whether a byte was, or is just being, handed to a
// connection.
func (r *Request) HandedOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.committed()
}

// Outcome returns what is true if the request ended now.
func (r *Request) Outcome() basilmoor.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.state {
	case Done:
		return basilmoor.OutcomeDone
	case Unknown:
		return basilmoor.OutcomeUnknown
	case Streaming, Incomplete:
		return basilmoor.OutcomeIncomplete
	case Dispatching:
		if r.committed() {
			return basilmoor.OutcomeUnknown
		}
	}
	return basilmoor.OutcomeNotRun
}

// Wait starts the wait for a grant, also after an attempt that handed no byte
// to a connection.
func (r *Request) Wait() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.state {
	case Received, Granted:
	case Dispatching:
		if r.committed() {
			return r.illegal("wait")
		}
	default:
		return r.illegal("wait")
	}
	r.state = Waiting
	return nil
}

// Grant records the target that the request may be dispatched to.
func (r *Request) Grant(target string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Waiting {
		return r.illegal("grant")
	}
	r.state = Granted
	r.target = target
	return nil
}

// Dispatch starts an attempt and returns its number, which the connection's
// writer presents to BeginWrite.
func (r *Request) Dispatch() (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Granted {
		return 0, r.illegal("dispatch")
	}
	r.state = Dispatching
	r.attempt++
	return r.attempt, nil
}

// BeginWrite asks for permission to write to a connection. It fails when the
// attempt is over, so that a late writer can't send a request that was
// reported as not run or given to another target.
func (r *Request) BeginWrite(attempt int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt != r.attempt || (r.state != Dispatching && r.state != Streaming) {
		return r.illegal("write")
	}
	r.writing = true
	return nil
}

// EndWrite reports how many bytes the write handed over. A write that handed
// over none leaves the request free for another attempt.
func (r *Request) EndWrite(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = false
	r.handed = r.handed || n > 0
}

// Respond records the first byte of the response.
func (r *Request) Respond() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Dispatching || !r.committed() {
		return r.illegal("respond")
	}
	r.state = Streaming
	return nil
}

// Complete records that the whole response arrived.
func (r *Request) Complete() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Streaming {
		return r.illegal("complete")
	}
	r.state = Done
	return nil
}

// Refuse ends a request of which no byte was handed over.
func (r *Request) Refuse(reason basilmoor.Reason) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.state {
	case Received, Waiting, Granted:
	case Dispatching:
		if r.committed() {
			return r.illegal("refuse")
		}
	default:
		return r.illegal("refuse")
	}
	r.state = NotRun
	r.reason = reason
	return nil
}

// TargetRefused records the target's explicit statement that it did not run
// the request. The request still ends: it is not sent to a second target.
func (r *Request) TargetRefused() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.committed() || (r.state != Dispatching && r.state != Streaming) {
		return r.illegal("target-refused")
	}
	r.state = NotRun
	r.reason = basilmoor.ReasonTargetRefused
	return nil
}

// Break ends a request whose connection was lost after the first byte was
// handed over: unknown before the first byte of the response, else incomplete.
func (r *Request) Break(reason basilmoor.Reason) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.state == Dispatching && r.committed():
		r.state = Unknown
	case r.state == Streaming:
		r.state = Incomplete
	default:
		return r.illegal("break")
	}
	r.reason = reason
	return nil
}

func (r *Request) committed() bool {
	return r.handed || r.writing
}

func (r *Request) illegal(transition string) error {
	return &TransitionError{
		Request:    r.id,
		Transition: transition,
		State:      r.state,
		Handed:     r.committed(),
	}
}
