package bmdispatch

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// faults lists the ways in which a target fails or answers, by the point of the
// exchange.
var faults = map[string]targetAction{
	"closes before reading": {
		skipRead: true,
	},
	"resets before reading": {
		skipRead: true,
		reset:    true,
	},
	"silent before reading": {
		skipRead: true,
		hang:     true,
	},
	"closes after the head": {
		skipBody: true,
	},
	"resets after the head": {
		skipBody: true,
		reset:    true,
	},
	"closes after the request": {},
	"resets after the request": {
		reset: true,
	},
	"silent after the request": {
		hang: true,
	},
	"closes in the status line": {
		send: "HTTP/1.1 20",
	},
	"resets in the headers": {
		send:  "HTTP/1.1 200 OK\r\nContent-Le",
		reset: true,
	},
	"silent in the headers": {
		send: "HTTP/1.1 200 OK\r\nContent-Le",
		hang: true,
	},
	"closes in a sized body": {
		send: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
	},
	"silent in a sized body": {
		send: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		hang: true,
	},
	"closes in a chunked body": {
		send: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	},
	"closes a body without framing": {
		send: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
	},
	"sends no HTTP": {
		send: "SSH-2.0-x\r\n\r\n",
	},
	"states not-run": {
		send: "HTTP/1.1 503 X\r\nBasilmoor-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
	},
	"is overloaded": {
		send: "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n",
	},
	"fails without a statement": {
		send: "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
	},
	"answers": {
		send: okResponse,
	},
}

// Guards against a transport that retries a request by itself, and against the
// outcome not-run for a request that reached the target.
func TestRequestIsSentOnce(t *testing.T) {
	for name, fault := range faults {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			for _, key := range []string{"", "k1"} {
				for _, reused := range []bool{false, true} {
					label := strings.Join([]string{name, method, "key" + key, map[bool]string{true: "reused", false: "fresh"}[reused]}, "/")
					t.Run(label, func(t *testing.T) {
						checkOneDispatch(t, fault, method, key, reused)
					})
				}
			}
		}
	}
}

func checkOneDispatch(t *testing.T, fault targetAction, method, key string, reused bool) {
	target := newRawTarget(t, func(target *rawTarget, head string) targetAction {
		if strings.Contains(head, "X-Probe: warm") {
			return targetAction{
				send:      okResponse,
				keepAlive: true,
			}
		}
		if head == "" && reused && target.count("X-Probe: warm") == 0 {
			return targetAction{}
		}
		return fault
	})
	d, clock := newTestDispatcher(t)
	send := func(probe, key string) Result {
		r := Request{
			Method: method,
			URI:    "/x",
			Header: http.Header{
				"X-Probe":           {probe},
				"Idempotency-Key":   {key},
				"X-Idempotency-Key": {key},
			},
			Key: key,
		}
		if key == "" {
			r.Header = http.Header{"X-Probe": {probe}}
		}
		if method == http.MethodPost {
			r.Body = []byte("body")
		}
		return d.Do(context.Background(), newGrantedRequest(t, "r"), target.target(basilmoor.ServiceTarget), r, &recordingSink{}, ignoreProgress)
	}
	if reused {
		require.Equal(t, basilmoor.OutcomeDone, send("warm", "").Outcome)
	}
	advanceClockOnHang(t, target, clock)
	result := send("fault", key)

	require.LessOrEqual(t, target.count("X-Probe: fault"), 1, "the request was sent again")
	maxConns := 1
	if fault.skipRead && reused {
		maxConns = 2 // the transport may notice that the idle connection is closed
	}
	require.LessOrEqual(t, target.connections(), maxConns, "too many connections were opened")
	statedNotRun := result.Status == http.StatusTooManyRequests || strings.Contains(fault.send, "not-run")
	switch result.Outcome {
	case basilmoor.OutcomeNotRun:
		require.True(t, statedNotRun || target.count("X-Probe: fault") == 0, "not-run reported for a request that reached the target")
		require.Equal(t, !statedNotRun, result.Retryable)
	case basilmoor.OutcomeDone:
		require.True(t, strings.Contains(fault.send, "Content-Length: 0") || fault.send == okResponse)
	case basilmoor.OutcomeUnknown:
		require.Empty(t, fault.send)
	case basilmoor.OutcomeIncomplete:
		require.NotEmpty(t, fault.send)
	default:
		t.Fatalf("no outcome: %+v", result)
	}
	require.Zero(t, target.count("Idempotency-Key:"), "net/http retries requests with this header")
	if key != "" && target.count("X-Probe: fault") == 1 {
		require.Equal(t, 1, target.count("Basilmoor-Request-Key: k1"))
	}
}
