package bmentry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Ends of a scripted answer.
const (
	endClose   = "close"   // the connection is closed
	endReset   = "reset"   // the connection is reset
	endDeath   = "death"   // the connection is closed, and new ones are refused
	endSilence = "silence" // nothing more is sent
)

// Heads of scripted answers.
const (
	unmarkedStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	unmarkedPlain  = "HTTP/1.1 200 OK\r\n\r\n"
	chunkedStream  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	plainOfTen     = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
)

// Parts of scripted answers.
const (
	event1   = "id: 1\ndata: x\n\n"
	event2   = "id: 2\ndata: y\n\n"
	half2    = "id: 2\nda"
	newLine2 = "id: 2\ndata: y\n" // the blank line after the event is missing
)

// scriptedAnswer is what a target sends in answer to one request, byte for byte.
type scriptedAnswer struct {
	bytes string
	end   string
}

// chunked returns a stream of the given parts, one a chunk. The last chunk is missing.
func chunked(parts ...string) string {
	out := chunkedStream
	for _, p := range parts {
		out += fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
	}
	return out
}

const lastChunk = "0\r\n\r\n"

// addScriptedTargets adds one target for each answer.
func (f *testFleet) addScriptedTargets(t *testing.T, answers []scriptedAnswer) {
	t.Helper()
	for i, a := range answers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		s := &scriptedTarget{
			fleet:    f,
			name:     fmt.Sprint("t", i),
			listener: l,
			answer:   a,
		}
		f.scheduler.targets = append(f.scheduler.targets, basilmoor.Target{
			Name:    s.name,
			Address: l.Addr().String(),
		})
		go s.run()
	}
}

// scriptedTarget answers each request with the same bytes.
type scriptedTarget struct {
	fleet    *testFleet
	name     string
	listener net.Listener
	answer   scriptedAnswer
}

func (s *scriptedTarget) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.serve(c)
	}
}

// serve serves one connection. A probe sends no request on it.
func (s *scriptedTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.fleet.recordRun(s.name, r)
	_, _ = io.WriteString(c, s.answer.bytes)
	switch s.answer.end {
	case endReset:
		_ = c.(*net.TCPConn).SetLinger(0)
	case endDeath:
		_ = s.listener.Close()
	case endSilence:
		_, _ = io.Copy(io.Discard, c)
	}
}

// Framings of an answer towards the caller.
const (
	framedByLength     = "length"
	framedByChunks     = "chunks"
	framedByConnection = "connection"
)

// callerView is what a caller receives, and how it is framed.
type callerView struct {
	status  int
	framing string
	body    string
	broken  bool // the answer ended early, as far as the caller can tell
}

// start sends one request with the given version of HTTP on a connection of its own,
// and returns the response once its head has arrived. The caller must close its body.
func (f *testFleet) start(t *testing.T, proto, path string, limit int) *http.Response {
	t.Helper()
	address := strings.TrimPrefix(f.url, "http://")
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST %s %s\r\nHost: %s\r\nId: 1\r\nKey: k\r\nLimit: %d\r\nContent-Length: 4\r\n\r\nbody", path, proto, address, limit)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	return resp
}

// call sends one request like start and reads the whole answer.
func (f *testFleet) call(t *testing.T, proto, path string, limit int) callerView {
	t.Helper()
	resp := f.start(t, proto, path, limit)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	v := callerView{
		status:  resp.StatusCode,
		framing: framedByConnection,
		body:    string(body),
		broken:  err != nil,
	}
	switch {
	case resp.ContentLength >= 0:
		v.framing = framedByLength
	case len(resp.TransferEncoding) > 0:
		v.framing = framedByChunks
	}
	return v
}

// Guards against an answer that looks complete to its caller without evidence for it
// from the target, which is a length or a last chunk: the end of a connection is none,
// as it is also the end of an answer that was broken off.
func TestOnlyMarkedEndsAreClaimed(t *testing.T) {
	const large = maxBufferedBytes + 1
	tests := map[string]struct {
		path    string
		proto   string // HTTP/1.1 if empty
		answers []scriptedAnswer
		want    callerView // the body is not compared if broken, or without a framing: the host's own answer
		runs    int        // 1 if 0
	}{
		"stream, after an event": {
			path:    "/stream/x",
			answers: []scriptedAnswer{{bytes: unmarkedStream + event1 + event2, end: endClose}},
			want:    callerView{status: 200, framing: framedByConnection, body: event1 + event2},
		},
		"stream, before the first event": {
			path:    "/stream/x",
			answers: []scriptedAnswer{{bytes: unmarkedStream, end: endClose}},
			want:    callerView{status: 502},
		},
		"stream, in its first event": {
			path:    "/stream/x",
			answers: []scriptedAnswer{{bytes: unmarkedStream + half2, end: endClose}},
			want:    callerView{status: 502},
		},
		"stream without a content type, in its first event": {
			path:    "/stream/x",
			answers: []scriptedAnswer{{bytes: unmarkedPlain + half2, end: endClose}},
			want:    callerView{status: 502},
		},
		"stream, in its second event": {
			path:    "/stream/x",
			answers: []scriptedAnswer{{bytes: unmarkedStream + event1 + half2, end: endClose}},
			want:    callerView{status: 200, framing: framedByConnection, broken: true},
		},
		"stream, before the blank line after its second event": {
			path:    "/stream/x",
			answers: []scriptedAnswer{{bytes: unmarkedStream + event1 + newLine2, end: endClose}},
			want:    callerView{status: 200, framing: framedByConnection, broken: true},
		},
		"stream, after an event, with its target": {
			path:    "/stream/x",
			answers: []scriptedAnswer{{bytes: unmarkedStream + event1, end: endDeath}},
			want:    callerView{status: 200, framing: framedByConnection, broken: true},
		},
		"stream, reset after an event": {
			path:    "/stream/x",
			answers: []scriptedAnswer{{bytes: unmarkedStream + event1, end: endReset}},
			want:    callerView{status: 200, framing: framedByConnection, broken: true},
		},
		"stream, silent after an event": {
			path:    "/stream/x",
			answers: []scriptedAnswer{{bytes: unmarkedStream + event1, end: endSilence}},
			want:    callerView{status: 200, framing: framedByConnection, broken: true},
		},
		"resumable stream, after an event": {
			path:    "/resume/x",
			answers: []scriptedAnswer{{bytes: unmarkedStream + event1, end: endClose}, {bytes: chunked(event2) + lastChunk}},
			want:    callerView{status: 200, framing: framedByConnection, body: event1},
		},
		"resumable stream, in its second event, then marked": {
			path:    "/resume/x",
			answers: []scriptedAnswer{{bytes: unmarkedStream + event1 + half2, end: endClose}, {bytes: chunked(event2) + lastChunk}},
			want:    callerView{status: 200, framing: framedByConnection, body: event1 + event2},
			runs:    2,
		},
		"resumable stream, in its second event, then empty": {
			path:    "/resume/x",
			answers: []scriptedAnswer{{bytes: unmarkedStream + event1 + half2, end: endClose}, {bytes: unmarkedStream, end: endClose}},
			want:    callerView{status: 200, framing: framedByConnection, broken: true},
			runs:    2,
		},
		"resumable stream, chunks broken off, then after an event": {
			path:    "/resume/x",
			answers: []scriptedAnswer{{bytes: chunked(event1), end: endClose}, {bytes: unmarkedStream + event2, end: endClose}},
			want:    callerView{status: 200, framing: framedByChunks, broken: true},
			runs:    2,
		},
		"resumable stream, chunks broken off, then marked": {
			path:    "/resume/x",
			answers: []scriptedAnswer{{bytes: chunked(event1), end: endClose}, {bytes: chunked(event2) + lastChunk}},
			want:    callerView{status: 200, framing: framedByChunks, body: event1 + event2},
			runs:    2,
		},
		"stream in chunks": {
			path:    "/stream/x",
			answers: []scriptedAnswer{{bytes: chunked(event1, event2) + lastChunk}},
			want:    callerView{status: 200, framing: framedByChunks, body: event1 + event2},
		},
		"stream in chunks, without the last one": {
			path:    "/stream/x",
			answers: []scriptedAnswer{{bytes: chunked(event1, event2), end: endClose}},
			want:    callerView{status: 200, framing: framedByChunks, broken: true},
		},
		"stream in chunks to HTTP/1.0, without the last one": {
			path:    "/stream/x",
			proto:   "HTTP/1.0",
			answers: []scriptedAnswer{{bytes: chunked(event1, event2), end: endClose}},
			want:    callerView{status: 200, framing: framedByConnection, broken: true},
		},
		"plain": {
			path:    "/once/x",
			answers: []scriptedAnswer{{bytes: unmarkedPlain + "whole?", end: endClose}},
			want:    callerView{status: 200, framing: framedByConnection, body: "whole?"},
		},
		"plain, empty": {
			path:    "/once/x",
			answers: []scriptedAnswer{{bytes: unmarkedPlain, end: endClose}},
			want:    callerView{status: 200, framing: framedByConnection},
		},
		"plain, large": {
			path:    "/once/x",
			answers: []scriptedAnswer{{bytes: unmarkedPlain + strings.Repeat("x", large), end: endClose}},
			want:    callerView{status: 200, framing: framedByConnection, body: strings.Repeat("x", large)},
		},
		"plain, large, with its target": {
			path:    "/once/x",
			answers: []scriptedAnswer{{bytes: unmarkedPlain + strings.Repeat("x", large), end: endDeath}},
			want:    callerView{status: 200, framing: framedByConnection, broken: true},
		},
		"plain, with its target": {
			path:    "/once/x",
			answers: []scriptedAnswer{{bytes: unmarkedPlain + "half", end: endDeath}},
			want:    callerView{status: 502},
		},
		"plain, reset": {
			path:    "/once/x",
			answers: []scriptedAnswer{{bytes: unmarkedPlain + "half", end: endReset}},
			want:    callerView{status: 502},
		},
		"plain, silent": {
			path:    "/once/x",
			answers: []scriptedAnswer{{bytes: unmarkedPlain + "half", end: endSilence}},
			want:    callerView{status: 504},
		},
		"idempotent, with its target, sent again": {
			path:    "/again/x",
			answers: []scriptedAnswer{{bytes: unmarkedPlain + "half", end: endDeath}, {bytes: plainOfTen + "0123456789"}},
			want:    callerView{status: 200, framing: framedByLength, body: "0123456789"},
			runs:    2,
		},
		"idempotent, sent again and not marked then": {
			path:    "/again/x",
			answers: []scriptedAnswer{{bytes: plainOfTen + "half", end: endClose}, {bytes: unmarkedPlain + "whole?", end: endClose}},
			want:    callerView{status: 200, framing: framedByConnection, body: "whole?"},
			runs:    2,
		},
		"plain with a length": {
			path:    "/once/x",
			answers: []scriptedAnswer{{bytes: plainOfTen + "0123456789"}},
			want:    callerView{status: 200, framing: framedByLength, body: "0123456789"},
		},
		"plain with a length, cut": {
			path:    "/once/x",
			answers: []scriptedAnswer{{bytes: plainOfTen + "half", end: endClose}},
			want:    callerView{status: 502},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			f.addScriptedTargets(t, tt.answers)
			limit := 0
			if tt.answers[0].end == endSilence {
				limit = 300
			}
			proto := tt.proto
			if proto == "" {
				proto = "HTTP/1.1"
			}
			got := f.call(t, proto, tt.path, limit)
			if tt.want.framing == "" {
				got.framing, got.body = "", ""
			}
			if tt.want.broken {
				got.body = ""
			}
			require.Equal(t, tt.want, got)
			require.Len(t, f.ran(), max(tt.runs, 1))
		})
	}
}

// Guards against an answer that looks complete because the host's process died: the
// system closes its connections, which ends an answer without length or chunks.
func TestHostDeathBreaksUnmarkedAnswers(t *testing.T) {
	f := newTestFleet(t)
	f.addScriptedTargets(t, []scriptedAnswer{{bytes: unmarkedStream + event1, end: endSilence}})
	resp := f.start(t, "HTTP/1.1", "/stream/x", 0)
	defer func() { _ = resp.Body.Close() }()
	body := make([]byte, len(event1))
	_, err := io.ReadFull(resp.Body, body)
	require.NoError(t, err)
	require.Equal(t, event1, string(body))
	f.drop()
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
}
