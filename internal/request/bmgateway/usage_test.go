package bmgateway

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Guards against a response in one piece whose tokens the scheduler never
// learns, as after a merge that dropped the call.
func TestWholeResponseReportsItsTokens(t *testing.T) {
	target := serveTarget(t, basilmoor.EngineTarget, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"choices":[],"usage":{"completion_tokens":21,"prompt_tokens_details":{"cached_tokens":64}}}`)
	})
	f := newFixture(t, nil, target)
	res := f.send(t, http.MethodPost, ChatPath, chatRequest)
	require.Equal(t, "done", res.outcome())
	f.scheduler.mu.Lock()
	defer f.scheduler.mu.Unlock()
	require.Equal(t, basilmoor.StageFinished, f.scheduler.last.Stage)
	require.Equal(t, 21, f.scheduler.last.Tokens)
	require.Equal(t, 64, f.scheduler.last.CachedTokens)
}
