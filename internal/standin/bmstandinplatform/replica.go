package bmstandinplatform

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// StreamPrefix begins the paths of requests that are answered by a stream of
// events.
const StreamPrefix = "/stream/"

// CrashPath is the path of requests that end every replica that runs them.
const CrashPath = StreamPrefix + "crash"

// PlainBody is the response to a request of another path.
func PlainBody(attempt string) string {
	return "whole answer to " + attempt
}

// StreamBody is the whole stream that answers a request.
func StreamBody(attempt string) string {
	var b strings.Builder
	for id := 1; id <= Events; id++ {
		b.WriteString(streamEvent(attempt, id))
	}
	return b.String()
}

func streamEvent(attempt string, id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, attempt)
}

// Replica is a stand-in of a replica. It runs every request that expects it.
// It is safe for concurrent use.
type Replica struct {
	ID     string
	server *httptest.Server

	mu   sync.Mutex
	runs []Run
}

// Run is a request that a replica ran.
type Run struct {
	Attempt string
	Tenant  string
	Key     string // that reached the replica, which is a fault
	Path    string
}

// Events is the number of events of a stream, EventPause the time between two
// of them, and PlainPause the time of another request.
const (
	Events     = 5
	EventPause = 20 * time.Millisecond
	PlainPause = 60 * time.Millisecond
)

// NewReplica starts a replica and returns a function that stops it.
func NewReplica(id string) (*Replica, func()) {
	r := &Replica{
		ID: id,
	}
	r.server = httptest.NewServer(http.HandlerFunc(r.serve))
	return r, r.server.Close
}

// Address returns the IP address and port of the replica.
func (r *Replica) Address() string {
	return strings.TrimPrefix(r.server.URL, "http://")
}

// Entry is what the replica writes to the store.
func (r *Replica) Entry(pool, lifecycle string) map[string]any {
	return EntryAt(r.Address(), pool, lifecycle)
}

// EntryAt is the entry of a replica that is reached at another address, as
// through a proxy.
func EntryAt(address, pool, lifecycle string) map[string]any {
	return map[string]any{
		"backend":   pool,
		"address":   address,
		"zone":      "z1",
		"version":   "v1",
		"slots":     4,
		"lifecycle": lifecycle,
	}
}

// Runs returns the requests that the replica ran.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Die closes all connections and refuses new ones, as a process that has ended.
func (r *Replica) Die() {
	_ = r.server.Listener.Close()
	r.server.CloseClientConnections()
}

// Crash closes all connections.
func (r *Replica) Crash() {
	r.server.CloseClientConnections()
}

func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("X-Attempt-Id", q.Header.Get("X-Attempt-Id"))
	if q.Header.Get("X-Expected-Replica") != r.ID {
		w.Header().Set("X-Replica-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.runs = append(r.runs, Run{
		Attempt: q.Header.Get("X-Attempt-Id"),
		Tenant:  q.Header.Get("X-Tenant-Id"),
		Key:     q.Header.Get("Authorization"),
		Path:    q.RequestURI,
	})
	r.mu.Unlock()
	if q.URL.Path == CrashPath {
		r.Die()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Signature", "sig-"+r.ID)
	attempt := q.Header.Get("X-Attempt-Id")
	if !strings.HasPrefix(q.URL.Path, StreamPrefix) {
		time.Sleep(PlainPause)
		fmt.Fprint(w, PlainBody(attempt))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last := 0
	if _, err := fmt.Sscan(q.Header.Get("Last-Event-Id"), &last); err != nil {
		last = 0
	}
	for id := last + 1; id <= Events; id++ {
		fmt.Fprint(w, streamEvent(attempt, id))
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(EventPause)
	}
}
