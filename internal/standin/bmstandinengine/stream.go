package bmstandinengine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// finishLength is the finish_reason of a response that reached its length.
const finishLength = "length"

// sender writes the chunks of one stream.
type sender struct {
	w        http.ResponseWriter
	flusher  *http.ResponseController
	sequence *sequence
	next     int // token to send
	started  bool
}

// stream sends the tokens of q from offset on as server-sent events. The
// header goes out at once, so that the client can resume or cancel a request
// that still waits. A stream that is cancelled or lost breaks off without its
// end mark.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, q *sequence, offset int, withUsage bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	s := &sender{
		w:        w,
		flusher:  http.NewResponseController(w),
		sequence: q,
		next:     offset,
	}
	for {
		v := e.view(q)
		err := s.tokens(v.generated)
		if err == nil && v.phase == finished {
			err = s.finish(v, withUsage)
		}
		if err != nil {
			e.left(q)
			return
		}
		if v.phase == finished {
			return
		}
		if v.phase.ended() {
			bmstandin.Drop()
		}
		if !e.waitToken(r, s, v) {
			return
		}
	}
}

// waitToken waits for the next change, or sends a comment after an interval
// without one. It reports whether the stream goes on.
func (e *Engine) waitToken(r *http.Request, s *sender, v view) bool {
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
		if s.comment() == nil {
			return true
		}
	case <-r.Context().Done():
	case <-e.life.Done():
		bmstandin.Drop()
	}
	e.left(s.sequence)
	return false
}

// tokens sends the tokens before end and flushes.
func (s *sender) tokens(end int) error {
	for ; s.next < end; s.next++ {
		if err := s.chunk(s.sequence.token(s.next)); err != nil {
			return err
		}
	}
	return errors.Wrap(s.flusher.Flush(), "flush")
}

func (s *sender) chunk(text string) error {
	delta := &message{
		Content: text,
	}
	if !s.started {
		delta.Role = "assistant"
		s.started = true
	}
	return s.event(response(s.sequence, "chat.completion.chunk", []choice{
		{
			Delta: delta,
		},
	}))
}

// finish sends the last chunk, the usage if asked for, and the end mark.
func (s *sender) finish(v view, withUsage bool) error {
	reason := finishLength
	last := response(s.sequence, "chat.completion.chunk", []choice{
		{
			Delta:        &message{},
			FinishReason: &reason,
		},
	})
	if err := s.event(last); err != nil {
		return err
	}
	if withUsage {
		u := response(s.sequence, "chat.completion.chunk", []choice{})
		u.Usage = usageOf(s.sequence, v)
		if err := s.event(u); err != nil {
			return err
		}
	}
	return s.line("data: [DONE]\n\n")
}

func (s *sender) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode chunk")
	}
	return s.line("data: " + string(data) + "\n\n")
}

func (s *sender) comment() error {
	if err := s.line(": keep-alive\n\n"); err != nil {
		return err
	}
	return errors.Wrap(s.flusher.Flush(), "flush")
}

func (s *sender) line(text string) error {
	_, err := s.w.Write([]byte(text))
	return errors.Wrap(err, "write")
}

// find returns a stream that is not forgotten, or nil.
func (e *Engine) find(id string) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.purge()
	return e.streams[id]
}

// resume answers GET /v1/streams/{id}?offset=N.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset := 0
	if text := r.URL.Query().Get("offset"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			writeError(w, http.StatusBadRequest, "malformed", "offset: want a number of tokens")
			return
		}
		offset = n
	}
	q := e.find(r.PathValue("id"))
	switch {
	case q == nil:
		writeError(w, http.StatusNotFound, "stream-not-found", "no such stream")
	case offset > q.output:
		writeError(w, http.StatusBadRequest, "malformed", "offset is after the end")
	case e.broken(q):
		writeError(w, http.StatusGone, "stream-cancelled", "stream was cancelled")
	default:
		w.Header().Set(StreamIDHeader, q.id)
		e.stream(w, r, q, offset, false)
	}
}

func (e *Engine) broken(q *sequence) bool {
	p := e.view(q).phase
	return p.ended() && p != finished
}

// streamState is the response to DELETE /v1/streams/{id}.
type streamState struct {
	State    string `json:"state"`
	Executed bool   `json:"executed"` // it was admitted to the batch
	Tokens   int    `json:"tokens"`
}

// cancel answers DELETE /v1/streams/{id}.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	q := e.find(r.PathValue("id"))
	if q == nil {
		writeError(w, http.StatusNotFound, "stream-not-found", "no such stream")
		return
	}
	bmstandin.WriteJSON(w, http.StatusOK, e.cancelSequence(q))
}

// cancelSequence ends a sequence that has not ended, and returns its state.
func (e *Engine) cancelSequence(q *sequence) streamState {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !q.phase.ended() {
		e.remove(q)
		e.end(q, cancelled)
		e.record()
		e.signal()
	}
	return streamState{
		State:    q.phase.String(),
		Executed: q.logged > 0,
		Tokens:   q.generated,
	}
}
