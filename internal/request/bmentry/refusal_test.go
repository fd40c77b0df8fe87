package bmentry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a caller that sends a request again although it has run: a target that
// fails after its run may answer with a status that promises callers the opposite.
func TestStatusOfTargetIsNoPromise(t *testing.T) {
	answer := func(status int, body string) scriptedAnswer {
		return scriptedAnswer{bytes: fmt.Sprintf("HTTP/1.1 %d Status\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)}
	}
	const large = maxBufferedBytes + 1
	success := scriptedAnswer{bytes: plainOfTen + "0123456789"}
	tests := map[string]struct {
		path    string
		answers []scriptedAnswer
		want    int
		runs    int
	}{
		"503 to a run-once request":           {path: "/once/x", answers: []scriptedAnswer{answer(503, "own words"), success}, want: 502, runs: 1},
		"429 to a run-once request":           {path: "/once/x", answers: []scriptedAnswer{answer(429, "own words"), success}, want: 502, runs: 1},
		"408 to a run-once request":           {path: "/once/x", answers: []scriptedAnswer{answer(408, "own words"), success}, want: 502, runs: 1},
		"421 to a run-once request":           {path: "/once/x", answers: []scriptedAnswer{answer(421, "own words"), success}, want: 502, runs: 1},
		"a large 503 to a run-once request":   {path: "/once/x", answers: []scriptedAnswer{answer(503, strings.Repeat("x", large))}, want: 502, runs: 1},
		"a 503 that ends with its connection": {path: "/once/x", answers: []scriptedAnswer{{bytes: "HTTP/1.1 503 Status\r\n\r\nown words", end: endClose}}, want: 502, runs: 1},
		"a 503 that breaks off":               {path: "/once/x", answers: []scriptedAnswer{{bytes: "HTTP/1.1 503 Status\r\nContent-Length: 20\r\n\r\nown words", end: endClose}}, want: 502, runs: 1},
		"503 to a stream":                     {path: "/stream/x", answers: []scriptedAnswer{answer(503, "own words"), success}, want: 502, runs: 1},
		"503 to a request that may run again": {path: "/again/x", answers: []scriptedAnswer{answer(503, "own words"), success}, want: 200, runs: 2},
		"429 to a request that may run again": {path: "/again/x", answers: []scriptedAnswer{answer(429, "own words"), success}, want: 200, runs: 2},
		"503 twice":                           {path: "/again/x", answers: []scriptedAnswer{answer(503, "own words"), answer(503, "own words"), success}, want: 502, runs: 2},
		"500, then 503":                       {path: "/again/x", answers: []scriptedAnswer{answer(500, "own words"), answer(503, "own words"), success}, want: 502, runs: 2},
		"503, then 500":                       {path: "/again/x", answers: []scriptedAnswer{answer(503, "own words"), answer(500, "own words"), success}, want: 500, runs: 2},
		"a failure that promises nothing":     {path: "/once/x", answers: []scriptedAnswer{answer(500, "own words")}, want: 500, runs: 1},
		"a rejection that promises nothing":   {path: "/once/x", answers: []scriptedAnswer{answer(409, "own words")}, want: 409, runs: 1},
		"a time limit of the target":          {path: "/once/x", answers: []scriptedAnswer{answer(504, "own words")}, want: 504, runs: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			f.addScriptedTargets(t, tt.answers)
			status, header, body, err := f.postForHeader(t, tt.path, "k", 0)
			require.NoError(t, err)
			require.Equal(t, tt.want, status)
			require.Len(t, f.ran(), tt.runs)
			if status == http.StatusBadGateway {
				require.Empty(t, header.Get("Signature"), "the signature of another answer")
				require.NotContains(t, body, "own words")
			}
		})
	}
}
