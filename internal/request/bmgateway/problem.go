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
	basilmoor.ReasonUnauthorized:      {http.StatusUnauthorized, "The bearer token belongs to no workspace", 0},
	basilmoor.ReasonUnknownKind:       {http.StatusNotFound, "No kind of requests matches", 0},
	basilmoor.ReasonMalformed:         {http.StatusBadRequest, "The request is malformed", 0},
	basilmoor.ReasonTooLarge:          {http.StatusRequestEntityTooLarge, "The request is too large", 0},
	basilmoor.ReasonMethodNotAllowed:  {http.StatusMethodNotAllowed, "The method is not allowed", 0},
	basilmoor.ReasonQueueFull:         {http.StatusServiceUnavailable, "The queue is full", 2 * basilmoor.Second},
	basilmoor.ReasonDisplaced:         {http.StatusServiceUnavailable, "A higher tier took the place in the queue", 2 * basilmoor.Second},
	basilmoor.ReasonDeadline:          {http.StatusServiceUnavailable, "The deadline can't be met", 2 * basilmoor.Second},
	basilmoor.ReasonNoTarget:          {http.StatusServiceUnavailable, "No target can serve the request", 5 * basilmoor.Second},
	basilmoor.ReasonRateLimit:         {http.StatusTooManyRequests, "The workspace's rate limit is reached", basilmoor.Second},
	basilmoor.ReasonConcurrencyLimit:  {http.StatusTooManyRequests, "The workspace's concurrency limit is reached", basilmoor.Second},
	basilmoor.ReasonKeyRequired:       {http.StatusBadRequest, "An Idempotency-Key is required", 0},
	basilmoor.ReasonKeyMismatch:       {http.StatusUnprocessableEntity, "The Idempotency-Key was used with another request", 0},
	basilmoor.ReasonKeyInProgress:     {http.StatusConflict, "A request with this Idempotency-Key is in progress", 2 * basilmoor.Second},
	basilmoor.ReasonStoreUnavailable:  {http.StatusServiceUnavailable, "Claims can't be made durable at present", 2 * basilmoor.Second},
	basilmoor.ReasonCrashSuspect:      {http.StatusUnprocessableEntity, "The request is held back because targets died while running it", 0},
	basilmoor.ReasonStopping:          {http.StatusServiceUnavailable, "The host is stopping", basilmoor.Second},
	basilmoor.ReasonIsolated:          {http.StatusServiceUnavailable, "The host has lost contact with the fleet", basilmoor.Second},
	basilmoor.ReasonNoConfiguration:   {http.StatusServiceUnavailable, "The host has no usable configuration", basilmoor.Second},
	basilmoor.ReasonTargetRefused:     {http.StatusServiceUnavailable, "The target refused the request", 2 * basilmoor.Second},
	basilmoor.ReasonTargetUnreachable: {http.StatusServiceUnavailable, "No target could be reached", 2 * basilmoor.Second},
	basilmoor.ReasonCallerLeft:        {499, "The caller left", 0},
	basilmoor.ReasonTargetFailed:      {http.StatusBadGateway, "The connection to the target broke", 0},
	basilmoor.ReasonTargetSilent:      {http.StatusGatewayTimeout, "The target stopped responding", 0},
	basilmoor.ReasonHolderLost:        {http.StatusConflict, "The outcome of the request with this Idempotency-Key is not known", 0},
	ReasonNotRecorded:                 {http.StatusConflict, "The request is done; its response was too large to be recorded", 0},
}

// report returns the problem for a reason and an outcome.
func report(reason basilmoor.Reason, o basilmoor.Outcome, detail string) problem {
	r, ok := replies[reason]
	if !ok {
		r = reply{http.StatusServiceUnavailable, string(reason), basilmoor.Second}
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
