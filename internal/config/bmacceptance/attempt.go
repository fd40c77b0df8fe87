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
	acceptor *Acceptor
	note     *bmnote.Note
	author   string
	first    int64 // version at the first read, -1 before
	searched bool  // no earlier record of the note exists
	swapped  bool  // a swap was sent

	// pending is set while an unanswered swap may still take effect.
	pending *pendingSwap
}

// pendingSwap is a swap without an answer.
type pendingSwap struct {
	keyVersion int64 // version of the key that the swap expects
	next       *bmcatalog.Snapshot
}

// round reads the head, validates and swaps once. Without result and error,
// another round is due.
func (t *attempt) round(ctx context.Context) (Result, bool, error) {
	// Known is asked before the head is read: a note accepted in between
	// would otherwise look like a store that fell behind.
	known, err := t.acceptor.known()
	if err != nil {
		return Result{}, true, t.fail(err)
	}
	entry, s, err := t.load(ctx)
	if err != nil {
		return Result{}, true, t.fail(err)
	}
	result, done, err := t.settled(ctx, s)
	if done || err != nil {
		return result, true, err
	}
	t.resolvePending(ctx, entry, s)
	if known > s.Version() {
		return Result{}, true, t.fail(&StoreBehindError{
			Stored: s.Version(),
			Known:  known,
		})
	}
	between, err := t.conflicts(ctx, s)
	if err != nil {
		return Result{}, true, t.fail(err)
	}
	plan, next, err := t.next(s)
	if err != nil {
		return Result{}, true, t.fail(t.invalid(err, s, between))
	}
	if err := t.prepare(ctx, s, next); err != nil {
		return Result{}, true, t.fail(err)
	}
	if !t.swap(ctx, entry, next) {
		return Result{}, false, nil
	}
	t.acceptor.keep(next)
	t.acceptor.afterAcceptance(ctx, next)
	return Result{
		Note:    t.note.ID(),
		Version: next.Version(),
		Rebased: between,
		Plan:    plan,
	}, true, nil
}

// giveUp finds out what became of the last swap after the last round.
func (t *attempt) giveUp(ctx context.Context) (Result, error) {
	entry, s, err := t.load(ctx)
	if err != nil {
		return Result{}, t.fail(err)
	}
	result, done, err := t.settled(ctx, s)
	if done || err != nil {
		return result, err
	}
	t.resolvePending(ctx, entry, s)
	return Result{}, t.fail(&ContendedError{
		Tries: maxRounds,
	})
}

// load reads the head, again if the store does not answer.
func (t *attempt) load(ctx context.Context) (basilmoor.Entry, *bmcatalog.Snapshot, error) {
	var entry basilmoor.Entry
	var s *bmcatalog.Snapshot
	err := answered(ctx, func() error {
		var err error
		entry, s, err = t.acceptor.load(ctx)
		return err
	})
	if err == nil && t.first < 0 {
		t.first = s.Version()
	}
	return entry, s, err
}

// answered repeats a call that may be repeated until the store answers it.
func answered(ctx context.Context, call func() error) error {
	var unavailable *basilmoor.UnavailableError
	var err error
	for range maxUnanswered {
		err = call()
		if err == nil || ctx.Err() != nil || !errors.As(err, &unavailable) {
			return err
		}
	}
	return err
}

// settled reports whether the note is accepted already. The head names the
// last notes, which include all those of this call; older ones are found by
// their record.
func (t *attempt) settled(ctx context.Context, s *bmcatalog.Snapshot) (Result, bool, error) {
	ref, found := s.Head().FindNote(t.note.ID())
	if !found {
		if t.searched {
			return Result{}, false, nil
		}
		record, ok, err := t.acceptor.recordOfNote(ctx, t.note.ID())
		if err != nil {
			return Result{}, true, t.fail(err)
		}
		if !ok {
			t.searched = true
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
		t.acceptor.afterAcceptance(ctx, s)
	}
	return Result{
		Note:    ref.ID,
		Version: ref.Version,
		Already: !t.swapped,
	}, true, nil
}

// resolvePending drops an unanswered swap that can't take effect any more,
// because the head has moved on without it.
func (t *attempt) resolvePending(ctx context.Context, entry basilmoor.Entry, s *bmcatalog.Snapshot) {
	if t.pending == nil || entry.Version <= t.pending.keyVersion {
		return
	}
	t.acceptor.removeLost(ctx, t.pending.next, s)
	t.pending = nil
}

// base is the version for which the operator knew the configuration.
func (t *attempt) base() int64 {
	if t.note.BaseVersion() > 0 {
		return t.note.BaseVersion()
	}
	return t.first
}

// conflicts returns the notes accepted since the base, or a *ConflictError if
// one of them touches an item of this note.
func (t *attempt) conflicts(ctx context.Context, s *bmcatalog.Snapshot) ([]bmcatalog.NoteRef, error) {
	conflict := &ConflictError{
		Note:    t.note.ID(),
		Base:    t.base(),
		Current: s.Version(),
	}
	between, ok := s.Head().NotesAfter(t.base())
	if !ok {
		return nil, conflict
	}
	conflict.Between = between
	touched := t.note.Touched()
	for _, ref := range between {
		other, err := t.acceptor.readNote(ctx, ref)
		var missing *basilmoor.NotFoundError
		if errors.As(err, &missing) {
			// A restored store lost the text; the note may touch anything.
			conflict.Overlaps = append(conflict.Overlaps, Overlap{
				Note:    ref.ID,
				Version: ref.Version,
			})
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, item := range other.Touched() {
			if slices.Contains(touched, item) {
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

// next validates the note and builds the version that it makes.
func (t *attempt) next(s *bmcatalog.Snapshot) (bmnote.Plan, *bmcatalog.Snapshot, error) {
	if err := bmnote.CheckBase(t.note, s.Version()); err != nil {
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

// invalid makes a conflict of faults that may come from notes in between.
func (t *attempt) invalid(err error, s *bmcatalog.Snapshot, between []bmcatalog.NoteRef) error {
	var invalid *bmnote.InvalidError
	if len(between) == 0 || !errors.As(err, &invalid) {
		return err
	}
	return &ConflictError{
		Note:    t.note.ID(),
		Base:    t.base(),
		Current: s.Version(),
		Between: between,
		Invalid: invalid,
	}
}

// prepare writes everything that the next head refers to, and the record of
// the head that it replaces.
func (t *attempt) prepare(ctx context.Context, s, next *bmcatalog.Snapshot) error {
	if err := t.acceptor.create(ctx, noteKey(t.note.Digest()), t.note.Canonical()); err != nil {
		return err
	}
	if err := t.acceptor.writeParts(ctx, s, next); err != nil {
		return err
	}
	return t.acceptor.writeRecord(ctx, s)
}

// swap reports whether the swap certainly took effect.
func (t *attempt) swap(ctx context.Context, entry basilmoor.Entry, next *bmcatalog.Snapshot) bool {
	t.swapped = true
	_, err := t.acceptor.store.CompareAndSwap(ctx, bmcatalog.HeadKey, entry.Version, next.HeadValue(), "")
	if err == nil {
		return true
	}
	// A conflict is not proof that this swap failed: an earlier, unanswered
	// one may have taken effect. The next round reads the head.
	t.pending = &pendingSwap{
		keyVersion: entry.Version,
		next:       next,
	}
	return false
}

// fail returns the error for the caller. While a swap is pending, the outcome
// is unknown whatever the cause.
func (t *attempt) fail(cause error) error {
	if t.pending != nil {
		return &UnknownError{
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
