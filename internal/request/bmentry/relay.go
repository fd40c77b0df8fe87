package bmentry

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
	"basilmoor.example/basilmoor/internal/request/bmexchange"
)

// bufferedBytes is the size up to which a response is read to its end before
// its first byte is relayed, so that one that breaks off can be repeated or
// answered with a status.
const bufferedBytes = 256 << 10

// relayedError tells that part of a response was relayed before the error.
type relayedError struct {
	Err error
}

func (e *relayedError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *relayedError) Unwrap() error {
	return e.Err
}

// failedError is a target's own failure response, complete, which is relayed
// if the request isn't repeated.
type failedError struct {
	Status int
	relay  func() error
}

func (e *failedError) Error() string {
	return "target answered " + http.StatusText(e.Status)
}

// relayPlain relays a response that isn't a stream of events.
func (c *call) relayPlain(permit basilmoor.Permit, resp *bmexchange.Response, sent basilmoor.Millis) error {
	body, err := io.ReadAll(io.LimitReader(resp, bufferedBytes))
	if err != nil {
		c.observeFailure(permit, err)
		return err
	}
	if len(body) == bufferedBytes {
		return c.relayLong(permit, resp, body, sent)
	}
	c.observeFinished(permit, sent, 0)
	relay := func() error {
		c.writeHead(resp)
		_, err := c.w.Write(body)
		return relayed(err)
	}
	if resp.Status >= http.StatusInternalServerError && c.route.Repetition != bmrouting.RunOnce {
		return &failedError{
			Status: resp.Status,
			relay:  relay,
		}
	}
	return relay()
}

// relayLong relays a response of which head was read.
func (c *call) relayLong(permit basilmoor.Permit, resp *bmexchange.Response, head []byte, sent basilmoor.Millis) error {
	c.writeHead(resp)
	if _, err := c.w.Write(head); err != nil {
		c.observeFailure(permit, err)
		return relayed(err)
	}
	if _, err := io.Copy(c.w, resp); err != nil {
		c.observeFailure(permit, err)
		return relayed(err)
	}
	c.observeFinished(permit, sent, 0)
	return nil
}

func relayed(err error) error {
	if err == nil {
		return nil
	}
	return &relayedError{
		Err: err,
	}
}

// writeHead sends the status and headers of a target's response.
func (c *call) writeHead(resp *bmexchange.Response) {
	h := c.w.Header()
	for name, values := range c.handler.cfg.Protocol.Answer(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// net/http would guess one.
		h["Content-Type"] = nil
	}
	if c.handler.closing.Load() {
		h.Set("Connection", "close")
	}
	c.w.WriteHeader(resp.Status)
}

func (c *call) observeFinished(permit basilmoor.Permit, sent basilmoor.Millis, tokens int) {
	permit.Observe(basilmoor.Observation{
		Stage:   basilmoor.StageFinished,
		Tokens:  tokens,
		Elapsed: c.handler.cfg.Clock.Now() - sent,
	})
}

// relayStream relays a stream of events as they arrive, and goes on with
// another target where the stream may be resumed.
func (c *call) relayStream(ctx context.Context, permit basilmoor.Permit, resp *bmexchange.Response, sent basilmoor.Millis) error {
	s := &stream{
		call:    c,
		control: http.NewResponseController(c.w),
		last:    c.attempt.LastEvent,
	}
	err := s.relay(permit, resp, sent)
	for err != nil && s.resumable(ctx, err) {
		c.handler.cfg.Metrics.Retry(basilmoor.ReasonTargetFailed)
		err = s.resume(ctx)
	}
	if err != nil && s.started {
		return &relayedError{
			Err: err,
		}
	}
	return err
}

// stream is a stream of events on its way to a caller.
type stream struct {
	call    *call
	control *http.ResponseController
	started bool   // the head was relayed
	last    string // id of the last event that was relayed
	events  int
	arrived basilmoor.Millis // when the last events came; 0 before the first
	longest basilmoor.Millis // pause between events
	unsent  int              // continuations that reached no target
	buffer  []byte           // part of an event
}

// relay relays one target's part of the stream. Only whole events are relayed,
// since the next target goes on after the last whole one.
func (s *stream) relay(permit basilmoor.Permit, resp *bmexchange.Response, sent basilmoor.Millis) error {
	c := s.call
	s.buffer = s.buffer[:0]
	first := s.events
	chunk := make([]byte, readChunkBytes)
	for {
		n, err := resp.Read(chunk)
		if n > 0 {
			if s.events == first {
				permit.Observe(basilmoor.Observation{
					Stage:   basilmoor.StageFirstToken,
					Elapsed: c.handler.cfg.Clock.Now() - sent,
				})
			}
			if err := s.forward(resp, chunk[:n]); err != nil {
				c.observeFailure(permit, err)
				return &callerLeftError{
					Err: err,
				}
			}
		}
		if errors.Is(err, io.EOF) {
			return s.end(permit, resp, sent, s.events-first)
		}
		if err != nil {
			c.observeFailure(permit, err)
			return err
		}
	}
}

// readChunkBytes holds several events.
const readChunkBytes = 4 << 10

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// forward relays the whole events that data completes.
func (s *stream) forward(resp *bmexchange.Response, data []byte) error {
	s.buffer = append(s.buffer, data...)
	n := bytes.LastIndex(s.buffer, eventEnd)
	if n < 0 {
		return nil
	}
	n += len(eventEnd)
	whole := s.buffer[:n]
	if !s.started {
		s.started = true
		s.call.writeHead(resp)
	}
	if _, err := s.call.w.Write(whole); err != nil {
		return err
	}
	if err := s.control.Flush(); err != nil {
		return err
	}
	s.note(whole)
	s.timePause()
	s.buffer = append(s.buffer[:0], s.buffer[n:]...)
	return nil
}

// timePause takes the time since the events before the last ones.
func (s *stream) timePause() {
	now := s.call.handler.cfg.Clock.Now()
	if s.arrived > 0 {
		s.longest = max(s.longest, now-s.arrived)
	}
	s.arrived = now
}

// note counts whole events and remembers the id of the last one.
func (s *stream) note(events []byte) {
	s.events += bytes.Count(events, eventEnd)
	for len(events) > 0 {
		var line []byte
		line, events, _ = bytes.Cut(events, []byte("\n"))
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.last = string(bytes.TrimSpace(id))
		}
	}
}

// end relays what follows the last event and ends the stream.
func (s *stream) end(permit basilmoor.Permit, resp *bmexchange.Response, sent basilmoor.Millis, events int) error {
	if !s.started {
		s.started = true
		s.call.writeHead(resp)
	}
	if len(s.buffer) > 0 {
		if _, err := s.call.w.Write(s.buffer); err != nil {
			return &callerLeftError{
				Err: err,
			}
		}
	}
	s.call.handler.cfg.Metrics.Observe("longest-pause-ms."+s.call.series(), s.longest)
	s.call.handler.expected.learn(s.call.route.Name, s.call.outputTokens(s.events))
	s.call.observeFinished(permit, sent, s.call.outputTokens(events))
	return nil
}

// resumable reports whether another target may go on with the stream after a
// failure.
func (s *stream) resumable(ctx context.Context, err error) bool {
	c := s.call
	if !s.started || c.route.Repetition != bmrouting.Resume || ctx.Err() != nil {
		return false
	}
	c.exclude(c.target)
	var unreached *bmexchange.UnsentError
	if errors.As(err, &unreached) {
		s.unsent++
		return s.unsent <= maxUnsent
	}
	var broken *bmexchange.BrokenError
	if errors.As(err, &broken) {
		c.runs++
	}
	var refused *bmexchange.RefusedError
	if broken == nil && !errors.As(err, &refused) {
		return false
	}
	return c.runs < c.route.MaxAttempts && !c.heldBack() && c.mayRetry(ctx)
}

// resume goes on after the last event at another target.
func (s *stream) resume(ctx context.Context) error {
	c := s.call
	permit, err := c.acquire(ctx)
	if err != nil {
		return err
	}
	resp, sent, err := c.dispatch(ctx, permit, s.last)
	if err != nil {
		return err
	}
	defer resp.Close()
	if resp.Status != http.StatusOK {
		c.observeFinished(permit, sent, 0)
		return errors.Errorf("target %s answered the continuation with %d", c.target, resp.Status)
	}
	return s.relay(permit, resp, sent)
}
