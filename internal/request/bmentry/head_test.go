package bmentry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an answer without a body, or with a short one, that is made from a head
// that broke off: whatever lines came, a head without its end is none.
func TestHeadsThatBreakOff(t *testing.T) {
	heads := map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\nContent-Length: 10\r\n\r\n",
		"in chunks":        "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n",
		"of no content":    "HTTP/1.1 204 No Content\r\nSignature: s\r\n\r\n",
	}
	for name, head := range heads {
		for _, path := range []string{"/once/x", "/stream/x"} {
			for _, end := range []string{endClose, endReset} {
				t.Run(fmt.Sprint(name, path, ", ", end), func(t *testing.T) {
					f := newTestFleet(t)
					var answers []scriptedAnswer
					for n := range len(head) {
						answers = append(answers, scriptedAnswer{bytes: head[:n], end: end})
					}
					f.addScriptedTargets(t, answers)
					targets := f.scheduler.targets
					for n := range answers {
						f.scheduler.targets = targets[n : n+1]
						got := f.call(t, "HTTP/1.1", path, 0)
						require.Equal(t, 502, got.status, "after %q", head[:n])
						require.Equal(t, "target-failed\n", got.body)
					}
				})
			}
		}
	}
}
