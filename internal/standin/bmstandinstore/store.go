package bmstandinstore

import (
	"context"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// Store is an http.Handler that implements the protocol of the key-value
// service. It is safe for concurrent use.
type Store struct {
	clock    basilmoor.Clock
	settings Settings
	mux      *http.ServeMux

	// ctx is cancelled when the store stops, which ends waiting handlers.
	ctx context.Context

	mu              sync.Mutex
	server          *bmstandin.Server // nil unless created by Start
	state           *state
	changed         chan struct{} // closed and replaced when a key or the outage fault changes
	readLimiter     *rateLimiter
	writeLimiter    *rateLimiter
	stats           Stats
	outage          bool
	callDelay       basilmoor.Millis
	responsesToDrop int
}

var _ http.Handler = (*Store)(nil)

// Stats is the response to GET /v1/stats. Calls are counted as the platform
// counts them: rejected calls are included, and each watch counts once.
type Stats struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`

	// Operations is the number of calls per operation.
	Operations map[string]int64 `json:"operations"`

	RateLimited  int64 `json:"rate-limited"`
	Unanswered   int64 `json:"unanswered"` // dropped by an outage or by lose-next-answers
	WatchesOpen  int64 `json:"watches-open"`
	Revision     int64 `json:"revision"`
	Keys         int   `json:"keys"`
	LeasesActive int   `json:"leases-active"`
}

// New returns an empty store and a function that cancels pending calls.
func New(clock basilmoor.Clock, settings Settings) (*Store, func()) {
	if settings.HistoryLimit <= 0 {
		settings.HistoryLimit = DefaultHistoryLimit
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Store{
		clock:        clock,
		settings:     settings,
		mux:          http.NewServeMux(),
		ctx:          ctx,
		state:        newState(settings.HistoryLimit),
		changed:      make(chan struct{}),
		readLimiter:  newRateLimiter(clock, settings.ReadsPerSecond),
		writeLimiter: newRateLimiter(clock, settings.WritesPerSecond),
		stats: Stats{
			Operations: make(map[string]int64),
		},
	}
	s.routes()
	return s, cancel
}

// Start returns a store that listens on address, and on controlAddress unless
// it is empty, and a function that stops both.
func Start(address, controlAddress string, clock basilmoor.Clock, settings Settings) (*Store, *bmstandin.Server, func(), error) {
	s, cancel := New(clock, settings)
	server, closeServer, err := bmstandin.Listen(address, controlAddress, s)
	if err != nil {
		cancel()
		return nil, nil, nil, err
	}
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	return s, server, func() {
		closeServer()
		cancel()
	}, nil
}

func (s *Store) routes() {
	s.handleRead("GET /v1/keys/{key...}", "get", s.get)
	s.handleWrite("PUT /v1/keys/{key...}", "put", s.put)
	s.handleWrite("DELETE /v1/keys/{key...}", "delete", s.delete)
	s.handleRead("GET /v1/list", "list", s.list)
	s.handleRead("GET /v1/watch", "watch", s.watch)
	s.handleWrite("POST /v1/leases", "lease-grant", s.grantLease)
	s.handleWrite("PUT /v1/leases/{id}", "lease-renew", s.renewLease)
	s.handleWrite("DELETE /v1/leases/{id}", "lease-revoke", s.revokeLease)
	s.mux.HandleFunc("POST /v1/faults", s.serveFaults)
	s.mux.HandleFunc("GET /v1/stats", s.serveStats)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Stats returns the current statistics.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	stats := s.stats
	stats.Operations = make(map[string]int64, len(s.stats.Operations))
	for op, n := range s.stats.Operations {
		stats.Operations[op] = n
	}
	stats.Revision = s.state.revision
	stats.Keys = len(s.state.records)
	stats.LeasesActive = len(s.state.leases)
	return stats
}

func (s *Store) serveStats(w http.ResponseWriter, _ *http.Request) {
	bmstandin.WriteJSON(w, http.StatusOK, s.Stats())
}

// expireLeases removes expired leases and their keys, and notifies the pending
// watches if a key was deleted. The caller must hold mu.
func (s *Store) expireLeases() {
	if s.state.expireLeases(s.clock.Now()) {
		s.notifyWatches()
	}
}

// notifyWatches makes the pending watches check for changes. The caller must
// hold mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !bmstandin.ReadJSON(w, r, &f) {
		return
	}
	if err := s.applyFaults(f, r.RemoteAddr); err != nil {
		bmstandin.WriteProblem(w, http.StatusConflict, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// SetFaults applies f. It returns an error if stop-responding is set and the
// store has no server, or if the history does not include the revision to
// restore. Restoring to an unknown revision fails after stop-responding has
// taken effect; no other fault is changed on an error.
func (s *Store) SetFaults(f Faults) error {
	return s.applyFaults(f, "")
}

// applyFaults applies f. StopResponding does not silence the connection whose
// remote address is except.
func (s *Store) applyFaults(f Faults, except string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StopResponding {
		if err := s.server.StopResponding(except); err != nil {
			return err
		}
	}
	if f.RestoreToRevision != nil {
		s.expireLeases()
		if !s.state.restore(*f.RestoreToRevision) {
			return errors.Errorf("no history of revision %d", *f.RestoreToRevision)
		}
	}
	if f.Outage != nil {
		s.outage = *f.Outage
		s.notifyWatches()
	}
	if f.SlownessMillis != nil {
		s.callDelay = *f.SlownessMillis
	}
	if f.DropNextResponses != nil {
		s.responsesToDrop = *f.DropNextResponses
	}
	return nil
}
