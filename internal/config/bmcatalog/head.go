package bmcatalog

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// Schema is the version of the stored format.
const Schema = 1

// Store keys and key prefixes.
const (
	HeadKey        = "config/head"
	PartKeyPrefix  = "config/parts/"
	NoteKeyPrefix  = "config/notes/"
	AuditKeyPrefix = "config/audit/"
)

// MaxPreviousNotes is the maximum number of earlier notes that the head lists.
// They show without further reads whether a note was accepted whose response was
// lost, and which notes may conflict with a new one.
const MaxPreviousNotes = 64

// PartRef refers to a part by name and content digest.
type PartRef struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// NoteRef refers to an accepted release note.
type NoteRef struct {
	ID      string `json:"id"`
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
}

// Head is the stored root of one version of the configuration.
type Head struct {
	Schema  int   `json:"schema"`
	Version int64 `json:"version"`

	// NoteID and NoteDigest identify the note that created this version.
	NoteID     string `json:"note-id"`
	NoteDigest string `json:"note-digest"`

	// PreviousNotes lists the notes accepted before this one, the latest first.
	PreviousNotes []NoteRef `json:"previous-notes,omitempty"`

	// Parts are ordered by name.
	Parts []PartRef `json:"parts"`

	// DroppedParts lists the digests of parts of the previous version that are
	// not part of this one.
	DroppedParts []string `json:"dropped-parts,omitempty"`

	AcceptedBy string `json:"accepted-by"`
	AcceptedAt string `json:"accepted-at"` // RFC 3339, UTC
}

// DigestError reports a value whose digest differs from the expected one.
type DigestError struct {
	Name string
	Want string
	Got  string
}

func (e *DigestError) Error() string {
	return fmt.Sprintf("%s has digest %s, want %s", e.Name, e.Got, e.Want)
}

// Digest returns the lower-case hexadecimal SHA-256 of value.
func Digest(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}

// PartKey returns the store key of a part.
func PartKey(digest string) string { return PartKeyPrefix + digest }

// Note returns the reference to the note that created this version.
func (h Head) Note() NoteRef {
	return NoteRef{
		ID:      h.NoteID,
		Version: h.Version,
		Digest:  h.NoteDigest,
	}
}

// FindNote returns the reference to the note with the given ID if it created this
// version or is listed in PreviousNotes.
func (h Head) FindNote(id string) (NoteRef, bool) {
	if h.NoteID == id {
		return h.Note(), true
	}
	for _, r := range h.PreviousNotes {
		if r.ID == id {
			return r, true
		}
	}
	return NoteRef{}, false
}

// NotesAfter returns the notes of all versions after version, the oldest first.
// It reports false if PreviousNotes doesn't reach back that far.
func (h Head) NotesAfter(version int64) ([]NoteRef, bool) {
	if version >= h.Version {
		return nil, true
	}
	var refs []NoteRef
	for i := len(h.PreviousNotes) - 1; i >= 0; i-- {
		if h.PreviousNotes[i].Version > version {
			refs = append(refs, h.PreviousNotes[i])
		}
	}
	refs = append(refs, h.Note())
	return refs, refs[0].Version == version+1
}

// ConflictsWith reports whether h lists another note for the version of o, so that
// o is not an ancestor of h. It reports false if h is not later than o, or if its
// PreviousNotes doesn't reach back to o.
func (h Head) ConflictsWith(o Head) bool {
	for _, n := range h.PreviousNotes {
		if n.Version == o.Version && n != o.Note() {
			return true
		}
	}
	return false
}

// Encode returns the stored form of h.
func (h Head) Encode() ([]byte, error) {
	value, err := json.Marshal(h)
	return value, errors.Wrap(err, "encode head")
}

// DecodeHead decodes the stored form of a head. It checks the schema, the version
// and the note ID, and that no part is listed twice.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.NewDecoder(bytes.NewReader(value)).Decode(&h); err != nil {
		return Head{}, errors.Wrap(err, "decode head")
	}
	if h.Schema != Schema {
		return Head{}, errors.Errorf("decode head: schema %d is not supported, want %d", h.Schema, Schema)
	}
	if h.Version < 1 || h.NoteID == "" {
		return Head{}, errors.Errorf("decode head: version %d or note ID %q is invalid", h.Version, h.NoteID)
	}
	seen := make(map[string]bool, len(h.Parts))
	for _, p := range h.Parts {
		if seen[p.Name] {
			return Head{}, errors.Errorf("decode head: part %s is listed twice", p.Name)
		}
		seen[p.Name] = true
	}
	return h, nil
}
