package bmgateway

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/request/bmdispatch"
)

// problem is a response that the gateway itself generates, in the format of RFC
// 9457 unless recordedAnswer is set.
type problem struct {
	status  int
	reason  basilmoor.Reason
	outcome basilmoor.Outcome
	detail  string

	// retryAfter is sent as Retry-After, increased by a random part of up to
	// half of it, so that refused callers don't all retry at the same time; 0
	// sends none.
	retryAfter basilmoor.Millis

	// targetRetryAfter is the Retry-After header of the target's response; if
	// valid, it takes precedence over retryAfter.
	targetRetryAfter string
	replayed         bool

	// closeConnection makes the caller's next request need a new connection, which
	// the load balancer opens to another host if this one stops.
	closeConnection bool

	// recordedAnswer is sent instead of the problem if it is not nil.
	recordedAnswer *basilmoor.Answer
}

// problemBody is the JSON encoding of a problem.
type problemBody struct {
	Type    string            `json:"type"`
	Title   string            `json:"title"`
	Status  int               `json:"status"`
	Detail  string            `json:"detail,omitempty"`
	Reason  basilmoor.Reason  `json:"reason"`
	Outcome basilmoor.Outcome `json:"outcome"`
}

// problemType holds the parts of a problem that are the same for all problems
// with one reason.
type problemType struct {
	status     int
	title      string
	retryAfter basilmoor.Millis // default; 0 if a retry would not help
}

// problemTypes holds the problem type of each reason that callers receive.
var problemTypes = map[basilmoor.Reason]problemType{
	basilmoor.ReasonUnauthorized: {
		status:     http.StatusUnauthorized,
		title:      "The bearer token belongs to no workspace",
		retryAfter: 0,
	},
	basilmoor.ReasonUnknownKind: {
		status:     http.StatusNotFound,
		title:      "No kind of requests matches",
		retryAfter: 0,
	},
	basilmoor.ReasonMalformed: {
		status:     http.StatusBadRequest,
		title:      "The request is malformed",
		retryAfter: 0,
	},
	basilmoor.ReasonTooLarge: {
		status:     http.StatusRequestEntityTooLarge,
		title:      "The request is too large",
		retryAfter: 0,
	},
	basilmoor.ReasonMethodNotAllowed: {
		status:     http.StatusMethodNotAllowed,
		title:      "The method is not allowed",
		retryAfter: 0,
	},
	basilmoor.ReasonQueueFull: {
		status:     http.StatusServiceUnavailable,
		title:      "The queue is full",
		retryAfter: 2 * basilmoor.Second,
	},
	basilmoor.ReasonDisplaced: {
		status:     http.StatusServiceUnavailable,
		title:      "A higher tier took the place in the queue",
		retryAfter: 2 * basilmoor.Second,
	},
	basilmoor.ReasonDeadline: {
		status:     http.StatusServiceUnavailable,
		title:      "The deadline can't be met",
		retryAfter: 2 * basilmoor.Second,
	},
	basilmoor.ReasonNoTarget: {
		status:     http.StatusServiceUnavailable,
		title:      "No target can serve the request",
		retryAfter: 5 * basilmoor.Second,
	},
	basilmoor.ReasonRateLimit: {
		status:     http.StatusTooManyRequests,
		title:      "The workspace's rate limit is reached",
		retryAfter: basilmoor.Second,
	},
	basilmoor.ReasonConcurrencyLimit: {
		status:     http.StatusTooManyRequests,
		title:      "The workspace's concurrency limit is reached",
		retryAfter: basilmoor.Second,
	},
	basilmoor.ReasonKeyRequired: {
		status:     http.StatusBadRequest,
		title:      "An Idempotency-Key is required",
		retryAfter: 0,
	},
	basilmoor.ReasonKeyMismatch: {
		status:     http.StatusUnprocessableEntity,
		title:      "The Idempotency-Key was used with another request",
		retryAfter: 0,
	},
	basilmoor.ReasonKeyInProgress: {
		status:     http.StatusConflict,
		title:      "A request with this Idempotency-Key is in progress",
		retryAfter: 2 * basilmoor.Second,
	},
	basilmoor.ReasonStoreUnavailable: {
		status:     http.StatusServiceUnavailable,
		title:      "Claims can't be made durable at present",
		retryAfter: 2 * basilmoor.Second,
	},
	basilmoor.ReasonCrashSuspect: {
		status:     http.StatusUnprocessableEntity,
		title:      "The request is held back because targets died while running it",
		retryAfter: 0,
	},
	basilmoor.ReasonTooManyConns: {
		status:     http.StatusServiceUnavailable,
		title:      "The host has no room for the connection",
		retryAfter: basilmoor.Second,
	},
	basilmoor.ReasonNoMemory: {
		status:     http.StatusServiceUnavailable,
		title:      "The host has no memory for the request",
		retryAfter: basilmoor.Second,
	},
	basilmoor.ReasonStopping: {
		status:     http.StatusServiceUnavailable,
		title:      "The host is stopping",
		retryAfter: basilmoor.Second,
	},
	basilmoor.ReasonIsolated: {
		status:     http.StatusServiceUnavailable,
		title:      "The host has lost contact with the fleet",
		retryAfter: basilmoor.Second,
	},
	basilmoor.ReasonNoConfiguration: {
		status:     http.StatusServiceUnavailable,
		title:      "The host has no usable configuration",
		retryAfter: basilmoor.Second,
	},
	basilmoor.ReasonTargetRefused: {
		status:     http.StatusServiceUnavailable,
		title:      "The target refused the request",
		retryAfter: 2 * basilmoor.Second,
	},
	basilmoor.ReasonTargetUnreachable: {
		status:     http.StatusServiceUnavailable,
		title:      "No target could be reached",
		retryAfter: 2 * basilmoor.Second,
	},
	basilmoor.ReasonCallerLeft: {
		status:     499,
		title:      "The caller left",
		retryAfter: 0,
	},
	basilmoor.ReasonTargetFailed: {
		status:     http.StatusBadGateway,
		title:      "The connection to the target broke",
		retryAfter: 0,
	},
	basilmoor.ReasonTargetSilent: {
		status:     http.StatusGatewayTimeout,
		title:      "The target stopped responding",
		retryAfter: 0,
	},
	basilmoor.ReasonHolderLost: {
		status:     http.StatusConflict,
		title:      "The outcome of the request with this Idempotency-Key is not known",
		retryAfter: 0,
	},
	ReasonResponseNotRecorded: {
		status:     http.StatusConflict,
		title:      "The request is done; its response was too large to be recorded",
		retryAfter: 0,
	},
}

// newProblem returns the problem for a reason and an outcome. A reason without an
// entry in problemTypes is reported with status 503.
func newProblem(reason basilmoor.Reason, o basilmoor.Outcome, detail string) problem {
	r, ok := problemTypes[reason]
	if !ok {
		r = problemType{
			status:     http.StatusServiceUnavailable,
			title:      string(reason),
			retryAfter: basilmoor.Second,
		}
	}
	return problem{
		status:          r.status,
		reason:          reason,
		outcome:         o,
		detail:          detail,
		retryAfter:      r.retryAfter,
		closeConnection: reason == basilmoor.ReasonStopping,
	}
}

func newNotRunProblem(reason basilmoor.Reason, detail string) problem {
	return newProblem(reason, basilmoor.OutcomeNotRun, detail)
}

// write sends the problem as the complete response.
func (p problem) write(w http.ResponseWriter) {
	body, err := json.Marshal(problemBody{
		Type:    "urn:basilmoor:problem:" + string(p.reason),
		Title:   p.title(),
		Status:  p.status,
		Detail:  p.detail,
		Reason:  p.reason,
		Outcome: p.outcome,
	})
	if err != nil {
		panic(err) // can't happen: strings and numbers always encode
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(bmdispatch.HeaderOutcome, string(p.outcome))
	if p.replayed {
		h.Set(HeaderReplayed, "true")
	}
	if v := p.retryAfterSeconds(); v != "" {
		h.Set("Retry-After", v)
	}
	if p.closeConnection {
		h.Set("Connection", "close")
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(body)
}

func (p problem) title() string {
	if r, ok := problemTypes[p.reason]; ok {
		return r.title
	}
	return string(p.reason)
}

// retryAfterSeconds returns the value of the Retry-After header, or "" for none.
func (p problem) retryAfterSeconds() string {
	if _, err := strconv.ParseUint(p.targetRetryAfter, 10, 31); err == nil {
		return p.targetRetryAfter
	}
	if p.retryAfter <= 0 {
		return ""
	}
	ms := p.retryAfter + basilmoor.Millis(rand.Int64N(int64(p.retryAfter)/2+1))
	seconds := (ms + basilmoor.Second - 1) / basilmoor.Second
	return strconv.FormatInt(int64(seconds), 10)
}
