package bmentry

import (
	"net/http"

	"basilmoor.example/basilmoor"
)

// Attempt is what a caller's request says about itself.
type Attempt struct {
	ID string
	// TimeLimit is how long the caller waits; 0 if it does not tell.
	TimeLimit basilmoor.Millis
	// Key is the caller's key, empty if it sent none.
	Key string

	Model          string
	PromptTokens   int
	OutputTokens   int // bound, not an estimate
	ExpectedTokens int // estimate of the output; 0 if not told
	DeclaresTokens bool
	// LastEvent is the id after which the caller wants a stream to go on,
	// empty for all of it.
	LastEvent string
}

// Onward is what the system adds to a request that it sends to a target.
type Onward struct {
	Remaining basilmoor.Millis // until the caller's time limit
	Target    string
	Workspace string // empty on public routes without a key
	LastEvent string
}

// Protocol translates between the callers' and targets' headers and this
// package. It decides nothing.
type Protocol interface {
	// Decode reads the headers of a caller's request. The error tells what is
	// malformed.
	Decode(h http.Header) (Attempt, error)

	// Onward returns the headers of the request as a target gets them. It
	// does not change h.
	Onward(h http.Header, o Onward) http.Header

	// Answer returns the headers of a target's response as a caller gets
	// them. It does not change h.
	Answer(h http.Header) http.Header

	// SetRetryAfter tells a caller when to come back.
	SetRetryAfter(h http.Header, after basilmoor.Millis)
}
