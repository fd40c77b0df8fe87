package bmstandinengine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// finishLength is the finish_reason of a response that reached its maximum
// number of tokens.
const finishLength = "length"

// streamWriter writes one stream as server-sent events.
type streamWriter struct {
	w        http.ResponseWriter
	flusher  *http.ResponseController
	sequence *sequence
	next     int // index of the next token to send
	started  bool
}

// writeStream sends the tokens of q, starting at offset, as server-sent events.
// It sends the response header immediately, so that the client can resume or
// cancel a request that is still waiting. If q is cancelled or lost, it closes
// the connection without sending the [DONE] event.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, q *sequence, offset int, withUsage bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	s := &streamWriter{
		w:        w,
		flusher:  http.NewResponseController(w),
		sequence: q,
		next:     offset,
	}
	for {
		v := e.snapshot(q)
		err := s.writeTokens(v.generatedTokens)
		if err == nil && v.phase == finished {
			err = s.writeFinal(v, withUsage)
		}
		if err != nil {
			e.handleDisconnect(q)
			return
		}
		if v.phase == finished {
			return
		}
		if v.phase.ended() {
			bmstandin.AbortResponse()
		}
		if !e.waitForChange(r, s, v) {
			return
		}
	}
}

// waitForChange waits until the sequence changes or, after the keep-alive
// interval, sends a comment. It returns false if the client disconnected.
func (e *Engine) waitForChange(r *http.Request, s *streamWriter, v snapshot) bool {
	var tick <-chan basilmoor.Millis
	if e.settings.KeepAlive > 0 {
		timer := e.clock.NewTimer(e.settings.KeepAlive)
		defer timer.Stop()
		tick = timer.C()
	}
	select {
	case <-v.changed:
		return true
	case <-tick:
		if s.writeKeepAlive() == nil {
			return true
		}
	case <-r.Context().Done():
	case <-e.ctx.Done():
		bmstandin.AbortResponse()
	}
	e.handleDisconnect(s.sequence)
	return false
}

// writeTokens sends the tokens up to but not including end, and flushes.
func (s *streamWriter) writeTokens(end int) error {
	for ; s.next < end; s.next++ {
		if err := s.writeChunk(s.sequence.token(s.next)); err != nil {
			return err
		}
	}
	return errors.Wrap(s.flusher.Flush(), "flush")
}

func (s *streamWriter) writeChunk(text string) error {
	delta := &message{
		Content: text,
	}
	if !s.started {
		delta.Role = "assistant"
		s.started = true
	}
	return s.writeEvent(newChatResponse(s.sequence, "chat.completion.chunk", []choice{
		{
			Delta: delta,
		},
	}))
}

// writeFinal sends the chunk with the finish reason, the usage if withUsage is
// set, and the [DONE] event.
func (s *streamWriter) writeFinal(v snapshot, withUsage bool) error {
	reason := finishLength
	last := newChatResponse(s.sequence, "chat.completion.chunk", []choice{
		{
			Delta:        &message{},
			FinishReason: &reason,
		},
	})
	if err := s.writeEvent(last); err != nil {
		return err
	}
	if withUsage {
		u := newChatResponse(s.sequence, "chat.completion.chunk", []choice{})
		u.Usage = newUsage(s.sequence, v)
		if err := s.writeEvent(u); err != nil {
			return err
		}
	}
	return s.writeText("data: [DONE]\n\n")
}

func (s *streamWriter) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode chunk")
	}
	return s.writeText("data: " + string(data) + "\n\n")
}

func (s *streamWriter) writeKeepAlive() error {
	if err := s.writeText(": keep-alive\n\n"); err != nil {
		return err
	}
	return errors.Wrap(s.flusher.Flush(), "flush")
}

func (s *streamWriter) writeText(text string) error {
	_, err := s.w.Write([]byte(text))
	return errors.Wrap(err, "write")
}

// findStream returns the stream with the given id, or nil if it does not exist
// or its retention time has passed.
func (e *Engine) findStream(id string) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.purgeEndedStreams()
	return e.streams[id]
}

// serveStream handles GET /v1/streams/{id}?offset=N, which resumes a stream.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	offset := 0
	if text := r.URL.Query().Get("offset"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			writeError(w, http.StatusBadRequest, "malformed", "offset: want a number of tokens")
			return
		}
		offset = n
	}
	q := e.findStream(r.PathValue("id"))
	switch {
	case q == nil:
		writeError(w, http.StatusNotFound, "stream-not-found", "no such stream")
	case offset > q.outputTokens:
		writeError(w, http.StatusBadRequest, "malformed", "offset is after the end")
	case e.endedEarly(q):
		writeError(w, http.StatusGone, "stream-cancelled", "stream was cancelled")
	default:
		w.Header().Set(StreamIDHeader, q.id)
		e.writeStream(w, r, q, offset, false)
	}
}

// endedEarly reports whether the sequence was cancelled or lost.
func (e *Engine) endedEarly(q *sequence) bool {
	p := e.snapshot(q).phase
	return p.ended() && p != finished
}

// streamState is the response to DELETE /v1/streams/{id}.
type streamState struct {
	State    string `json:"state"`
	Executed bool   `json:"executed"` // whether the sequence was admitted to the batch
	Tokens   int    `json:"tokens"`
}

// serveCancel handles DELETE /v1/streams/{id}.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	q := e.findStream(r.PathValue("id"))
	if q == nil {
		writeError(w, http.StatusNotFound, "stream-not-found", "no such stream")
		return
	}
	bmstandin.WriteJSON(w, http.StatusOK, e.cancelSequence(q))
}

// cancelSequence cancels a sequence unless it has already ended, and returns its
// state.
func (e *Engine) cancelSequence(q *sequence) streamState {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !q.phase.ended() {
		e.removeSequence(q)
		e.endSequence(q, cancelled)
		e.recordLoad()
		e.wakeLoop()
	}
	return streamState{
		State:    q.phase.String(),
		Executed: q.executionNumber > 0,
		Tokens:   q.generatedTokens,
	}
}
