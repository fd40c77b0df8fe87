package bmdispatch

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// sendTo dispatches a GET request to a target.
func sendTo(d *Dispatcher, t *testing.T, target *rawTarget, sink Sink) Result {
	t.Helper()
	return d.Do(context.Background(), newGrantedRequest(t, "r"), target.target(basilmoor.ServiceTarget), Request{
		Method: http.MethodGet,
		URI:    "/x",
	}, sink, ignoreProgress)
}

// Guards against a status line that is no answer and is passed on as one: net/http accepts
// any three digits, and a caller's connection can't carry them.
func TestImpossibleStatuses(t *testing.T) {
	for _, statusLine := range []string{"HTTP/1.1 000 ", "HTTP/1.1 099 None", "HTTP/1.1 600 None", "HTTP/1.1 999 None", "HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK"} {
		t.Run(statusLine, func(t *testing.T) {
			target := newRawTarget(t, func(_ *rawTarget, _ string) targetAction {
				return targetAction{
					send: statusLine + "\r\nContent-Length: 2\r\n\r\nok",
				}
			})
			d, _ := newTestDispatcher(t)
			sink := &recordingSink{}
			result := sendTo(d, t, target, sink)
			require.Equal(t, basilmoor.OutcomeIncomplete, result.Outcome)
			require.Equal(t, basilmoor.ReasonTargetFailed, result.Reason)
			require.Zero(t, sink.status, "the head was passed on")
		})
	}
}
