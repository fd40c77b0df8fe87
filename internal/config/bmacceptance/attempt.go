package bmacceptance

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
	"basilmoor.example/basilmoor/internal/config/bmnote"
)

// attempt is one call of Accept.
type attempt struct {
	acceptor     *Acceptor
	note         *bmnote.Note
	author       string
	firstVersion int64 // version of the head when first read; -1 before that
	recordAbsent bool  // the note had no audit record
	swapSent     bool  // a swap of the head was sent

	// pending is set while a swap without a known outcome may still take
	// effect.
	pending *pendingSwap
}

// pendingSwap is a swap of the head whose outcome is unknown.
type pendingSwap struct {
	keyVersion int64 // key version that the swap expects
	next       *bmcatalog.Snapshot
}

// tryOnce reads the head, validates the note against it and tries to swap the
// head once. If it returns false and no error, the caller must try again.
func (t *attempt) tryOnce(ctx context.Context) (Result, bool, error) {
	// Call latestVersion before reading the head. In the opposite order, a note
	// accepted between the two calls would make the store look out of date.
	known, err := t.acceptor.latestVersion()
	if err != nil {
		return Result{}, true, t.outcomeError(err)
	}
	entry, s, err := t.load(ctx)
	if err != nil {
		return Result{}, true, t.outcomeError(err)
	}
	result, done, err := t.findAccepted(ctx, s)
	if done || err != nil {
		return result, true, err
	}
	t.resolvePending(ctx, entry, s)
	if known > s.Version() {
		return Result{}, true, t.outcomeError(&StoreBehindError{
			Stored:        s.Version(),
			LatestVersion: known,
		})
	}
	between, err := t.conflicts(ctx, s)
	if err != nil {
		return Result{}, true, t.outcomeError(err)
	}
	plan, next, err := t.buildNext(s)
	if err != nil {
		return Result{}, true, t.outcomeError(t.asConflict(err, s, between))
	}
	if err := t.writeDependencies(ctx, s, next); err != nil {
		return Result{}, true, t.outcomeError(err)
	}
	if !t.swapHead(ctx, entry, next) {
		return Result{}, false, nil
	}
	t.acceptor.cacheSnapshot(next)
	t.acceptor.finishAcceptance(ctx, next)
	return Result{
		Note:        t.note.ID(),
		Version:     next.Version(),
		RebasedOver: between,
		Plan:        plan,
	}, true, nil
}

// finalOutcome reads the head after the last try to learn the outcome of its swap.
func (t *attempt) finalOutcome(ctx context.Context) (Result, error) {
	entry, s, err := t.load(ctx)
	if err != nil {
		return Result{}, t.outcomeError(err)
	}
	result, done, err := t.findAccepted(ctx, s)
	if done || err != nil {
		return result, err
	}
	t.resolvePending(ctx, entry, s)
	return Result{}, t.outcomeError(&ContendedError{
		Tries: maxTries,
	})
}

// load reads the head and its parts. It retries while the store is unavailable.
func (t *attempt) load(ctx context.Context) (basilmoor.Entry, *bmcatalog.Snapshot, error) {
	var entry basilmoor.Entry
	var s *bmcatalog.Snapshot
	err := retryUnavailable(ctx, func() error {
		var err error
		entry, s, err = t.acceptor.load(ctx)
		return err
	})
	if err == nil && t.firstVersion < 0 {
		t.firstVersion = s.Version()
	}
	return entry, s, err
}

// retryUnavailable runs an idempotent store call up to maxStoreAttempts times, as
// long as the store is unavailable.
func retryUnavailable(ctx context.Context, call func() error) error {
	var unavailable *basilmoor.UnavailableError
	var err error
	for range maxStoreAttempts {
		err = call()
		if err == nil || ctx.Err() != nil || !errors.As(err, &unavailable) {
			return err
		}
	}
	return err
}

// findAccepted reports whether the note is already accepted. The head lists the
// most recent notes, which include any accepted during this call. Older notes
// are found by their audit record.
func (t *attempt) findAccepted(ctx context.Context, s *bmcatalog.Snapshot) (Result, bool, error) {
	ref, found := s.Head().FindNote(t.note.ID())
	if !found {
		if t.recordAbsent {
			return Result{}, false, nil
		}
		record, ok, err := t.acceptor.findNoteRecord(ctx, t.note.ID())
		if err != nil {
			return Result{}, true, t.outcomeError(err)
		}
		if !ok {
			t.recordAbsent = true
			return Result{}, false, nil
		}
		ref = record.noteRef()
	}
	if ref.Digest != t.note.Digest() {
		return Result{}, true, &NoteReusedError{
			Note:    ref.ID,
			Version: ref.Version,
		}
	}
	if ref.Version == s.Version() {
		t.acceptor.finishAcceptance(ctx, s)
	}
	return Result{
		Note:            ref.ID,
		Version:         ref.Version,
		AlreadyAccepted: !t.swapSent,
	}, true, nil
}

// resolvePending clears a pending swap that can no longer take effect, because
// the head has changed without including it.
func (t *attempt) resolvePending(ctx context.Context, entry basilmoor.Entry, s *bmcatalog.Snapshot) {
	if t.pending == nil || entry.Version <= t.pending.keyVersion {
		return
	}
	t.acceptor.removeUnusedParts(ctx, t.pending.next, s)
	t.pending = nil
}

// baseVersion returns the version that the note was written against: the one
// stated in the note, or the version of the head when first read.
func (t *attempt) baseVersion() int64 {
	if t.note.BaseVersion() > 0 {
		return t.note.BaseVersion()
	}
	return t.firstVersion
}

// conflicts returns the notes accepted since the base version, or a
// *ConflictError if one of them changes an item that this note changes.
func (t *attempt) conflicts(ctx context.Context, s *bmcatalog.Snapshot) ([]bmcatalog.NoteRef, error) {
	conflict := &ConflictError{
		Note:    t.note.ID(),
		Base:    t.baseVersion(),
		Current: s.Version(),
	}
	between, ok := s.Head().NotesAfter(t.baseVersion())
	if !ok {
		return nil, conflict
	}
	conflict.NotesSinceBase = between
	affected := t.note.AffectedItems()
	for _, ref := range between {
		other, err := t.acceptor.readNote(ctx, ref)
		var missing *basilmoor.NotFoundError
		if errors.As(err, &missing) {
			// The store lost the text when it was restored, so the note may
			// have changed any item.
			conflict.Overlaps = append(conflict.Overlaps, Overlap{
				Note:    ref.ID,
				Version: ref.Version,
			})
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, item := range other.AffectedItems() {
			if slices.Contains(affected, item) {
				conflict.Overlaps = append(conflict.Overlaps, Overlap{
					Item:    item,
					Note:    ref.ID,
					Version: ref.Version,
				})
			}
		}
	}
	if len(conflict.Overlaps) > 0 {
		return nil, conflict
	}
	return between, nil
}

// buildNext validates the note and builds the version that would result from it.
func (t *attempt) buildNext(s *bmcatalog.Snapshot) (bmnote.Plan, *bmcatalog.Snapshot, error) {
	if err := bmnote.CheckBaseVersion(t.note, s.Version()); err != nil {
		return bmnote.Plan{}, nil, err
	}
	plan, content, err := bmnote.NewPlan(s.Content(), s.Version(), t.note)
	if err != nil {
		return bmnote.Plan{}, nil, err
	}
	next, err := s.Next(content, bmcatalog.Acceptance{
		NoteID:     t.note.ID(),
		NoteDigest: t.note.Digest(),
		Author:     t.author,
		At:         t.acceptor.now().UTC().Format(time.RFC3339),
	})
	return plan, next, err
}

// asConflict turns an *InvalidError into a *ConflictError if notes accepted since
// the base version may have caused the faults.
func (t *attempt) asConflict(err error, s *bmcatalog.Snapshot, between []bmcatalog.NoteRef) error {
	var invalid *bmnote.InvalidError
	if len(between) == 0 || !errors.As(err, &invalid) {
		return err
	}
	return &ConflictError{
		Note:               t.note.ID(),
		Base:               t.baseVersion(),
		Current:            s.Version(),
		NotesSinceBase:     between,
		InvalidAfterRebase: invalid,
	}
}

// writeDependencies writes the note and the parts that the next head refers to,
// and the audit record of the head that it replaces.
func (t *attempt) writeDependencies(ctx context.Context, s, next *bmcatalog.Snapshot) error {
	if err := t.acceptor.createOnce(ctx, noteKey(t.note.Digest()), t.note.Canonical()); err != nil {
		return err
	}
	if err := t.acceptor.writeParts(ctx, s, next); err != nil {
		return err
	}
	return t.acceptor.writeHeadRecord(ctx, s)
}

// swapHead replaces the head. It returns true only if the swap is known to have
// taken effect.
func (t *attempt) swapHead(ctx context.Context, entry basilmoor.Entry, next *bmcatalog.Snapshot) bool {
	t.swapSent = true
	_, err := t.acceptor.store.CompareAndSwap(ctx, bmcatalog.HeadKey, entry.Version, next.HeadValue(), "")
	if err == nil {
		return true
	}
	// A conflict does not prove that the note was not accepted: an earlier swap
	// without a response may have taken effect. The next try reads the head.
	t.pending = &pendingSwap{
		keyVersion: entry.Version,
		next:       next,
	}
	return false
}

// outcomeError converts a failure to the error returned to the caller. While a
// swap is pending, that is an *OutcomeUnknownError regardless of the cause.
func (t *attempt) outcomeError(cause error) error {
	if t.pending != nil {
		return &OutcomeUnknownError{
			Note:    t.note.ID(),
			Version: t.pending.next.Version(),
			Err:     cause,
		}
	}
	var invalid *bmnote.InvalidError
	var conflict *ConflictError
	if errors.As(cause, &conflict) || errors.As(cause, &invalid) {
		return cause
	}
	return &NotAcceptedError{
		Note: t.note.ID(),
		Err:  cause,
	}
}
