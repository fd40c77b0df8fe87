// Package bmstandin contains the code shared by the simulated platform services
// that tests and the demo use: an HTTP server whose connections can be closed or
// silenced, fault injection, an execution log, and helpers for JSON over HTTP.
//
// Invariants:
//   - AbortResponse discards the data that is still buffered; a response aborted
//     before anything was flushed never reaches the client in part.
//   - An execution is logged before its work starts, and its end is recorded
//     once.
package bmstandin

import (
	"encoding/json"
	"io"
	"net/http"
)

// Headers of requests to targets and of responses from them.
const (
	RequestIDHeader  = "Basilmoor-Request-Id"
	RequestKeyHeader = "Basilmoor-Request-Key"
	OutcomeHeader    = "Basilmoor-Outcome"
	LeavingHeader    = "Basilmoor-Leaving"
)

// OutcomeNotRun is the OutcomeHeader value that guarantees that the target did
// not run the request and will not run it later.
const OutcomeNotRun = "not-run"

// maxControlBytes limits the JSON body of a control request, such as a fault
// or a command.
const maxControlBytes = 1 << 20

// Problem is the JSON body of an error response.
type Problem struct {
	Error string `json:"error"`
}

// WriteJSON sends v as JSON with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client disconnected
}

// WriteProblem sends a JSON error response.
func WriteProblem(w http.ResponseWriter, status int, text string) {
	WriteJSON(w, status, Problem{
		Error: text,
	})
}

// ReadJSON decodes the request body into v. It rejects unknown fields, so that
// a misspelled fault name is reported instead of ignored. On error it sends
// status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxControlBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		WriteProblem(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// NameRequest makes the response name the request that it answers.
func NameRequest(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(RequestIDHeader); id != "" {
		w.Header().Set(RequestIDHeader, id)
	}
}

// RejectNotRun sends status 503 and the header that states that the request
// was not run. If leaving is set, it adds LeavingHeader.
func RejectNotRun(w http.ResponseWriter, leaving bool, text string) {
	w.Header().Set(OutcomeHeader, OutcomeNotRun)
	if leaving {
		w.Header().Set(LeavingHeader, "true")
	}
	WriteProblem(w, http.StatusServiceUnavailable, text)
}

// AbortResponse aborts the current HTTP handler by panicking with
// http.ErrAbortHandler, which closes the connection and discards buffered
// output.
func AbortResponse() {
	panic(http.ErrAbortHandler)
}
