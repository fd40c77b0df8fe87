package bmcatalog

import (
	"context"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// maxLoadAttempts limits how often Load reads the head again because a part that
// it lists was not found. A part is deleted only once a later head no longer
// lists it, so the next attempt reads a head that lists other parts.
const maxLoadAttempts = 3

// Load reads the configuration from the store, except for parts that s already
// holds. It returns the store entry of the head and the snapshot. If there is no
// configuration yet, the entry's version is 0 and the snapshot is nil.
func (s *Snapshot) Load(ctx context.Context, store basilmoor.Store) (basilmoor.Entry, *Snapshot, error) {
	var missing *basilmoor.NotFoundError
	var err error
	for range maxLoadAttempts {
		var entry basilmoor.Entry
		var next *Snapshot
		entry, next, err = s.loadOnce(ctx, store)
		if err == nil {
			return entry, next, nil
		}
		if !errors.As(err, &missing) {
			break
		}
	}
	return basilmoor.Entry{}, nil, err
}

// loadOnce makes one attempt of Load.
func (s *Snapshot) loadOnce(ctx context.Context, store basilmoor.Store) (basilmoor.Entry, *Snapshot, error) {
	entry, err := store.Get(ctx, HeadKey)
	var missing *basilmoor.NotFoundError
	if errors.As(err, &missing) {
		return basilmoor.Entry{}, nil, nil
	}
	if err != nil {
		return basilmoor.Entry{}, nil, errors.Wrap(err, "read head")
	}
	h, err := DecodeHead(entry.Value)
	if err != nil {
		return basilmoor.Entry{}, nil, err
	}
	values := make(map[string][]byte)
	for _, r := range s.MissingParts(h) {
		part, err := store.Get(ctx, PartKey(r.Digest))
		if err != nil {
			return basilmoor.Entry{}, nil, errors.Wrapf(err, "read part %s", r.Name)
		}
		values[r.Digest] = part.Value
	}
	next, err := s.Decode(entry.Value, values)
	return entry, next, err
}
