package bmstandinengine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

const (
	// StreamIDHeader carries the id by which a stream is resumed or cancelled.
	StreamIDHeader = "Engine-Stream-Id"

	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 16 << 20
)

// chatRequest is the part of a chat completion request that the engine reads.
type chatRequest struct {
	Model               string        `json:"model"`
	Adapter             string        `json:"adapter"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is the text of a message, which clients send as a string or as a
// list of parts.
type content string

// UnmarshalJSON joins the texts of the parts.
func (c *content) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = content(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.Wrap(err, "message content")
	}
	texts := make([]string, 0, len(parts))
	for _, p := range parts {
		texts = append(texts, p.Text)
	}
	*c = content(strings.Join(texts, " "))
	return nil
}

func (c chatRequest) words() []string {
	var words []string
	for _, m := range c.Messages {
		words = append(words, strings.Fields(string(m.Content))...)
	}
	return words
}

func (c chatRequest) output() int {
	switch {
	case c.MaxCompletionTokens > 0:
		return c.MaxCompletionTokens
	case c.MaxTokens > 0:
		return c.MaxTokens
	}
	return DefaultOutputTokens
}

// chat answers POST /v1/chat/completions.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		bmstandin.Drop() // the client left before it had sent the request
	}
	if len(body) > maxBodyBytes {
		writeError(w, http.StatusRequestEntityTooLarge, "request-too-large", "body exceeds 16 MiB")
		return
	}
	var c chatRequest
	if err := json.Unmarshal(body, &c); err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	words := c.words()
	q := &sequence{
		model:     c.Model,
		execution: bmstandin.NewExecution(r, body),
		crashes:   bmstandin.HasMarker(body),
		prompt:    len(words),
		blocks:    PrefixDigests(c.Model, words),
		output:    c.output(),
	}
	if refuse := e.accept(q, c); refuse != nil {
		refuse(w)
		return
	}
	if e.process.TakeLostAnswer() {
		e.waitEnd(q)
		bmstandin.Drop()
	}
	w.Header().Set(StreamIDHeader, q.id)
	if c.Stream {
		e.stream(w, r, q, 0, c.StreamOptions.IncludeUsage)
		return
	}
	e.respond(w, r, q)
}

// accept enqueues the sequence, or returns the function that sends the
// refusal.
func (e *Engine) accept(q *sequence, c chatRequest) func(http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process.Crashed() {
		bmstandin.Drop()
	}
	refuse := e.check(q, c)
	if refuse != nil {
		e.stats.Refused++
		return refuse
	}
	e.add(q)
	return nil
}

func (e *Engine) check(q *sequence, c chatRequest) func(http.ResponseWriter) {
	s := e.settings
	refusing, leaving := e.process.Refusing()
	switch {
	case refusing:
		return func(w http.ResponseWriter) {
			bmstandin.RefuseNotRun(w, leaving, "engine takes no new requests")
		}
	case s.QueueLimit > 0 && len(e.queue) >= s.QueueLimit:
		return refusal(http.StatusTooManyRequests, "queue-full", "engine queue is full")
	case !e.loaded.serves(e.clock.Now(), c.Model, c.Adapter):
		return refusal(http.StatusNotFound, "model-not-found", "model or adapter is not loaded")
	case s.ContextTokens > 0 && q.need() > s.ContextTokens, q.need() > s.CacheTokens:
		return refusal(http.StatusBadRequest, "context-length-exceeded", "prompt and output exceed the context")
	}
	return nil
}

func refusal(status int, code, text string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		writeError(w, status, code, text)
	}
}

// apiError is the error response in the shape that clients of model engines
// expect.
type apiError struct {
	Error apiErrorDetail `json:"error"`
}

type apiErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func writeError(w http.ResponseWriter, status int, code, text string) {
	kind := "invalid_request_error"
	if status == http.StatusTooManyRequests {
		kind = "rate_limit_error"
	}
	bmstandin.WriteJSON(w, status, apiError{
		Error: apiErrorDetail{
			Message: text,
			Type:    kind,
			Code:    code,
		},
	})
}

// respond waits for the end of the sequence and sends one JSON response.
func (e *Engine) respond(w http.ResponseWriter, r *http.Request, q *sequence) {
	for {
		v := e.view(q)
		switch {
		case v.phase == finished:
			bmstandin.WriteJSON(w, http.StatusOK, completion(q, v))
			return
		case v.phase.ended():
			bmstandin.Drop()
		}
		select {
		case <-v.changed:
		case <-r.Context().Done():
			e.left(q)
			return
		case <-e.life.Done():
			bmstandin.Drop()
		}
	}
}

// waitEnd waits until the sequence or the engine ends.
func (e *Engine) waitEnd(q *sequence) {
	for e.life.Err() == nil {
		v := e.view(q)
		if v.phase.ended() {
			return
		}
		select {
		case <-v.changed:
		case <-e.life.Done():
		}
	}
}

// left handles a client that closed its connection.
func (e *Engine) left(q *sequence) {
	if e.settings.CancelOnDisconnect {
		e.cancelSequence(q)
	}
}

// view is the state of a sequence at one instant.
type view struct {
	phase     phase
	generated int
	cached    int
	changed   <-chan struct{}
}

func (e *Engine) view(q *sequence) view {
	e.mu.Lock()
	defer e.mu.Unlock()
	return view{
		phase:     q.phase,
		generated: q.generated,
		cached:    q.cached,
		changed:   q.changed,
	}
}

// usage counts the tokens of a response.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func usageOf(q *sequence, v view) *usage {
	return &usage{
		PromptTokens:     q.prompt,
		CompletionTokens: v.generated,
		TotalTokens:      q.prompt + v.generated,
		PromptDetails: promptDetails{
			CachedTokens: v.cached,
		},
	}
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// chatResponse is a response or, on a stream, a chunk.
type chatResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // seconds since the Unix epoch
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func response(q *sequence, object string, choices []choice) chatResponse {
	return chatResponse{
		ID:      q.id,
		Object:  object,
		Created: time.Now().Unix(),
		Model:   q.model,
		Choices: slices.Clip(choices),
	}
}

func completion(q *sequence, v view) chatResponse {
	var text strings.Builder
	for n := range v.generated {
		text.WriteString(q.token(n))
	}
	reason := finishLength
	c := response(q, "chat.completion", []choice{
		{
			Message: &message{
				Role:    "assistant",
				Content: text.String(),
			},
			FinishReason: &reason,
		},
	})
	c.Usage = usageOf(q, v)
	return c
}
