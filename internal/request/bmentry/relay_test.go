package bmentry

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const wholeStream = "id: 1\ndata: id:9\n\nid: 2\ndata: b\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n"

// When another target resumes a stream, no event may be lost, duplicated or cut
// short. A truncated stream must not look complete.
func TestTruncatedStreams(t *testing.T) {
	tests := map[string]struct {
		path       string
		behaviours []string
		body       string
		whole      bool
		runs       []string
	}{
		"resumed by another target": {
			path:       "/resume/x",
			behaviours: []string{breaksStream, streamsRemaining},
			body:       wholeStream,
			whole:      true,
			runs:       []string{"t0", "t1 2"},
		},
		"resumed after unreachable targets": {
			path:       "/resume/x",
			behaviours: []string{breaksStream, unreachable, streamsRemaining},
			body:       wholeStream,
			whole:      true,
			runs:       []string{"t0", "t2 2"},
		},
		"resumed after a target that refuses": {
			path:       "/resume/x",
			behaviours: []string{breaksStream, refuses, streamsRemaining},
			body:       wholeStream,
			whole:      true,
			runs:       []string{"t0", "t2 2"},
		},
		"no other target": {
			path:       "/resume/x",
			behaviours: []string{breaksStream},
			body:       "id: 1\ndata: id:9\n\nid: 2\ndata: b\n\n",
			runs:       []string{"t0"},
		},
		"ended in an event and resumed": {
			path:       "/resume/x",
			behaviours: []string{endsInEvent, streamsRemaining},
			body:       wholeStream,
			whole:      true,
			runs:       []string{"t0", "t1 2"},
		},
		"ended in an event of a run-once stream": {
			path:       "/stream/x",
			behaviours: []string{endsInEvent, streamsRemaining},
			body:       "id: 1\ndata: id:9\n\nid: 2\ndata: b\n\n",
			runs:       []string{"t0"},
		},
		"an event without an end": {
			path:       "/resume/x",
			behaviours: []string{endlessEvent, streamsRemaining},
			body:       wholeStream,
			whole:      true,
			runs:       []string{"t0", "t1 2"},
		},
		"run-once stream": {
			path:       "/stream/x",
			behaviours: []string{breaksStream, streamsRemaining},
			body:       "id: 1\ndata: id:9\n\nid: 2\ndata: b\n\n",
			runs:       []string{"t0"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, tt.behaviours...)
			status, body, err := f.post(t, tt.path, "k")
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, tt.body, body)
			require.Equal(t, tt.whole, err == nil, "%v", err)
			require.Equal(t, tt.runs, f.ran())
			var text strings.Builder
			require.NoError(t, f.metrics.WriteText(&text))
			require.Equal(t, tt.whole, strings.Contains(text.String(), "longest_pause_ms_p_rank_0_count 1"), text.String())
		})
	}
}

// Guards against streams whose lines end with CR LF, which are held back until their end
// and then thrown away as truncated, since no event of theirs is recognized.
func TestLineEndsOfStreams(t *testing.T) {
	const afterLF, afterCRLF = "id: 2\ndata: y\n\r\n", "id: 2\r\ndata: y\r\n\r\n"
	for name, second := range map[string]string{"LF": event2, "CR LF": afterCRLF, "LF, then CR LF": afterLF} {
		t.Run(name, func(t *testing.T) {
			first := strings.ReplaceAll(second, "2", "1")
			f := newTestFleet(t)
			f.addScriptedTargets(t, []scriptedAnswer{{bytes: chunked(first, second) + lastChunk}})
			got := f.call(t, "HTTP/1.1", "/stream/x", 0)
			require.Equal(t, callerView{status: 200, framing: framedByChunks, body: first + second}, got)

			f = newTestFleet(t)
			f.addScriptedTargets(t, []scriptedAnswer{{bytes: chunked(first, second[:len(second)-1]) + lastChunk}, {bytes: chunked(second) + lastChunk}})
			got = f.call(t, "HTTP/1.1", "/resume/x", 0)
			require.Equal(t, callerView{status: 200, framing: framedByChunks, body: first + second}, got)
			require.Equal(t, []string{"t0", "t1 1"}, f.ran())

			f = newTestFleet(t)
			f.addScriptedTargets(t, []scriptedAnswer{{bytes: chunked(first), end: endSilence}})
			resp := f.start(t, "HTTP/1.1", "/stream/x", 5000)
			defer func() { _ = resp.Body.Close() }()
			body := make([]byte, len(first))
			_, err := io.ReadFull(resp.Body, body)
			require.NoError(t, err, "events must be relayed as they arrive")
			require.Equal(t, first, string(body))
		})
	}
}
