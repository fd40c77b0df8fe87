package bmdispatch

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// sendAs dispatches a GET request with the given id to a target.
func sendAs(t *testing.T, d *Dispatcher, id basilmoor.RequestID, target *rawTarget, sink Sink) Result {
	t.Helper()
	return d.Do(context.Background(), newGrantedRequest(t, id), target.target(basilmoor.ServiceTarget), Request{
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
			result := sendAs(t, d, "r", target, sink)
			require.Equal(t, basilmoor.OutcomeIncomplete, result.Outcome)
			require.Equal(t, basilmoor.ReasonTargetFailed, result.Reason)
			require.Zero(t, sink.status, "the head was passed on")
		})
	}
}

// Guards against a request that is taken for not run because its target writes an earlier
// refusal once more on a kept connection, and against the answer of an earlier request:
// the target runs the second request.
func TestResponsesOfEarlierRequests(t *testing.T) {
	const (
		overloaded = "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n"
		refusal    = "HTTP/1.1 503 X\r\nBasilmoor-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
		refusal1   = "HTTP/1.1 503 X\r\nBasilmoor-Outcome: not-run\r\nBasilmoor-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
		refusal2   = "HTTP/1.1 503 X\r\nBasilmoor-Outcome: not-run\r\nBasilmoor-Request-Id: r2\r\nContent-Length: 0\r\n\r\n"
		answer1    = "HTTP/1.1 200 OK\r\nBasilmoor-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok"
	)
	tests := map[string]struct {
		first, second string
		want          basilmoor.Outcome // of the second request
	}{
		"overloaded, once more":                      {first: overloaded, second: overloaded, want: basilmoor.OutcomeIncomplete},
		"a refusal, once more":                       {first: refusal, second: refusal, want: basilmoor.OutcomeIncomplete},
		"a refusal that names the first, once more":  {first: refusal1, second: refusal1, want: basilmoor.OutcomeIncomplete},
		"a refusal after an answer":                  {first: okResponse, second: refusal, want: basilmoor.OutcomeIncomplete},
		"the answer to the first, once more":         {first: answer1, second: answer1, want: basilmoor.OutcomeIncomplete},
		"a refusal that names the second":            {first: refusal1, second: refusal2, want: basilmoor.OutcomeNotRun},
		"a refusal that names the second, as answer": {first: okResponse, second: refusal2, want: basilmoor.OutcomeNotRun},
		"an answer that names nobody":                {first: refusal1, second: okResponse, want: basilmoor.OutcomeDone},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, func(_ *rawTarget, head string) targetAction {
				send := tt.second
				if strings.Contains(head, "Basilmoor-Request-Id: r1") {
					send = tt.first
				}
				return targetAction{
					send:      send,
					keepAlive: true,
				}
			})
			d, _ := newTestDispatcher(t)
			first := sendAs(t, d, "r1", target, &recordingSink{})
			require.Equal(t, strings.Contains(tt.first, "200"), first.Outcome == basilmoor.OutcomeDone)
			sink := &recordingSink{}
			second := sendAs(t, d, "r2", target, sink)
			require.Equal(t, 1, target.connections(), "the connection was not kept")
			require.Equal(t, tt.want, second.Outcome)
			require.Equal(t, tt.want == basilmoor.OutcomeDone, sink.status != 0)
		})
	}
}

// Guards against an answer that is made from a head that broke off: whatever lines came, a
// head without its end is none.
func TestHeadsThatBreakOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n"
	for n := range len(head) {
		for _, reset := range []bool{false, true} {
			target := newRawTarget(t, func(_ *rawTarget, _ string) targetAction {
				return targetAction{
					send:  head[:n],
					reset: reset,
				}
			})
			d, _ := newTestDispatcher(t)
			sink := &recordingSink{}
			result := sendAs(t, d, "r", target, sink)
			require.NotEqual(t, basilmoor.OutcomeDone, result.Outcome, "after %q", head[:n])
			require.NotEqual(t, basilmoor.OutcomeNotRun, result.Outcome, "after %q", head[:n])
			require.Zero(t, sink.status, "after %q", head[:n])
		}
	}
}
