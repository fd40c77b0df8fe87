package bmcli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor/internal/node/bmadmin"
)

type mainResult struct {
	code   int
	stdout string
	stderr string
}

func runMain(stdin string, args ...string) mainResult {
	var out, errOut bytes.Buffer
	code := Main(args, Env{
		Stdin:     strings.NewReader(stdin),
		Stdout:    &out,
		Stderr:    &errOut,
		LookupEnv: func(string) (string, bool) { return "", false },
	})
	return mainResult{
		code:   code,
		stdout: out.String(),
		stderr: errOut.String(),
	}
}

// Guards against accepting an invalid command line, or refusing it without
// naming the mistake.
func TestUsage(t *testing.T) {
	tests := map[string]struct {
		args   []string
		code   int
		stdout string
		stderr string
	}{
		"no command": {
			code:   ExitUsage,
			stderr: "usage: basilmoor COMMAND",
		},
		"unknown command": {
			args:   []string{"serve"},
			code:   ExitUsage,
			stderr: `unknown command "serve"`,
		},
		"help": {
			args:   []string{"-h"},
			code:   ExitOK,
			stdout: "commands:",
		},
		"help of a command": {
			args:   []string{"apply", "-h"},
			code:   ExitOK,
			stderr: "BASILMOOR_ADMIN_URL",
		},
		"unknown flag": {
			args:   []string{"node", "-color", "blue"},
			code:   ExitUsage,
			stderr: "flag provided but not defined: -color",
		},
		"node without settings": {
			args:   []string{"node"},
			code:   ExitUsage,
			stderr: "-store-url (BASILMOOR_STORE_URL)",
		},
		"check without a note": {
			args:   []string{"check"},
			code:   ExitUsage,
			stderr: "at least one release note",
		},
		"check of a missing file": {
			args:   []string{"check", "missing.yaml"},
			code:   ExitUsage,
			stderr: "missing.yaml",
		},
		"apply without a note": {
			args:   []string{"apply", "-operator-token", "0123456789abcdef"},
			code:   ExitUsage,
			stderr: "exactly one release note",
		},
		"version": {
			args:   []string{"version"},
			code:   ExitOK,
			stdout: "basilmoor ",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := runMain("", tt.args...)
			require.Equal(t, tt.code, r.code, r.stderr)
			require.Contains(t, r.stdout, tt.stdout)
			require.Contains(t, r.stderr, tt.stderr)
		})
	}
}

// Guards against an offline check that accepts an invalid note or omits the
// plan.
func TestCheck(t *testing.T) {
	example := filepath.Join("..", "..", "..", "docs", "examples", "first-note.yaml")
	tests := map[string]struct {
		stdin  string
		args   []string
		code   int
		stdout string
		stderr string
	}{
		"valid": {
			args:   []string{"check", example},
			code:   ExitOK,
			stdout: "engine-kinston-1",
		},
		"valid as JSON": {
			args:   []string{"check", "-json", example},
			code:   ExitOK,
			stdout: `"engine-kinston-1"`,
		},
		"all faults at once": {
			stdin:  "schema: 1\nnote: n\nadded:\n  tiers:\n    - {name: a, rank: -1}\n    - {name: a, colour: red}\n",
			args:   []string{"check", "-"},
			code:   ExitRefused,
			stderr: "line 6",
		},
		"second note against the first": {
			stdin:  "schema: 1\nnote: n\nwithdrawn:\n  pools: [reviews-east]\n",
			args:   []string{"check", example, "-"},
			code:   ExitRefused,
			stderr: "reviews-east",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := runMain(tt.stdin, tt.args...)
			require.Equal(t, tt.code, r.code, r.stderr)
			require.Contains(t, r.stdout, tt.stdout)
			require.Contains(t, r.stderr, tt.stderr)
		})
	}
}

// fakeNode is a fake of the administration API of a node with fixed responses.
type fakeNode struct {
	httpStatus   int
	acceptance   any
	hostVersions []int64 // configuration version of each host in the status
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		w.WriteHeader(n.httpStatus)
		_ = json.NewEncoder(w).Encode(n.acceptance)
		return
	}
	s := bmadmin.Status{
		Host: "entry-1",
	}
	for _, v := range n.hostVersions {
		s.Hosts = append(s.Hosts, bmadmin.HostStatus{
			Host:          "entry-1",
			ConfigVersion: v,
		})
	}
	_ = json.NewEncoder(w).Encode(s)
}

// Guards against an exit code that doesn't match the outcome of the note.
func TestApply(t *testing.T) {
	accepted := bmadmin.AcceptResult{
		Version: 3,
		Note:    "n",
		Plan:    "+ tier a\n",
	}
	refused := bmadmin.Problem{
		Title:  "release note not accepted",
		Status: http.StatusConflict,
		Detail: "kind reviews was changed by note m",
		Faults: []string{"line 3: added.tiers[0].rank"},
	}
	unknown := bmadmin.Problem{
		Title:  "acceptance of the release note is unknown",
		Status: http.StatusGatewayTimeout,
	}
	tests := map[string]struct {
		node   fakeNode
		code   int
		stdout string
		stderr string
	}{
		"in effect everywhere": {
			node: fakeNode{
				httpStatus:   http.StatusOK,
				acceptance:   accepted,
				hostVersions: []int64{3, 4},
			},
			code:   ExitOK,
			stdout: "note n is version 3",
		},
		"a host lags": {
			node: fakeNode{
				httpStatus:   http.StatusOK,
				acceptance:   accepted,
				hostVersions: []int64{3, 2},
			},
			code:   ExitPending,
			stderr: "not in effect everywhere",
		},
		"conflict": {
			node: fakeNode{
				httpStatus: http.StatusConflict,
				acceptance: refused,
			},
			code:   ExitRefused,
			stderr: "line 3: added.tiers[0].rank",
		},
		"unknown": {
			node: fakeNode{
				httpStatus: http.StatusGatewayTimeout,
				acceptance: unknown,
			},
			code:   ExitPending,
			stderr: "unknown",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(&tt.node)
			defer server.Close()
			r := runMain("note", "apply", "-admin-url", server.URL, "-operator-token", "0123456789abcdef", "-wait-ms", "0", "-")
			require.Equal(t, tt.code, r.code, r.stderr)
			require.Contains(t, r.stdout, tt.stdout)
			require.Contains(t, r.stderr, tt.stderr)
		})
	}
}

// Guards against exit code 0 when the node can't be reached.
func TestStatusOfUnreachableNode(t *testing.T) {
	r := runMain("", "status", "-admin-url", "http://127.0.0.1:1", "-operator-token", "0123456789abcdef")
	require.Equal(t, ExitFailure, r.code)
	require.Contains(t, r.stderr, "call node")
}
