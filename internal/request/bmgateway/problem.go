package bmgateway

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/request/bmdispatch"
)

// problem is a response without a target's body, as in RFC 9457.
type problem struct {
	status  int
	reason  basilmoor.Reason
	outcome basilmoor.Outcome
	detail  string

	// retryAfter is sent with up to half of it added at random, so that
	// refused callers do not come back at once; 0 sends none.
	retryAfter basilmoor.Millis

	// retryHeader is a target's own Retry-After and takes precedence.
	retryHeader string
	replayed    bool

	// answer is sent instead of the problem if it is set.
	answer *basilmoor.Answer
}

// problemBody is the wire form.
type problemBody struct {
	Type    string            `json:"type"`
	Title   string            `json:"title"`
	Status  int               `json:"status"`
	Detail  string            `json:"detail,omitempty"`
	Reason  basilmoor.Reason  `json:"reason"`
	Outcome basilmoor.Outcome `json:"outcome"`
}

// reply is how a reason is reported.
type reply struct {
	status int
	title  string
	retry  basilmoor.Millis // default hint, 0 where a retry does not help
}

var replies = map[basilmoor.Reason]reply{
	basilmoor.ReasonUnauthorized: {
		status: http.StatusUnauthorized,
		title:  "The bearer token belongs to no workspace",
		retry:  0,
	},
	basilmoor.ReasonUnknownKind: {
		status: http.StatusNotFound,
		title:  "No kind of requests matches",
		retry:  0,
	},
	basilmoor.ReasonMalformed: {
		status: http.StatusBadRequest,
		title:  "The request is malformed",
		retry:  0,
	},
	basilmoor.ReasonTooLarge: {
		status: http.StatusRequestEntityTooLarge,
		title:  "The request is too large",
		retry:  0,
	},
	basilmoor.ReasonMethodNotAllowed: {
		status: http.StatusMethodNotAllowed,
		title:  "The method is not allowed",
		retry:  0,
	},
	basilmoor.ReasonQueueFull: {
		status: http.StatusServiceUnavailable,
		title:  "The queue is full",
		retry:  2 * basilmoor.Second,
	},
	basilmoor.ReasonDisplaced: {
		status: http.StatusServiceUnavailable,
		title:  "A higher tier took the place in the queue",
		retry:  2 * basilmoor.Second,
	},
	basilmoor.ReasonDeadline: {
		status: http.StatusServiceUnavailable,
		title:  "The deadline can't be met",
		retry:  2 * basilmoor.Second,
	},
	basilmoor.ReasonNoTarget: {
		status: http.StatusServiceUnavailable,
		title:  "No target can serve the request",
		retry:  5 * basilmoor.Second,
	},
	basilmoor.ReasonRateLimit: {
		status: http.StatusTooManyRequests,
		title:  "The workspace's rate limit is reached",
		retry:  basilmoor.Second,
	},
	basilmoor.ReasonConcurrencyLimit: {
		status: http.StatusTooManyRequests,
		title:  "The workspace's concurrency limit is reached",
		retry:  basilmoor.Second,
	},
	basilmoor.ReasonKeyRequired: {
		status: http.StatusBadRequest,
		title:  "An Idempotency-Key is required",
		retry:  0,
	},
	basilmoor.ReasonKeyMismatch: {
		status: http.StatusUnprocessableEntity,
		title:  "The Idempotency-Key was used with another request",
		retry:  0,
	},
	basilmoor.ReasonKeyInProgress: {
		status: http.StatusConflict,
		title:  "A request with this Idempotency-Key is in progress",
		retry:  2 * basilmoor.Second,
	},
	basilmoor.ReasonStoreUnavailable: {
		status: http.StatusServiceUnavailable,
		title:  "Claims can't be made durable at present",
		retry:  2 * basilmoor.Second,
	},
	basilmoor.ReasonCrashSuspect: {
		status: http.StatusUnprocessableEntity,
		title:  "The request is held back because targets died while running it",
		retry:  0,
	},
	basilmoor.ReasonStopping: {
		status: http.StatusServiceUnavailable,
		title:  "The host is stopping",
		retry:  basilmoor.Second,
	},
	basilmoor.ReasonIsolated: {
		status: http.StatusServiceUnavailable,
		title:  "The host has lost contact with the fleet",
		retry:  basilmoor.Second,
	},
	basilmoor.ReasonNoConfiguration: {
		status: http.StatusServiceUnavailable,
		title:  "The host has no usable configuration",
		retry:  basilmoor.Second,
	},
	basilmoor.ReasonTargetRefused: {
		status: http.StatusServiceUnavailable,
		title:  "The target refused the request",
		retry:  2 * basilmoor.Second,
	},
	basilmoor.ReasonTargetUnreachable: {
		status: http.StatusServiceUnavailable,
		title:  "No target could be reached",
		retry:  2 * basilmoor.Second,
	},
	basilmoor.ReasonCallerLeft: {
		status: 499,
		title:  "The caller left",
		retry:  0,
	},
	basilmoor.ReasonTargetFailed: {
		status: http.StatusBadGateway,
		title:  "The connection to the target broke",
		retry:  0,
	},
	basilmoor.ReasonTargetSilent: {
		status: http.StatusGatewayTimeout,
		title:  "The target stopped responding",
		retry:  0,
	},
	basilmoor.ReasonHolderLost: {
		status: http.StatusConflict,
		title:  "The outcome of the request with this Idempotency-Key is not known",
		retry:  0,
	},
	ReasonNotRecorded: {
		status: http.StatusConflict,
		title:  "The request is done; its response was too large to be recorded",
		retry:  0,
	},
}

// report returns the problem for a reason and an outcome.
func report(reason basilmoor.Reason, o basilmoor.Outcome, detail string) problem {
	r, ok := replies[reason]
	if !ok {
		r = reply{
			status: http.StatusServiceUnavailable,
			title:  string(reason),
			retry:  basilmoor.Second,
		}
	}
	return problem{
		status:     r.status,
		reason:     reason,
		outcome:    o,
		detail:     detail,
		retryAfter: r.retry,
	}
}

func notRun(reason basilmoor.Reason, detail string) problem {
	return report(reason, basilmoor.OutcomeNotRun, detail)
}

// write sends the problem as the whole response.
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
		panic(err) // strings and numbers always encode
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(bmdispatch.HeaderOutcome, string(p.outcome))
	if p.replayed {
		h.Set(HeaderReplayed, "true")
	}
	if v := p.retry(); v != "" {
		h.Set("Retry-After", v)
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(body)
}

func (p problem) title() string {
	if r, ok := replies[p.reason]; ok {
		return r.title
	}
	return string(p.reason)
}

// retry returns the value of Retry-After in seconds.
func (p problem) retry() string {
	if _, err := strconv.ParseUint(p.retryHeader, 10, 31); err == nil {
		return p.retryHeader
	}
	if p.retryAfter <= 0 {
		return ""
	}
	ms := p.retryAfter + basilmoor.Millis(rand.Int64N(int64(p.retryAfter)/2+1))
	seconds := (ms + basilmoor.Second - 1) / basilmoor.Second
	return strconv.FormatInt(int64(seconds), 10)
}
