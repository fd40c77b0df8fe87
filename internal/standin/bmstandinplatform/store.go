// Package bmstandinplatform provides stand-ins for the users' platform in tests:
// a key-value store with leases and watches, and replicas that answer requests.
//
// An acknowledged change is lost only if a test restores the store from a copy, every
// change has its own revision until then, and faults occur only when a test injects
// them.
package bmstandinplatform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key or a change of a key, as responses encode it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease_id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store is a stand-in for the platform's store. It is safe for concurrent use.
type Store struct {
	server *httptest.Server

	mu                sync.Mutex
	changed           chan struct{} // closed and replaced to wake the watches
	era               int64         // rises with each restoration from a copy
	revision          int64
	items             map[string]item
	events            []item
	compactedRevision int64 // events up to this revision are gone
	leases            map[int64]bool
	calls             map[string]int

	down           bool // all calls fail with 503
	losesResponses bool // transactions take effect but get no response
}

// NewStore starts a store and returns a function that stops it.
func NewStore() (*Store, func()) {
	s := &Store{
		changed:  make(chan struct{}),
		era:      1,
		revision: 1,
		items:    map[string]item{},
		leases:   map[int64]bool{},
		calls:    map[string]int{},
	}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s, s.server.Close
}

// Address returns the IP address and port of the store.
func (s *Store) Address() string {
	return strings.TrimPrefix(s.server.URL, "http://")
}

// Put writes a key as an operator or a replica would. It encodes values other
// than []byte as JSON.
func (s *Store) Put(key string, value any) {
	raw, ok := value.([]byte)
	if !ok {
		encoded, err := json.Marshal(value)
		if err != nil {
			panic("encode value for the stand-in store: " + err.Error())
		}
		raw = encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, raw, 0)
	s.notifyWatches()
}

// Delete deletes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	s.notifyWatches()
}

// SetDown sets whether every call fails with 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatches()
}

// SetLoseResponses sets whether the store closes the connection of a
// transaction without a response after applying it.
func (s *Store) SetLoseResponses(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losesResponses = lose
}

// Compact drops all events so far. Watches that start from an older revision
// fail with 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision = s.revision
	s.events = nil
	s.notifyWatches()
}

// Calls returns the number of calls whose path begins with the given segment,
// such as "/kv-keep".
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Value returns the value of a key, or "" if it does not exist.
func (s *Store) Value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

// Has reports whether a key exists.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	i := item{
		Key:      key,
		Value:    value,
		Revision: s.revision,
		Created:  s.revision,
		Lease:    lease,
	}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.events = append(s.events, i)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, item{
		Key:      key,
		Revision: s.revision,
		Deleted:  true,
	})
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	path := "/" + strings.SplitN(strings.TrimPrefix(r.URL.Path, "/"), "/", 2)[0]
	s.mu.Lock()
	s.calls[path]++
	down, era := s.down, s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch path {
	case "/kv-key":
		s.serveKey(w, r)
	case "/kv-range":
		s.serveRange(w, r)
	case "/kv-watch":
		s.serveWatch(w, r)
	case "/kv-txn":
		s.serveTransaction(w, r)
	case "/kv-lease":
		s.serveLease(w)
	case "/kv-keep":
		s.serveKeepAlive(w, r)
	case "/kv-lease-end":
		s.serveLeaseEnd(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		panic(http.ErrAbortHandler) // the client has disconnected
	}
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, i)
}

// maxPageEntries is the maximum number of entries in a page of a range. It is
// small so that tests get several pages.
const maxPageEntries = 3

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	var found []item
	for key, i := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > maxPageEntries
	if more {
		found = found[:maxPageEntries]
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"entries":  found,
		"has_more": more,
		"at":       revision,
	})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	era := w.Header().Get("Store-Era")
	for {
		s.mu.Lock()
		events, revision, compacted, down, changed := s.eventsAfter(after, query.Get("prefix")), s.revision, s.compactedRevision, s.down, s.changed
		cut := era != strconv.FormatInt(s.era, 10)
		s.mu.Unlock()
		switch {
		case cut:
			panic(http.ErrAbortHandler)
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case after < compacted, after > revision:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			writeJSON(w, http.StatusOK, map[string]any{
				"events": events,
				"at":     revision,
			})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			writeJSON(w, http.StatusOK, map[string]any{
				"events": []item{},
				"at":     revision,
			})
			return
		}
	}
}

func (s *Store) eventsAfter(revision int64, prefix string) []item {
	var events []item
	for _, e := range s.events {
		if e.Revision > revision && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []item   `json:"expected_rev"`
		Put      []item   `json:"put"`
		Remove   []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status, current := s.transact(t.Expected, t.Put, t.Remove)
	revision, loseResponse := s.revision, s.losesResponses
	s.mu.Unlock()
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	if status == http.StatusNotFound {
		w.WriteHeader(status)
		return
	}
	writeJSON(w, status, map[string]any{
		"revision": revision,
		"entries":  current,
	})
}

func (s *Store) transact(expected, put []item, remove []string) (int, []item) {
	var current []item
	met := true
	for _, e := range expected {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		met = met && i.Revision == e.Revision
	}
	if !met {
		return http.StatusPreconditionFailed, current
	}
	for _, p := range put {
		if p.Lease != 0 && !s.leases[p.Lease] {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range put {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range remove {
		s.remove(key)
	}
	s.notifyWatches()
	return http.StatusOK, nil
}

func (s *Store) serveLease(w http.ResponseWriter) {
	s.mu.Lock()
	id := int64(len(s.leases) + 1)
	s.leases[id] = true
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"lease_id": id,
		"ttl_ms":   1000,
	})
}

func leaseIDOf(r *http.Request) int64 {
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	return id
}

func (s *Store) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	ok := s.leases[leaseIDOf(r)]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"ttl_ms": 1000,
	})
}

func (s *Store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	s.EndLease(leaseIDOf(r))
	writeJSON(w, http.StatusOK, map[string]any{})
}

// EndLease ends a lease and deletes the keys attached to it.
func (s *Store) EndLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases[id] = false
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.notifyWatches()
}
