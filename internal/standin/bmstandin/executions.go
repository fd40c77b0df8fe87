package bmstandin

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync"

	"basilmoor.example/basilmoor"
)

// Execution is one run of a request on a target. Start and End are instants of
// the target's clock in milliseconds; End is 0 while the request runs.
type Execution struct {
	Sequence   int              `json:"sequence"` // from 1, in order of start
	Request    string           `json:"request-id"`
	Key        string           `json:"request-key,omitempty"`
	Method     string           `json:"method"`
	Path       string           `json:"path"`
	BodyDigest string           `json:"body-digest"` // hexadecimal SHA-256
	Start      basilmoor.Millis `json:"start"`
	End        basilmoor.Millis `json:"end"`

	// Complete tells that the work was done in full, whether or not the
	// response reached the client.
	Complete bool `json:"complete"`

	// Tokens counts what an engine generated.
	Tokens int `json:"tokens,omitempty"`
}

// Executions is the log of what a target ran. It survives the faults of the
// target, so that a checker can count the runs of each request. It is safe for
// concurrent use.
type Executions struct {
	clock basilmoor.Clock

	mu  sync.Mutex
	log []Execution
}

// NewExecutions returns an empty log.
func NewExecutions(clock basilmoor.Clock) *Executions {
	return &Executions{
		clock: clock,
	}
}

// NewExecution describes a request that has not started yet.
func NewExecution(r *http.Request, body []byte) Execution {
	return Execution{
		Request:    r.Header.Get(RequestIDHeader),
		Key:        r.Header.Get(RequestKeyHeader),
		Method:     r.Method,
		Path:       r.URL.Path,
		BodyDigest: Digest(body),
	}
}

// Start logs that the target begins to run a request and returns its sequence
// number.
func (e *Executions) Start(x Execution) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.Sequence = len(e.log) + 1
	x.Start = e.clock.Now()
	e.log = append(e.log, x)
	return x.Sequence
}

// End closes the execution with the given sequence number. Further calls for
// the same number have no effect.
func (e *Executions) End(sequence, tokens int, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := &e.log[sequence-1]
	if x.End != 0 {
		return
	}
	x.End = max(e.clock.Now(), 1) // 0 stands for a running request
	x.Tokens = tokens
	x.Complete = complete
}

// All returns a copy of the log.
func (e *Executions) All() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Execution(nil), e.log...)
}

// ExecutionList is the response to GET /v1/executions.
type ExecutionList struct {
	Now        basilmoor.Millis `json:"now"`
	Executions []Execution      `json:"executions"`
}

// ServeHTTP answers GET /v1/executions.
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
