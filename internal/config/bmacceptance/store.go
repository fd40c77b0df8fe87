package bmacceptance

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
	"basilmoor.example/basilmoor/internal/config/bmnote"
)

// noteRecordPrefix is the key prefix of audit records by note id. The records
// below bmcatalog.AuditKeyPrefix are by version.
const noteRecordPrefix = "config/audit-by-note/"

// partRetentionVersions is the number of versions for which a part is kept after
// the head no longer lists it, so that hosts that read an older head still find
// it.
const partRetentionVersions = bmcatalog.MaxPreviousNotes

// Record is the audit record of a version: which note was accepted, by whom and
// when. The note's text is stored below bmcatalog.NoteKeyPrefix by its digest.
type Record struct {
	Version      int64    `json:"version"`
	Note         string   `json:"note"`
	NoteDigest   string   `json:"note-digest"`
	AcceptedBy   string   `json:"accepted-by"`
	AcceptedAt   string   `json:"accepted-at"`
	DroppedParts []string `json:"dropped-parts,omitempty"`
}

func (r Record) noteRef() bmcatalog.NoteRef {
	return bmcatalog.NoteRef{
		ID:      r.Note,
		Version: r.Version,
		Digest:  r.NoteDigest,
	}
}

// AuditKey returns the key of the audit record of a version. The version is
// zero-padded, so that keys sort by version.
func AuditKey(version int64) string {
	return fmt.Sprintf("%s%012d", bmcatalog.AuditKeyPrefix, version)
}

func noteKey(digest string) string { return bmcatalog.NoteKeyPrefix + digest }

// createOnce writes a key unless it exists. The key must determine the value, so
// that an existing key already has the same value.
func (a *Acceptor) createOnce(ctx context.Context, key string, value []byte) error {
	return retryUnavailable(ctx, func() error {
		_, err := a.store.CompareAndSwap(ctx, key, 0, value, "")
		var exists *basilmoor.ConflictError
		if errors.As(err, &exists) {
			return nil
		}
		return errors.Wrapf(err, "write %s", key)
	})
}

func (a *Acceptor) writeParts(ctx context.Context, s, next *bmcatalog.Snapshot) error {
	for _, ref := range s.MissingParts(next.Head()) {
		part, err := next.Part(ref.Digest)
		if err != nil {
			return err
		}
		if err := a.createOnce(ctx, bmcatalog.PartKey(ref.Digest), part.Value); err != nil {
			return err
		}
	}
	return nil
}

// writeHeadRecord writes the audit record of the snapshot's version. Version 0 has
// none.
func (a *Acceptor) writeHeadRecord(ctx context.Context, s *bmcatalog.Snapshot) error {
	if s.Version() == 0 {
		return nil
	}
	h := s.Head()
	return a.writeAuditRecord(ctx, Record{
		Version:      h.Version,
		Note:         h.NoteID,
		NoteDigest:   h.NoteDigest,
		AcceptedBy:   h.AcceptedBy,
		AcceptedAt:   h.AcceptedAt,
		DroppedParts: h.DroppedParts,
	})
}

func (a *Acceptor) writeAuditRecord(ctx context.Context, r Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode audit record")
	}
	if err := a.createOnce(ctx, AuditKey(r.Version), value); err != nil {
		return err
	}
	return a.createOnce(ctx, noteRecordPrefix+r.Note, value)
}

// findNoteRecord returns the audit record of an accepted note.
func (a *Acceptor) findNoteRecord(ctx context.Context, id string) (Record, bool, error) {
	return a.readRecord(ctx, noteRecordPrefix+id)
}

func (a *Acceptor) readRecord(ctx context.Context, key string) (Record, bool, error) {
	value, err := a.get(ctx, key)
	var missing *basilmoor.NotFoundError
	if errors.As(err, &missing) {
		return Record{}, false, nil
	}
	if err != nil {
		return Record{}, false, err
	}
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, false, errors.Wrapf(err, "decode %s", key)
	}
	return r, true, nil
}

func (a *Acceptor) get(ctx context.Context, key string) ([]byte, error) {
	var entry basilmoor.Entry
	err := retryUnavailable(ctx, func() error {
		var err error
		entry, err = a.store.Get(ctx, key)
		return errors.Wrapf(err, "read %s", key)
	})
	return entry.Value, err
}

func (a *Acceptor) readNote(ctx context.Context, ref bmcatalog.NoteRef) (*bmnote.Note, error) {
	value, err := a.get(ctx, noteKey(ref.Digest))
	if err != nil {
		return nil, err
	}
	n, err := bmnote.Parse(value)
	return n, errors.Wrapf(err, "parse note %s", ref.ID)
}

// finishAcceptance writes the audit record and removes parts whose retention has
// ended. It ignores errors, because the note is already in effect: the next
// acceptor writes a missing record, and a leftover part only takes up space.
func (a *Acceptor) finishAcceptance(ctx context.Context, s *bmcatalog.Snapshot) {
	_ = a.writeHeadRecord(ctx, s)
	if s.Version() <= partRetentionVersions {
		return
	}
	old, found, err := a.readRecord(ctx, AuditKey(s.Version()-partRetentionVersions))
	if err != nil || !found {
		return
	}
	a.removeParts(ctx, old.DroppedParts, s)
}

// removeUnusedParts removes the parts that were written for a swap that did not
// take effect.
func (a *Acceptor) removeUnusedParts(ctx context.Context, unaccepted, current *bmcatalog.Snapshot) {
	var digests []string
	for _, ref := range current.MissingParts(unaccepted.Head()) {
		if part, err := unaccepted.Part(ref.Digest); err == nil && bmcatalog.PartVersion(part.Value) == unaccepted.Version() {
			digests = append(digests, ref.Digest)
		}
	}
	a.removeParts(ctx, digests, current)
}

// removeParts removes those of the given parts that the current head does not
// list. No later head can list them again, because each part contains the
// version it was written for.
func (a *Acceptor) removeParts(ctx context.Context, digests []string, current *bmcatalog.Snapshot) {
	listed := current.Digests()
	for _, d := range digests {
		if slices.Contains(listed, d) {
			continue
		}
		key := bmcatalog.PartKey(d)
		err := a.store.Delete(ctx, key, 1)
		var conflict *basilmoor.ConflictError
		if errors.As(err, &conflict) && conflict.Current.Version > 0 {
			_ = a.store.Delete(ctx, key, conflict.Current.Version)
		}
	}
}
