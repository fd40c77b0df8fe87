package basilmoor

import "fmt"

// RefusalError is returned for a request that was refused and not dispatched.
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

// NotFoundError is returned if a key or lease does not exist in the store.
type NotFoundError struct {
	Key string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("store: %s not found", e.Key)
}

// ConflictError is returned if a key's version is not the expected one.
type ConflictError struct {
	Key  string
	Want int64 // version that the caller expected

	// Current is the stored entry; its value may be omitted.
	Current Entry
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %s has version %d, want %d", e.Key, e.Current.Version, e.Want)
}

// CompactedError is returned for a watch that starts before the oldest retained
// revision.
type CompactedError struct {
	Revision int64 // oldest revision that can still be watched
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: history before revision %d is compacted", e.Revision)
}

// UnavailableError is returned if a service did not answer. A write may or may
// not have taken effect.
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
