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

// maxStreamIDBytes bounds what an engine may name a stream.
const maxStreamIDBytes = 256

// streamEvents delivers an engine's event stream and resumes it when it
// breaks off.
func (c *call) streamEvents(a *attempt, res *http.Response) Result {
	done, err := c.copyEvents(res.Body)
	for n := 0; !done; n++ {
		if !c.resumable(err, n) {
			return c.failed(a, err)
		}
		done, err = c.resume(n, err)
	}
	return c.complete()
}

// resumable reports whether the n-th resumption may be tried after err.
func (c *call) resumable(err error, n int) bool {
	if errors.Is(err, errCallerLeft) || errors.Is(err, errNotResumed) || errors.Is(err, errEventTooLong) {
		return false
	}
	if c.caller.Err() != nil || n >= c.dispatcher.settings.ResumeAttempts {
		return false
	}
	return c.streamID != "" && len(c.streamID) <= maxStreamIDBytes
}

// copyEvents delivers complete events until [DONE], which is the only good end
// of the stream. What is left of an event that broke off is dropped.
func (c *call) copyEvents(body io.Reader) (bool, error) {
	var s eventScanner
	buf := make([]byte, copyBytes)
	for {
		n, err := body.Read(buf)
		events, tooLong := s.push(buf[:n])
		done, left := c.deliver(events)
		switch {
		case left != nil:
			return false, left
		case done:
			return true, nil
		case tooLong != nil:
			return false, tooLong
		case errors.Is(err, io.EOF):
			return false, errNoDone
		case err != nil:
			return false, err
		}
	}
}

// deliver passes events to the caller up to and including [DONE].
func (c *call) deliver(events []event) (bool, error) {
	var out []byte
	before := c.tokens
	done := false
	for _, e := range events {
		out = append(out, e.raw...)
		if e.done {
			done = true
			break
		}
		if e.data {
			c.tokens++
			c.cached = max(c.cached, cachedTokens(e.text))
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

// usage is the part of an engine's event that tells of its prefix cache.
type usage struct {
	Usage struct {
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func cachedTokens(data []byte) int {
	if !containsUsage(data) {
		return 0
	}
	var u usage
	if json.Unmarshal(data, &u) != nil {
		return 0
	}
	return max(u.Usage.Details.Cached, 0)
}

// resume continues the stream on a new connection after the events that were
// delivered. It never sends the request itself again.
func (c *call) resume(n int, cause error) (bool, error) {
	d := c.dispatcher
	if n > 0 && d.clock.Sleep(c.caller, d.settings.ResumeDelay*basilmoor.Millis(n)) != nil {
		return false, cause
	}
	a := d.beginControl(c.caller)
	defer a.end()
	uri := fmt.Sprintf("/v1/streams/%s?offset=%d", url.PathEscape(c.streamID), c.tokens)
	res, err := d.control(a, c.target, http.MethodGet, uri)
	if err != nil {
		return false, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusNotFound || res.StatusCode == http.StatusGone {
		return false, errNotResumed
	}
	if !c.isEventStream(res) {
		return false, errors.Errorf("resumption was answered with status %d", res.StatusCode)
	}
	return c.copyEvents(res.Body)
}

// control sends a request of our own on a new connection.
func (d *Dispatcher) control(a *attempt, t basilmoor.Target, method, uri string) (*http.Response, error) {
	req, err := newRequest(a.exchange.trace(a.ctx), t, method, uri, make(http.Header), nil)
	if err != nil {
		return nil, err
	}
	return d.fresh.RoundTrip(req)
}

// cancelStream tells the target that nobody wants the stream any more.
func (d *Dispatcher) cancelStream(t basilmoor.Target, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(id) > maxStreamIDBytes || d.closed {
		return
	}
	d.wg.Add(1)
	c := &streamCancel{
		dispatcher: d,
		target:     t,
		id:         id,
	}
	go c.run()
}

// streamCancel is the call that ends a stream at its target.
type streamCancel struct {
	dispatcher *Dispatcher
	target     basilmoor.Target
	id         string
}

func (c *streamCancel) run() {
	d := c.dispatcher
	defer d.wg.Done()
	ctx, cancel := context.WithTimeout(d.ctx, dialTimeout)
	defer cancel()
	a := d.beginControl(ctx)
	defer a.end()
	res, err := d.control(a, c.target, http.MethodDelete, "/v1/streams/"+url.PathEscape(c.id))
	if err == nil {
		_ = res.Body.Close()
	}
}

func containsUsage(data []byte) bool {
	return bytes.Contains(data, []byte(`"cached_tokens"`))
}
