package bmstandin

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync"

	"basilmoor.example/basilmoor"
)

// Execution records one run of a request on a target. Start and End are
// timestamps of the target's clock in milliseconds; End is 0 while the request
// is running.
type Execution struct {
	Sequence   int              `json:"sequence"` // starts at 1, in order of start
	Request    string           `json:"request-id"`
	Key        string           `json:"request-key,omitempty"`
	Method     string           `json:"method"`
	Path       string           `json:"path"`
	BodyDigest string           `json:"body-digest"` // hexadecimal SHA-256
	Start      basilmoor.Millis `json:"start"`
	End        basilmoor.Millis `json:"end"`

	// Complete is set if the work ran to completion, whether or not the client
	// received the response.
	Complete bool `json:"complete"`

	// Tokens is the number of output tokens that an engine generated.
	Tokens int `json:"tokens,omitempty"`
}

// Executions is the execution log of a target. It is kept across simulated
// crashes, so that a test can count how often each request ran. It is safe for
// concurrent use.
type Executions struct {
	clock basilmoor.Clock

	mu      sync.Mutex
	entries []Execution
}

// NewExecutions returns an empty log.
func NewExecutions(clock basilmoor.Clock) *Executions {
	return &Executions{
		clock: clock,
	}
}

// NewExecution returns the record of a request that has not started yet.
func NewExecution(r *http.Request, body []byte) Execution {
	return Execution{
		Request:    r.Header.Get(RequestIDHeader),
		Key:        r.Header.Get(RequestKeyHeader),
		Method:     r.Method,
		Path:       r.URL.Path,
		BodyDigest: Digest(body),
	}
}

// Start records the start of an execution and returns its sequence number.
func (e *Executions) Start(x Execution) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.Sequence = len(e.entries) + 1
	x.Start = e.clock.Now()
	e.entries = append(e.entries, x)
	return x.Sequence
}

// End records the end of the execution with the given sequence number. Later
// calls for the same number have no effect.
func (e *Executions) End(sequence, tokens int, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := &e.entries[sequence-1]
	if x.End != 0 {
		return
	}
	x.End = max(e.clock.Now(), 1) // 0 means that the request is still running
	x.Tokens = tokens
	x.Complete = complete
}

// All returns a copy of the log.
func (e *Executions) All() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Execution(nil), e.entries...)
}

// ExecutionList is the response to GET /v1/executions.
type ExecutionList struct {
	Now        basilmoor.Millis `json:"now"`
	Executions []Execution      `json:"executions"`
}

// ServeHTTP handles GET /v1/executions.
func (e *Executions) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, ExecutionList{
		Now:        e.clock.Now(),
		Executions: e.All(),
	})
}

// Digest returns the hexadecimal SHA-256 of body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
