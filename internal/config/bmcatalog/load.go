package bmcatalog

import (
	"context"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// maxLoadTries bounds the reads of a head whose parts vanish. A part is
// deleted only when a later head no longer lists it, so that the next head
// read lists others.
const maxLoadTries = 3

// Load reads the configuration from the store. Parts that s holds are not
// read again. The entry is that of the head; its version is 0 and the snapshot
// is nil if there is none yet.
func (s *Snapshot) Load(ctx context.Context, store basilmoor.Store) (basilmoor.Entry, *Snapshot, error) {
	var missing *basilmoor.NotFoundError
	var err error
	for range maxLoadTries {
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
	for _, r := range s.Missing(h) {
		part, err := store.Get(ctx, PartKey(r.Digest))
		if err != nil {
			return basilmoor.Entry{}, nil, errors.Wrapf(err, "read part %s", r.Name)
		}
		values[r.Digest] = part.Value
	}
	next, err := s.Decode(entry.Value, values)
	return entry, next, err
}
