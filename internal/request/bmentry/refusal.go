package bmentry

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// shortRetry is the hint for refusals that end by themselves soon, such as a
// host that has just started.
const shortRetry basilmoor.Millis = 500

// answerError is an answer of the system's own.
type answerError struct {
	Status     int
	Reason     basilmoor.Reason
	RetryAfter basilmoor.Millis // 0 for no hint
	Detail     string
}

func (e *answerError) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Status, e.Reason, e.Detail)
}

// notRun is the answer to a request that no target has run or will run.
func notRun(reason basilmoor.Reason, retryAfter basilmoor.Millis, detail string) *answerError {
	status := http.StatusServiceUnavailable
	if reason == basilmoor.ReasonRateLimit {
		status = http.StatusTooManyRequests
	}
	return &answerError{
		Status:     status,
		Reason:     reason,
		RetryAfter: retryAfter,
		Detail:     detail,
	}
}

// finalAnswer is an answer that says nothing about whether a target ran the
// request: it is wrong, or it may have run.
func finalAnswer(status int, reason basilmoor.Reason, detail string) *answerError {
	return &answerError{
		Status: status,
		Reason: reason,
		Detail: detail,
	}
}

// refusalAnswer turns a scheduler's refusal into an answer.
func refusalAnswer(err error) *answerError {
	var refusal *basilmoor.RefusalError
	if errors.As(err, &refusal) {
		return notRun(refusal.Refusal.Reason, max(refusal.Refusal.RetryAfter, shortRetry), refusal.Error())
	}
	return notRun(basilmoor.ReasonDeadline, 0, err.Error())
}

// write sends the answer. Nothing of another response may have been sent.
func (e *answerError) write(w http.ResponseWriter, protocol Protocol, closing bool) {
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
