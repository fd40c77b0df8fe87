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
	// StreamIDHeader contains the id with which a client resumes or cancels a
	// stream.
	StreamIDHeader = "Engine-Stream-Id"

	// maxBodyBytes limits the body of a chat request.
	maxBodyBytes = 16 << 20
)

// chatRequest contains the fields of a chat completion request that the engine
// uses.
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

// content is the text of a message. Clients send it as a string or as a list of
// parts.
type content string

// UnmarshalJSON decodes a string, or a list of parts whose texts it joins with
// spaces.
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

// words returns the words of all messages. The engine counts each word as one
// token.
func (c chatRequest) words() []string {
	var words []string
	for _, m := range c.Messages {
		words = append(words, strings.Fields(string(m.Content))...)
	}
	return words
}

// outputLimit returns the number of output tokens to generate.
func (c chatRequest) outputLimit() int {
	switch {
	case c.MaxCompletionTokens > 0:
		return c.MaxCompletionTokens
	case c.MaxTokens > 0:
		return c.MaxTokens
	}
	return DefaultOutputTokens
}

// serveChat handles POST /v1/chat/completions.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		bmstandin.AbortResponse() // the client disconnected before sending the whole body
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
		model:          c.Model,
		execution:      bmstandin.NewExecution(r, body),
		hasCrashMarker: bmstandin.HasMarker(body),
		promptTokens:   len(words),
		blocks:         PrefixDigests(c.Model, words),
		outputTokens:   c.outputLimit(),
	}
	if refuse := e.enqueueOrRefuse(q, c); refuse != nil {
		refuse(w)
		return
	}
	if e.process.ConsumeLostResponse() {
		e.waitUntilEnded(q)
		bmstandin.AbortResponse()
	}
	w.Header().Set(StreamIDHeader, q.id)
	if c.Stream {
		e.writeStream(w, r, q, 0, c.StreamOptions.IncludeUsage)
		return
	}
	e.writeCompletion(w, r, q)
}

// enqueueOrRefuse enqueues the sequence, or returns a function that sends the
// error response.
func (e *Engine) enqueueOrRefuse(q *sequence, c chatRequest) func(http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process.Crashed() {
		bmstandin.AbortResponse()
	}
	refuse := e.checkAdmission(q, c)
	if refuse != nil {
		e.stats.Refused++
		return refuse
	}
	e.enqueue(q)
	return nil
}

// checkAdmission returns nil if the request can be enqueued, or a function that
// sends the error response. The caller must hold mu.
func (e *Engine) checkAdmission(q *sequence, c chatRequest) func(http.ResponseWriter) {
	s := e.settings
	refusing, leaving := e.process.Refusing()
	switch {
	case refusing:
		return func(w http.ResponseWriter) {
			bmstandin.RejectNotRun(w, leaving, "engine takes no new requests")
		}
	case s.QueueLimit > 0 && len(e.queue) >= s.QueueLimit:
		return refusal(http.StatusTooManyRequests, "queue-full", "engine queue is full")
	case !e.loadState.serves(e.clock.Now(), c.Model, c.Adapter):
		return refusal(http.StatusNotFound, "model-not-found", "model or adapter is not loaded")
	case s.ContextTokens > 0 && q.kvTokens() > s.ContextTokens, q.kvTokens() > s.CacheTokens:
		return refusal(http.StatusBadRequest, "context-length-exceeded", "prompt and output exceed the context")
	}
	return nil
}

// refusal returns a function that sends an error response.
func refusal(status int, code, text string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		writeError(w, status, code, text)
	}
}

// apiError is an error response in the format that clients of model engines
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

// writeCompletion waits until the sequence has finished and sends the whole
// completion as one JSON response.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, q *sequence) {
	for {
		v := e.snapshot(q)
		switch {
		case v.phase == finished:
			bmstandin.WriteJSON(w, http.StatusOK, newCompletion(q, v))
			return
		case v.phase.ended():
			bmstandin.AbortResponse()
		}
		select {
		case <-v.changed:
		case <-r.Context().Done():
			e.handleDisconnect(q)
			return
		case <-e.ctx.Done():
			bmstandin.AbortResponse()
		}
	}
}

// waitUntilEnded waits until the sequence has ended or the engine stops.
func (e *Engine) waitUntilEnded(q *sequence) {
	for e.ctx.Err() == nil {
		v := e.snapshot(q)
		if v.phase.ended() {
			return
		}
		select {
		case <-v.changed:
		case <-e.ctx.Done():
		}
	}
}

// handleDisconnect is called when the client of a sequence has disconnected.
func (e *Engine) handleDisconnect(q *sequence) {
	if e.settings.CancelOnDisconnect {
		e.cancelSequence(q)
	}
}

// snapshot is a copy of the mutable state of a sequence. Its changed channel is
// closed when that state changes.
type snapshot struct {
	phase           phase
	generatedTokens int
	cachedTokens    int
	changed         <-chan struct{}
}

func (e *Engine) snapshot(q *sequence) snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	return snapshot{
		phase:           q.phase,
		generatedTokens: q.generatedTokens,
		cachedTokens:    q.cachedTokens,
		changed:         q.changed,
	}
}

// usage reports the token counts of a response.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func newUsage(q *sequence, v snapshot) *usage {
	return &usage{
		PromptTokens:     q.promptTokens,
		CompletionTokens: v.generatedTokens,
		TotalTokens:      q.promptTokens + v.generatedTokens,
		PromptDetails: promptDetails{
			CachedTokens: v.cachedTokens,
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

// chatResponse is a whole completion or one chunk of a stream.
type chatResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // seconds since the Unix epoch
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func newChatResponse(q *sequence, object string, choices []choice) chatResponse {
	return chatResponse{
		ID:      q.id,
		Object:  object,
		Created: time.Now().Unix(),
		Model:   q.model,
		Choices: slices.Clip(choices),
	}
}

func newCompletion(q *sequence, v snapshot) chatResponse {
	var text strings.Builder
	for n := range v.generatedTokens {
		text.WriteString(q.token(n))
	}
	reason := finishLength
	c := newChatResponse(q, "chat.completion", []choice{
		{
			Message: &message{
				Role:    "assistant",
				Content: text.String(),
			},
			FinishReason: &reason,
		},
	})
	c.Usage = newUsage(q, v)
	return c
}
