// Package bmcaller implements a client that sends requests to nodes and
// classifies the responses for the checks in package bmcheck.
//
// A response counts as whole only if it is complete, from the first token to
// the end marker, and matches the body of its own request.
package bmcaller

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/proof/bmcheck"
	"basilmoor.example/basilmoor/internal/request/bmdispatch"
	"basilmoor.example/basilmoor/internal/request/bmgateway"
	"basilmoor.example/basilmoor/internal/standin/bmstandinengine"
)

// Request describes one HTTP request.
type Request struct {
	Method string
	Path   string
	Body   string
	Tier   string // copied to the Call for reports; not sent
	Key    string // idempotency key; empty for none
	Header map[string]string

	// Tokens is the number of output tokens expected from an engine. It is 0
	// for plain services.
	Tokens int
	Stream bool
}

// Chat returns a chat completion request for a model engine.
func Chat(model, prompt string, tokens int, stream bool) (Request, error) {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	body, err := json.Marshal(struct {
		Model     string    `json:"model"`
		Stream    bool      `json:"stream"`
		MaxTokens int       `json:"max_tokens"`
		Messages  []message `json:"messages"`
	}{
		Model:     model,
		Stream:    stream,
		MaxTokens: tokens,
		Messages: []message{
			{
				Role:    "user",
				Content: prompt,
			},
		},
	})
	if err != nil {
		return Request{}, errors.Wrap(err, "encode chat request")
	}
	return Request{
		Method: http.MethodPost,
		Path:   bmgateway.ChatPath,
		Body:   string(body),
		Tokens: tokens,
		Stream: stream,
	}, nil
}

// Caller sends requests with the bearer token of one workspace.
type Caller struct {
	clock basilmoor.Clock
	http  *http.Client
	token string
}

// New returns a caller that uses the given bearer token, and a function that
// closes its idle connections.
func New(clock basilmoor.Clock, token string) (*Caller, func()) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64,
	}
	c := &Caller{
		clock: clock,
		token: token,
		http: &http.Client{
			Transport: transport,
		},
	}
	return c, transport.CloseIdleConnections
}

// Response is an HTTP response and its classification.
type Response struct {
	bmcheck.Call
	Status int
	Header http.Header
	Body   string
	Err    error // from sending the request or reading the body
}

// Do sends a request to the node whose listener for callers has the given
// address.
func (c *Caller) Do(ctx context.Context, address string, q Request) Response {
	r := Response{
		Call: bmcheck.Call{
			Tier: q.Tier,
			Key:  q.Key,
		},
	}
	request, err := http.NewRequestWithContext(ctx, q.Method, "http://"+address+q.Path, strings.NewReader(q.Body))
	if err != nil {
		r.Err = errors.Wrap(err, "create request")
		return r
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	if q.Key != "" {
		request.Header.Set(bmgateway.HeaderIdempotencyKey, q.Key)
	}
	for k, v := range q.Header {
		request.Header.Set(k, v)
	}
	start := c.clock.Now()
	w, err := c.http.Do(request)
	if err != nil {
		r.Err = errors.Wrap(err, "send request")
		return r
	}
	defer func() { _ = w.Body.Close() }()
	body := bufio.NewReader(w.Body)
	_, _ = body.Peek(1)
	r.FirstByte = c.clock.Now() - start
	b, err := io.ReadAll(body)
	r.Err = errors.Wrap(err, "read response")
	r.Status = w.StatusCode
	r.Header = w.Header
	r.Body = string(b)
	r.classify(q, w)
	return r
}

// classify fills in the Call from the headers, trailers and body.
func (r *Response) classify(q Request, w *http.Response) {
	r.Request = basilmoor.RequestID(w.Header.Get(bmdispatch.HeaderRequestID))
	r.Outcome = basilmoor.Outcome(w.Header.Get(bmdispatch.HeaderOutcome))
	if t := w.Trailer.Get(bmdispatch.HeaderOutcome); t != "" {
		r.Outcome = basilmoor.Outcome(t)
	}
	r.Replayed = w.Header.Get(bmgateway.HeaderReplayed) == "true"
	if w.Header.Get("Content-Type") == "application/problem+json" {
		var p struct {
			Reason basilmoor.Reason `json:"reason"`
		}
		_ = json.Unmarshal([]byte(r.Body), &p)
		r.Reason = p.Reason
		return
	}
	r.Whole = r.Err == nil && isWhole(q, r.Body)
}

// isWhole reports whether body is the complete response that a stand-in
// derives from the body of the request.
func isWhole(q Request, body string) bool {
	sum := sha256.Sum256([]byte(q.Body))
	digest := hex.EncodeToString(sum[:])
	if q.Tokens == 0 {
		return strings.Contains(body, digest)
	}
	var want strings.Builder
	for n := range q.Tokens {
		want.WriteString(bmstandinengine.Token(digest, n))
	}
	if !q.Stream {
		return strings.Contains(body, strings.TrimSpace(want.String()))
	}
	text, done := streamText(body)
	return done && strings.TrimSpace(text) == strings.TrimSpace(want.String())
}

// streamText joins the tokens of an event stream and reports whether the
// stream ended with the [DONE] marker.
func streamText(body string) (string, bool) {
	var text strings.Builder
	done := false
	s := bufio.NewScanner(bytes.NewBufferString(body))
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if done {
			return "", false
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
			continue
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	return text.String(), done
}

// String returns a one-line summary for test reports.
func (r Response) String() string {
	return fmt.Sprintf("request %s: status %d, outcome %q, reason %q, whole %t, error %v", r.Request, r.Status, r.Outcome, r.Reason, r.Whole, r.Err)
}
