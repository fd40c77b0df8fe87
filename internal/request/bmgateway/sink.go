package bmgateway

import (
	"bytes"
	"encoding/json"
	"mime"
	"net/http"
	"strconv"
	"time"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/request/bmdispatch"
)

// sink passes a target's response to the caller. A small response of known
// size is held until it is complete, so that its header tells the outcome; any
// other is streamed and tells it in a trailer.
type sink struct {
	w      http.ResponseWriter
	rc     *http.ResponseController
	method string
	chat   bool

	// detached keeps receiving the response of a claimed request after its
	// caller left, because a repeat of the request gets it.
	detached bool
	left     bool // the caller left

	status   int
	header   http.Header
	length   int64
	held     *bytes.Buffer // nil when streaming
	streamed bool          // the header is sent
	events   bool          // the response is an engine's event stream

	capture  bool
	captured []byte
	tooLarge bool // the response does not fit into a record
}

var _ bmdispatch.Sink = (*sink)(nil)

func newSink(w http.ResponseWriter, c *call) *sink {
	return &sink{
		w:        w,
		rc:       http.NewResponseController(w),
		method:   c.request.Method,
		chat:     c.demand.Model != "",
		detached: c.claimed(),
		capture:  c.claimed(),
	}
}

// Start receives the head of the response.
func (s *sink) Start(status int, header http.Header, length int64) error {
	s.status = status
	s.header = header
	s.length = length
	kind, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	s.events = s.chat && err == nil && kind == "text/event-stream"
	if s.bodyless() || (!s.events && length >= 0 && length <= maxBufferedBytes) {
		s.held = new(bytes.Buffer)
		return nil
	}
	s.sendHeader(bmdispatch.HeaderOutcome)
	s.streamed = true
	return s.flush()
}

func (s *sink) bodyless() bool {
	return s.method == http.MethodHead || s.status == http.StatusNoContent || s.status == http.StatusNotModified
}

// sendHeader sends status and headers and announces a trailer unless it is
// empty.
func (s *sink) sendHeader(trailer string) {
	h := s.w.Header()
	for name, values := range s.header {
		h[name] = values
	}
	if trailer != "" {
		h.Set("Trailer", trailer)
	}
	s.w.WriteHeader(s.status)
}

// Write receives the next part of the body.
func (s *sink) Write(p []byte) error {
	s.record(p)
	if s.held != nil {
		s.held.Write(p)
		return nil
	}
	if s.left {
		return nil
	}
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeTimeout.Duration()))
	if _, err := s.w.Write(p); err != nil {
		return s.lost(err)
	}
	return s.flush()
}

func (s *sink) record(p []byte) {
	if !s.capture || s.tooLarge {
		return
	}
	if len(s.captured)+len(p) > MaxAnswerBytes {
		s.tooLarge = true
		s.captured = nil
		return
	}
	s.captured = append(s.captured, p...)
}

func (s *sink) flush() error {
	if err := s.rc.Flush(); err != nil {
		return s.lost(err)
	}
	return nil
}

func (s *sink) lost(err error) error {
	s.left = true
	if s.detached {
		return nil
	}
	return err
}

// answer returns the response for the record; nil if it is too large.
func (s *sink) answer() *basilmoor.Answer {
	if s.tooLarge {
		return nil
	}
	return &basilmoor.Answer{
		Status:      s.status,
		ContentType: s.header.Get("Content-Type"),
		Body:        s.captured,
	}
}

// wholeUsage is what an engine's response in one piece tells of its tokens.
type wholeUsage struct {
	Usage struct {
		Output  int `json:"completion_tokens"`
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// usage returns the output tokens and the cached prompt tokens of a response
// in one piece; 0 where it does not tell.
func (s *sink) usage() (output, cached int) {
	var u wholeUsage
	if !s.chat || s.held == nil || json.Unmarshal(s.held.Bytes(), &u) != nil {
		return 0, 0
	}
	return max(u.Usage.Output, 0), max(u.Usage.Details.Cached, 0)
}

// finish ends a complete response.
func (s *sink) finish() {
	outcome := string(basilmoor.OutcomeDone)
	if s.streamed {
		s.w.Header().Set(bmdispatch.HeaderOutcome, outcome)
		s.resetDeadline()
		return
	}
	h := s.w.Header()
	h.Set(bmdispatch.HeaderOutcome, outcome)
	if s.length >= 0 && s.status != http.StatusNoContent {
		h.Set("Content-Length", strconv.FormatInt(s.length, 10))
	}
	s.sendHeader("")
	_, _ = s.w.Write(s.held.Bytes())
}

// abort ends a response that broke off or never began. It returns false if the
// connection to the caller must be aborted, because nothing else tells that
// the body is not complete.
func (s *sink) abort(p problem) bool {
	if !s.streamed {
		p.write(s.w)
		return true
	}
	if !s.events || s.left {
		return false
	}
	body, err := json.Marshal(streamError{
		Outcome: p.outcome,
		Reason:  p.reason,
	})
	if err != nil {
		return false
	}
	_, _ = s.w.Write([]byte("event: error\ndata: " + string(body) + "\n\n"))
	s.w.Header().Set(bmdispatch.HeaderOutcome, string(p.outcome))
	s.resetDeadline()
	return true
}

// resetDeadline leaves the caller's connection usable for its next request.
func (s *sink) resetDeadline() {
	_ = s.rc.SetWriteDeadline(time.Time{})
}

// streamError is the data of an event that ends a stream that broke off.
type streamError struct {
	Outcome basilmoor.Outcome `json:"outcome"`
	Reason  basilmoor.Reason  `json:"reason"`
}
