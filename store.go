package basilmoor

import (
	"context"
	"errors"
)

// Entry is one key of the platform's key-value service.
type Entry struct {
	Key   string
	Value []byte

	// Version counts the writes of this key, from 1. 0 stands for a key that
	// does not exist.
	Version int64

	// Revision counts the writes of the whole service.
	Revision int64
}

// Event is one change of a watched key.
type Event struct {
	Entry   Entry
	Deleted bool
}

// MaxValueBytes is the largest value that the platform's service accepts.
const MaxValueBytes = 1 << 20

// Overwrite writes value over whatever the key holds. version is the one that
// the caller believes it to have; another one costs a second call.
func Overwrite(ctx context.Context, s Store, key string, version int64, value []byte, lease string) (Entry, error) {
	entry, err := s.CompareAndSwap(ctx, key, version, value, lease)
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return entry, err
	}
	return s.CompareAndSwap(ctx, key, conflict.Current.Version, value, lease)
}

// Store is the platform's key-value service. Calls return an
// *UnavailableError when the service did not answer; the effect of a write is
// then unknown.
type Store interface {
	// Get returns the entry of key, or a *NotFoundError.
	Get(ctx context.Context, key string) (Entry, error)

	// List returns the entries whose key starts with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)

	// CompareAndSwap writes value if the key's version is still version, 0
	// standing for a key that does not exist. Otherwise the error is a
	// *ConflictError. A non-empty lease ties the key to that lease.
	CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease string) (Entry, error)

	// Delete removes the key if its version is still version.
	Delete(ctx context.Context, key string, version int64) error

	// Watch waits up to wait milliseconds for changes below prefix after the
	// given revision. It returns the events and the revision to go on from,
	// or a *CompactedError when the history no longer reaches back so far.
	Watch(ctx context.Context, prefix string, revision int64, wait Millis) ([]Event, int64, error)

	// GrantLease makes a lease that lapses ttl milliseconds after its last
	// renewal.
	GrantLease(ctx context.Context, ttl Millis) (string, error)

	// RenewLease renews a lease, or returns a *NotFoundError if it lapsed.
	RenewLease(ctx context.Context, lease string) error

	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, lease string) error
}
