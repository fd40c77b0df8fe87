package basilmoor

import (
	"context"
	"errors"
)

// Entry is one key of the platform's key-value service, with its value and
// versions.
type Entry struct {
	Key   string
	Value []byte

	// Version counts the writes to this key, from 1. 0 means that the key
	// does not exist.
	Version int64

	// Revision counts the writes to the whole key-value service.
	Revision int64
}

// Event is a write or deletion of a watched key.
type Event struct {
	Entry   Entry
	Deleted bool
}

// MaxValueBytes is the maximum value size that the platform's key-value service
// accepts.
const MaxValueBytes = 1 << 20

// Overwrite writes value regardless of the key's current version. version is
// the version the caller expects; if it differs, Overwrite retries once with
// the current one.
func Overwrite(ctx context.Context, s Store, key string, version int64, value []byte, lease string) (Entry, error) {
	entry, err := s.CompareAndSwap(ctx, key, version, value, lease)
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return entry, err
	}
	return s.CompareAndSwap(ctx, key, conflict.Current.Version, value, lease)
}

// Store is a client of the platform's key-value service. Calls return an
// *UnavailableError if the service did not answer; a write may or may not have
// taken effect then.
type Store interface {
	// Get returns the entry of key, or a *NotFoundError.
	Get(ctx context.Context, key string) (Entry, error)

	// List returns the entries whose key starts with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Entry, error)

	// CompareAndSwap writes value if the key's version equals version, where 0
	// means that the key does not exist. Otherwise the error is a
	// *ConflictError. If lease is not empty, the key is attached to that
	// lease.
	CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease string) (Entry, error)

	// Delete removes the key if its version equals version.
	Delete(ctx context.Context, key string, version int64) error

	// Watch waits up to wait milliseconds for changes of keys with the given
	// prefix after the given revision. It returns the events and the revision
	// to continue from, or a *CompactedError if that history has been
	// compacted.
	Watch(ctx context.Context, prefix string, revision int64, wait Millis) ([]Event, int64, error)

	// GrantLease creates a lease that expires ttl milliseconds after its last
	// renewal.
	GrantLease(ctx context.Context, ttl Millis) (string, error)

	// RenewLease renews a lease, or returns a *NotFoundError if it has expired.
	RenewLease(ctx context.Context, lease string) error

	// RevokeLease revokes a lease and deletes the keys attached to it.
	RevokeLease(ctx context.Context, lease string) error
}
