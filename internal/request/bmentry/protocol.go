package bmentry

import (
	"net/http"

	"basilmoor.example/basilmoor"
)

// RequestInfo holds what the headers of a caller's request declare.
type RequestInfo struct {
	ID string
	// TimeLimit is how long the caller waits; 0 if not declared.
	TimeLimit basilmoor.Millis
	// Key is the caller's API key; empty if it sent none.
	Key string

	Model          string
	PromptTokens   int
	OutputTokens   int // upper bound on the output
	ExpectedTokens int // estimate of the output; 0 if not declared
	DeclaresTokens bool
	// LastEventID is the id of the event after which the stream resumes; empty
	// to start at the beginning.
	LastEventID string

	// SharedParts are the ids of the parts of the prompt that other requests may
	// share, in order; the last part is the request's own and not among them.
	SharedParts []string
}

// ForwardInfo holds what is added to the headers of a request forwarded to a
// target.
type ForwardInfo struct {
	Remaining   basilmoor.Millis // until the request's deadline
	Target      string
	Workspace   string // empty on public routes without a key
	LastEventID string
}

// Protocol converts between HTTP headers and the types of this package. It
// makes no decisions about requests.
type Protocol interface {
	// Decode parses the headers of a caller's request. The error describes
	// what is malformed.
	Decode(h http.Header) (RequestInfo, error)

	// RequestHeader returns the headers to send to a target, given the caller's
	// headers h, which it does not modify.
	RequestHeader(h http.Header, info ForwardInfo) http.Header

	// ResponseHeader returns the headers to send to a caller, given the headers
	// h of the target's response, which it does not modify.
	ResponseHeader(h http.Header) http.Header

	// SetRetryAfter sets the headers that tell a caller when to retry.
	SetRetryAfter(h http.Header, after basilmoor.Millis)
}
