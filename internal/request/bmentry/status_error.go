package bmentry

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// shortRetryAfter is the retry hint when the cause is expected to pass by itself
// soon, such as a host that has just started.
const shortRetryAfter basilmoor.Millis = 500

// statusError is an error that is answered with an HTTP status. The body of the
// answer is the reason; Detail is not sent.
type statusError struct {
	Status     int
	Reason     basilmoor.Reason
	Source     basilmoor.RefusalSource
	RetryAfter basilmoor.Millis // 0 for no hint
	Detail     string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Status, e.Reason, e.Detail)
}

// newRetryableError returns the answer to a request that no target has run or
// will run, so that the caller can send it again.
func newRetryableError(reason basilmoor.Reason, retryAfter basilmoor.Millis, detail string) *statusError {
	status := http.StatusServiceUnavailable
	if reason == basilmoor.ReasonRateLimit {
		status = http.StatusTooManyRequests
	}
	return &statusError{
		Status:     status,
		Reason:     reason,
		RetryAfter: retryAfter,
		Detail:     detail,
	}
}

// promisesNotRun reports whether callers take a status for the promise that no target has
// run or will run their request, so that they send it again.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// newFinalError returns the answer to a request that is invalid or that a target
// may have run. It makes no promise that sending the request again is safe.
func newFinalError(status int, reason basilmoor.Reason, detail string) *statusError {
	return &statusError{
		Status: status,
		Reason: reason,
		Detail: detail,
	}
}

// newRefusalError converts a refusal of the scheduler to an answer.
func newRefusalError(err error) *statusError {
	var refusal *basilmoor.RefusalError
	if errors.As(err, &refusal) && refusal.Refusal.Reason == basilmoor.ReasonStopping {
		return newRetryableError(basilmoor.ReasonStopping, stoppingRetryAfter, refusal.Error())
	}
	if refusal != nil {
		answer := newRetryableError(refusal.Refusal.Reason, max(refusal.Refusal.RetryAfter, shortRetryAfter), refusal.Error())
		answer.Source = refusal.Refusal.Source
		return answer
	}
	return newRetryableError(basilmoor.ReasonDeadline, 0, err.Error())
}

// write sends the answer. No part of another response may have been written.
func (e *statusError) write(w http.ResponseWriter, protocol Protocol, closing bool) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if e.RetryAfter > 0 {
		protocol.SetRetryAfter(h, e.RetryAfter)
	}
	if closing {
		h.Set("Connection", "close")
	}
	w.WriteHeader(e.Status)
	fmt.Fprintf(w, "%s\n", e.Reason)
}
