package basilmoor

import "context"

// ClaimState is the state of an idempotency claim.
type ClaimState string

// States of a claim.
const (
	// ClaimGranted tells the caller of Claim that it now holds the claim and
	// may dispatch the request once.
	ClaimGranted ClaimState = "granted"
	// ClaimRunning means that another request holds the claim.
	ClaimRunning ClaimState = "running"
	// ClaimDone means that the response is recorded.
	ClaimDone ClaimState = "done"
	// ClaimUnknown means that the holder may have dispatched the request and
	// can't tell its outcome any more.
	ClaimUnknown ClaimState = "unknown"
	// ClaimReleased means that the holder did not run the request, so that
	// the next request may claim the key again.
	ClaimReleased ClaimState = "released"
	// ClaimMismatch means that the key was used with another body.
	ClaimMismatch ClaimState = "mismatch"
)

// ClaimRequest asks for the right to run a non-idempotent request.
type ClaimRequest struct {
	Workspace  string
	Key        string
	BodyDigest [32]byte // SHA-256 of method, path and body
	Host       string   // host that holds the request
	Request    RequestID
}

// Answer is a recorded response.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Claim is the state of a key as a ClaimRequest found it.
type Claim struct {
	State   ClaimState
	Holder  string
	Request RequestID // request that holds the claim
	Answer  *Answer   // set when State is ClaimDone and the response was small enough to record
}

// ClaimRecord sets the final state of a claim: ClaimDone, ClaimUnknown or
// ClaimReleased.
type ClaimRecord struct {
	Workspace string
	Key       string
	Request   RequestID
	State     ClaimState
	Answer    *Answer
}

// Claimer commits idempotency claims durably.
type Claimer interface {
	// Claim returns ClaimGranted only after the claim is durable in the store.
	// The error is an *UnavailableError when the store or the owner did not
	// answer; the claim may then exist, and a retry with the same Request
	// settles it.
	Claim(ctx context.Context, r ClaimRequest) (Claim, error)

	// Record makes the final state of a granted claim durable.
	Record(ctx context.Context, r ClaimRecord) error
}
