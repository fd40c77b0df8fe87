package bmentry

import (
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
	"basilmoor.example/basilmoor/internal/request/bmexchange"
)

// maxBufferedBytes is the size below which a response is buffered as a whole
// before it is relayed, so that a truncated one can still be retried or answered
// with an error status.
const maxBufferedBytes = 256 << 10

// partialRelayError means that part of a response was relayed before the error,
// so that no other response can follow.
type partialRelayError struct {
	Err error
}

func (e *partialRelayError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *partialRelayError) Unwrap() error {
	return e.Err
}

// serverError holds a target's complete 5xx response, which is relayed if the
// request is not retried.
type serverError struct {
	Status int
	relay  func() error
}

func (e *serverError) Error() string {
	return "target answered " + http.StatusText(e.Status)
}

// unconfirmedRefusalError means that a target answered with a status that promises
// callers that their request has not run and never will, without stating that it did
// not run the request. Only the status of the host's own answer may promise that.
type unconfirmedRefusalError struct {
	Status int
}

func (e *unconfirmedRefusalError) Error() string {
	return fmt.Sprintf("target answered with status %d and does not state that it did not run the request", e.Status)
}

// relayResponse relays a response that is not an event stream. A 5xx response
// of a route that allows retries is returned as a *serverError instead, and one whose
// status promises what the target has not stated as an *unconfirmedRefusalError.
func (c *call) relayResponse(permit basilmoor.Permit, resp *bmexchange.Response, sent basilmoor.Millis) error {
	buf := c.handler.buffers.newBuffer()
	defer buf.release()
	body, whole, err := readBuffered(resp, buf)
	if err != nil {
		c.observeFailure(permit, err, len(body) > 0)
		return err
	}
	promises := promisesNotRun(resp.Status)
	if !whole && !promises {
		buf.release()
		return c.relayLarge(permit, resp, body, sent)
	}
	survived, err := c.confirmEnd(permit, resp, len(body) > 0)
	if err != nil {
		return err
	}
	c.observeFinished(permit, resp, sent, delivery{}, survived)
	if promises {
		c.handler.cfg.Metrics.Add("responses.unconfirmed-refusals", 1)
		return &unconfirmedRefusalError{
			Status: resp.Status,
		}
	}
	relay := func() error {
		c.writeHeader(resp)
		_, err := c.w.Write(body)
		return wrapPartialRelay(err)
	}
	if resp.Status >= http.StatusInternalServerError && c.route.RetryPolicy != bmrouting.RetryNever {
		return &serverError{
			Status: resp.Status,
			relay:  relay,
		}
	}
	return relay()
}

// readBuffered reads a response as long as it is below maxBufferedBytes and buf allows it.
// whole tells whether the end was reached.
func readBuffered(r io.Reader, buf *buffer) (body []byte, whole bool, err error) {
	body = make([]byte, 0, readBufferBytes)
	for len(body) < maxBufferedBytes {
		if len(body) == cap(body) {
			size := min(2*cap(body), maxBufferedBytes)
			if !buf.resize(size) {
				return body, false, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
	}
	return body, false, nil
}

// relayLarge relays a response that is too large to buffer. The bytes in head
// were read already.
func (c *call) relayLarge(permit basilmoor.Permit, resp *bmexchange.Response, head []byte, sent basilmoor.Millis) error {
	c.writeHeader(resp)
	if _, err := c.w.Write(head); err != nil {
		c.observeFailure(permit, err, true)
		return wrapPartialRelay(err)
	}
	if _, err := io.Copy(c.w, resp); err != nil {
		c.observeFailure(permit, err, true)
		return wrapPartialRelay(err)
	}
	survived, err := c.confirmEnd(permit, resp, true)
	if err != nil {
		return wrapPartialRelay(err)
	}
	c.observeFinished(permit, resp, sent, delivery{}, survived)
	return nil
}

// wrapPartialRelay wraps a non-nil error in a *partialRelayError.
func wrapPartialRelay(err error) error {
	if err == nil {
		return nil
	}
	return &partialRelayError{
		Err: err,
	}
}

// writeHeader writes the status and headers of a target's response. If its end is not
// marked, that of the answer isn't either, since a length or a last chunk would tell the
// caller that the answer is complete.
func (c *call) writeHeader(resp *bmexchange.Response) {
	h := c.w.Header()
	for name, values := range c.handler.cfg.Protocol.ResponseHeader(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from detecting one.
		h["Content-Type"] = nil
	}
	if c.handler.draining() {
		h.Set("Connection", "close")
	}
	if !resp.EndMarked() {
		// Makes net/http send neither, and close the connection after the body.
		h.Set("Transfer-Encoding", "identity")
	}
	c.endsWithConn = !resp.EndMarked() || !c.r.ProtoAtLeast(1, 1)
	if c.endsWithConn {
		// Until the answer has ended, the connection must not close in order: the
		// caller would take that for the end.
		resetOnClose(c.r.Context(), true)
	}
	c.status = resp.Status
	c.w.WriteHeader(resp.Status)
}

// closeInOrder lets the connection close in order after an answer that ends with it.
func (c *call) closeInOrder() {
	if !c.endsWithConn {
		return
	}
	_ = http.NewResponseController(c.w).Flush()
	resetOnClose(c.r.Context(), false)
}

// delivery is what one target delivered of a stream.
type delivery struct {
	tokens       int
	longestPause basilmoor.Millis // between two events
}

// observeFinished reports a complete response to the scheduler. survived tells whether
// the target is known to have survived it.
func (c *call) observeFinished(permit basilmoor.Permit, resp *bmexchange.Response, sent basilmoor.Millis, d delivery, survived bool) {
	permit.Observe(basilmoor.Observation{
		Stage:        basilmoor.StageFinished,
		Answered:     resp.Status < http.StatusMultipleChoices && survived,
		Tokens:       d.tokens,
		Elapsed:      c.handler.cfg.Clock.Now() - sent,
		LongestPause: d.longestPause,
		BadAnswer:    resp.Status >= http.StatusInternalServerError,
	})
}
