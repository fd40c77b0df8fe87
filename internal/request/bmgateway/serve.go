package bmgateway

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
	"basilmoor.example/basilmoor/internal/request/bmdispatch"
)

// serve runs an admitted request to its end. It returns false if the
// connection to the caller must be aborted.
func (g *Gateway) serve(ctx context.Context, c *call) bool {
	if g.cfg.Crashes != nil && g.cfg.Crashes.Suspect(c.crashDigest()) {
		return g.reject(c, notRun(basilmoor.ReasonCrashSuspect, "the request can be sent again after 10 minutes"))
	}
	release, refused := g.admit(c)
	if refused != nil {
		return g.reject(c, *refused)
	}
	defer release()
	if c.claimed() {
		if p, granted := g.claim(ctx, c); !granted {
			return g.reject(c, p)
		}
	}
	p, result := g.run(ctx, c)
	if c.claimed() {
		g.settle(c)
	}
	return g.respond(c, p, result)
}

func (g *Gateway) admit(c *call) (func(), *problem) {
	if g.cfg.Limiter == nil {
		return func() {}, nil
	}
	release, refused := g.cfg.Limiter.Admit(c.workspace)
	if refused != nil {
		p := refusedBy(*refused, "")
		return nil, &p
	}
	return release, nil
}

func refusedBy(r basilmoor.Refusal, detail string) problem {
	p := notRun(r.Reason, detail)
	if r.RetryAfter > 0 {
		p.retryAfter = r.RetryAfter
	}
	return p
}

// reject ends a request that was not dispatched.
func (g *Gateway) reject(c *call, p problem) bool {
	_ = c.aggregate.Refuse(p.reason)
	if p.answer != nil {
		g.cfg.Metrics.Add("replays", 1)
		p.replay(c.sink.w)
		return true
	}
	g.refuse(c.sink.w, p)
	return true
}

// respond tells the caller how a granted request ended.
func (g *Gateway) respond(c *call, p problem, r bmdispatch.Result) bool {
	outcome := c.aggregate.Outcome()
	g.cfg.Metrics.Outcome(outcome)
	if outcome == basilmoor.OutcomeDone {
		c.sink.finish()
		return true
	}
	g.cfg.Metrics.Add(counterPrefix(outcome)+string(p.reason), 1)
	g.cfg.Log.Info().
		Str("request", string(c.aggregate.ID())).
		Str("workspace", c.workspace.Name).
		Str("kind", c.kind.Name).
		Str("target", c.aggregate.Target()).
		Str("reason", string(p.reason)).
		Str("outcome", string(outcome)).
		AnErr("error", r.Err).
		Msg("request ended without a complete response")
	return c.sink.abort(p)
}

// counterPrefix tells refusals from failures after dispatch.
func counterPrefix(o basilmoor.Outcome) string {
	if o == basilmoor.OutcomeNotRun {
		return "refusals."
	}
	return "failures."
}

// run waits for grants and dispatches, at most maxAttempts times and only
// until a byte was handed to a connection.
func (g *Gateway) run(ctx context.Context, c *call) (problem, bmdispatch.Result) {
	if g.cfg.Retries != nil {
		g.cfg.Retries.Deposit()
	}
	for n := 1; ; n++ {
		p, result, retry := g.attempt(ctx, c)
		if retry == "" {
			return p, result
		}
		if n == maxAttempts || !g.mayRetry() {
			return g.giveUp(c, basilmoor.ReasonTargetUnreachable, string(retry)), result
		}
		g.cfg.Metrics.Retry(retry)
	}
}

func (g *Gateway) mayRetry() bool {
	return g.cfg.Retries == nil || g.cfg.Retries.Withdraw()
}

// giveUp ends a request of which nothing was handed over.
func (g *Gateway) giveUp(c *call, reason basilmoor.Reason, detail string) problem {
	_ = c.aggregate.Refuse(reason)
	return report(reason, c.aggregate.Outcome(), detail)
}

// attempt waits for one grant and uses it. A reason to retry means that
// nothing was handed over and the request may wait for another grant.
func (g *Gateway) attempt(ctx context.Context, c *call) (problem, bmdispatch.Result, basilmoor.Reason) {
	none := bmdispatch.Result{}
	waited := g.cfg.Clock.Now() - c.received
	left := c.demand.Deadline - waited
	if left <= 0 {
		return g.giveUp(c, basilmoor.ReasonDeadline, ""), none, ""
	}
	if err := c.aggregate.Wait(); err != nil {
		return g.giveUp(c, basilmoor.ReasonTargetFailed, err.Error()), none, ""
	}
	permit, err := g.cfg.Scheduler.Acquire(ctx, c.demand.WithAge(waited, left))
	if err != nil {
		return g.notGranted(c, err), none, ""
	}
	o := newObserver(g.cfg.Clock, permit)
	if err := c.aggregate.Grant(permit.Target().Name); err != nil {
		o.end(basilmoor.StageReturned, 0, 0)
		return g.giveUp(c, basilmoor.ReasonTargetFailed, err.Error()), none, ""
	}
	if ctx.Err() != nil || !g.claimFresh(c) {
		reason := basilmoor.ReasonDeadline
		if ctx.Err() != nil {
			reason = basilmoor.ReasonCallerLeft
		}
		o.end(basilmoor.StageReturned, 0, 0)
		return g.giveUp(c, reason, ""), none, ""
	}
	if !permit.Valid() {
		o.end(basilmoor.StageReturned, 0, 0)
		return problem{}, none, basilmoor.ReasonGrantExpired
	}
	return g.dispatch(ctx, c, permit, o)
}

func (g *Gateway) notGranted(c *call, err error) problem {
	var refused *basilmoor.RefusalError
	if !errors.As(err, &refused) {
		return g.giveUp(c, basilmoor.ReasonCallerLeft, err.Error())
	}
	_ = c.aggregate.Refuse(refused.Refusal.Reason)
	return refusedBy(refused.Refusal, refused.Detail)
}

// claimFresh reports whether the request may still be dispatched under its
// claim. Under an old one, a host that was stopped for long could dispatch
// beside the key's next holder.
func (g *Gateway) claimFresh(c *call) bool {
	return !c.claimed() || g.cfg.Clock.Now()-c.claimedAt <= claimFresh
}

func (g *Gateway) dispatch(ctx context.Context, c *call, permit basilmoor.Permit, o *observer) (problem, bmdispatch.Result, basilmoor.Reason) {
	t := permit.Target()
	if c.claimed() {
		// A repeat gets the recorded response, so that it is worth having
		// even when this caller leaves.
		ctx = context.WithoutCancel(ctx)
	}
	r := g.cfg.Dispatcher.Do(ctx, c.aggregate, t, bmdispatch.Request{
		Method:    c.request.Method,
		URI:       c.request.URL.RequestURI(),
		Header:    c.request.Header,
		Body:      c.body,
		Workspace: c.workspace.Name,
		Key:       c.key,
		Fresh:     c.once,
		Whole:     c.whole,
		Valid:     func() bool { return permit.Valid() && g.claimFresh(c) },
	}, c.sink, o.progress)
	if r.Retryable {
		g.returnGrant(c, t, o, r.Reason)
		return problem{}, r, r.Reason
	}
	if r.Tokens == 0 {
		r.Tokens, r.Cached = c.sink.usage()
	}
	o.end(lastStage(r), r.Tokens, r.Cached)
	if r.Leaving && g.cfg.TargetLeaves != nil {
		g.cfg.TargetLeaves(t.Name)
	}
	if r.Lost {
		g.probe(t, c.crashDigest())
	}
	p := report(r.Reason, r.Outcome, "")
	p.retryHeader = r.RetryAfter
	return p, r, ""
}

// returnGrant gives back a grant of which nothing was handed over.
func (g *Gateway) returnGrant(c *call, t basilmoor.Target, o *observer, reason basilmoor.Reason) {
	if reason != basilmoor.ReasonConnectFailed {
		o.end(basilmoor.StageReturned, 0, 0)
		return
	}
	o.end(basilmoor.StageUnreachable, 0, 0)
	c.demand.Excluded = append(slices.Clone(c.demand.Excluded), t.Name)
}

// lastStage tells the scheduler how the request left the target. A caller that
// left is not the target's failure.
func lastStage(r bmdispatch.Result) basilmoor.Stage {
	switch {
	case r.Reason == basilmoor.ReasonCallerLeft && r.Outcome == basilmoor.OutcomeNotRun:
		return basilmoor.StageReturned
	case r.Outcome == basilmoor.OutcomeDone, r.Reason == basilmoor.ReasonCallerLeft:
		return basilmoor.StageFinished
	}
	return basilmoor.StageFailed
}

// probe finds out whether a target whose connection broke has died.
func (g *Gateway) probe(t basilmoor.Target, digest uint64) {
	if g.cfg.Crashes == nil {
		return
	}
	g.probes.Add(1)
	p := &crashProbe{
		gateway: g,
		target:  t,
		digest:  digest,
	}
	go p.run()
}

// crashProbe asks whether a target died under a request.
type crashProbe struct {
	gateway *Gateway
	target  basilmoor.Target
	digest  uint64
}

func (p *crashProbe) run() {
	defer p.gateway.probes.Done()
	if bmcrash.Refuses(context.Background(), p.target.Address) {
		p.gateway.cfg.Crashes.Died(p.digest, p.target.Name)
	}
}
