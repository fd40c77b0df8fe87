package basilmoor

import "context"

// ClaimState is the state of an idempotency key.
type ClaimState string

// Claim states.
const (
	// ClaimGranted means that the caller of Claim now holds the claim and may
	// dispatch the request once.
	ClaimGranted ClaimState = "granted"
	// ClaimRunning means that another request holds the claim.
	ClaimRunning ClaimState = "running"
	// ClaimDone means that the response is recorded.
	ClaimDone ClaimState = "done"
	// ClaimUnknown means that the holder may have dispatched the request, but
	// its outcome can no longer be determined.
	ClaimUnknown ClaimState = "unknown"
	// ClaimReleased means that the holder did not run the request; another
	// request may claim the key.
	ClaimReleased ClaimState = "released"
	// ClaimMismatch means that the key was already used with a different body.
	ClaimMismatch ClaimState = "mismatch"
)

// ClaimRequest asks for the exclusive right to run a non-idempotent request.
type ClaimRequest struct {
	Workspace  string
	Key        string
	BodyDigest [32]byte // SHA-256 of method, path and body
	Host       string   // host handling the request
	Request    RequestID
}

// Answer is the recorded response of a request, for replay to later requests
// with the same key.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Claim is the result of a ClaimRequest: the state of its key.
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
	// The error is an *UnavailableError if the store or the host that owns
	// the key did not answer; the claim may then exist, and a retry with the
	// same Request determines its state.
	Claim(ctx context.Context, r ClaimRequest) (Claim, error)

	// Record makes the final state of a granted claim durable.
	Record(ctx context.Context, r ClaimRecord) error
}

// ClaimSegment is a part of the log of a slot of claims, as it is stored.
type ClaimSegment struct {
	Slot     int
	Sequence int64 // its place in the log, from 1
	Value    []byte
}

// ClaimPeer is another host's committer of claims. It remembers claims in case the
// store comes back from a copy that lacks them. The error of its methods is an
// *UnavailableError if the host did not answer.
type ClaimPeer interface {
	// RememberClaims tells the host of claims that are durable in the store.
	RememberClaims(ctx context.Context, s ClaimSegment) error

	// VerifyClaims makes the host write the claims of a slot again that it remembers
	// and the store has lost. end is the last batch of the slot's log as the caller
	// has read it.
	VerifyClaims(ctx context.Context, slot int, end string) (ClaimVerification, error)
}

// ClaimVerification is the result of comparing what a host remembers of a slot with the
// slot's log.
type ClaimVerification struct {
	Complete bool  // the log has all claims that the host remembers
	Last     int64 // highest sequence number that the host knows of, 0 if none
}
