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

// Limits of one call of Accept.
const (
	// maxTries bounds how often a note is rebased onto a newer head. At 13,000
	// notes per day, concurrent notes are rare.
	maxTries = 16
	// maxStoreAttempts bounds the attempts of a store call while the store is
	// unavailable.
	maxStoreAttempts = 4
)

// Result describes an accepted note.
type Result struct {
	Note    string `json:"note"`
	Version int64  `json:"version"`

	// AlreadyAccepted is set if an earlier call of Accept had accepted the note.
	AlreadyAccepted bool `json:"already-accepted,omitempty"`

	// RebasedOver lists the notes that were accepted between the base of this note
	// and its acceptance.
	RebasedOver []bmcatalog.NoteRef `json:"rebased-over,omitempty"`

	// Plan is what the note changes. It is empty if AlreadyAccepted is set.
	Plan bmnote.Plan `json:"plan"`
}

// A LatestVersionFunc returns the highest version that this host holds or has
// learned of from its peers. It returns an error if the host is in contact with
// too little of the fleet to know.
type LatestVersionFunc func() (int64, error)

// Acceptor accepts notes on behalf of one host. It is safe for concurrent use.
type Acceptor struct {
	store         basilmoor.Store
	now           func() time.Time
	latestVersion LatestVersionFunc

	mu     sync.Mutex
	cached *bmcatalog.Snapshot // latest snapshot read, so that unchanged parts are not read again
}

// New returns an acceptor. Now returns the time for audit records. latestVersion
// detects a store that was restored from a backup, where a new note would get a
// version number that another note already has. It may be nil if there is no
// fleet.
func New(store basilmoor.Store, now func() time.Time, latestVersion LatestVersionFunc) *Acceptor {
	if latestVersion == nil {
		latestVersion = func() (int64, error) { return 0, nil }
	}
	return &Acceptor{
		store:         store,
		now:           now,
		latestVersion: latestVersion,
	}
}

// Accept accepts a note with a new Acceptor that has no fleet.
func Accept(ctx context.Context, store basilmoor.Store, n *bmnote.Note, author string) (Result, error) {
	return New(store, time.Now, nil).Accept(ctx, n, author)
}

// Accept puts a note into effect. It returns an *OutcomeUnknownError if the outcome is
// unknown. A *bmnote.InvalidError, *ConflictError, *NoteReusedError or
// *NotAcceptedError means that the note has no effect.
func (a *Acceptor) Accept(ctx context.Context, n *bmnote.Note, author string) (Result, error) {
	t := &attempt{
		acceptor:     a,
		note:         n,
		author:       author,
		firstVersion: -1,
	}
	for range maxTries {
		result, done, err := t.tryOnce(ctx)
		if done || err != nil {
			return result, err
		}
	}
	return t.finalOutcome(ctx)
}

// AcceptText parses a note and puts it into effect. If the text is invalid, it
// returns one *bmnote.InvalidError that lists the faults of the text and those
// against the current configuration. If the store is unavailable, the error
// lists only the faults of the text.
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

// Plan returns the changes that a note would make to the current configuration,
// without making them.
func (a *Acceptor) Plan(ctx context.Context, n *bmnote.Note) (bmnote.Plan, error) {
	_, s, err := a.load(ctx)
	if err != nil {
		return bmnote.Plan{}, errors.Wrap(err, "plan")
	}
	if err := bmnote.CheckBaseVersion(n, s.Version()); err != nil {
		return bmnote.Plan{}, err
	}
	p, _, err := bmnote.NewPlan(s.Content(), s.Version(), n)
	return p, err
}

func (a *Acceptor) load(ctx context.Context) (basilmoor.Entry, *bmcatalog.Snapshot, error) {
	a.mu.Lock()
	last := a.cached
	a.mu.Unlock()
	entry, s, err := last.Load(ctx, a.store)
	if err != nil {
		return entry, nil, err
	}
	a.cacheSnapshot(s)
	return entry, s, nil
}

func (a *Acceptor) cacheSnapshot(s *bmcatalog.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cached = s
}
