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

// noteRecordPrefix finds records by note id; the audit itself is by version.
const noteRecordPrefix = "config/audit-by-note/"

// partRetention is the number of versions for which a part that the head no
// longer lists is kept, so that hosts that read an older head still find it.
const partRetention = bmcatalog.MaxPreviousNotes

// Record tells who put what into effect when. The note's text is stored below
// bmcatalog.NoteKeyPrefix by its digest.
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

// AuditKey returns the key of the record of a version. Versions are padded so
// that a listing is in order.
func AuditKey(version int64) string {
	return fmt.Sprintf("%s%012d", bmcatalog.AuditKeyPrefix, version)
}

func noteKey(digest string) string { return bmcatalog.NoteKeyPrefix + digest }

// create writes a key whose value is determined by its name. A key that
// exists has this value already.
func (a *Acceptor) create(ctx context.Context, key string, value []byte) error {
	return answered(ctx, func() error {
		_, err := a.store.CompareAndSwap(ctx, key, 0, value, "")
		var exists *basilmoor.ConflictError
		if errors.As(err, &exists) {
			return nil
		}
		return errors.Wrapf(err, "write %s", key)
	})
}

func (a *Acceptor) writeParts(ctx context.Context, s, next *bmcatalog.Snapshot) error {
	for _, ref := range s.Missing(next.Head()) {
		part, err := next.Part(ref.Digest)
		if err != nil {
			return err
		}
		if err := a.create(ctx, bmcatalog.PartKey(ref.Digest), part.Value); err != nil {
			return err
		}
	}
	return nil
}

// writeRecord writes the audit record of a version.
func (a *Acceptor) writeRecord(ctx context.Context, s *bmcatalog.Snapshot) error {
	if s.Version() == 0 {
		return nil
	}
	h := s.Head()
	return a.writeRecordOf(ctx, Record{
		Version:      h.Version,
		Note:         h.NoteID,
		NoteDigest:   h.NoteDigest,
		AcceptedBy:   h.AcceptedBy,
		AcceptedAt:   h.AcceptedAt,
		DroppedParts: h.DroppedParts,
	})
}

func (a *Acceptor) writeRecordOf(ctx context.Context, r Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode audit record")
	}
	if err := a.create(ctx, AuditKey(r.Version), value); err != nil {
		return err
	}
	return a.create(ctx, noteRecordPrefix+r.Note, value)
}

// recordOfNote finds the record of an accepted note.
func (a *Acceptor) recordOfNote(ctx context.Context, id string) (Record, bool, error) {
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
	err := answered(ctx, func() error {
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

// afterAcceptance writes the audit record and removes old parts. Failures are
// not reported, since the note is in effect: the next acceptor writes the
// record, and a part that stays costs only space.
func (a *Acceptor) afterAcceptance(ctx context.Context, s *bmcatalog.Snapshot) {
	_ = a.writeRecord(ctx, s)
	if s.Version() <= partRetention {
		return
	}
	old, found, err := a.readRecord(ctx, AuditKey(s.Version()-partRetention))
	if err != nil || !found {
		return
	}
	a.removeParts(ctx, old.DroppedParts, s)
}

// removeLost removes the parts that were written for a swap that lost.
func (a *Acceptor) removeLost(ctx context.Context, lost, current *bmcatalog.Snapshot) {
	var digests []string
	for _, ref := range current.Missing(lost.Head()) {
		if part, err := lost.Part(ref.Digest); err == nil && bmcatalog.WrittenFor(part.Value) == lost.Version() {
			digests = append(digests, ref.Digest)
		}
	}
	a.removeParts(ctx, digests, current)
}

// removeParts removes parts that the current head does not list. Their digests
// can't come back, because each part names the version it was written for.
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
