package bmacceptance

import (
	"context"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

// LineageError reports that the store's head is not an ancestor of the version to
// be restored.
type LineageError struct {
	Stored   bmcatalog.NoteRef
	Snapshot bmcatalog.NoteRef
}

func (e *LineageError) Error() string {
	return "the store holds a version that is not an ancestor of the one to restore: note " +
		e.Stored.ID + " instead of an ancestor of note " + e.Snapshot.ID
}

// Restore writes the version that this host holds to a store that was reset to an
// older version by a backup. It writes the parts and then the head, and only if
// the store's head is an ancestor of that version. It does nothing if the store
// already holds the version or a descendant of it.
func (a *Acceptor) Restore(ctx context.Context, s *bmcatalog.Snapshot) error {
	latest, err := a.latestVersion()
	if err != nil {
		return err
	}
	if latest > s.Version() {
		return errors.Errorf("restore: version %d was accepted, this host holds version %d", latest, s.Version())
	}
	// Read only the head, because the store's parts may be damaged or missing.
	entry, head, err := a.readHead(ctx)
	if err != nil {
		return err
	}
	h := s.Head()
	sameVersion := head.Version == h.Version && head.Note() != h.Note()
	if sameVersion || h.ConflictsWith(head) || head.ConflictsWith(h) {
		return &LineageError{
			Stored:   head.Note(),
			Snapshot: h.Note(),
		}
	}
	if head.Version >= h.Version {
		return nil
	}
	if err := a.writeParts(ctx, nil, s); err != nil {
		return err
	}
	if err := a.writeLostRecords(ctx, head, h); err != nil {
		return err
	}
	_, err = a.store.CompareAndSwap(ctx, bmcatalog.HeadKey, entry.Version, s.HeadValue(), "")
	if err != nil {
		return errors.Wrap(err, "restore head")
	}
	return a.writeHeadRecord(ctx, s)
}

// writeLostRecords writes audit records for the versions that the store lost, as
// far as the head still describes them. Their authors, times and note texts
// can't be recovered.
func (a *Acceptor) writeLostRecords(ctx context.Context, stored, h bmcatalog.Head) error {
	refs, _ := h.NotesAfter(stored.Version)
	for _, ref := range refs {
		if ref.Version == h.Version {
			continue
		}
		err := a.writeAuditRecord(ctx, Record{
			Version:    ref.Version,
			Note:       ref.ID,
			NoteDigest: ref.Digest,
			AcceptedBy: unknownAuthor,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// unknownAuthor is the author in audit records restored from a head.
const unknownAuthor = "(lost by the store)"

func (a *Acceptor) readHead(ctx context.Context) (basilmoor.Entry, bmcatalog.Head, error) {
	var entry basilmoor.Entry
	err := retryUnavailable(ctx, func() error {
		var err error
		entry, err = a.store.Get(ctx, bmcatalog.HeadKey)
		return err
	})
	var missing *basilmoor.NotFoundError
	if errors.As(err, &missing) {
		return basilmoor.Entry{}, bmcatalog.Head{}, nil
	}
	if err != nil {
		return basilmoor.Entry{}, bmcatalog.Head{}, errors.Wrap(err, "read head")
	}
	head, err := bmcatalog.DecodeHead(entry.Value)
	return entry, head, err
}
