package bmcli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor/internal/standin/bmstandinplatform"
)

const desiredState = `{"version":7,
 "routes":[{"name":"order","hostname":"a.example","prefix":"/o/","route_type":"idempotent","timeout_ms":6000,"target_latency_ms":600,"priority":1,"backend":"o","max_attempts":1}],
 "backends":[{"name":"o","health_path":"/h"}],
 "limits":{"max_header_bytes":1,"max_body_bytes":2,"header_timeout_ms":3,"idle_timeout_ms":4}}`

// Guards against an exit code that lets a script send a state with errors, or one that
// was not compared as asked.
func TestCheckState(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state.json")
	require.NoError(t, os.WriteFile(file, []byte(desiredState), 0o600))
	broken := filepath.Join(t.TempDir(), "broken.json")
	require.NoError(t, os.WriteFile(broken, []byte("{"), 0o600))
	store, closeStore := bmstandinplatform.NewStore()
	defer closeStore()
	store.Put("op/config", map[string]any{
		"version": 6,
	})
	tests := map[string]struct {
		args   []string
		stdin  string
		code   int
		stdout string
		stderr string
	}{
		"sound": {
			args: []string{file},
			code: ExitOK,
		},
		"error": {
			args:   []string{"-"},
			stdin:  strings.Replace(desiredState, `"timeout_ms":6000`, `"timeout_ms":-1`, 1),
			code:   ExitFailure,
			stdout: "error routes[order].timeout_ms: -1 ms is negative\n",
		},
		"only warnings": {
			args:   []string{"-"},
			stdin:  strings.Replace(desiredState, `"priority":1`, `"priority":1,"colour":"red"`, 1),
			code:   ExitOK,
			stdout: "warning routes[order].colour: unknown field\n",
		},
		"version of a file in effect": {
			args:   []string{"-in-effect", file, file},
			code:   ExitFailure,
			stdout: "error version: 7 is not higher than 7, the version in effect\n",
		},
		"compared with the store": {
			args:   []string{"-store", store.Address(), file},
			code:   ExitOK,
			stdout: "added routes[order]\n",
		},
		"store without a state to compare": {
			args:   []string{"-store", "127.0.0.1:1", file},
			code:   ExitUsage,
			stderr: "read the desired state in effect",
		},
		"state in effect that can't be read": {
			args:   []string{"-in-effect", broken, file},
			code:   ExitUsage,
			stderr: "decode the desired state in effect",
		},
		"no file": {
			code:   ExitUsage,
			stderr: "exactly one desired state",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := runMain(tt.stdin, append([]string{"check-state"}, tt.args...)...)
			require.Equal(t, tt.code, r.code, r.stderr)
			require.Contains(t, r.stdout, tt.stdout)
			require.Contains(t, r.stderr, tt.stderr)
		})
	}
}
