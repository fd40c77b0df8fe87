package bmstandinplatform

import (
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StreamPrefix is the path prefix of requests that are answered with an event
// stream.
const StreamPrefix = "/stream/"

// CrashPath is the path of requests that crash every replica that runs them.
const CrashPath = StreamPrefix + "crash"

// EndlessPath is the path of streams that a replica does not end by itself.
const EndlessPath = StreamPrefix + "endless"

// SilentPath is the path of requests that a replica runs without an answer.
const SilentPath = StreamPrefix + "silent"

// SilentPrefix is the path prefix of further requests that a replica runs without an
// answer.
const SilentPrefix = "/silent/"

// LongPrefix is the path prefix of long streams. The number of their events is the
// next segment of the path.
const LongPrefix = StreamPrefix + "long/"

// LongEventInterval is the time between two events of a long stream.
const LongEventInterval = 100 * time.Millisecond

// CrashPart is the ID of a part of a prompt that crashes every replica that begins
// to answer a request with it, unless it is the last part.
const CrashPart = "bad0bad0"

// PlainBody returns the response body for an attempt whose path does not begin
// with StreamPrefix.
func PlainBody(attempt string) string {
	return "whole answer to " + attempt
}

// StreamBody returns the complete event stream for an attempt.
func StreamBody(attempt string) string {
	return LongBody(attempt, StreamEvents)
}

// LongBody returns the complete event stream for an attempt with the given number
// of events.
func LongBody(attempt string, events int) string {
	var b strings.Builder
	for id := 1; id <= events; id++ {
		b.WriteString(streamEvent(attempt, id))
	}
	return b.String()
}

func streamEvent(attempt string, id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, attempt)
}

// Replica is a stand-in for a replica. It runs every request whose header
// X-Expected-Replica has its ID and answers others with 421. It is safe for
// concurrent use.
type Replica struct {
	ID     string
	server *httptest.Server

	mu       sync.Mutex
	runs     []Run
	arrivals []Arrival
	leaving  bool
	failing  bool
	fullTill time.Time     // until when requests are turned away
	crashed  chan struct{} // closed when a run crashes the replica
}

// Arrival records a request that reached a replica, run or not.
type Arrival struct {
	Attempt string
	At      time.Time
	// TurnedAwayUntil is when the replica, which turned the request away, wants
	// requests again; zero if it was not turned away.
	TurnedAwayUntil time.Time
}

// Run records a request that a replica ran.
type Run struct {
	Attempt string
	Tenant  string
	Key     string // Authorization header; must be empty, since API keys must not reach replicas
	Path    string
	Parts   string // header X-Prefix-Hash
}

// Crashed reports whether the run crashed its replica.
func (r Run) Crashed() bool {
	return r.Path == CrashPath || hasCrashPart(r.Parts)
}

// hasCrashPart reports whether CrashPart is a part, but not the last one, of a
// prompt whose parts are listed as ID:TOKENS.
func hasCrashPart(parts string) bool {
	list := strings.Split(parts, ",")
	for _, part := range list[:len(list)-1] {
		id, _, _ := strings.Cut(part, ":")
		if id == CrashPart {
			return true
		}
	}
	return false
}

// StreamEvents is the number of events in a stream, EventInterval the time
// between two events, and PlainDuration the duration of a request without a
// stream.
const (
	StreamEvents  = 5
	EventInterval = 20 * time.Millisecond
	PlainDuration = 60 * time.Millisecond
)

// NewReplica starts a replica and returns a function that stops it.
func NewReplica(id string) (*Replica, func()) {
	r := &Replica{
		ID:      id,
		crashed: make(chan struct{}),
	}
	r.server = httptest.NewServer(http.HandlerFunc(r.serve))
	return r, r.server.Close
}

// Address returns the IP address and port of the replica.
func (r *Replica) Address() string {
	return strings.TrimPrefix(r.server.URL, "http://")
}

// Entry returns the entry that the replica writes to the store.
func (r *Replica) Entry(pool, lifecycle string) map[string]any {
	return EntryAt(r.Address(), pool, lifecycle)
}

// EntryAt returns the entry of a replica that is reached at the given address,
// such as that of a proxy.
func EntryAt(address, pool, lifecycle string) map[string]any {
	return map[string]any{
		"backend":      pool,
		"address":      address,
		"zone":         "z1",
		"version":      "v1",
		"slots":        4,
		"lifecycle":    lifecycle,
		"cold_left_ms": 0,
		"seq_num":      1,
	}
}

// SetLeaving makes the replica say in all its answers that it leaves, or stop saying so.
func (r *Replica) SetLeaving(leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leaving
}

// Fail makes the replica answer each third request with 500 after it has run it.
func (r *Replica) Fail() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = true
}

// failsNext reports whether the request that was recorded last is to fail.
func (r *Replica) failsNext() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failing && len(r.runs)%3 == 0
}

// TurnAway makes the replica turn requests away for a time, in whole seconds, and say for
// how long.
func (r *Replica) TurnAway(seconds int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fullTill = time.Now().Add(time.Duration(seconds) * time.Second)
}

// Arrivals returns the requests that reached the replica.
func (r *Replica) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}

// recordArrival records a request, and returns for how many seconds it is turned away, 0
// if it is not, and whether the replica leaves.
func (r *Replica) recordArrival(attempt string) (turnedAway int, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	a := Arrival{
		Attempt: attempt,
		At:      now,
	}
	if left := r.fullTill.Sub(now); left > 0 {
		turnedAway = int(math.Ceil(left.Seconds()))
		a.TurnedAwayUntil = now.Add(time.Duration(turnedAway) * time.Second)
	}
	r.arrivals = append(r.arrivals, a)
	return turnedAway, r.leaving
}

// Runs returns the requests that the replica ran.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Crashed returns a channel that is closed when a run crashes the replica.
func (r *Replica) Crashed() <-chan struct{} {
	return r.crashed
}

// Stop closes all connections and refuses new ones, like a process that exited.
func (r *Replica) Stop() {
	_ = r.server.Listener.Close()
	r.server.CloseClientConnections()
}

// CloseConnections closes all connections. New connections are still accepted.
func (r *Replica) CloseConnections() {
	r.server.CloseClientConnections()
}

func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("X-Attempt-Id", q.Header.Get("X-Attempt-Id"))
	if q.Header.Get("X-Expected-Replica") != r.ID {
		w.Header().Set("X-Replica-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	turnedAway, leaving := r.recordArrival(q.Header.Get("X-Attempt-Id"))
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if turnedAway > 0 {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.Itoa(turnedAway))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := Run{
		Attempt: q.Header.Get("X-Attempt-Id"),
		Tenant:  q.Header.Get("X-Tenant-Id"),
		Key:     q.Header.Get("Authorization"),
		Path:    q.RequestURI,
		Parts:   q.Header.Get("X-Prefix-Hash"),
	}
	r.record(run)
	if run.Crashed() {
		r.Stop()
		panic(http.ErrAbortHandler)
	}
	if q.URL.Path == SilentPath || strings.HasPrefix(q.URL.Path, SilentPrefix) {
		<-q.Context().Done()
		return
	}
	if strings.HasPrefix(q.URL.Path, FloodPrefix) {
		serveFlood(w, q)
		return
	}
	w.Header().Set("X-Response-Signature", "sig-"+r.ID)
	if r.failsNext() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	attempt := q.Header.Get("X-Attempt-Id")
	if !strings.HasPrefix(q.URL.Path, StreamPrefix) {
		time.Sleep(PlainDuration)
		fmt.Fprint(w, PlainBody(attempt))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last := 0
	if _, err := fmt.Sscan(q.Header.Get("Last-Event-Id"), &last); err != nil {
		last = 0
	}
	if strings.HasPrefix(q.URL.Path, UnmarkedPrefix) {
		serveUnmarked(w, attempt, last)
		return
	}
	events, interval := eventsOf(q.URL.Path)
	for id := last + 1; id <= events; id++ {
		fmt.Fprint(w, streamEvent(attempt, id))
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(interval)
	}
	if q.URL.Path == EndlessPath {
		<-q.Context().Done()
	}
}

func (r *Replica) record(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
	if !run.Crashed() {
		return
	}
	select {
	case <-r.crashed:
	default:
		close(r.crashed)
	}
}

// eventsOf returns the number of events of the stream with the given path and the
// time between two of them.
func eventsOf(path string) (int, time.Duration) {
	rest, long := strings.CutPrefix(path, LongPrefix)
	if !long {
		return StreamEvents, EventInterval
	}
	first, _, _ := strings.Cut(rest, "/")
	events, err := strconv.Atoi(first)
	if err != nil {
		return StreamEvents, EventInterval
	}
	return events, LongEventInterval
}
