package bmentry

import (
	"context"
	"net/http"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
	"basilmoor.example/basilmoor/internal/request/bmexchange"
)

const (
	// maxUnsent bounds the targets that are tried without reaching one.
	maxUnsent = 4

	// minSendTime is the least time left with which a request is sent.
	minSendTime basilmoor.Millis = 10
)

// run obtains grants and sends the request until one response was relayed or
// nothing more may be tried.
func (c *call) run(ctx context.Context) error {
	for unsent := 0; ; {
		if c.heldBack() {
			return c.notSent(basilmoor.ReasonCrashSuspect, errCrashes)
		}
		permit, err := c.acquire(ctx)
		if err != nil {
			return c.notGranted(ctx, err)
		}
		err = c.send(ctx, permit)
		if err == nil {
			return nil
		}
		var relayed *relayedError
		if errors.As(err, &relayed) {
			return relayed.Err
		}
		var unreached *bmexchange.UnsentError
		if errors.As(err, &unreached) && unsent < maxUnsent {
			unsent++
			c.exclude(unreached.Target)
			c.handler.cfg.Metrics.Retry(basilmoor.ReasonConnectFailed)
			continue
		}
		again, err := c.settle(ctx, err)
		if !again {
			return err
		}
	}
}

// errCrashes is why a request is held back.
var errCrashes = errors.New("targets died while they ran this request")

// acquire waits for a grant.
func (c *call) acquire(ctx context.Context) (basilmoor.Permit, error) {
	began := c.handler.cfg.Clock.Now()
	permit, err := c.handler.cfg.Scheduler.Acquire(ctx, c.demand())
	waited := c.handler.cfg.Clock.Now() - began
	c.waited += waited
	c.handler.cfg.Metrics.Observe("grant-wait-ms."+c.series(), waited)
	return permit, err
}

// series names the pool and rank of the request in histograms.
func (c *call) series() string {
	return c.pool.Name + ".rank-" + strconv.Itoa(c.route.Rank)
}

// notGranted is the answer to a request that got no grant.
func (c *call) notGranted(ctx context.Context, err error) error {
	if c.r.Context().Err() != nil {
		return &callerLeftError{
			Err: err,
		}
	}
	if c.runs > 0 {
		return finalAnswer(http.StatusBadGateway, basilmoor.ReasonTargetFailed, "the first target failed and no other took the request")
	}
	if ctx.Err() != nil {
		return notRun(basilmoor.ReasonDeadline, 0, "time limit passed before a grant")
	}
	return refusalAnswer(err)
}

// settle decides what becomes of a request whose send failed: it is sent once
// more, or has ended with the returned error, nil after a relayed response.
func (c *call) settle(ctx context.Context, err error) (again bool, end error) {
	if c.r.Context().Err() != nil {
		return false, &callerLeftError{
			Err: err,
		}
	}
	var unreached *bmexchange.UnsentError
	if errors.As(err, &unreached) {
		return false, c.notSent(basilmoor.ReasonTargetUnreachable, err)
	}
	var refused *bmexchange.RefusedError
	if errors.As(err, &refused) {
		c.exclude(refused.Target)
		if c.mayRetry(ctx) {
			c.handler.cfg.Metrics.Retry(basilmoor.ReasonTargetRefused)
			return true, nil
		}
		return false, c.notSent(basilmoor.ReasonTargetRefused, err)
	}
	c.runs++
	c.exclude(c.target)
	if c.route.Repetition != bmrouting.RunOnce && c.runs < c.route.MaxAttempts && c.mayRetry(ctx) {
		c.handler.cfg.Metrics.Retry(basilmoor.ReasonTargetFailed)
		return true, nil
	}
	var failed *failedError
	if errors.As(err, &failed) {
		return false, failed.relay()
	}
	if errors.Is(context.Cause(ctx), bmclock.ErrTimeout) {
		return false, finalAnswer(http.StatusGatewayTimeout, basilmoor.ReasonTargetSilent, err.Error())
	}
	return false, finalAnswer(http.StatusBadGateway, reasonOf(err), err.Error())
}

// notSent is the answer to a request whose last send reached no target that
// ran it. An earlier one may have.
func (c *call) notSent(reason basilmoor.Reason, err error) error {
	if c.runs > 0 {
		return finalAnswer(http.StatusBadGateway, reason, err.Error())
	}
	retryAfter := shortRetry
	if reason == basilmoor.ReasonCrashSuspect {
		retryAfter = bmcrash.Hold
	}
	return notRun(reason, retryAfter, err.Error())
}

// mayRetry reports whether the request may reach one more target, and counts
// that against the budget.
func (c *call) mayRetry(ctx context.Context) bool {
	if ctx.Err() != nil || c.left() < minSendTime {
		return false
	}
	if !c.handler.cfg.Retries.Retry(c.pool.Name) {
		c.handler.cfg.Metrics.Add("retries.over-budget", 1)
		return false
	}
	return true
}

func (c *call) exclude(target string) {
	if !slices.Contains(c.excluded, target) {
		c.excluded = append(slices.Clone(c.excluded), target)
	}
}

func (c *call) left() basilmoor.Millis {
	return c.limit - c.handler.cfg.Clock.Now()
}

// demand describes the request to the scheduler.
func (c *call) demand() basilmoor.Demand {
	c.demands++
	d := basilmoor.Demand{
		Weight:       1,
		Tier:         c.route.Rank,
		Kind:         c.route.Name,
		Pool:         c.pool.Name,
		Model:        c.attempt.Model,
		PromptTokens: c.attempt.PromptTokens,
		OutputTokens: c.handler.expected.expect(c.route.Name, c.attempt),
		Objective:    c.route.Objective,
		Patience:     c.route.Patience,
		Deadline:     c.limit - c.arrived,
		Excluded:     c.excluded,
		BodyBytes:    len(c.body),
	}
	if c.demands == 1 && c.workspace != nil && c.workspace.Allowance.Bounded() {
		d.Charge = c.charge()
	}
	if c.workspace != nil {
		d.Workspace = c.workspace.Name
		d.WorkspaceRank = c.workspace.Rank
	}
	return d.WithWait(c.handler.cfg.Clock.Now() - c.arrived)
}

// charge is what the request takes from its workspace's allowance.
func (c *call) charge() int {
	a := c.workspace.Allowance
	switch {
	case a.PerRequest:
		return 1
	case c.attempt.DeclaresTokens:
		return c.attempt.PromptTokens + c.attempt.OutputTokens
	}
	return a.DefaultTokens
}

// send hands the request to the granted target and relays the response.
func (c *call) send(ctx context.Context, permit basilmoor.Permit) error {
	resp, sent, err := c.dispatch(ctx, permit, c.attempt.LastEvent)
	if err != nil {
		return err
	}
	defer resp.Close()
	if c.route.Streaming && resp.Status == http.StatusOK {
		return c.relayStream(ctx, permit, resp, sent)
	}
	return c.relayPlain(permit, resp, sent)
}

// dispatch hands the request to the granted target, for a stream after the
// event lastEvent, and returns the response with the instant of the send.
func (c *call) dispatch(ctx context.Context, permit basilmoor.Permit, lastEvent string) (*bmexchange.Response, basilmoor.Millis, error) {
	target := permit.Target()
	c.target = target.Name
	if !permit.Valid() {
		permit.Observe(basilmoor.Observation{
			Stage: basilmoor.StageReturned,
		})
		return nil, 0, &bmexchange.UnsentError{
			Target: target.Name,
			Err:    errors.New("the grant has lapsed"),
		}
	}
	if c.sends == 0 {
		c.handler.cfg.Retries.Request(c.pool.Name)
	}
	permit.Observe(basilmoor.Observation{
		Stage: basilmoor.StageDispatched,
	})
	sent := c.handler.cfg.Clock.Now()
	resp, err := c.handler.cfg.Exchange.Send(ctx, c.request(target, lastEvent))
	var unreached *bmexchange.UnsentError
	if !errors.As(err, &unreached) {
		c.sends++
	}
	if err != nil {
		c.observeFailure(permit, err)
		return nil, 0, err
	}
	c.handler.cfg.Metrics.Observe("first-byte-ms."+c.series(), c.handler.cfg.Clock.Now()-sent)
	return resp, sent, nil
}

// request is what a target gets.
func (c *call) request(target basilmoor.Target, lastEvent string) bmexchange.Request {
	o := Onward{
		Remaining: max(c.left(), 1),
		Target:    target.Name,
		LastEvent: lastEvent,
	}
	if c.workspace != nil {
		o.Workspace = c.workspace.Name
	}
	return bmexchange.Request{
		Target:  target,
		Attempt: c.attempt.ID,
		Method:  c.r.Method,
		URI:     c.r.RequestURI,
		Host:    c.r.Host,
		Header:  c.handler.cfg.Protocol.Onward(c.r.Header, o),
		Body:    c.body,
	}
}

// observeFailure tells the scheduler why a send failed. The end of the caller
// says nothing about the target.
func (c *call) observeFailure(permit basilmoor.Permit, err error) {
	stage := basilmoor.StageFailed
	var unreached *bmexchange.UnsentError
	switch {
	case errors.As(err, &unreached):
		stage = basilmoor.StageUnreachable
	case c.r.Context().Err() != nil:
		stage = basilmoor.StageFinished
	}
	permit.Observe(basilmoor.Observation{
		Stage: stage,
	})
	if stage == basilmoor.StageFailed {
		c.probeAfter(permit.Target(), err)
	}
}
