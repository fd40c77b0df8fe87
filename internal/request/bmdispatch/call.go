package bmdispatch

import (
	"context"
	"io"
	"mime"
	"net/http"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/request/bmrequest"
	"basilmoor.example/basilmoor/internal/request/bmresponse"
)

// ErrStopped is the cause of the end of a context given to Do if the host stops, and
// not the caller has left.
var ErrStopped = errors.New("the host has stopped")

var (
	errCallerLeft      = errors.New("caller left")
	errUndelimitedBody = errors.New("response body is neither sized nor chunked, so its end cannot be verified")
	errMissingDone     = errors.New("event stream ended without [DONE]")
	errStreamGone      = errors.New("target no longer holds the stream")
	errTargetRefused   = errors.New("target refused the request")
	errForeignResponse = errors.New("response names another request")
	errUnnamedRefusal  = errors.New("refusal on a reused connection does not name the request")
)

// call is the execution of one Do. Its methods run in the goroutine of Do,
// except for reportDispatched, which a transport's goroutine calls.
type call struct {
	dispatcher *Dispatcher
	state      *bmrequest.Request
	target     basilmoor.Target
	request    Request
	sink       Sink
	observe    func(Progress)
	callerCtx  context.Context

	status   int
	streamID string
	tokens   int // complete data events delivered to the caller
	cached   int
}

// attempt is an exchange and the context that bounds it.
type attempt struct {
	exchange *exchange
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

// startExchange starts the goroutine that cancels e when the connection is
// silent for too long. The attempt also ends with ctx.
func (d *Dispatcher) startExchange(ctx context.Context, e *exchange) *attempt {
	a := &attempt{
		exchange: e,
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	go a.exchange.loop(a.ctx, a.cancel)
	return a
}

// startControlExchange starts an exchange for a control request, which resumes
// or cancels a stream.
func (d *Dispatcher) startControlExchange(ctx context.Context) *attempt {
	return d.startExchange(ctx, newExchange(d.clock, d.settings, controlGate{}, 0, func() {}))
}

// close closes the exchange and cancels its context.
func (a *attempt) close() {
	a.exchange.close()
	a.cancel(context.Canceled)
}

func (c *call) run(n int) Result {
	e := newExchange(c.dispatcher.clock, c.dispatcher.settings, c.state, n, c.reportDispatched)
	e.valid = c.request.StillValid
	if c.request.NonStreaming {
		e.firstByteTimeout = c.dispatcher.settings.FirstByteNonStreamingTimeout
	}
	a := c.dispatcher.startExchange(c.callerCtx, e)
	defer a.close()
	h := targetHeader(c.request, c.state.ID(), c.target)
	req, err := newRequest(a.exchange.trace(a.ctx), c.target, c.request.Method, c.request.URI, h, c.request.Body)
	if err != nil {
		return c.fail(a, err)
	}
	res, err := c.dispatcher.transport(c.request.NewConnection).RoundTrip(req)
	if err != nil {
		return c.fail(a, err)
	}
	defer func() { _ = res.Body.Close() }()
	if err := bmresponse.CheckStatusLine(res); err != nil {
		return c.fail(a, err)
	}
	if err := c.checkOwner(a, res); err != nil {
		a.exchange.discardConn()
		return c.fail(a, err)
	}
	c.status = res.StatusCode
	if isNotRunResponse(res) {
		return c.finishRefused(a, res)
	}
	if err := c.state.Respond(); err != nil {
		return c.fail(a, err)
	}
	c.streamID = res.Header.Get(HeaderStreamID)
	if err := c.sink.Start(res.StatusCode, callerHeader(res.Header), res.ContentLength); err != nil {
		return c.fail(a, errCallerLeft)
	}
	if c.isEventStream(res) {
		return c.streamEvents(a, res)
	}
	return c.copyBody(a, res)
}

func (c *call) reportDispatched() {
	c.observe(Progress{
		Stage: basilmoor.StageDispatched,
	})
}

// isNotRunResponse reports whether the target states in its response that it
// did not run the request.
func isNotRunResponse(res *http.Response) bool {
	if res.StatusCode == http.StatusTooManyRequests {
		return true
	}
	return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(HeaderOutcome) == string(basilmoor.OutcomeNotRun)
}

// checkOwner returns an error if a response is not known to be that of this request. A
// faulty target may write an earlier response once more on a kept connection. A refusal
// counts there only if it names this request, since it promises that this one has not run.
func (c *call) checkOwner(a *attempt, res *http.Response) error {
	id := res.Header.Get(HeaderRequestID)
	switch {
	case id == string(c.state.ID()):
		return nil
	case id != "":
		return errForeignResponse
	case isNotRunResponse(res) && a.exchange.onReusedConn():
		return errUnnamedRefusal
	}
	return nil
}

func (c *call) finishRefused(a *attempt, res *http.Response) Result {
	a.exchange.close()
	if err := c.state.TargetRefused(); err != nil {
		return c.fail(a, err)
	}
	return Result{
		Outcome:    basilmoor.OutcomeNotRun,
		Reason:     basilmoor.ReasonTargetRefused,
		Status:     res.StatusCode,
		RetryAfter: res.Header.Get("Retry-After"),
		Leaving:    res.Header.Get(HeaderLeaving) == "true",
		Err:        errTargetRefused,
	}
}

// isEventStream reports whether the response is an engine's event stream, which
// ends with [DONE]. Event streams of services have no such terminator and are
// copied like other responses.
func (c *call) isEventStream(res *http.Response) bool {
	kind, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && c.target.Type == basilmoor.EngineTarget && res.StatusCode == http.StatusOK
}

// copyBody copies a response whose end is determined by HTTP framing.
func (c *call) copyBody(a *attempt, res *http.Response) Result {
	buf := make([]byte, copyBufferBytes)
	first := true
	for {
		n, err := res.Body.Read(buf)
		if n > 0 && first {
			first = false
			c.observe(Progress{
				Stage: basilmoor.StageFirstToken,
			})
		}
		if n > 0 && c.sink.Write(buf[:n]) != nil {
			return c.fail(a, errCallerLeft)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return c.fail(a, err)
		}
	}
	if endsWithConnection(res) {
		return c.fail(a, errUndelimitedBody)
	}
	return c.complete()
}

// endsWithConnection reports whether the body is delimited only by the end of
// the connection, so that a complete body cannot be told from a truncated one.
func endsWithConnection(res *http.Response) bool {
	if res.ContentLength >= 0 || len(res.TransferEncoding) > 0 {
		return false
	}
	return res.Request.Method != http.MethodHead && res.StatusCode != http.StatusNoContent && res.StatusCode != http.StatusNotModified
}

func (c *call) complete() Result {
	if err := c.state.Complete(); err != nil {
		return Result{
			Outcome: c.state.Outcome(),
			Err:     err,
		}
	}
	return Result{
		Outcome: basilmoor.OutcomeDone,
		Status:  c.status,
		Tokens:  c.tokens,
		Cached:  c.cached,
	}
}

// fail ends the dispatch after an error. It closes the exchange first, so that
// no write can begin after BytesSent is checked.
func (c *call) fail(a *attempt, err error) Result {
	a.exchange.close()
	reason := c.failureReason(a, err)
	a.cancel(err)
	r := Result{
		Status: c.status,
		Reason: reason,
		Tokens: c.tokens,
		Cached: c.cached,
		Err:    err,
	}
	if !c.state.BytesSent() {
		return c.failBeforeWrite(a, r)
	}
	if a.exchange.hasResponse() {
		_ = c.state.Respond()
	}
	_ = c.state.Fail(reason)
	r.Outcome = c.state.Outcome()
	r.ConnectionFailed = !endedFromOutside(reason)
	c.cleanUp(reason)
	return r
}

// failBeforeWrite ends a dispatch of which no byte was written. The request
// remains retryable unless the caller has disconnected or the host has stopped.
func (c *call) failBeforeWrite(a *attempt, r Result) Result {
	r.Outcome = basilmoor.OutcomeNotRun
	switch {
	case endedFromOutside(r.Reason):
		_ = c.state.Refuse(r.Reason)
		return r
	case a.exchange.hasExpired():
		r.Reason = basilmoor.ReasonGrantExpired
	default:
		r.Reason = basilmoor.ReasonConnectFailed
	}
	r.Retryable = true
	return r
}

// endedFromOutside reports whether a request failed for a reason that says nothing
// about the target.
func endedFromOutside(reason basilmoor.Reason) bool {
	return reason == basilmoor.ReasonCallerLeft || reason == basilmoor.ReasonStopping
}

func (c *call) failureReason(a *attempt, err error) basilmoor.Reason {
	cause := context.Cause(a.ctx)
	switch {
	case !errors.Is(err, errCallerLeft) && errors.Is(cause, ErrStopped):
		return basilmoor.ReasonStopping
	case errors.Is(err, errCallerLeft), c.callerCtx.Err() != nil:
		return basilmoor.ReasonCallerLeft
	case errors.Is(cause, errReadTimeout):
		return basilmoor.ReasonTargetSilent
	}
	return basilmoor.ReasonTargetFailed
}

// cleanUp cancels the stream of a failed request at the target. If the target
// was silent, it also closes the idle connections to it.
func (c *call) cleanUp(reason basilmoor.Reason) {
	if reason == basilmoor.ReasonTargetSilent {
		c.dispatcher.conns.closeIdle(c.target.Address)
	}
	if c.streamID != "" {
		c.dispatcher.cancelStream(c.target, c.streamID)
	}
}
