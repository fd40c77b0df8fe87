// Package bmrequest implements the state machine of a request on the host that
// received it from the caller.
//
// Invariants: the bytes of a request are written to at most one connection; a
// request is not dispatched again once its first byte was written; Outcome
// reports only what is certain in the current state.
package bmrequest

import (
	"fmt"
	"sync"

	"basilmoor.example/basilmoor"
)

// State is a state in the lifecycle of a request.
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

// Final reports whether s is terminal.
func (s State) Final() bool {
	switch s {
	case Done, NotRun, Unknown, Incomplete:
		return true
	}
	return false
}

// TransitionError reports a transition that the request's state does not allow.
type TransitionError struct {
	Request    basilmoor.RequestID
	Transition string
	State      State
	BytesSent  bool // a byte was written to a connection, or a write is in progress
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("request %s: %s is illegal in state %s (handed over: %t)", e.Request, e.Transition, e.State, e.BytesSent)
}

// Request tracks the state of one request. It is safe for concurrent use: the
// goroutine that writes to the connection runs concurrently with the one that
// handles the request.
type Request struct {
	id basilmoor.RequestID

	mu          sync.Mutex
	state       State
	reason      basilmoor.Reason
	target      string
	attempt     int
	writing     bool // a write is in progress and may have sent bytes
	byteWritten bool // a byte was written to a connection
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

// Reason returns why the request ended without a complete response, or "" if it
// has not ended or the response was complete.
func (r *Request) Reason() basilmoor.Reason {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reason
}

// Target returns the name of the target of the latest grant.
func (r *Request) Target() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// BytesSent reports whether a byte of the request was written to a connection
// or a write is in progress.
func (r *Request) BytesSent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mayHaveSent()
}

// Outcome returns the outcome that would be reported if the request ended now.
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
		if r.mayHaveSent() {
			return basilmoor.OutcomeUnknown
		}
	}
	return basilmoor.OutcomeNotRun
}

// Wait starts waiting for a grant. It is allowed again after an attempt that
// wrote no byte to a connection.
func (r *Request) Wait() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.state {
	case Received, Granted:
	case Dispatching:
		if r.mayHaveSent() {
			return r.transitionError("wait")
		}
	default:
		return r.transitionError("wait")
	}
	r.state = Waiting
	return nil
}

// Grant records the target to which the request may be dispatched.
func (r *Request) Grant(target string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Waiting {
		return r.transitionError("grant")
	}
	r.state = Granted
	r.target = target
	return nil
}

// Dispatch starts an attempt and returns its number, which the goroutine that
// writes to the connection passes to BeginWrite.
func (r *Request) Dispatch() (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Granted {
		return 0, r.transitionError("dispatch")
	}
	r.state = Dispatching
	r.attempt++
	return r.attempt, nil
}

// BeginWrite must succeed before each write to a connection. It fails when the
// attempt has ended, so that a late writer can't send a request that was
// already reported as not run or dispatched to another target.
func (r *Request) BeginWrite(attempt int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt != r.attempt || (r.state != Dispatching && r.state != Streaming) {
		return r.transitionError("write")
	}
	r.writing = true
	return nil
}

// EndWrite ends a write that sent n bytes. While no byte was sent, the request
// can still be dispatched again.
func (r *Request) EndWrite(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = false
	r.byteWritten = r.byteWritten || n > 0
}

// Respond records the arrival of the response's first byte.
func (r *Request) Respond() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Dispatching || !r.mayHaveSent() {
		return r.transitionError("respond")
	}
	r.state = Streaming
	return nil
}

// Complete records the arrival of the complete response.
func (r *Request) Complete() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != Streaming {
		return r.transitionError("complete")
	}
	r.state = Done
	return nil
}

// Refuse ends a request of which no byte was written to a connection.
func (r *Request) Refuse(reason basilmoor.Reason) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.state {
	case Received, Waiting, Granted:
	case Dispatching:
		if r.mayHaveSent() {
			return r.transitionError("refuse")
		}
	default:
		return r.transitionError("refuse")
	}
	r.state = NotRun
	r.reason = reason
	return nil
}

// TargetRefused ends a request that the target explicitly reported as not run.
// The request is not dispatched to another target.
func (r *Request) TargetRefused() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.mayHaveSent() || (r.state != Dispatching && r.state != Streaming) {
		return r.transitionError("target-refused")
	}
	r.state = NotRun
	r.reason = basilmoor.ReasonTargetRefused
	return nil
}

// Fail ends a request whose connection failed after its first byte was
// written. The new state is Unknown if no byte of the response arrived, else
// Incomplete.
func (r *Request) Fail(reason basilmoor.Reason) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.state == Dispatching && r.mayHaveSent():
		r.state = Unknown
	case r.state == Streaming:
		r.state = Incomplete
	default:
		return r.transitionError("break")
	}
	r.reason = reason
	return nil
}

// mayHaveSent reports whether a byte of the request was or may have been
// written to a connection.
func (r *Request) mayHaveSent() bool {
	return r.byteWritten || r.writing
}

func (r *Request) transitionError(transition string) error {
	return &TransitionError{
		Request:    r.id,
		Transition: transition,
		State:      r.state,
		BytesSent:  r.mayHaveSent(),
	}
}
