package bmprocess

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/proof/bmcaller"
)

// Guards against a request path from caller to target that fails when the parts
// run as separate processes, and against invalid input that reaches a target.
func TestRequestPath(t *testing.T) {
	f := startFleet(t, 2)
	tests := map[string]struct {
		request bmcaller.Request
		status  int
		outcome basilmoor.Outcome
		reason  basilmoor.Reason
	}{
		"chat": {
			request: chat(t, "plan the restock for today", 5, false),
			status:  200,
			outcome: basilmoor.OutcomeDone,
		},
		"chat stream": {
			request: chat(t, "plan the restock for today", 5, true),
			status:  200,
			outcome: basilmoor.OutcomeDone,
		},
		"lookup": {
			request: service(http.MethodGet, "/ledger/stock/coconuts", ""),
			status:  200,
			outcome: basilmoor.OutcomeDone,
		},
		"unknown workspace": {
			request: withHeader(chat(t, "x", 1, false), "Authorization", "Bearer guess"),
			status:  401,
			outcome: basilmoor.OutcomeNotRun,
			reason:  basilmoor.ReasonUnauthorized,
		},
		"unknown model": {
			request: withBody(chat(t, "x", 1, false), strings.Replace(chat(t, "x", 1, false).Body, model, "none", 1)),
			status:  404,
			outcome: basilmoor.OutcomeNotRun,
			reason:  basilmoor.ReasonUnknownKind,
		},
		"unknown path": {
			request: service(http.MethodGet, "/none", ""),
			status:  404,
			outcome: basilmoor.OutcomeNotRun,
			reason:  basilmoor.ReasonUnknownKind,
		},
		"malformed body": {
			request: withBody(chat(t, "x", 1, false), "{"),
			status:  400,
			outcome: basilmoor.OutcomeNotRun,
			reason:  basilmoor.ReasonMalformed,
		},
		"wrong method": {
			request: service(http.MethodGet, "/v1/chat/completions", ""),
			status:  405,
			outcome: basilmoor.OutcomeNotRun,
			reason:  basilmoor.ReasonMethodNotAllowed,
		},
		"oversized body": {
			request: chat(t, strings.Repeat("x", 5<<20), 1, false),
			status:  413,
			outcome: basilmoor.OutcomeNotRun,
			reason:  basilmoor.ReasonTooLarge,
		},
		"key missing": {
			request: service(http.MethodPost, "/ledger/payouts", "{}"),
			status:  400,
			outcome: basilmoor.OutcomeNotRun,
			reason:  basilmoor.ReasonKeyRequired,
		},
	}
	l := f.newWorkload()
	ran := 0
	for name, tt := range tests {
		for _, n := range f.nodes {
			t.Run(name+" through "+n.name, func(t *testing.T) {
				r := l.send(context.Background(), n, tt.request)
				require.Equal(t, tt.status, r.Status, r.Body)
				require.Equal(t, tt.outcome, r.Outcome, r.Body)
				require.Equal(t, tt.reason, r.Reason, r.Body)
				require.NotEmpty(t, r.Request)
			})
			if tt.outcome == basilmoor.OutcomeDone {
				ran++
			}
		}
	}
	require.Len(t, f.executions(), ran, "invalid input must not reach a target")
	f.checkInvariants(l)
}

func withHeader(q bmcaller.Request, name, value string) bmcaller.Request {
	q.Header = map[string]string{
		name: value,
	}
	return q
}

func withBody(q bmcaller.Request, body string) bmcaller.Request {
	q.Body = body
	return q
}
