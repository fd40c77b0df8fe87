package basilmoor

import "fmt"

// RefusalError tells that a request was not dispatched.
type RefusalError struct {
	Refusal Refusal
	Detail  string
}

func (e *RefusalError) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("request refused: %s", e.Refusal.Reason)
	}
	return fmt.Sprintf("request refused: %s: %s", e.Refusal.Reason, e.Detail)
}

// NotFoundError tells that a key or lease does not exist in the store.
type NotFoundError struct {
	Key string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("store: %s not found", e.Key)
}

// ConflictError tells that a key had another version than expected.
type ConflictError struct {
	Key  string
	Want int64 // version that the caller expected

	// Current is the entry that was found; its value may be empty.
	Current Entry
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %s has version %d, want %d", e.Key, e.Current.Version, e.Want)
}

// CompactedError tells that a watch asked for history that is gone.
type CompactedError struct {
	Revision int64 // oldest revision that can still be watched
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: history before revision %d is compacted", e.Revision)
}

// UnavailableError tells that a service did not answer. Whether a write took
// effect is unknown.
type UnavailableError struct {
	Operation string
	Err       error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: service unavailable: %v", e.Operation, e.Err)
}

// Unwrap returns the underlying error.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}
