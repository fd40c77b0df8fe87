package bmstandinstore

import (
	"context"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// Store is an http.Handler with the protocol of the key-value service. It is
// safe for concurrent use.
type Store struct {
	clock    basilmoor.Clock
	settings Settings
	mux      *http.ServeMux

	// life ends with the store and frees the handlers that wait.
	life context.Context

	mu      sync.Mutex
	server  *bmstandin.Server // nil if the handler is served otherwise
	state   *state
	changed chan struct{} // closed and replaced when a key or a fault changes
	reads   *limiter
	writes  *limiter
	stats   Stats
	outage  bool
	slow    basilmoor.Millis
	lose    int
}

var _ http.Handler = (*Store)(nil)

// Stats is the response to GET /v1/stats. It counts calls as the platform
// does: every call, including refused ones, and each watch once.
type Stats struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`

	// Operations counts the calls by operation.
	Operations map[string]int64 `json:"operations"`

	RateLimited  int64 `json:"rate-limited"`
	Unanswered   int64 `json:"unanswered"` // by an outage or a lost answer
	WatchesOpen  int64 `json:"watches-open"`
	Revision     int64 `json:"revision"`
	Keys         int   `json:"keys"`
	LeasesActive int   `json:"leases-active"`
}

// New returns an empty store and a function that ends the pending calls.
func New(clock basilmoor.Clock, settings Settings) (*Store, func()) {
	if settings.History <= 0 {
		settings.History = DefaultHistory
	}
	life, end := context.WithCancel(context.Background())
	s := &Store{
		clock:    clock,
		settings: settings,
		mux:      http.NewServeMux(),
		life:     life,
		state:    newState(settings.History),
		changed:  make(chan struct{}),
		reads:    newLimiter(clock, settings.ReadsPerSecond),
		writes:   newLimiter(clock, settings.WritesPerSecond),
		stats: Stats{
			Operations: make(map[string]int64),
		},
	}
	s.routes()
	return s, end
}

// Start returns a store that listens on address, and on controlAddress unless
// it is empty, and a function that stops both.
func Start(address, controlAddress string, clock basilmoor.Clock, settings Settings) (*Store, *bmstandin.Server, func(), error) {
	s, end := New(clock, settings)
	server, closeServer, err := bmstandin.Listen(address, controlAddress, s)
	if err != nil {
		end()
		return nil, nil, nil, err
	}
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	return s, server, func() {
		closeServer()
		end()
	}, nil
}

func (s *Store) routes() {
	s.read("GET /v1/keys/{key...}", "get", s.get)
	s.write("PUT /v1/keys/{key...}", "put", s.put)
	s.write("DELETE /v1/keys/{key...}", "delete", s.delete)
	s.read("GET /v1/list", "list", s.list)
	s.read("GET /v1/watch", "watch", s.watch)
	s.write("POST /v1/leases", "lease-grant", s.grantLease)
	s.write("PUT /v1/leases/{id}", "lease-renew", s.renewLease)
	s.write("DELETE /v1/leases/{id}", "lease-revoke", s.revokeLease)
	s.mux.HandleFunc("POST /v1/faults", s.setFaults)
	s.mux.HandleFunc("GET /v1/stats", s.getStats)
}

// ServeHTTP handles one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Stats returns the call counts.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
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

func (s *Store) getStats(w http.ResponseWriter, _ *http.Request) {
	bmstandin.WriteJSON(w, http.StatusOK, s.Stats())
}

// sweep ends lapsed leases and wakes the watches if that deleted a key. The
// caller holds mu.
func (s *Store) sweep() {
	if s.state.sweep(s.clock.Now()) {
		s.wake()
	}
}

// wake lets the pending watches look again. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !bmstandin.ReadJSON(w, r, &f) {
		return
	}
	if err := s.change(f, r.RemoteAddr); err != nil {
		bmstandin.WriteProblem(w, http.StatusConflict, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// SetFaults changes the faults. The error tells which one is not possible, and
// that the faults are as before.
func (s *Store) SetFaults(f Faults) error {
	return s.change(f, "")
}

// change sets the faults; the connection with the remote address except is not
// silenced.
func (s *Store) change(f Faults, except string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StopResponding {
		if err := s.server.Silence(except); err != nil {
			return err
		}
	}
	if f.RestoreToRevision != nil {
		s.sweep()
		if !s.state.restore(*f.RestoreToRevision) {
			return errors.Errorf("no history of revision %d", *f.RestoreToRevision)
		}
	}
	if f.Outage != nil {
		s.outage = *f.Outage
		s.wake()
	}
	if f.SlownessMillis != nil {
		s.slow = *f.SlownessMillis
	}
	if f.LoseNextAnswers != nil {
		s.lose = *f.LoseNextAnswers
	}
	return nil
}
