package bmentry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
	"basilmoor.example/basilmoor/internal/request/bmexchange"
)

// relayStream relays events as they arrive. If the target fails and the route
// allows it, another target resumes the stream.
func (c *call) relayStream(ctx context.Context, permit basilmoor.Permit, resp *bmexchange.Response, sent basilmoor.Millis) error {
	s := &stream{
		call:        c,
		control:     http.NewResponseController(c.w),
		lastEventID: c.info.LastEventID,
		buffer:      c.handler.buffers.newBuffer(),
	}
	defer s.buffer.release()
	err := s.relayEvents(permit, resp, sent)
	for err != nil && s.canResume(ctx, err) {
		c.handler.cfg.Metrics.Retry(basilmoor.ReasonTargetFailed)
		err = s.resume(ctx)
	}
	if err != nil && s.headerSent {
		return &partialRelayError{
			Err: err,
		}
	}
	return err
}

// stream is the state of an event stream that is relayed to a caller, possibly
// from several targets in turn.
type stream struct {
	call           *call
	control        *http.ResponseController
	headerSent     bool   // status and headers were written
	mediaType      string // of the response whose header was relayed
	lastEventID    string // of the last event that was relayed
	resumed        bool   // the present target has been asked for the events after lastEventID
	eventCount     int
	lastArrival    basilmoor.Millis // of the latest events; 0 before the first
	longestPause   basilmoor.Millis // longest time between arrivals
	targetPause    basilmoor.Millis // longest pause that the present target made
	targetStreams  bool             // the present target has sent an event
	waited         basilmoor.Millis // spent in reads since the latest events
	unreachedCount int              // attempts to resume that reached no target
	partial        []byte           // incomplete event received so far
	buffer         *buffer          // of partial
}

// relayEvents relays one target's part of the stream. Only complete events are
// relayed, because another target would resume after the last complete one.
func (s *stream) relayEvents(permit basilmoor.Permit, resp *bmexchange.Response, sent basilmoor.Millis) error {
	c := s.call
	s.beginTarget()
	countBefore := s.eventCount
	chunk := make([]byte, readBufferBytes)
	for {
		began := c.handler.cfg.Clock.Now()
		n, err := resp.Read(chunk)
		s.waited += c.handler.cfg.Clock.Now() - began
		if size := len(s.partial) + n; size > maxEventBytes || !s.buffer.resize(size) {
			c.handler.cfg.Metrics.Add("streams.event-too-long", 1)
			return s.broken(permit, resp, &eventTooLongError{}, s.eventCount > countBefore)
		}
		if n > 0 {
			if s.eventCount == countBefore {
				permit.Observe(basilmoor.Observation{
					Stage:   basilmoor.StageFirstToken,
					Elapsed: c.handler.cfg.Clock.Now() - sent,
				})
			}
			err := s.writeEvents(resp, chunk[:n])
			var misplaced *misplacedEventError
			if errors.As(err, &misplaced) {
				return s.broken(permit, resp, misplaced, true)
			}
			if err != nil {
				c.observeFailure(permit, err, true)
				return &callerLeftError{
					Err: err,
				}
			}
		}
		if errors.Is(err, io.EOF) {
			return s.end(permit, resp, sent, s.eventCount-countBefore)
		}
		if err != nil {
			c.observeFailure(permit, err, s.eventCount > countBefore)
			return err
		}
	}
}

// beginTarget forgets what belongs to the target before.
func (s *stream) beginTarget() {
	s.partial = s.partial[:0]
	s.targetPause = 0
	s.targetStreams = false
	s.waited = 0
}

// end ends one target's part of the stream, which brought the given number of events.
func (s *stream) end(permit basilmoor.Permit, resp *bmexchange.Response, sent basilmoor.Millis, events int) error {
	c := s.call
	if !resp.EndMarked() {
		s.logUnmarkedEnd(events)
	}
	if s.truncated(resp, events) {
		c.handler.cfg.Metrics.Add("streams.truncated", 1)
		return s.broken(permit, resp, &truncatedEventError{}, events > 0)
	}
	survived, err := c.confirmEnd(permit, resp, events > 0)
	if err != nil {
		return err
	}
	if s.headerSent && !c.endsWithConn && !resp.EndMarked() {
		c.observeFinished(permit, resp, sent, s.delivered(events), survived)
		return resp.Broken(&unmarkedEndError{})
	}
	return s.finish(permit, resp, sent, events, survived)
}

const (
	// readBufferBytes is room for several events.
	readBufferBytes = 4 << 10

	// maxEventBytes bounds an event of a stream, which is kept until it is
	// complete.
	maxEventBytes = 256 << 10
)

// truncatedEventError means that a target ended a stream in the middle of an
// event.
type truncatedEventError struct{}

func (e *truncatedEventError) Error() string {
	return "the stream ended in the middle of an event"
}

// unmarkedEndError means that the rest of a stream ended with its connection, while the
// chunks in which the stream began would tell the caller that it is complete.
type unmarkedEndError struct{}

func (e *unmarkedEndError) Error() string {
	return "the rest of the stream ended without a last chunk"
}

// misplacedEventError means that a target that was to resume a stream sent an event again.
type misplacedEventError struct {
	ID   int64
	Last int64 // id of the last event that was relayed
}

func (e *misplacedEventError) Error() string {
	return fmt.Sprintf("the stream goes on with event %d after event %d", e.ID, e.Last)
}

// eventTooLongError means that a target sent an event without an end.
type eventTooLongError struct{}

func (e *eventTooLongError) Error() string {
	return "an event of the stream is too long"
}

// truncated reports whether a target's part of the stream, of the given number of
// events, ended with an incomplete one, or with its connection before the first one.
func (s *stream) truncated(resp *bmexchange.Response, events int) bool {
	if len(bytes.TrimSpace(s.partial)) == 0 {
		return events == 0 && !resp.EndMarked()
	}
	return s.eventCount > 0 || !resp.EndMarked() || mediaTypeOf(resp) == eventStreamType
}

// logUnmarkedEnd counts and logs the end of a target's part of the stream, of the given
// number of events, that ended with its connection: where in the events it came tells
// whether the target has broken it off.
func (s *stream) logUnmarkedEnd(events int) {
	place := "after-event"
	switch {
	case len(bytes.TrimSpace(s.partial)) > 0:
		place = "in-event"
	case events == 0:
		place = "before-first-event"
	}
	cfg := &s.call.handler.cfg
	cfg.Metrics.Add("streams.unmarked-end."+place, 1)
	cfg.Log.Info().
		Str("request", s.call.info.ID).
		Str("target", s.call.lastTarget).
		Str("place", place).
		Int("events", events).
		Msg("stream ended with its connection")
}

// broken reports the failure of a target whose stream is not valid.
func (s *stream) broken(permit basilmoor.Permit, resp *bmexchange.Response, cause error, answered bool) error {
	err := resp.Broken(cause)
	s.call.observeFailure(permit, err, answered)
	return err
}

// eventSeparators are the ends of an event: the end of its last line and a blank line,
// which may end with LF or CR LF.
var eventSeparators = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// completeEventBytes returns the length of the complete events at the start of data.
func completeEventBytes(data []byte) int {
	n := 0
	for _, sep := range eventSeparators {
		if i := bytes.LastIndex(data, sep); i >= 0 {
			n = max(n, i+len(sep))
		}
	}
	return n
}

// maxSeparatorBytes is the length of the longest of eventSeparators.
const maxSeparatorBytes = 3

// appendToEvent appends data to an incomplete event, and returns with it the length of
// the complete events at its start. What was received before holds no separator and is
// not searched again: that would take a time that grows with the square of the event's
// length.
func appendToEvent(partial, data []byte) (all []byte, complete int) {
	from := max(len(partial)-(maxSeparatorBytes-1), 0)
	all = append(partial, data...)
	if n := completeEventBytes(all[from:]); n > 0 {
		complete = from + n
	}
	return all, complete
}

// writeEvents relays the events that data completes and keeps the rest.
func (s *stream) writeEvents(resp *bmexchange.Response, data []byte) error {
	var n int
	s.partial, n = appendToEvent(s.partial, data)
	if n == 0 {
		return nil
	}
	complete := s.partial[:n]
	if err := s.checkPlace(complete); err != nil {
		return err
	}
	if !s.headerSent {
		s.writeHeader(resp)
	}
	if _, err := s.call.w.Write(complete); err != nil {
		return err
	}
	if err := s.control.Flush(); err != nil {
		return err
	}
	countBefore := s.eventCount
	s.trackEvents(complete)
	s.recordPause(s.eventCount - countBefore)
	s.partial = append(s.partial[:0], s.partial[n:]...)
	return nil
}

// writeHeader relays the status and headers of the first target's response.
func (s *stream) writeHeader(resp *bmexchange.Response) {
	s.headerSent = true
	s.mediaType = mediaTypeOf(resp)
	s.call.writeHeader(resp)
}

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// mediaTypeOf returns the media type that a response declares, without its parameters.
func mediaTypeOf(resp *bmexchange.Response) string {
	mediaType, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(mediaType))
}

// isSameKind reports whether a response can go on with the stream: it declares a stream of
// events, or what the first target has declared.
func (s *stream) isSameKind(resp *bmexchange.Response) bool {
	mediaType := mediaTypeOf(resp)
	return mediaType == eventStreamType || mediaType == s.mediaType
}

// checkPlace returns a *misplacedEventError if the first events of a target that resumes
// the stream don't follow on the last one that was relayed. Ids increase along a stream;
// others than whole numbers can't be compared.
func (s *stream) checkPlace(events []byte) error {
	if !s.resumed {
		return nil
	}
	s.resumed = false
	last, err := strconv.ParseInt(s.lastEventID, 10, 64)
	if err != nil {
		return nil //nolint:nilerr // not a number
	}
	first, err := strconv.ParseInt(firstEventID(events), 10, 64)
	if err != nil || first > last {
		return nil //nolint:nilerr // not a number
	}
	return &misplacedEventError{
		ID:   first,
		Last: last,
	}
}

// firstEventID returns the id of the first event that has one.
func firstEventID(events []byte) string {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// recordPause updates the longest time between arrivals of events, of which some have
// just arrived together. A target's pause is only the time spent waiting for it: a caller
// that reads slowly delays the next read. A pause that ends with several events came about
// on the way, and not at the target.
func (s *stream) recordPause(events int) {
	now := s.call.handler.cfg.Clock.Now()
	if s.lastArrival > 0 {
		s.longestPause = max(s.longestPause, now-s.lastArrival)
	}
	if s.targetStreams && events == 1 {
		s.targetPause = max(s.targetPause, s.waited)
	}
	s.lastArrival = now
	s.targetStreams = true
	s.waited = 0
}

// delivered returns what the present target delivered in the given number of events.
func (s *stream) delivered(events int) delivery {
	return delivery{
		tokens:       s.call.tokensInEvents(events),
		longestPause: s.targetPause,
	}
}

// trackEvents counts complete events and keeps the id of the last one.
func (s *stream) trackEvents(events []byte) {
	for _, sep := range eventSeparators {
		s.eventCount += bytes.Count(events, sep)
	}
	for len(events) > 0 {
		var line []byte
		line, events, _ = bytes.Cut(events, []byte("\n"))
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastEventID = string(bytes.TrimSpace(id))
		}
	}
}

// finish relays the bytes after the last complete event and records the end of
// the stream. events is the number of events from the last target.
func (s *stream) finish(permit basilmoor.Permit, resp *bmexchange.Response, sent basilmoor.Millis, events int, survived bool) error {
	if !s.headerSent {
		s.writeHeader(resp)
	}
	if len(s.partial) > 0 {
		if _, err := s.call.w.Write(s.partial); err != nil {
			return &callerLeftError{
				Err: err,
			}
		}
	}
	s.call.handler.cfg.Metrics.Observe("longest-pause-ms."+s.call.metricSuffix(), s.longestPause)
	s.call.handler.estimator.observe(s.call.route.Name, s.call.tokensInEvents(s.eventCount))
	s.call.observeFinished(permit, resp, sent, s.delivered(events), survived)
	return nil
}

// canResume reports whether another target may resume the stream after err. It
// counts the failed attempt.
func (s *stream) canResume(ctx context.Context, err error) bool {
	c := s.call
	if !s.headerSent || c.route.RetryPolicy != bmrouting.RetryResume || ctx.Err() != nil {
		return false
	}
	c.exclude(c.lastTarget)
	var unsent *bmexchange.UnsentError
	if errors.As(err, &unsent) {
		s.unreachedCount++
		return s.unreachedCount <= maxUnreachedTargets
	}
	var broken *bmexchange.BrokenError
	if errors.As(err, &broken) {
		c.possibleRuns++
	}
	var refused *bmexchange.RefusedError
	if broken == nil && !errors.As(err, &refused) {
		return false
	}
	return c.possibleRuns < c.route.MaxAttempts && !c.isCrashSuspect() && c.consumeRetry(ctx)
}

// resume requests the rest of the stream from another target and relays it.
func (s *stream) resume(ctx context.Context) error {
	c := s.call
	permit, err := c.acquireGrant(ctx)
	if err != nil {
		return err
	}
	if c.isCrashSuspect() {
		permit.Observe(basilmoor.Observation{
			Stage: basilmoor.StageReturned,
		})
		return errCrashSuspect
	}
	if target := permit.Target(); c.isHeldOff(target) {
		permit.Observe(basilmoor.Observation{
			Stage: basilmoor.StageReturned,
		})
		return &bmexchange.UnsentError{
			Target: target.Name,
			Err:    errors.New("the target takes no requests from this host"),
		}
	}
	resp, sent, err := c.dispatch(ctx, permit, s.lastEventID)
	if err != nil {
		return err
	}
	defer resp.Close()
	if resp.Status != http.StatusOK || !s.isSameKind(resp) {
		c.handler.cfg.Metrics.Add("streams.not-resumed", 1)
		c.observeFinished(permit, resp, sent, delivery{}, false)
		return errors.Errorf("target %s answered the request to resume the stream with status %d and content type %q", c.lastTarget, resp.Status, mediaTypeOf(resp))
	}
	s.resumed = true
	return s.relayEvents(permit, resp, sent)
}
