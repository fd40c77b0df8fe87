package bmstandinplatform

import (
	"hash/fnv"
	"net"
	"net/http"
	"time"
)

// UnmarkedPrefix is the path prefix of streams with neither a length nor chunks, which
// end with their connection. The first run of every third attempt is broken off inside
// an event.
const UnmarkedPrefix = StreamPrefix + "unmarked/"

// serveUnmarked sends the stream of an attempt after the event with id last.
func serveUnmarked(w http.ResponseWriter, attempt string, last int) {
	header := w.Header().Clone()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n")); err != nil {
		return
	}
	if header.Write(conn) != nil {
		return
	}
	if _, err := conn.Write([]byte("\r\n")); err != nil {
		return
	}
	writeEvents(conn, attempt, last)
}

// writeEvents writes the events after the one with id last, at their intervals.
func writeEvents(conn net.Conn, attempt string, last int) {
	breaksOff := last == 0 && breaksOffFirstRun(attempt)
	for id := last + 1; id <= StreamEvents; id++ {
		event := streamEvent(attempt, id)
		if breaksOff && id == StreamEvents/2 {
			_, _ = conn.Write([]byte(event[:len(event)/2]))
			return
		}
		if _, err := conn.Write([]byte(event)); err != nil {
			return
		}
		time.Sleep(EventInterval)
	}
}

// breaksOffFirstRun reports whether the first run of an attempt is broken off.
func breaksOffFirstRun(attempt string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(attempt))
	return h.Sum32()%3 == 0
}
