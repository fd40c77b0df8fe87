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

// sink forwards a target's response to the caller. It buffers a response of
// known length up to maxBufferedBytes until it is complete, so that a header can
// state the outcome. Other responses are streamed and state it in a trailer.
type sink struct {
	w      http.ResponseWriter
	rc     *http.ResponseController
	method string
	chat   bool

	// continueWithoutCaller makes the sink accept the rest of the response after
	// the caller has disconnected. It is set for requests with a claim, because
	// a repeat gets the recorded response.
	continueWithoutCaller bool
	callerGone            bool // a write to the caller failed

	status      int
	header      http.Header
	length      int64
	buffered    *bytes.Buffer // nil if streaming
	streaming   bool          // the header was sent before the body was complete
	eventStream bool          // an engine's response of type text/event-stream

	recordBody     bool
	recordedBody   []byte
	recordTooLarge bool // the body exceeds MaxRecordedResponseBytes
}

var _ bmdispatch.Sink = (*sink)(nil)

func newSink(w http.ResponseWriter, c *call) *sink {
	return &sink{
		w:                     w,
		rc:                    http.NewResponseController(w),
		method:                c.request.Method,
		chat:                  c.demand.Model != "",
		continueWithoutCaller: c.needsClaim(),
		recordBody:            c.needsClaim(),
	}
}

// Start receives the status and headers of the response and the length of its
// body; a negative length is unknown.
func (s *sink) Start(status int, header http.Header, length int64) error {
	s.status = status
	s.header = header
	s.length = length
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	s.eventStream = s.chat && err == nil && mediaType == "text/event-stream"
	if s.hasNoBody() || (!s.eventStream && length >= 0 && length <= maxBufferedBytes) {
		s.buffered = new(bytes.Buffer)
		return nil
	}
	s.sendHeader(bmdispatch.HeaderOutcome)
	s.streaming = true
	return s.flush()
}

func (s *sink) hasNoBody() bool {
	return s.method == http.MethodHead || s.status == http.StatusNoContent || s.status == http.StatusNotModified
}

// sendHeader sends the status and the headers of the response. It announces the
// trailer unless its name is empty.
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

// Write receives the next bytes of the body.
func (s *sink) Write(p []byte) error {
	s.appendToRecord(p)
	if s.buffered != nil {
		s.buffered.Write(p)
		return nil
	}
	if s.callerGone {
		return nil
	}
	_ = s.rc.SetWriteDeadline(time.Now().Add(writeTimeout.Duration()))
	if _, err := s.w.Write(p); err != nil {
		return s.writeFailed(err)
	}
	return s.flush()
}

// appendToRecord keeps p for the recorded response, or discards the recorded body
// if it would exceed MaxRecordedResponseBytes.
func (s *sink) appendToRecord(p []byte) {
	if !s.recordBody || s.recordTooLarge {
		return
	}
	if len(s.recordedBody)+len(p) > MaxRecordedResponseBytes {
		s.recordTooLarge = true
		s.recordedBody = nil
		return
	}
	s.recordedBody = append(s.recordedBody, p...)
}

func (s *sink) flush() error {
	if err := s.rc.Flush(); err != nil {
		return s.writeFailed(err)
	}
	return nil
}

// writeFailed marks the caller as gone after err. It returns nil if the request
// continues without its caller.
func (s *sink) writeFailed(err error) error {
	s.callerGone = true
	if s.continueWithoutCaller {
		return nil
	}
	return err
}

// recordedAnswer returns the response to record, or nil if it is too large.
func (s *sink) recordedAnswer() *basilmoor.Answer {
	if s.recordTooLarge {
		return nil
	}
	return &basilmoor.Answer{
		Status:      s.status,
		ContentType: s.header.Get("Content-Type"),
		Body:        s.recordedBody,
	}
}

// usageBody is the token usage in an engine's non-streaming response.
type usageBody struct {
	Usage struct {
		Output  int `json:"completion_tokens"`
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// tokenUsage returns the output tokens and the cached prompt tokens that a
// non-streaming response reports, or 0 for those that it doesn't report.
func (s *sink) tokenUsage() (output, cached int) {
	var u usageBody
	if !s.chat || s.buffered == nil || json.Unmarshal(s.buffered.Bytes(), &u) != nil {
		return 0, 0
	}
	return max(u.Usage.Output, 0), max(u.Usage.Details.Cached, 0)
}

// finish ends a complete response.
func (s *sink) finish() {
	outcome := string(basilmoor.OutcomeDone)
	if s.streaming {
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
	_, _ = s.w.Write(s.buffered.Bytes())
}

// abort ends a response that was truncated or never began. It returns false if
// the connection to the caller must be aborted, because the caller couldn't
// otherwise tell that the body is incomplete.
func (s *sink) abort(p problem) bool {
	if !s.streaming {
		p.write(s.w)
		return true
	}
	if !s.eventStream || s.callerGone {
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

// resetDeadline removes the write deadline, so that the connection can serve the
// caller's next request.
func (s *sink) resetDeadline() {
	_ = s.rc.SetWriteDeadline(time.Time{})
}

// streamError is the data of the error event that ends a truncated event stream.
type streamError struct {
	Outcome basilmoor.Outcome `json:"outcome"`
	Reason  basilmoor.Reason  `json:"reason"`
}
