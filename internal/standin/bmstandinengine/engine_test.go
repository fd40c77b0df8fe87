package bmstandinengine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// start starts an engine with short simulated durations on a local TCP port.
func start(t *testing.T) (*Engine, *bmstandin.Server) {
	t.Helper()
	s := DefaultSettings()
	s.TimeScale = 0.001
	s.KeepAlive = 0
	e, server, cleanup, err := Start("127.0.0.1:0", "127.0.0.1:0", bmclock.NewSystem(), s)
	require.NoError(t, err)
	t.Cleanup(cleanup)
	return e, server
}

func body(text string, stream bool, output int) string {
	return `{"model":"m","stream":` + strconv.FormatBool(stream) + `,"max_tokens":` + strconv.Itoa(output) +
		`,"messages":[{"role":"user","content":"` + text + `"}]}`
}

func post(t *testing.T, address, path, body string) (*http.Response, error) {
	t.Helper()
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	return client.Post("http://"+address+path, "application/json", strings.NewReader(body))
}

// requireNoResponse posts a request, requires that it gets no response, and
// returns the error.
func requireNoResponse(t *testing.T, address, path, body string) error {
	t.Helper()
	r, err := post(t, address, path, body)
	if err == nil {
		r.Body.Close()
	}
	require.Error(t, err)
	return err
}

func read(t *testing.T, r *http.Response) string {
	t.Helper()
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	return string(text)
}

// joinTokens requires that a stream is complete and returns its concatenated
// tokens.
func joinTokens(t *testing.T, stream string) string {
	t.Helper()
	require.True(t, strings.HasSuffix(stream, "data: [DONE]\n\n"))
	var text strings.Builder
	for _, part := range strings.Split(stream, `"content":"`)[1:] {
		token, _, _ := strings.Cut(part, `"`)
		text.WriteString(token)
	}
	return text.String()
}

// tokens returns the expected output tokens [from, to) for a request body.
func tokens(body string, from, to int) string {
	var text strings.Builder
	for n := from; n < to; n++ {
		text.WriteString(Token(bmstandin.Digest([]byte(body)), n))
	}
	return text.String()
}

// Checks that a response belongs to its own request, and that a resumed stream
// neither repeats nor omits tokens.
func TestStreamAndResume(t *testing.T) {
	_, server := start(t)
	request := body("one two", true, 5)
	r, err := post(t, server.Address(), "/v1/chat/completions", request)
	require.NoError(t, err)
	require.Equal(t, tokens(request, 0, 5), joinTokens(t, read(t, r)))

	id := r.Header.Get(StreamIDHeader)
	r, err = http.Get("http://" + server.Address() + "/v1/streams/" + id + "?offset=3")
	require.NoError(t, err)
	require.Equal(t, tokens(request, 3, 5), joinTokens(t, read(t, r)))

	request = body("one two", false, 5)
	r, err = post(t, server.Address(), "/v1/chat/completions", request)
	require.NoError(t, err)
	require.Contains(t, read(t, r), tokens(request, 0, 5))
}

// Checks that a client can distinguish a cancelled stream from a complete one.
func TestCancelBreaksStream(t *testing.T) {
	e, server := start(t)
	r, err := post(t, server.Address(), "/v1/chat/completions", body("one", true, 60000))
	require.NoError(t, err)
	defer r.Body.Close()
	request, err := http.NewRequest("DELETE", "http://"+server.Address()+"/v1/streams/"+r.Header.Get(StreamIDHeader), nil)
	require.NoError(t, err)
	answer, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.Contains(t, read(t, answer), `"cancelled"`)
	_, err = io.Copy(io.Discard, r.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, 1, e.Stats().Cancelled)
}

// Checks that a crashed engine refuses connections and that a revived one
// accepts them. Callers depend on the refusal: they may try another target only
// if the connection was refused.
func TestCrashOnMarker(t *testing.T) {
	e, server := start(t)
	on := true
	require.NoError(t, e.SetFaults(bmstandin.Faults{
		CrashOnMarker: &on,
	}))
	for run := 1; run <= 2; run++ {
		_ = requireNoResponse(t, server.Address(), "/v1/chat/completions", body("crash-target", false, 5))
		var refused *net.OpError
		require.ErrorAs(t, requireNoResponse(t, server.Address(), "/v1/chat/completions", body("fine", true, 5)), &refused)
		require.Equal(t, "dial", refused.Op)
		r, err := post(t, server.ControlAddress(), "/v1/faults", `{"revive":true}`)
		require.NoError(t, err)
		require.Equal(t, http.StatusNoContent, r.StatusCode)
		r.Body.Close()
		require.Len(t, e.Executions(), run)
		require.False(t, e.Executions()[run-1].Complete)
	}
	r, err := post(t, server.Address(), "/v1/chat/completions", body("fine", true, 5))
	require.NoError(t, err)
	require.Contains(t, read(t, r), "[DONE]")
}

// Checks that a silenced connection stays open without a response while its
// requests are executed, and that new connections are not silenced.
func TestStopResponding(t *testing.T) {
	e, server := start(t)
	old, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	defer old.Close()
	// Once the server responds on a later connection, it has accepted old.
	postOnNewConn := func() {
		r, err := post(t, server.Address(), "/v1/chat/completions", body("new", false, 2))
		require.NoError(t, err)
		require.Contains(t, read(t, r), "chat.completion")
	}
	postOnNewConn()
	r, err := post(t, server.Address(), "/v1/faults", `{"stop-responding":true}`)
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, r.StatusCode)
	r.Body.Close()
	request := body("old", false, 2)
	_, err = old.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nConnection: close\r\nContent-Length: " +
		strconv.Itoa(len(request)) + "\r\n\r\n" + request))
	require.NoError(t, err)
	isCompletedRequest := func(x bmstandin.Execution) bool {
		return x.Complete && x.BodyDigest == bmstandin.Digest([]byte(request))
	}
	for !slices.ContainsFunc(e.Executions(), isCompletedRequest) {
		postOnNewConn()
	}
	server.Suspend() // closes old, so that the read below returns
	n, _ := io.Copy(io.Discard, bufio.NewReader(old))
	require.Zero(t, n)
}

// Checks that a refusal states that the request was not run, and that a request
// whose response is lost runs to completion.
func TestRejectAndDropResponse(t *testing.T) {
	e, server := start(t)
	on, off, one := true, false, 1
	require.NoError(t, e.SetFaults(bmstandin.Faults{
		Leaving: &on,
	}))
	r, err := post(t, server.Address(), "/v1/chat/completions", body("x", true, 1))
	require.NoError(t, err)
	r.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	require.Equal(t, bmstandin.OutcomeNotRun, r.Header.Get(bmstandin.OutcomeHeader))
	require.Equal(t, "true", r.Header.Get(bmstandin.LeavingHeader))
	require.Empty(t, e.Executions())

	require.NoError(t, e.SetFaults(bmstandin.Faults{
		Leaving:           &off,
		DropNextResponses: &one,
	}))
	_ = requireNoResponse(t, server.Address(), "/v1/chat/completions", body("x", true, 1))
	require.Len(t, e.Executions(), 1)
	require.True(t, e.Executions()[0].Complete)
}

// Checks that importing KV blocks avoids computing the prompt again.
func TestKVTransfer(t *testing.T) {
	_, from := start(t)
	to, target := start(t)
	request := body(strings.Repeat("w ", 130), false, 1)
	r, err := post(t, from.Address(), "/v1/chat/completions", request)
	require.NoError(t, err)
	read(t, r)
	r, err = post(t, from.Address(), "/v1/kv/export", `{"stream-id":"`+r.Header.Get(StreamIDHeader)+`"}`)
	require.NoError(t, err)
	r, err = post(t, target.Address(), "/v1/kv/import", read(t, r))
	require.NoError(t, err)
	require.Contains(t, read(t, r), `"tokens":128`)
	r, err = post(t, target.Address(), "/v1/chat/completions", request)
	require.NoError(t, err)
	require.Contains(t, read(t, r), `"cached_tokens":128`)
	require.Equal(t, 2, to.Stats().PrefillTokens)
}
