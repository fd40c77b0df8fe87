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
	// maxUnreachedTargets bounds the attempts that follow one of which nothing
	// was sent, such as a failed connection.
	maxUnreachedTargets = 4

	// minRetryTime is the least time before the deadline that a retry needs.
	minRetryTime basilmoor.Millis = 10
)

// sendWithRetries acquires grants and sends the request until a response was
// relayed or no further attempt is allowed.
func (c *call) sendWithRetries(ctx context.Context) error {
	for unreachedCount := 0; ; {
		if c.isCrashSuspect() {
			return c.notSentError(basilmoor.ReasonCrashSuspect, errCrashSuspect)
		}
		if err := c.awaitTarget(ctx); err != nil {
			return err
		}
		permit, err := c.acquireGrant(ctx)
		if err != nil {
			return c.grantError(ctx, err)
		}
		if c.isCrashSuspect() || c.isHeldOff(permit.Target()) {
			// The news came while the request waited.
			permit.Observe(basilmoor.Observation{
				Stage: basilmoor.StageReturned,
			})
			continue
		}
		err = c.sendAndRelay(ctx, permit)
		if err == nil {
			return nil
		}
		var partial *partialRelayError
		if errors.As(err, &partial) {
			return partial.Err
		}
		var unsent *bmexchange.UnsentError
		if errors.As(err, &unsent) && unreachedCount < maxUnreachedTargets {
			unreachedCount++
			c.exclude(unsent.Target)
			c.handler.cfg.Metrics.Retry(basilmoor.ReasonConnectFailed)
			continue
		}
		again, err := c.handleSendError(ctx, err)
		if !again {
			return err
		}
	}
}

// errCrashSuspect is the detail of the answer to a request that is held back.
var errCrashSuspect = errors.New("targets died while they ran this request")

// acquireGrant waits for a grant from the scheduler and records the wait.
func (c *call) acquireGrant(ctx context.Context) (basilmoor.Permit, error) {
	start := c.handler.cfg.Clock.Now()
	permit, err := c.handler.cfg.Scheduler.Acquire(ctx, c.newDemand())
	waited := c.handler.cfg.Clock.Now() - start
	c.grantWait += waited
	c.handler.cfg.Metrics.Observe("grant-wait-ms."+c.metricSuffix(), waited)
	return permit, err
}

// metricSuffix returns the part of histogram names that tells the pool and rank
// of the request.
func (c *call) metricSuffix() string {
	return c.pool.Name + ".rank-" + strconv.Itoa(c.route.Rank)
}

// grantError returns the error of a request that got no grant. It promises that
// the request was not run only if no earlier send may have run.
func (c *call) grantError(ctx context.Context, err error) error {
	if c.r.Context().Err() != nil {
		return &callerLeftError{
			Err: err,
		}
	}
	if c.possibleRuns > 0 {
		return newFinalError(http.StatusBadGateway, basilmoor.ReasonTargetFailed, "the first target failed and no other took the request")
	}
	if c.handler.requestsEnded.Err() != nil {
		return newRetryableError(basilmoor.ReasonStopping, stoppingRetryAfter, "the host stopped before a grant")
	}
	if ctx.Err() != nil {
		return newRetryableError(basilmoor.ReasonDeadline, 0, "time limit passed before a grant")
	}
	refusal := newRefusalError(err)
	if refusal.Reason == basilmoor.ReasonCrashSuspect {
		return c.notSentError(basilmoor.ReasonCrashSuspect, err)
	}
	return refusal
}

// handleSendError decides what follows a failed send. If again is false, the
// request has ended with the error end, which is nil if a target's error
// response was relayed.
func (c *call) handleSendError(ctx context.Context, err error) (again bool, end error) {
	if c.r.Context().Err() != nil {
		return false, &callerLeftError{
			Err: err,
		}
	}
	var unsent *bmexchange.UnsentError
	if errors.As(err, &unsent) {
		return false, c.notSentError(basilmoor.ReasonTargetUnreachable, err)
	}
	var refused *bmexchange.RefusedError
	if errors.As(err, &refused) {
		c.exclude(refused.Target)
		if c.consumeRetry(ctx) {
			c.handler.cfg.Metrics.Retry(basilmoor.ReasonTargetRefused)
			return true, nil
		}
		return false, c.notSentError(basilmoor.ReasonTargetRefused, err)
	}
	c.possibleRuns++
	c.exclude(c.lastTarget)
	if c.route.RetryPolicy != bmrouting.RetryNever && c.possibleRuns < c.route.MaxAttempts && c.consumeRetry(ctx) {
		c.handler.cfg.Metrics.Retry(basilmoor.ReasonTargetFailed)
		return true, nil
	}
	var failed *serverError
	if errors.As(err, &failed) {
		return false, failed.relay()
	}
	if errors.Is(context.Cause(ctx), bmclock.ErrTimeout) {
		return false, newFinalError(http.StatusGatewayTimeout, basilmoor.ReasonTargetSilent, err.Error())
	}
	if errors.Is(context.Cause(ctx), errDrained) {
		return false, newFinalError(http.StatusGatewayTimeout, basilmoor.ReasonStopping, err.Error())
	}
	return false, newFinalError(http.StatusBadGateway, failureReason(err), err.Error())
}

// notSentError returns the answer to a request that its last target did not run.
// A target before that may have run it. If the stop of the host left no time for
// another target, it is the reason.
func (c *call) notSentError(reason basilmoor.Reason, err error) error {
	if c.possibleRuns > 0 {
		return newFinalError(http.StatusBadGateway, reason, err.Error())
	}
	switch {
	case reason == basilmoor.ReasonCrashSuspect:
		return newRetryableError(reason, bmcrash.HoldDuration, err.Error())
	case c.handler.requestsEnded.Err() != nil:
		return newRetryableError(basilmoor.ReasonStopping, stoppingRetryAfter, err.Error())
	}
	return newRetryableError(reason, shortRetryAfter, err.Error())
}

// consumeRetry reports whether the time left and the retry budget allow another
// attempt, and if so takes it from the budget.
func (c *call) consumeRetry(ctx context.Context) bool {
	if ctx.Err() != nil || c.timeLeft() < minRetryTime {
		return false
	}
	if !c.handler.cfg.Retries.AllowRetry(c.pool.Name) {
		c.handler.cfg.Metrics.Add("retries.over-budget", 1)
		return false
	}
	return true
}

// exclude keeps the scheduler from granting target to this request again.
func (c *call) exclude(target string) {
	if !slices.Contains(c.excludedTargets, target) {
		c.excludedTargets = append(slices.Clone(c.excludedTargets), target)
	}
}

// timeLeft returns the time until the deadline.
func (c *call) timeLeft() basilmoor.Millis {
	return c.deadline - c.handler.cfg.Clock.Now()
}

// newDemand returns the demand for the next grant. Only the first one charges
// the workspace's quota.
func (c *call) newDemand() basilmoor.Demand {
	c.demandCount++
	deadline, shortened := c.scheduledDeadline()
	d := basilmoor.Demand{
		Weight:           1,
		Tier:             c.route.Rank,
		Kind:             c.route.Name,
		Pool:             c.pool.Name,
		Model:            c.info.Model,
		PromptTokens:     c.info.PromptTokens,
		OutputTokens:     c.handler.estimator.estimate(c.route.Name, c.info),
		Objective:        c.route.Objective,
		FirstByteTimeout: c.route.StreamIdleTimeout,
		MaxPause:         c.route.MaxPause,
		Deadline:         deadline - c.arrivedAt,
		OnlyInTime:       shortened,
		Excluded:         c.unwantedTargets(),
		BodyBytes:        len(c.body),
		CrashKeys:        c.crashKeys(),
	}
	if c.demandCount == 1 && c.workspace != nil && c.workspace.Quota.Limited() {
		d.Charge = c.quotaCharge()
	}
	if c.workspace != nil {
		d.Workspace = c.workspace.Name
		d.WorkspaceRank = c.workspace.Rank
	}
	return d.WithWait(c.handler.cfg.Clock.Now() - c.arrivedAt)
}

// quotaCharge returns what the request costs its workspace, in requests or
// tokens depending on the quota.
func (c *call) quotaCharge() int {
	q := c.workspace.Quota
	switch {
	case q.PerRequest:
		return 1
	case c.info.DeclaresTokens:
		return c.info.PromptTokens + c.info.OutputTokens
	}
	return q.DefaultTokens
}

// sendAndRelay sends the request to the granted target and relays the response.
func (c *call) sendAndRelay(ctx context.Context, permit basilmoor.Permit) error {
	resp, sent, err := c.dispatch(ctx, permit, c.info.LastEventID)
	if err != nil {
		return err
	}
	defer resp.Close()
	if c.route.Streaming && resp.Status == http.StatusOK {
		return c.relayStream(ctx, permit, resp, sent)
	}
	return c.relayResponse(permit, resp, sent)
}

// dispatch sends the request to the granted target and returns the response and
// the time of the send. A stream resumes after the event with id lastEvent.
func (c *call) dispatch(ctx context.Context, permit basilmoor.Permit, lastEvent string) (*bmexchange.Response, basilmoor.Millis, error) {
	target := permit.Target()
	c.lastTarget = target.Name
	if !permit.Valid() {
		permit.Observe(basilmoor.Observation{
			Stage: basilmoor.StageReturned,
		})
		return nil, 0, &bmexchange.UnsentError{
			Target: target.Name,
			Err:    errors.New("the grant has lapsed"),
		}
	}
	if c.sendCount == 0 {
		c.handler.cfg.Retries.RecordRequest(c.pool.Name)
	}
	permit.Observe(basilmoor.Observation{
		Stage: basilmoor.StageDispatched,
	})
	sent := c.handler.cfg.Clock.Now()
	resp, err := c.handler.cfg.Exchange.Send(ctx, c.targetRequest(target, lastEvent))
	var unsent *bmexchange.UnsentError
	if !errors.As(err, &unsent) {
		c.sendCount++
	}
	if err != nil {
		c.observeFailure(permit, err, false)
		return nil, 0, err
	}
	c.handler.cfg.Metrics.Observe("first-byte-ms."+c.metricSuffix(), c.handler.cfg.Clock.Now()-sent)
	return resp, sent, nil
}

// targetRequest returns the request to send to target.
func (c *call) targetRequest(target basilmoor.Target, lastEvent string) bmexchange.Request {
	info := ForwardInfo{
		Remaining:   max(c.timeLeft(), 1),
		Target:      target.Name,
		LastEventID: lastEvent,
	}
	if c.workspace != nil {
		info.Workspace = c.workspace.Name
	}
	return bmexchange.Request{
		Target:    target,
		RequestID: c.info.ID,
		Method:    c.r.Method,
		URI:       c.r.RequestURI,
		Host:      c.r.Host,
		Header:    c.handler.cfg.Protocol.RequestHeader(c.r.Header, info),
		Body:      c.body,
	}
}

// observeFailure reports a failed send to the scheduler, and with it whether the
// target has died: until then the slot is held, so that no other request with the
// same cause is granted in between. answered tells whether a part of the response
// had arrived. If the caller disconnected or the host stops, the target is not
// blamed.
func (c *call) observeFailure(permit basilmoor.Permit, err error, answered bool) {
	stage := basilmoor.StageFailed
	var unsent *bmexchange.UnsentError
	switch {
	case errors.As(err, &unsent) && c.endedFromOutside():
		stage = basilmoor.StageReturned
	case errors.As(err, &unsent):
		stage = basilmoor.StageUnreachable
	case c.endedFromOutside():
		stage = basilmoor.StageFinished
	}
	var refused *bmexchange.RefusedError
	died := stage == basilmoor.StageFailed && c.targetDied(permit, err, answered)
	permit.Observe(basilmoor.Observation{
		Stage:      stage,
		BadAnswer:  stage == basilmoor.StageFailed && !errors.As(err, &refused),
		TargetDied: died,
		BrokenOff:  stage == basilmoor.StageFailed && !died && isBrokenOff(err),
	})
}

// isBrokenOff reports whether a target closed the connection of a request, or spoiled its
// response, before the request's time was over.
func isBrokenOff(err error) bool {
	var broken *bmexchange.BrokenError
	return errors.As(err, &broken) && !broken.ContextDone
}

// endedFromOutside reports whether the caller disconnected or the host has ended
// the request, so that its failure says nothing about the target.
func (c *call) endedFromOutside() bool {
	return c.r.Context().Err() != nil || c.handler.requestsEnded.Err() != nil
}
