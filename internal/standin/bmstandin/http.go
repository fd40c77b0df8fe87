// Package bmstandin holds what the stand-ins of the platform share: a server
// whose connections can be cut or silenced, the log of executions, and helpers
// for JSON over HTTP.
//
// Invariants: a response that is dropped with Drop never reaches the client in
// part; an execution is logged before its work starts and is closed once.
package bmstandin

import (
	"encoding/json"
	"io"
	"net/http"
)

// Headers of requests to targets and of their responses.
const (
	RequestIDHeader  = "Basilmoor-Request-Id"
	RequestKeyHeader = "Basilmoor-Request-Key"
	OutcomeHeader    = "Basilmoor-Outcome"
	LeavingHeader    = "Basilmoor-Leaving"
)

// OutcomeNotRun is the value of OutcomeHeader that states that the target did
// not and will not run the request.
const OutcomeNotRun = "not-run"

// maxControlBytes bounds the body of a fault request or a command.
const maxControlBytes = 1 << 20

// Problem is the JSON body of an error response.
type Problem struct {
	Error string `json:"error"`
}

// WriteJSON sends v with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client has left
}

// WriteProblem sends an error response.
func WriteProblem(w http.ResponseWriter, status int, text string) {
	WriteJSON(w, status, Problem{
		Error: text,
	})
}

// ReadJSON decodes the request body into v. Unknown fields are errors, so that
// a mistyped fault is not taken for no fault. On an error it sends 400 and
// returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxControlBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		WriteProblem(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// RefuseNotRun sends 503 with the statement that the request was not run.
func RefuseNotRun(w http.ResponseWriter, leaving bool, text string) {
	w.Header().Set(OutcomeHeader, OutcomeNotRun)
	if leaving {
		w.Header().Set(LeavingHeader, "true")
	}
	WriteProblem(w, http.StatusServiceUnavailable, text)
}

// Drop ends the handler and closes its connection without sending what is
// still buffered.
func Drop() {
	panic(http.ErrAbortHandler)
}
