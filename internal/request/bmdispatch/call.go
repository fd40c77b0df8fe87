package bmdispatch

import (
	"context"
	"io"
	"mime"
	"net/http"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/request/bmrequest"
)

var (
	errCallerLeft  = errors.New("caller left")
	errNoEnd       = errors.New("response has no end that could be checked")
	errNoDone      = errors.New("event stream ended without [DONE]")
	errNotResumed  = errors.New("stream was not resumed")
	errTargetState = errors.New("target refused the request")
)

// call is one dispatch. Its methods run in the goroutine of Do.
type call struct {
	dispatcher *Dispatcher
	aggregate  *bmrequest.Request
	target     basilmoor.Target
	request    Request
	sink       Sink
	observe    func(Progress)
	caller     context.Context

	status   int
	streamID string
	tokens   int // complete data events delivered
	cached   int
}

// attempt is one exchange with its bound context.
type attempt struct {
	exchange *exchange
	ctx      context.Context
	abandon  context.CancelCauseFunc
}

// begin starts an exchange that ends with the caller or by silence.
func (d *Dispatcher) begin(ctx context.Context, e *exchange) *attempt {
	a := &attempt{
		exchange: e,
	}
	a.ctx, a.abandon = context.WithCancelCause(ctx)
	go a.exchange.loop(a.ctx, a.abandon)
	return a
}

// beginControl starts an exchange of our own, which dispatches nothing.
func (d *Dispatcher) beginControl(ctx context.Context) *attempt {
	return d.begin(ctx, newExchange(d.clock, d.settings, openGate{}, 0, func() {}))
}

// end closes the exchange for good.
func (a *attempt) end() {
	a.exchange.close()
	a.abandon(context.Canceled)
}

func (c *call) run(n int) Result {
	e := newExchange(c.dispatcher.clock, c.dispatcher.settings, c.aggregate, n, c.handed)
	e.valid = c.request.Valid
	if c.request.Whole {
		e.firstByte = c.dispatcher.settings.FirstByteWhole
	}
	a := c.dispatcher.begin(c.caller, e)
	defer a.end()
	h := targetHeader(c.request, c.aggregate.ID(), c.target)
	req, err := newRequest(a.exchange.trace(a.ctx), c.target, c.request.Method, c.request.URI, h, c.request.Body)
	if err != nil {
		return c.failed(a, err)
	}
	res, err := c.dispatcher.transport(c.request.Fresh).RoundTrip(req)
	if err != nil {
		return c.failed(a, err)
	}
	defer func() { _ = res.Body.Close() }()
	c.status = res.StatusCode
	if statesNotRun(res) {
		return c.refused(a, res)
	}
	if err := c.aggregate.Respond(); err != nil {
		return c.failed(a, err)
	}
	c.streamID = res.Header.Get(HeaderStreamID)
	if err := c.sink.Start(res.StatusCode, callerHeader(res.Header), res.ContentLength); err != nil {
		return c.failed(a, errCallerLeft)
	}
	if c.isEventStream(res) {
		return c.streamEvents(a, res)
	}
	return c.copyBody(a, res)
}

func (c *call) handed() {
	c.observe(Progress{
		Stage: basilmoor.StageDispatched,
	})
}

// statesNotRun reports whether the response is the target's statement that it
// did not run the request.
func statesNotRun(res *http.Response) bool {
	if res.StatusCode == http.StatusTooManyRequests {
		return true
	}
	return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(HeaderOutcome) == string(basilmoor.OutcomeNotRun)
}

func (c *call) refused(a *attempt, res *http.Response) Result {
	a.exchange.close()
	if err := c.aggregate.TargetRefused(); err != nil {
		return c.failed(a, err)
	}
	return Result{
		Outcome:    basilmoor.OutcomeNotRun,
		Reason:     basilmoor.ReasonTargetRefused,
		Status:     res.StatusCode,
		RetryAfter: res.Header.Get("Retry-After"),
		Leaving:    res.Header.Get(HeaderLeaving) == "true",
		Err:        errTargetState,
	}
}

// isEventStream reports whether the response is an engine's event stream, the
// end of which is [DONE]. Event streams of plain services have no such end.
func (c *call) isEventStream(res *http.Response) bool {
	kind, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && c.target.Type == basilmoor.EngineTarget && res.StatusCode == http.StatusOK
}

// copyBody copies a response whose end its framing tells.
func (c *call) copyBody(a *attempt, res *http.Response) Result {
	buf := make([]byte, copyBytes)
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
			return c.failed(a, errCallerLeft)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return c.failed(a, err)
		}
	}
	if endUnknown(res) {
		return c.failed(a, errNoEnd)
	}
	return c.complete()
}

// endUnknown reports whether the body ended with the connection, so that a
// complete response looks like one that broke off.
func endUnknown(res *http.Response) bool {
	if res.ContentLength >= 0 || len(res.TransferEncoding) > 0 {
		return false
	}
	return res.Request.Method != http.MethodHead && res.StatusCode != http.StatusNoContent && res.StatusCode != http.StatusNotModified
}

func (c *call) complete() Result {
	if err := c.aggregate.Complete(); err != nil {
		return Result{
			Outcome: c.aggregate.Outcome(),
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

// failed ends the dispatch after an error. It closes the exchange first, so
// that the aggregate's answer whether a byte was handed over is final.
func (c *call) failed(a *attempt, err error) Result {
	a.exchange.close()
	reason := c.reason(a, err)
	a.abandon(err)
	r := Result{
		Status: c.status,
		Reason: reason,
		Tokens: c.tokens,
		Cached: c.cached,
		Err:    err,
	}
	if !c.aggregate.HandedOver() {
		return c.notHanded(a, r)
	}
	if a.exchange.hasAnswer() {
		_ = c.aggregate.Respond()
	}
	_ = c.aggregate.Break(reason)
	r.Outcome = c.aggregate.Outcome()
	r.Lost = reason != basilmoor.ReasonCallerLeft
	c.cleanUp(reason)
	return r
}

// notHanded ends a dispatch of which no byte was handed over. Only the
// caller's leaving ends the request itself.
func (c *call) notHanded(a *attempt, r Result) Result {
	r.Outcome = basilmoor.OutcomeNotRun
	switch {
	case r.Reason == basilmoor.ReasonCallerLeft:
		_ = c.aggregate.Refuse(r.Reason)
		return r
	case a.exchange.hasExpired():
		r.Reason = basilmoor.ReasonGrantExpired
	default:
		r.Reason = basilmoor.ReasonConnectFailed
	}
	r.Retryable = true
	return r
}

func (c *call) reason(a *attempt, err error) basilmoor.Reason {
	cause := context.Cause(a.ctx)
	switch {
	case errors.Is(err, errCallerLeft), c.caller.Err() != nil:
		return basilmoor.ReasonCallerLeft
	case errors.Is(cause, errSilent):
		return basilmoor.ReasonTargetSilent
	}
	return basilmoor.ReasonTargetFailed
}

// cleanUp frees what a request that broke off holds at the target.
func (c *call) cleanUp(reason basilmoor.Reason) {
	if reason == basilmoor.ReasonTargetSilent {
		c.dispatcher.conns.closeIdle(c.target.Address)
	}
	if c.streamID != "" {
		c.dispatcher.cancelStream(c.target, c.streamID)
	}
}
