package bmgateway

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Checks that the token usage of a non-streaming response is reported to the
// scheduler. A merge once dropped the call of tokenUsage.
func TestNonStreamingResponseReportsTokens(t *testing.T) {
	target := serveTarget(t, basilmoor.EngineTarget, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"choices":[],"usage":{"completion_tokens":21,"prompt_tokens_details":{"cached_tokens":64}}}`)
	})
	f := newFixture(t, nil, target)
	res := f.send(t, http.MethodPost, ChatPath, chatRequest)
	require.Equal(t, "done", res.outcome())
	f.scheduler.mu.Lock()
	defer f.scheduler.mu.Unlock()
	require.Equal(t, basilmoor.StageFinished, f.scheduler.lastObservation.Stage)
	require.Equal(t, 21, f.scheduler.lastObservation.Tokens)
	require.Equal(t, 64, f.scheduler.lastObservation.CachedTokens)
}
