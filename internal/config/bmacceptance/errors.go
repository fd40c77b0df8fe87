package bmacceptance

import (
	"fmt"
	"strings"

	"basilmoor.example/basilmoor/internal/config/bmcatalog"
	"basilmoor.example/basilmoor/internal/config/bmnote"
)

// NotAcceptedError reports that a note did not take effect and will not do so
// later.
type NotAcceptedError struct {
	Note string
	Err  error
}

func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("note %s was not accepted: %v", e.Note, e.Err)
}

// Unwrap returns the cause.
func (e *NotAcceptedError) Unwrap() error { return e.Err }

// OutcomeUnknownError reports that it is unknown whether a note took effect,
// because the store did not respond to the swap of the head.
type OutcomeUnknownError struct {
	Note    string
	Version int64 // version of the note if it was accepted
	Err     error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is unknown whether note %s was accepted as version %d: %v; "+
		"apply the same note again when the store answers, which accepts it at most once, "+
		"or look for its id in note-id and previous-notes of %s",
		e.Note, e.Version, e.Err, bmcatalog.HeadKey)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// Overlap is an item of a note that was also changed by another note, accepted
// since the base version.
type Overlap struct {
	Item    bmnote.Item `json:"item"`
	Note    string      `json:"note"`
	Version int64       `json:"version"`
}

// ConflictError reports that a note conflicts with notes accepted since its base
// version.
type ConflictError struct {
	Note    string
	Base    int64 // version for which the note was written or first checked
	Current int64 // version in effect

	// NotesSinceBase lists the notes accepted after Base. It is nil if Base is
	// older than the notes that the head lists.
	NotesSinceBase []bmcatalog.NoteRef

	// Overlaps lists the items of the note that were changed after Base.
	Overlaps []Overlap

	// InvalidAfterRebase is set if the note changes no item that was changed
	// after Base, but is no longer valid.
	InvalidAfterRebase *bmnote.InvalidError
}

func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "note %s conflicts with what changed between version %d and version %d", e.Note, e.Base, e.Current)
	if e.NotesSinceBase == nil {
		fmt.Fprintf(&b, ": base-version is older than the last %d notes", bmcatalog.MaxPreviousNotes)
	}
	for _, o := range e.Overlaps {
		fmt.Fprintf(&b, "; %s by note %s (version %d)", o.Item, o.Note, o.Version)
	}
	if e.InvalidAfterRebase != nil {
		fmt.Fprintf(&b, "; after %s: %v", formatNoteRefs(e.NotesSinceBase), e.InvalidAfterRebase)
	}
	return b.String()
}

// Unwrap returns Invalid, or nil if it is not set.
func (e *ConflictError) Unwrap() error {
	if e.InvalidAfterRebase == nil {
		return nil
	}
	return e.InvalidAfterRebase
}

func formatNoteRefs(refs []bmcatalog.NoteRef) string {
	names := make([]string, 0, len(refs))
	for _, r := range refs {
		names = append(names, fmt.Sprintf("note %s (version %d)", r.ID, r.Version))
	}
	return strings.Join(names, ", ")
}

// NoteReusedError reports that another note with the same id was accepted before.
type NoteReusedError struct {
	Note    string
	Version int64
}

func (e *NoteReusedError) Error() string {
	return fmt.Sprintf("note id %s was accepted with other content as version %d; choose another id", e.Note, e.Version)
}

// StoreBehindError reports that the store holds an older version than the fleet,
// for example after it was restored from a backup.
type StoreBehindError struct {
	Stored        int64
	LatestVersion int64
}

func (e *StoreBehindError) Error() string {
	return fmt.Sprintf("the store holds version %d, but version %d was accepted; restore the head before applying notes", e.Stored, e.LatestVersion)
}

// ContendedError reports that other notes were accepted during every try.
type ContendedError struct {
	Tries int
}

func (e *ContendedError) Error() string {
	return fmt.Sprintf("other notes were accepted during each of %d tries", e.Tries)
}
