package bmgateway

import (
	"context"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
	"basilmoor.example/basilmoor/internal/request/bmdispatch"
)

// serve admits, claims and dispatches a parsed request and responds to its
// caller. It returns false if the connection to the caller must be aborted.
func (g *Gateway) serve(ctx context.Context, c *call) bool {
	if g.cfg.Crashes != nil && g.cfg.Crashes.Suspect(c.crashDigest()) {
		return g.reject(c, newNotRunProblem(basilmoor.ReasonCrashSuspect, "the request can be sent again after 10 minutes"))
	}
	release, refused := g.admit(c)
	if refused != nil {
		return g.reject(c, *refused)
	}
	defer release()
	if c.needsClaim() {
		if p, granted := g.claim(ctx, c); !granted {
			return g.reject(c, p)
		}
	}
	p, result := g.dispatchWithRetries(ctx, c)
	if c.needsClaim() {
		g.recordClaimResult(c)
	}
	return g.respond(c, p, result)
}

func (g *Gateway) admit(c *call) (func(), *problem) {
	if g.cfg.Limiter == nil {
		return func() {}, nil
	}
	release, refused := g.cfg.Limiter.Admit(c.workspace)
	if refused != nil {
		p := problemFromRefusal(*refused, "")
		return nil, &p
	}
	return release, nil
}

// problemFromRefusal returns the problem for a refusal; the refusal's RetryAfter
// replaces the default of the reason.
func problemFromRefusal(r basilmoor.Refusal, detail string) problem {
	p := newNotRunProblem(r.Reason, detail)
	if r.RetryAfter > 0 {
		p.retryAfter = r.RetryAfter
	}
	return p
}

// reject ends a request before its dispatch with p or, if p has one, with the
// recorded response.
func (g *Gateway) reject(c *call, p problem) bool {
	_ = c.state.Refuse(p.reason)
	if p.recordedAnswer != nil {
		g.cfg.Metrics.Add("replays", 1)
		p.replay(c.sink.w)
		return true
	}
	g.writeRefusal(c.sink.w, p)
	return true
}

// respond ends the response to the caller after the last attempt: as complete if
// the outcome is done, otherwise with p.
func (g *Gateway) respond(c *call, p problem, r bmdispatch.Result) bool {
	outcome := c.state.Outcome()
	g.cfg.Metrics.Outcome(outcome)
	if outcome == basilmoor.OutcomeDone {
		c.sink.finish()
		return true
	}
	g.cfg.Metrics.Add(outcomeCounterPrefix(outcome)+string(p.reason), 1)
	if p.reason == basilmoor.ReasonStopping && outcome != basilmoor.OutcomeNotRun {
		g.cutCount.Add(1)
	}
	g.cfg.Log.Info().
		Str("request", string(c.state.ID())).
		Str("workspace", c.workspace.Name).
		Str("kind", c.kind.Name).
		Str("target", c.state.Target()).
		Str("reason", string(p.reason)).
		Str("outcome", string(outcome)).
		AnErr("error", r.Err).
		Msg("request ended without a complete response")
	return c.sink.abort(p)
}

// outcomeCounterPrefix returns the prefix of the metric that counts requests
// without a complete response: refusals if the request was not run, failures
// otherwise.
func outcomeCounterPrefix(o basilmoor.Outcome) string {
	if o == basilmoor.OutcomeNotRun {
		return "refusals."
	}
	return "failures."
}

// dispatchWithRetries acquires a permit and dispatches the request, at most
// maxDispatchAttempts times. It retries only while no byte of the request was
// written to a connection.
func (g *Gateway) dispatchWithRetries(ctx context.Context, c *call) (problem, bmdispatch.Result) {
	if g.cfg.Retries != nil {
		g.cfg.Retries.Deposit()
	}
	for n := 1; ; n++ {
		p, result, retry := g.attempt(ctx, c)
		if retry == "" {
			return p, result
		}
		if n == maxDispatchAttempts || !g.allowRetry() {
			return g.refuseCall(c, basilmoor.ReasonTargetUnreachable, string(retry)), result
		}
		g.cfg.Metrics.Retry(retry)
	}
}

func (g *Gateway) allowRetry() bool {
	return g.cfg.Retries == nil || g.cfg.Retries.Withdraw()
}

// refuseCall ends a request of which no byte was written to a connection.
func (g *Gateway) refuseCall(c *call, reason basilmoor.Reason, detail string) problem {
	_ = c.state.Refuse(reason)
	return newProblem(reason, c.state.Outcome(), detail)
}

// attempt acquires one permit and dispatches the request with it. A non-empty
// reason means that no byte of the request was written to a connection, so that
// another attempt is allowed.
func (g *Gateway) attempt(ctx context.Context, c *call) (problem, bmdispatch.Result, basilmoor.Reason) {
	noResult := bmdispatch.Result{}
	waited := g.cfg.Clock.Now() - c.receivedAt
	remaining := c.demand.Deadline - waited
	if remaining <= 0 {
		return g.refuseCall(c, basilmoor.ReasonDeadline, ""), noResult, ""
	}
	if err := c.state.Wait(); err != nil {
		return g.refuseCall(c, basilmoor.ReasonTargetFailed, err.Error()), noResult, ""
	}
	permit, err := g.acquire(ctx, c, c.demand.WithAge(waited, remaining))
	if err != nil {
		return g.acquireProblem(c, err), noResult, ""
	}
	o := newAttemptObserver(g.cfg.Clock, permit)
	if err := c.state.Grant(permit.Target().Name); err != nil {
		o.finish(basilmoor.StageReturned, 0, 0)
		return g.refuseCall(c, basilmoor.ReasonTargetFailed, err.Error()), noResult, ""
	}
	if reason := g.reasonNotToDispatch(ctx, c); reason != "" {
		o.finish(basilmoor.StageReturned, 0, 0)
		return g.refuseCall(c, reason, ""), noResult, ""
	}
	if !permit.Valid() {
		o.finish(basilmoor.StageReturned, 0, 0)
		return problem{}, noResult, basilmoor.ReasonGrantExpired
	}
	return g.dispatch(ctx, c, permit, o)
}

// reasonNotToDispatch returns why a request must not use the permit that it got, or
// "" if it may.
func (g *Gateway) reasonNotToDispatch(ctx context.Context, c *call) basilmoor.Reason {
	switch {
	case ctx.Err() != nil:
		return basilmoor.ReasonCallerLeft
	case g.isTooLate(c):
		return basilmoor.ReasonStopping
	case !g.claimIsFresh(c):
		return basilmoor.ReasonDeadline
	}
	return ""
}

// acquireProblem ends a request for which the scheduler returned err instead of a
// permit.
func (g *Gateway) acquireProblem(c *call, err error) problem {
	var refused *basilmoor.RefusalError
	if !errors.As(err, &refused) {
		return g.refuseCall(c, basilmoor.ReasonCallerLeft, err.Error())
	}
	_ = c.state.Refuse(refused.Refusal.Reason)
	return problemFromRefusal(refused.Refusal, refused.Detail)
}

// claimIsFresh reports whether the request needs no claim or its claim is recent
// enough for a dispatch. Without this check, a host that was suspended for a long
// time could dispatch the request after another one has claimed the key.
func (g *Gateway) claimIsFresh(c *call) bool {
	return !c.needsClaim() || g.cfg.Clock.Now()-c.claimedAt <= maxClaimAge
}

func (g *Gateway) dispatch(ctx context.Context, c *call, permit basilmoor.Permit, o *attemptObserver) (problem, bmdispatch.Result, basilmoor.Reason) {
	t := permit.Target()
	if c.needsClaim() {
		// A repeat of the request gets the recorded response, so the request
		// continues if this caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := g.withEnd(ctx)
	defer cancel()
	granted := g.cfg.Clock.Now()
	number := g.answers.begin(c.kind.Name)
	r := g.cfg.Dispatcher.Do(ctx, c.state, t, bmdispatch.Request{
		Method:        c.request.Method,
		URI:           c.request.URL.RequestURI(),
		Header:        c.request.Header,
		Body:          c.body,
		Workspace:     c.workspace.Name,
		Key:           c.key,
		NewConnection: c.nonIdempotent,
		NonStreaming:  c.nonStreaming,
		StillValid:    func() bool { return permit.Valid() && g.claimIsFresh(c) },
	}, c.sink, o.progress)
	g.answers.end(c.kind.Name, number, g.cfg.Clock.Now()-granted, c.state.Outcome())
	if r.Retryable {
		g.returnGrant(c, t, o, r.Reason)
		return problem{}, r, r.Reason
	}
	if r.Tokens == 0 {
		r.Tokens, r.Cached = c.sink.tokenUsage()
	}
	o.finish(finalStage(r), r.Tokens, r.Cached)
	if r.Leaving && g.cfg.OnTargetLeaving != nil {
		g.cfg.OnTargetLeaving(t.Name)
	}
	if r.ConnectionFailed {
		g.startCrashProbe(t, c.crashDigest())
	}
	return dispatchProblem(r), r, ""
}

// dispatchProblem returns the problem for the result of a dispatch.
func dispatchProblem(r bmdispatch.Result) problem {
	p := newProblem(r.Reason, r.Outcome, "")
	p.targetRetryAfter = r.RetryAfter
	if r.Reason == basilmoor.ReasonStopping && r.Outcome != basilmoor.OutcomeNotRun {
		p.status = http.StatusGatewayTimeout
		p.detail = "the host stopped while the request ran"
		p.retryAfter = 0
	}
	return p
}

// returnGrant returns a grant after an attempt that wrote no byte to a
// connection. If connecting failed, the target is excluded from the next
// attempts.
func (g *Gateway) returnGrant(c *call, t basilmoor.Target, o *attemptObserver, reason basilmoor.Reason) {
	if reason != basilmoor.ReasonConnectFailed {
		o.finish(basilmoor.StageReturned, 0, 0)
		return
	}
	o.finish(basilmoor.StageUnreachable, 0, 0)
	c.demand.Excluded = append(slices.Clone(c.demand.Excluded), t.Name)
}

// finalStage returns the stage that reports the end of the request to the
// scheduler. A caller that disconnected, or the end of a stop, doesn't count as a
// failure of the target.
func finalStage(r bmdispatch.Result) basilmoor.Stage {
	endedFromOutside := r.Reason == basilmoor.ReasonCallerLeft || r.Reason == basilmoor.ReasonStopping
	switch {
	case endedFromOutside && r.Outcome == basilmoor.OutcomeNotRun:
		return basilmoor.StageReturned
	case r.Outcome == basilmoor.OutcomeDone, endedFromOutside:
		return basilmoor.StageFinished
	}
	return basilmoor.StageFailed
}

// startCrashProbe checks in the background whether a target whose connection
// broke has crashed.
func (g *Gateway) startCrashProbe(t basilmoor.Target, digest uint64) {
	if g.cfg.Crashes == nil {
		return
	}
	g.crashProbes.Add(1)
	p := &crashProbe{
		gateway: g,
		target:  t,
		digest:  digest,
	}
	go p.run()
}

// crashProbe checks whether a target crashed while it ran a request. It counts
// as crashed only if it refuses connections.
type crashProbe struct {
	gateway *Gateway
	target  basilmoor.Target
	digest  uint64
}

func (p *crashProbe) run() {
	defer p.gateway.crashProbes.Done()
	if bmcrash.Probe(context.Background(), p.target.Address) == bmcrash.Dead {
		p.gateway.cfg.Crashes.RecordCrash(p.digest, p.target.Name)
	}
}
