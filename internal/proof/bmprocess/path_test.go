package bmprocess

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// answer is a response as a caller sees it.
type answer struct {
	status  int
	header  http.Header
	outcome string
	body    string
	err     error // of reading the body
}

// call sends a request to a node as a caller would.
func call(ctx context.Context, n *process, method, path, body string, header map[string]string) (answer, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.ready["callers"]+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	r.Header.Set("Authorization", "Bearer "+callerToken)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = w.Body.Close() }()
	b, err := io.ReadAll(w.Body)
	a := answer{
		status:  w.StatusCode,
		header:  w.Header,
		outcome: w.Header.Get("Basilmoor-Outcome"),
		body:    string(b),
		err:     err,
	}
	if t := w.Trailer.Get("Basilmoor-Outcome"); t != "" {
		a.outcome = t
	}
	return a, nil
}

func chat(prompt string, stream bool, tokens int) string {
	b, _ := json.Marshal(map[string]any{
		"model":      "coconut-7b",
		"stream":     stream,
		"max_tokens": tokens,
		"messages": []map[string]string{
			{
				"role":    "user",
				"content": prompt,
			},
		},
	})
	return string(b)
}

// execution is one entry of a target's log of executions.
type execution struct {
	Request  string `json:"request-id"`
	Key      string `json:"request-key"`
	Complete bool   `json:"complete"`
}

func (f *fleet) executions(target *process) []execution {
	f.t.Helper()
	w, err := http.Get("http://" + target.ready["listening"] + "/v1/executions")
	require.NoError(f.t, err)
	defer func() { _ = w.Body.Close() }()
	var list struct {
		Executions []execution `json:"executions"`
	}
	require.NoError(f.t, json.NewDecoder(w.Body).Decode(&list))
	return list.Executions
}

// Guards against a path between caller and target that is broken in separate
// processes, and against bad input that reaches a target.
func TestPath(t *testing.T) {
	f := startFleet(t, 2)
	tests := map[string]struct {
		method   string
		path     string
		body     string
		header   map[string]string
		status   int
		outcome  string
		contains string
	}{
		"chat": {
			method:   http.MethodPost,
			path:     "/v1/chat/completions",
			body:     chat("plan the restock for today", false, 5),
			status:   200,
			outcome:  "done",
			contains: `"choices"`,
		},
		"chat stream": {
			method:   http.MethodPost,
			path:     "/v1/chat/completions",
			body:     chat("plan the restock for today", true, 5),
			status:   200,
			outcome:  "done",
			contains: "data: [DONE]",
		},
		"lookup": {
			method:  http.MethodGet,
			path:    "/ledger/stock/coconuts",
			status:  200,
			outcome: "done",
		},
		"unknown workspace": {
			method: http.MethodPost,
			path:   "/v1/chat/completions",
			body:   chat("x", false, 1),
			header: map[string]string{
				"Authorization": "Bearer guess",
			},
			status:   401,
			outcome:  "not-run",
			contains: `"reason":"unauthorized"`,
		},
		"unknown model": {
			method:   http.MethodPost,
			path:     "/v1/chat/completions",
			body:     strings.Replace(chat("x", false, 1), "coconut-7b", "none", 1),
			status:   404,
			outcome:  "not-run",
			contains: `"reason":"unknown-kind"`,
		},
		"malformed body": {
			method:   http.MethodPost,
			path:     "/v1/chat/completions",
			body:     `{`,
			status:   400,
			outcome:  "not-run",
			contains: `"reason":"malformed"`,
		},
		"wrong method": {
			method:   http.MethodGet,
			path:     "/v1/chat/completions",
			status:   405,
			outcome:  "not-run",
			contains: `"reason":"method-not-allowed"`,
		},
		"oversized body": {
			method:   http.MethodPost,
			path:     "/v1/chat/completions",
			body:     chat(strings.Repeat("x", 5<<20), false, 1),
			status:   413,
			outcome:  "not-run",
			contains: `"reason":"too-large"`,
		},
		"key missing": {
			method:   http.MethodPost,
			path:     "/ledger/payouts",
			body:     "{}",
			status:   400,
			outcome:  "not-run",
			contains: `"reason":"key-required"`,
		},
	}
	ran := 0
	for name, tt := range tests {
		for _, n := range f.nodes {
			t.Run(name+" through "+n.name, func(t *testing.T) {
				a, err := call(context.Background(), n, tt.method, tt.path, tt.body, tt.header)
				require.NoError(t, err)
				require.Equal(t, tt.status, a.status, a.body)
				require.Equal(t, tt.outcome, a.outcome)
				require.Contains(t, a.body, tt.contains)
				require.NotEmpty(t, a.header.Get("Basilmoor-Request-Id"))
			})
			if tt.outcome == "done" {
				ran++
			}
		}
	}
	executed := len(f.executions(f.service))
	for _, e := range f.engines {
		executed += len(f.executions(e))
	}
	require.Equal(t, ran, executed, "bad input must not reach a target")
}
