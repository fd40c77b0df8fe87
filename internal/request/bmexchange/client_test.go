package bmexchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

// contract is a targets' protocol for tests.
type contract struct{}

func (contract) AttemptOf(h http.Header) string { return h.Get("Id") }

func (contract) NotRun(_ int, h http.Header) bool { return h.Get("Not-Run") != "" }

// scriptedTarget answers each request with what script returns, and closes the
// connection if that is empty.
type scriptedTarget struct {
	listener net.Listener
	script   func(n int, r *http.Request) string
	once     bool // closes the connection after an answer
	requests atomic.Int64
	conns    atomic.Int64
}

func newTarget(t *testing.T, script func(n int, r *http.Request) string) *scriptedTarget {
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
		answer := s.script(int(s.requests.Add(1)), r)
		if answer == "" {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil || s.once {
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
		Attempt: id,
		Method:  http.MethodPost,
		URI:     "/a%2Fb?x=1",
		Host:    "a.example",
		Header:  http.Header{},
		Body:    []byte("body"),
	}
}

func newTestClient(t *testing.T) *Client {
	t.Helper()
	c, closeClient := New(bmclock.NewSystem(), contract{}, bmmetrics.NewRegistry())
	t.Cleanup(closeClient)
	return c
}

func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// readAll sends a request and reads its response to the end.
func readAll(c *Client, r Request) (string, error) {
	resp, err := c.Send(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// Guards against a response that reaches another request, whatever a target
// sends beside the right one.
func TestResponsesOfOtherRequests(t *testing.T) {
	tests := map[string]struct {
		first string // answer to the first request
	}{
		"nothing more":                     {first: ok("1", "one")},
		"a second answer":                  {first: ok("1", "one") + ok("1", "twin")},
		"an answer of an earlier request":  {first: ok("0", "old") + ok("1", "one")},
		"bytes that are no response":       {first: ok("1", "one") + "garbage"},
		"an interim response":              {first: "HTTP/1.1 100 Continue\r\n\r\n" + ok("1", "one")},
		"an answer that closes afterwards": {first: "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 3\r\n\r\none"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTarget(t, func(n int, _ *http.Request) string {
				if n == 1 {
					return tt.first
				}
				return ok("2", "two")
			})
			c := newTestClient(t)
			body, err := readAll(c, s.request("1"))
			require.NoError(t, err)
			require.Equal(t, "one", body)
			body, err = readAll(c, s.request("2"))
			require.NoError(t, err)
			require.Equal(t, "two", body)
			require.EqualValues(t, 2, s.requests.Load())
		})
	}
}

// Guards against a request that is sent again by itself after a kept
// connection broke, which would let it run twice.
func TestBrokenConnectionIsNotResent(t *testing.T) {
	s := newTarget(t, func(n int, _ *http.Request) string {
		if n == 1 {
			return ok("1", "one")
		}
		return ""
	})
	c := newTestClient(t)
	_, err := readAll(c, s.request("1"))
	require.NoError(t, err)
	_, err = readAll(c, s.request("2"))
	var broken *BrokenError
	require.True(t, errors.As(err, &broken), "%v", err)
	require.EqualValues(t, 2, s.requests.Load())
	require.EqualValues(t, 1, s.conns.Load(), "the second request went over the kept connection")
}

// Guards against a response that breaks off and looks complete.
func TestBrokenResponses(t *testing.T) {
	tests := map[string]string{
		"shorter than its length":   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\nConnection: close\r\n\r\nfour",
		"without its last chunk":    "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n4\r\nfour\r\n",
		"in its head":               "HTTP/1.1 200 OK\r\nId: 1\r\nCont",
		"of another request, alone": ok("0", "old"),
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTarget(t, func(int, *http.Request) string { return answer })
			s.once = true
			_, err := readAll(newTestClient(t), s.request("1"))
			var broken *BrokenError
			require.True(t, errors.As(err, &broken), "%v", err)
		})
	}
}

// Guards against "not run" where the target did not say so, and against a
// refusal that is taken for a run.
func TestOutcomeOfSend(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	s := newTarget(t, func(int, *http.Request) string { return refusal })
	_, err := readAll(newTestClient(t), s.request("1"))
	var refused *RefusedError
	require.True(t, errors.As(err, &refused), "%v", err)

	gone := s.request("2")
	gone.Target.Address = "127.0.0.1:1"
	_, err = readAll(newTestClient(t), gone)
	var unsent *UnsentError
	require.True(t, errors.As(err, &unsent), "%v", err)
}

// Guards against a path, method, host or body that a target gets changed.
func TestRequestIsUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	s := newTarget(t, func(_ int, r *http.Request) string {
		got <- r
		return ok("1", "")
	})
	_, err := readAll(newTestClient(t), s.request("1"))
	require.NoError(t, err)
	r := <-got
	require.Equal(t, "/a%2Fb?x=1", r.RequestURI)
	require.Equal(t, "a.example", r.Host)
	require.EqualValues(t, 4, r.ContentLength)
}

// Guards against a target that works on for a caller that has left.
func TestEndOfContextClosesConnection(t *testing.T) {
	reached := make(chan struct{})
	release := make(chan struct{})
	s := newTarget(t, func(int, *http.Request) string {
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
	require.True(t, broken.Silent)
}
