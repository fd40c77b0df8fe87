package bmdispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// maxStreamIDBytes limits the stream IDs that are sent back to the engine.
// Streams with longer IDs are neither resumed nor cancelled.
const maxStreamIDBytes = 256

// streamEvents delivers an engine's event stream to the caller and resumes it
// if it is interrupted.
func (c *call) streamEvents(a *attempt, res *http.Response) Result {
	done, err := c.copyEvents(res.Body)
	for n := 0; !done; n++ {
		if !c.canResume(err, n) {
			return c.fail(a, err)
		}
		done, err = c.resume(n, err)
	}
	return c.complete()
}

// canResume reports whether to resume the stream after err. n is the number of
// earlier attempts.
func (c *call) canResume(err error, n int) bool {
	if errors.Is(err, errCallerLeft) || errors.Is(err, errStreamGone) || errors.Is(err, errEventTooLong) {
		return false
	}
	if c.callerCtx.Err() != nil || n >= c.dispatcher.settings.ResumeAttempts {
		return false
	}
	return c.streamID != "" && len(c.streamID) <= maxStreamIDBytes
}

// copyEvents delivers complete events until [DONE]. A stream that ends without
// it is incomplete. The bytes of a truncated event are dropped.
func (c *call) copyEvents(body io.Reader) (bool, error) {
	var s eventScanner
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		events, scanErr := s.push(buf[:n])
		done, writeErr := c.deliver(events)
		switch {
		case writeErr != nil:
			return false, writeErr
		case done:
			return true, nil
		case scanErr != nil:
			return false, scanErr
		case errors.Is(err, io.EOF):
			return false, errMissingDone
		case err != nil:
			return false, err
		}
	}
}

// deliver writes the events up to and including [DONE] to the caller. It
// reports whether [DONE] was among them.
func (c *call) deliver(events []event) (bool, error) {
	var out []byte
	before := c.tokens
	done := false
	for _, e := range events {
		out = append(out, e.raw...)
		if e.isDone {
			done = true
			break
		}
		if e.hasData {
			c.tokens++
			c.cached = max(c.cached, cachedTokens(e.payload))
		}
	}
	if len(out) > 0 && c.sink.Write(out) != nil {
		return false, errCallerLeft
	}
	c.reportTokens(before)
	return done, nil
}

func (c *call) reportTokens(before int) {
	p := Progress{
		Stage:  basilmoor.StageProgress,
		Tokens: c.tokens,
		Cached: c.cached,
	}
	switch {
	case c.tokens == before:
		return
	case before == 0:
		p.Stage = basilmoor.StageFirstToken
	}
	c.observe(p)
}

// usageEvent is the part of an engine's event that reports how many prompt
// tokens were found in the prefix cache.
type usageEvent struct {
	Usage struct {
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func cachedTokens(data []byte) int {
	if !containsCachedTokens(data) {
		return 0
	}
	var u usageEvent
	if json.Unmarshal(data, &u) != nil {
		return 0
	}
	return max(u.Usage.Details.Cached, 0)
}

// resume requests the rest of the stream on a new connection, starting after
// the events already delivered. n is the number of earlier attempts and cause
// the error that interrupted the stream. It never sends the request again.
func (c *call) resume(n int, cause error) (bool, error) {
	d := c.dispatcher
	if n > 0 && d.clock.Sleep(c.callerCtx, d.settings.ResumeDelay*basilmoor.Millis(n)) != nil {
		return false, cause
	}
	a := d.startControlExchange(c.callerCtx)
	defer a.close()
	uri := fmt.Sprintf("/v1/streams/%s?offset=%d", url.PathEscape(c.streamID), c.tokens)
	res, err := d.sendControl(a, c.target, http.MethodGet, uri)
	if err != nil {
		return false, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusNotFound || res.StatusCode == http.StatusGone {
		return false, errStreamGone
	}
	if !c.isEventStream(res) {
		return false, errors.Errorf("resume response with status %d is not an event stream", res.StatusCode)
	}
	return c.copyEvents(res.Body)
}

// sendControl sends a control request on a new connection.
func (d *Dispatcher) sendControl(a *attempt, t basilmoor.Target, method, uri string) (*http.Response, error) {
	req, err := newRequest(a.exchange.trace(a.ctx), t, method, uri, make(http.Header), nil)
	if err != nil {
		return nil, err
	}
	return d.fresh.RoundTrip(req)
}

// cancelStream starts a request that tells the target to end the stream. It
// does nothing if the dispatcher is closed.
func (d *Dispatcher) cancelStream(t basilmoor.Target, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(id) > maxStreamIDBytes || d.closed {
		return
	}
	d.wg.Add(1)
	c := &streamCanceller{
		dispatcher: d,
		target:     t,
		id:         id,
	}
	go c.run()
}

// streamCanceller sends the request that ends a stream at its target.
type streamCanceller struct {
	dispatcher *Dispatcher
	target     basilmoor.Target
	id         string
}

func (c *streamCanceller) run() {
	d := c.dispatcher
	defer d.wg.Done()
	ctx, cancel := context.WithTimeout(d.ctx, dialTimeout)
	defer cancel()
	a := d.startControlExchange(ctx)
	defer a.close()
	res, err := d.sendControl(a, c.target, http.MethodDelete, "/v1/streams/"+url.PathEscape(c.id))
	if err == nil {
		_ = res.Body.Close()
	}
}

func containsCachedTokens(data []byte) bool {
	return bytes.Contains(data, []byte(`"cached_tokens"`))
}
