package bmstandinplatform

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// FloodPrefix is the path prefix of requests to which a replica sends bytes without end.
// The name of a Flood is the next segment of the path.
const FloodPrefix = StreamPrefix + "flood/"

// Flood is what a faulty replica sends until its peer closes the connection: a start, in
// which ID stands for the id of the attempt, and a part that is repeated.
type Flood struct {
	Start, Part string
	// Slow floods send floodBytes every slowFloodInterval, so that many of them can be
	// under way at the same time.
	Slow bool
}

// Floods returns the floods by name.
func Floods() map[string]Flood {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Signature: s\r\n"
	chunk := "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"
	return map[string]Flood{
		"no-response":      {Part: "filler"},
		"status-line":      {Start: "HTTP/1.1 200 ", Part: "OK"},
		"headers":          {Start: head, Part: "a:\r\n"},
		"header-line":      {Start: head + "a: ", Part: "filler"},
		"interim":          {Part: "HTTP/1.1 100 Continue\r\n" + strings.Repeat("a:\r\n", 1000) + "\r\n"},
		"event":            {Start: head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", Part: chunk},
		"slow-event":       {Start: head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", Part: chunk, Slow: true},
		"slow-body":        {Start: strings.Replace(head, "200", "500", 1) + "Transfer-Encoding: chunked\r\n\r\n", Part: chunk, Slow: true},
		"event-of-lines":   {Start: head + "Content-Type: text/event-stream\r\n\r\n", Part: "data: filler\n"},
		"chunk-size":       {Start: head + "Transfer-Encoding: chunked\r\n\r\n", Part: "0"},
		"chunk-extension":  {Start: head + "Transfer-Encoding: chunked\r\n\r\n1;", Part: "filler"},
		"trailer":          {Start: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Part: "a: filler\r\n"},
		"plain-body":       {Start: strings.Replace(head, "200", "500", 1) + "Transfer-Encoding: chunked\r\n\r\n", Part: chunk},
		"length-too-large": {Start: strings.Replace(head, "200", "500", 1) + "Content-Length: 9000000000000000000\r\n\r\n", Part: "filler"},
	}
}

// floodBytes is the size of the writes of a flood, and slowFloodInterval the time between
// two of those of a slow one.
const (
	floodBytes        = 32 << 10
	slowFloodInterval = 130 * time.Millisecond
)

// serveFlood sends a flood on the connection of a request.
func serveFlood(w http.ResponseWriter, r *http.Request) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, FloodPrefix), "/")
	flood, known := Floods()[name]
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil || !known {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, strings.Replace(flood.Start, "ID", r.Header.Get("X-Attempt-Id"), 1))
	part := strings.Repeat(flood.Part, floodBytes/len(flood.Part)+1)
	for err == nil {
		_, err = io.WriteString(conn, part)
		if flood.Slow {
			time.Sleep(slowFloodInterval)
		}
	}
}
