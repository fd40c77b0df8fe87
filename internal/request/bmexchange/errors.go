package bmexchange

import (
	"fmt"
	"net/http"

	"basilmoor.example/basilmoor"
)

// UnsentError means that no part of a request was sent to a target.
type UnsentError struct {
	Target string
	Err    error
}

func (e *UnsentError) Error() string {
	return fmt.Sprintf("request not sent to target %s: %v", e.Target, e.Err)
}

// Unwrap returns the underlying error.
func (e *UnsentError) Unwrap() error {
	return e.Err
}

// RefusedError means that a target did not run a request and won't.
type RefusedError struct {
	Target string
	Status int
	Header http.Header
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("target %s refused the request with status %d", e.Target, e.Status)
}

// TooLongError means that a target sent more bytes than a response may have, such
// as headers without an end.
type TooLongError struct{}

func (e *TooLongError) Error() string {
	return "the target sent more bytes than allowed"
}

// EarlyEndError means that a target ended a response that has no marked end, and did not
// receive the whole request: what came of the response may be a part.
type EarlyEndError struct {
	NotReceived int   // bytes of the request
	Err         error // of the connection; nil if it was not reset
}

func (e *EarlyEndError) Error() string {
	return fmt.Sprintf("the target ended the response before it had %d bytes of the request: %v", e.NotReceived, e.Err)
}

// Unwrap returns the error of the connection.
func (e *EarlyEndError) Unwrap() error {
	return e.Err
}

// UnsignedError means that a target reported success without its signature. The
// response may be that of another process, and must not be taken for a success.
type UnsignedError struct{}

func (e *UnsignedError) Error() string {
	return "the response reports success without the target's signature"
}

// BrokenError means that a request was sent, at least in part, and that its
// response is missing or truncated. The target may have run it.
type BrokenError struct {
	Target string
	Err    error
	// ContextDone is true if the request's context ended before the target had
	// sent the whole response or closed the connection.
	ContextDone bool
	// Elapsed is the time from the send to the failure.
	Elapsed basilmoor.Millis
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("connection to target %s broke after %d ms: %v", e.Target, e.Elapsed, e.Err)
}

// Unwrap returns the underlying error.
func (e *BrokenError) Unwrap() error {
	return e.Err
}
