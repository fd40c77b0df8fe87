package bmexchange

import (
	"fmt"
	"net/http"

	"basilmoor.example/basilmoor"
)

// UnsentError tells that nothing of a request was sent to a target.
type UnsentError struct {
	Target string
	Err    error
}

func (e *UnsentError) Error() string {
	return fmt.Sprintf("target %s not reached: %v", e.Target, e.Err)
}

// Unwrap returns the underlying error.
func (e *UnsentError) Unwrap() error {
	return e.Err
}

// RefusedError tells that a target did not run a request and won't.
type RefusedError struct {
	Target string
	Status int
	Header http.Header
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("target %s refused the request with status %d", e.Target, e.Status)
}

// BrokenError tells that a request was sent, at least in part, and that its
// response did not come or broke off. It may have run.
type BrokenError struct {
	Target string
	Err    error
	// Silent means that the target closed nothing: the time ran out.
	Silent bool
	// After is the time from the send to the break.
	After basilmoor.Millis
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("target %s broke off after %d ms: %v", e.Target, e.After, e.Err)
}

// Unwrap returns the underlying error.
func (e *BrokenError) Unwrap() error {
	return e.Err
}
