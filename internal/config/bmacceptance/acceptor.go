package bmacceptance

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
	"basilmoor.example/basilmoor/internal/config/bmnote"
)

// Bounds of one call of Accept.
const (
	// maxRounds bounds rebases. At 13,000 notes a day, two notes rarely meet.
	maxRounds = 16
	// maxUnanswered bounds calls in a row that the store does not answer.
	maxUnanswered = 4
)

// Result describes an accepted note.
type Result struct {
	Note    string `json:"note"`
	Version int64  `json:"version"`

	// Already is set if an earlier call had accepted the note.
	Already bool `json:"already-accepted,omitempty"`

	// Rebased names the notes that were accepted between the first check of
	// this note and its acceptance.
	Rebased []bmcatalog.NoteRef `json:"rebased-over,omitempty"`

	// Plan is empty if Already is set.
	Plan bmnote.Plan `json:"plan"`
}

// Known gives the highest version that this host holds or heard of. The error
// tells that it can't know, because it does not hear from enough of the fleet.
type Known func() (int64, error)

// Acceptor accepts notes on behalf of one host. It is safe for concurrent use.
type Acceptor struct {
	store basilmoor.Store
	now   func() time.Time
	known Known

	mu   sync.Mutex
	last *bmcatalog.Snapshot // spares reading unchanged parts again
}

// New returns an acceptor. Now gives the time for the audit. Known lets it
// notice a store that was restored from a backup, where a new note would get a
// number that another note has; nil if there is no fleet.
func New(store basilmoor.Store, now func() time.Time, known Known) *Acceptor {
	if known == nil {
		known = func() (int64, error) { return 0, nil }
	}
	return &Acceptor{
		store: store,
		now:   now,
		known: known,
	}
}

// Accept accepts a note with a new Acceptor.
func Accept(ctx context.Context, store basilmoor.Store, n *bmnote.Note, author string) (Result, error) {
	return New(store, time.Now, nil).Accept(ctx, n, author)
}

// Accept puts a note into effect. Errors are *bmnote.InvalidError,
// *ConflictError, *NoteReusedError and *NotAcceptedError, all of which mean
// that the note has no effect, and *UnknownError.
func (a *Acceptor) Accept(ctx context.Context, n *bmnote.Note, author string) (Result, error) {
	t := &attempt{
		acceptor: a,
		note:     n,
		author:   author,
		first:    -1,
	}
	for range maxRounds {
		result, done, err := t.round(ctx)
		if done || err != nil {
			return result, err
		}
	}
	return t.giveUp(ctx)
}

// AcceptText reads a note and puts it into effect. A note with faults gives one
// *bmnote.InvalidError with all of them, those of the text as well as those
// against the configuration in effect; only the former if the store doesn't
// answer.
func (a *Acceptor) AcceptText(ctx context.Context, text []byte, author string) (Result, error) {
	n, err := a.parse(ctx, text)
	if err != nil {
		return Result{}, err
	}
	return a.Accept(ctx, n, author)
}

func (a *Acceptor) parse(ctx context.Context, text []byte) (*bmnote.Note, error) {
	n, err := bmnote.Parse(text)
	if err == nil {
		return n, nil
	}
	_, s, loadErr := a.load(ctx)
	if loadErr != nil {
		return nil, err
	}
	return bmnote.Validate(text, s.Content(), s.Version())
}

// Plan returns what a note would do now, and does nothing.
func (a *Acceptor) Plan(ctx context.Context, n *bmnote.Note) (bmnote.Plan, error) {
	_, s, err := a.load(ctx)
	if err != nil {
		return bmnote.Plan{}, errors.Wrap(err, "plan")
	}
	if err := bmnote.CheckBase(n, s.Version()); err != nil {
		return bmnote.Plan{}, err
	}
	p, _, err := bmnote.NewPlan(s.Content(), s.Version(), n)
	return p, err
}

func (a *Acceptor) load(ctx context.Context) (basilmoor.Entry, *bmcatalog.Snapshot, error) {
	a.mu.Lock()
	last := a.last
	a.mu.Unlock()
	entry, s, err := last.Load(ctx, a.store)
	if err != nil {
		return entry, nil, err
	}
	a.keep(s)
	return entry, s, nil
}

func (a *Acceptor) keep(s *bmcatalog.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = s
}
