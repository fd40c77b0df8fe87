package bmexchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/schedule/bmholdoff"
)

// testInspector implements ResponseInspector with short headers.
type testInspector struct{}

func (testInspector) RequestIDOf(h http.Header) string { return h.Get("Id") }

func (testInspector) NotRun(_ int, h http.Header) bool { return h.Get("Not-Run") != "" }

func (testInspector) Signed(h http.Header) bool { return h.Get("Unsigned") == "" }

func (testInspector) NoticeOf(int, http.Header) (bmholdoff.Notice, bool) {
	return bmholdoff.Notice{}, true
}

// scriptedTarget answers its nth request with the bytes that script returns, or
// closes the connection if there are none.
type scriptedTarget struct {
	listener         net.Listener
	script           func(n int, r *http.Request) string
	closeAfterAnswer bool // close the connection after the first answer
	closeAfter       int  // close the connection after so many answers; 0 for never
	requests         atomic.Int64
	conns            atomic.Int64

	endless       string        // repeated after the answer
	endlessBytes  int64         // the number of bytes after which the target gives up
	endlessClosed chan struct{} // closed when the client has closed the connection or the target gave up
	sent          atomic.Int64  // bytes of the repeated part
}

func newScriptedTarget(t *testing.T, script func(n int, r *http.Request) string) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedTarget{
		listener: l,
		script:   script,
	}
	go s.run()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *scriptedTarget) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Add(1)
		go s.loop(c)
	}
}

func (s *scriptedTarget) loop(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		n := int(s.requests.Add(1))
		answer := s.script(n, r)
		if answer == "" {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil || s.closeAfterAnswer || n == s.closeAfter {
			return
		}
		if s.endless != "" {
			s.sendEndless(c)
			return
		}
	}
}

// sendEndless sends the endless part until the client closes the connection.
func (s *scriptedTarget) sendEndless(c net.Conn) {
	defer close(s.endlessClosed)
	part := strings.Repeat(s.endless, 64)
	for s.sent.Load() < s.endlessBytes {
		n, err := io.WriteString(c, part)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

func (s *scriptedTarget) request(id string) Request {
	return Request{
		Target: basilmoor.Target{
			Name:    "t",
			Address: s.listener.Addr().String(),
		},
		RequestID: id,
		Method:    http.MethodPost,
		URI:       "/a%2Fb?x=1",
		Host:      "a.example",
		Header:    http.Header{},
		Body:      []byte("body"),
	}
}

func newTestClient(t *testing.T) *Client {
	t.Helper()
	c, closeClient := New(Config{
		Clock:     bmclock.NewSystem(),
		Inspector: testInspector{},
		Metrics:   bmmetrics.NewRegistry(),
		MaxConns:  100,
	})
	t.Cleanup(closeClient)
	return c
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// sendAndRead sends a request and reads the whole body of its response.
func sendAndRead(c *Client, r Request) (string, error) {
	resp, err := c.Send(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// A request must never get the response of another one, whatever else a target
// sends on the connection.
func TestResponsesOfOtherRequests(t *testing.T) {
	tests := map[string]struct {
		first string // bytes sent for the first request
	}{
		"only the response":                {first: okResponse("1", "one")},
		"a duplicate response":             {first: okResponse("1", "one") + okResponse("1", "twin")},
		"a response to an earlier request": {first: okResponse("0", "old") + okResponse("1", "one")},
		"trailing garbage":                 {first: okResponse("1", "one") + "garbage"},
		"an interim response":              {first: "HTTP/1.1 100 Continue\r\n\r\n" + okResponse("1", "one")},
		"Connection: close":                {first: "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 3\r\n\r\none"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScriptedTarget(t, func(n int, _ *http.Request) string {
				if n == 1 {
					return tt.first
				}
				return okResponse("2", "two")
			})
			c := newTestClient(t)
			body, err := sendAndRead(c, s.request("1"))
			require.NoError(t, err)
			require.Equal(t, "one", body)
			body, err = sendAndRead(c, s.request("2"))
			require.NoError(t, err)
			require.Equal(t, "two", body)
			require.EqualValues(t, 2, s.requests.Load())
		})
	}
}

// Guards against taking a response that has no body by definition for one that ends
// with its connection, and the reverse.
func TestEndMarked(t *testing.T) {
	tests := map[string]struct {
		method string
		head   string
		marked bool
	}{
		"length":            {method: http.MethodPost, head: "200 OK\r\nContent-Length: 0", marked: true},
		"chunks":            {method: http.MethodPost, head: "200 OK\r\nTransfer-Encoding: chunked", marked: true},
		"neither":           {method: http.MethodPost, head: "200 OK"},
		"neither, to HEAD":  {method: http.MethodHead, head: "200 OK", marked: true},
		"neither, with 204": {method: http.MethodPost, head: "204 No Content", marked: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScriptedTarget(t, func(int, *http.Request) string {
				return "HTTP/1.1 " + tt.head + "\r\nId: 1\r\n\r\n"
			})
			r := s.request("1")
			r.Method = tt.method
			resp, err := newTestClient(t).Send(context.Background(), r)
			require.NoError(t, err)
			defer resp.Close()
			require.Equal(t, tt.marked, resp.EndMarked())
		})
	}
}

// A request must not be resent when a reused connection breaks, since the target
// may have run it already.
func TestBrokenConnectionIsNotResent(t *testing.T) {
	s := newScriptedTarget(t, func(n int, _ *http.Request) string {
		if n == 1 {
			return okResponse("1", "one")
		}
		return ""
	})
	c := newTestClient(t)
	_, err := sendAndRead(c, s.request("1"))
	require.NoError(t, err)
	_, err = sendAndRead(c, s.request("2"))
	var broken *BrokenError
	require.True(t, errors.As(err, &broken), "%v", err)
	require.EqualValues(t, 2, s.requests.Load())
	require.EqualValues(t, 1, s.conns.Load(), "the second request opened a new connection")
}

// A truncated response must be reported as an error.
func TestBrokenResponses(t *testing.T) {
	tests := map[string]string{
		"shorter than Content-Length":        "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\nConnection: close\r\n\r\nfour",
		"last chunk missing":                 "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n4\r\nfour\r\n",
		"truncated headers":                  "HTTP/1.1 200 OK\r\nId: 1\r\nCont",
		"only a response to another request": okResponse("0", "old"),
		"success without a signature":        "HTTP/1.1 200 OK\r\nId: 1\r\nUnsigned: 1\r\nContent-Length: 4\r\n\r\nfour",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScriptedTarget(t, func(int, *http.Request) string { return answer })
			s.closeAfterAnswer = true
			_, err := sendAndRead(newTestClient(t), s.request("1"))
			var broken *BrokenError
			require.True(t, errors.As(err, &broken), "%v", err)
		})
	}
}

// Guards against a status line that is no answer of the target's protocol and is passed on
// as one, or skipped, so that the bytes after it are read as the answer.
func TestImpossibleStatuses(t *testing.T) {
	const rest = "\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]string{
		"000":                                 "HTTP/1.1 000 " + rest,
		"000, then what looks like an answer": "HTTP/1.1 000 " + rest + okResponse("1", "four"),
		"099":                                 "HTTP/1.1 099 None" + rest,
		"a sign":                              "HTTP/1.1 +20 OK" + rest,
		"600":                                 "HTTP/1.1 600 None" + rest,
		"999":                                 "HTTP/1.1 999 None" + rest,
		"two digits":                          "HTTP/1.1 20 OK" + rest,
		"four digits":                         "HTTP/1.1 2000 OK" + rest,
		"an upgrade that was not asked for":   "HTTP/1.1 101 Switching Protocols" + rest + okResponse("1", "four"),
		"another version":                     "HTTP/2.0 200 OK" + rest,
		"no version":                          "HTTP/0.9 200 OK" + rest,
		"another protocol":                    "ICY 200 OK" + rest,
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScriptedTarget(t, func(int, *http.Request) string { return answer })
			s.closeAfterAnswer = true
			body, err := sendAndRead(newTestClient(t), s.request("1"))
			var broken *BrokenError
			require.True(t, errors.As(err, &broken), "%q, %v", body, err)
		})
	}
}

// A refusal by the target must be a *RefusedError and a failed connection an
// *UnsentError, because both permit sending the request elsewhere.
func TestOutcomeOfSend(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	s := newScriptedTarget(t, func(int, *http.Request) string { return refusal })
	_, err := sendAndRead(newTestClient(t), s.request("1"))
	var refused *RefusedError
	require.True(t, errors.As(err, &refused), "%v", err)

	gone := s.request("2")
	gone.Target.Address = "127.0.0.1:1"
	_, err = sendAndRead(newTestClient(t), gone)
	var unsent *UnsentError
	require.True(t, errors.As(err, &unsent), "%v", err)
}

// The target must get the URI, host and body length that the caller sent.
func TestRequestIsUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	s := newScriptedTarget(t, func(_ int, r *http.Request) string {
		got <- r
		return okResponse("1", "")
	})
	_, err := sendAndRead(newTestClient(t), s.request("1"))
	require.NoError(t, err)
	r := <-got
	require.Equal(t, "/a%2Fb?x=1", r.RequestURI)
	require.Equal(t, "a.example", r.Host)
	require.EqualValues(t, 4, r.ContentLength)
}

// Cancelling the context must close the connection, so that the target can stop
// working on the request.
func TestEndOfContextClosesConnection(t *testing.T) {
	reached := make(chan struct{})
	release := make(chan struct{})
	s := newScriptedTarget(t, func(int, *http.Request) string {
		close(reached)
		<-release
		return ""
	})
	defer close(release)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := newTestClient(t).Send(ctx, s.request("1"))
		done <- err
	}()
	<-reached
	cancel()
	var broken *BrokenError
	require.True(t, errors.As(<-done, &broken))
	require.True(t, broken.ContextDone)
}

// endlessResponses are responses that never end, in their parts before the part
// that is repeated and that part.
func endlessResponses() map[string][2]string {
	return map[string][2]string{
		"headers":                   {"HTTP/1.1 200 OK\r\nId: 1\r\n", "X-Filler: filler filler filler\r\n"},
		"a header line":             {"HTTP/1.1 200 OK\r\nId: 1\r\nX-Filler: ", "filler filler filler"},
		"the status line":           {"HTTP/1.1 200 ", "OK OK OK OK"},
		"no response at all":        {"", "filler filler filler"},
		"interim responses":         {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"responses to others":       {"", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 4\r\n\r\nfour"},
		"a body of another request": {"HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
	}
}

// Guards against a target whose response never ends: a host would keep reading,
// and keep in memory what it read, until the request's deadline.
func TestEndlessResponses(t *testing.T) {
	const enough = 64 << 20 // more than the system's buffers of a connection hold
	for name, parts := range endlessResponses() {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			s := newScriptedTarget(t, func(int, *http.Request) string { return parts[0] + parts[1] })
			s.endless = parts[1]
			s.endlessBytes = enough
			s.endlessClosed = closed
			c := newTestClient(t)
			_, err := sendAndRead(c, s.request("1"))
			var broken *BrokenError
			require.True(t, errors.As(err, &broken), "%v", err)
			var tooLong *TooLongError
			require.True(t, errors.As(err, &tooLong), "%v", err)
			<-closed
			require.Less(t, s.sent.Load(), int64(enough), "the connection stayed open")
		})
	}
}

// Guards against a caller that is told that its request was not run because a
// late copy of the refusal of an earlier request, without an id, arrived on the
// connection: the target runs the request.
func TestLateRefusalWithoutID(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]struct {
		first, second string // bytes sent for the first and the second request
	}{
		"on a reused connection":          {first: okResponse("1", "one"), second: refusal},
		"after the response to another":   {first: okResponse("1", "one"), second: okResponse("1", "one") + refusal},
		"two refusals of the first":       {first: "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", second: refusal},
		"another's response on a new one": {first: "", second: okResponse("0", "old") + refusal},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScriptedTarget(t, func(_ int, r *http.Request) string {
				if r.Header.Get("First") != "" {
					return tt.first
				}
				return tt.second + okResponse("2", "two")
			})
			c := newTestClient(t)
			if tt.first != "" {
				first := s.request("1")
				first.Header.Set("First", "1")
				_, _ = sendAndRead(c, first)
			}
			body, err := sendAndRead(c, s.request("2"))
			require.NoError(t, err)
			require.Equal(t, "two", body)
		})
	}
}

// Guards against a caller that is told that its request was not run, or whose request goes
// on to another target, because a target writes an earlier refusal once more on a kept
// connection and nothing after it.
func TestRefusalOnceMore(t *testing.T) {
	const named, unnamed = "HTTP/1.1 503 X\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]struct {
		first, second string
		endless       bool // more of the same follow, instead of the end of the connection
	}{
		"with its id":              {first: named, second: named},
		"without an id":            {first: unnamed, second: unnamed},
		"again and again":          {first: named, second: named, endless: true},
		"without an id, repeated":  {first: unnamed, second: unnamed, endless: true},
		"after a whole answer":     {first: okResponse("1", "one"), second: named},
		"twice, of which one late": {first: named, second: named + unnamed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScriptedTarget(t, func(_ int, r *http.Request) string {
				if r.Header.Get("First") != "" {
					return tt.first
				}
				if tt.endless {
					return strings.Repeat(tt.second, 2*maxResponsesSkipped)
				}
				return tt.second
			})
			s.closeAfter = 2
			c := newTestClient(t)
			first := s.request("1")
			first.Header.Set("First", "1")
			_, _ = sendAndRead(c, first)
			_, err := c.Send(context.Background(), s.request("2"))
			var broken *BrokenError
			require.True(t, errors.As(err, &broken), "%v", err)
			require.EqualValues(t, 1, s.conns.Load(), "the connection was not kept")
		})
	}
}

// Guards against a probe of a target that is blamed for a time limit of the
// caller that passed while a body was read.
func TestEndOfContextWhileReadingTheBody(t *testing.T) {
	s := newScriptedTarget(t, func(int, *http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nfour"
	})
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := newTestClient(t).Send(ctx, s.request("1"))
	require.NoError(t, err)
	defer resp.Close()
	cancel()
	_, err = io.ReadAll(resp)
	var broken *BrokenError
	require.True(t, errors.As(err, &broken), "%v", err)
	require.True(t, broken.ContextDone)
}
