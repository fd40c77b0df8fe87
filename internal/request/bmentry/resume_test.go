package bmentry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against bytes of another answer in the middle of a caller's stream, and against a
// stream that ends as if it were complete: after a target has broken off, the next one
// answers with something else than the rest of the stream.
func TestOnlyTheRestOfAStreamFollows(t *testing.T) {
	const signed = "Signature: s\r\n"
	firsts := map[string]scriptedAnswer{
		"chunks":             {bytes: chunked(event1), end: endClose},
		"chunks, in event":   {bytes: chunked(event1, half2), end: endClose},
		"unmarked, in event": {bytes: unmarkedStream + event1 + half2, end: endClose},
		"unmarked, reset":    {bytes: unmarkedStream + event1, end: endReset},
	}
	seconds := map[string]scriptedAnswer{
		"500":                       {bytes: "HTTP/1.1 500 X\r\nContent-Length: 11\r\n\r\nown failure"},
		"500 in chunks":             {bytes: "HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nown failure\r\n0\r\n\r\n"},
		"500 without a length":      {bytes: "HTTP/1.1 500 X\r\n\r\nown failure", end: endClose},
		"500 with an event":         {bytes: "HTTP/1.1 500 X\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n" + event2 + "\n"},
		"signed 503":                {bytes: "HTTP/1.1 503 X\r\n" + signed + "Content-Length: 11\r\n\r\nown failure"},
		"404":                       {bytes: "HTTP/1.1 404 X\r\nContent-Length: 11\r\n\r\nown failure"},
		"206":                       {bytes: "HTTP/1.1 206 X\r\nContent-Length: 14\r\n\r\n" + event2},
		"204":                       {bytes: "HTTP/1.1 204 X\r\n\r\n"},
		"302":                       {bytes: "HTTP/1.1 302 X\r\nLocation: /\r\nContent-Length: 0\r\n\r\n"},
		"200 of another kind":       {bytes: "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 18\r\n\r\n{\"error\": \"no\"}\n\n\n"},
		"200 without a signature":   {bytes: "HTTP/1.1 200 OK\r\nUnsigned: 1\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\n" + event2},
		"the stream from its start": {bytes: chunked(event1, event2) + lastChunk},
		"a head that breaks off":    {bytes: "HTTP/1.1 200 OK\r\nContent-Type: text/ev", end: endClose},
		"a status of its own":       {bytes: "HTTP/1.1 000 X\r\n\r\n" + event2, end: endClose},
		"garbage":                   {bytes: "own failure\r\n\r\n", end: endClose},
	}
	for first, broken := range firsts {
		for second, answer := range seconds {
			t.Run(fmt.Sprint(first, ", then ", second), func(t *testing.T) {
				f := newTestFleet(t)
				f.addScriptedTargets(t, []scriptedAnswer{broken, answer})
				got := f.call(t, "HTTP/1.1", "/resume/x", 0)
				require.Equal(t, 200, got.status)
				require.Equal(t, event1, got.body)
				require.True(t, got.broken, "the stream looks complete")
				require.Equal(t, []string{"t0", "t1 1"}, f.ran())
			})
		}
	}
}
