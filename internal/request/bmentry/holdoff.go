package bmentry

import (
	"context"

	"basilmoor.example/basilmoor"
)

// awaitTarget waits while no target of the pool may be sent requests, if one may in time
// for the objective. Otherwise it returns the answer that says when.
func (c *call) awaitTarget(ctx context.Context) error {
	cfg := &c.handler.cfg
	now := cfg.Clock.Now()
	_, wait, never := cfg.HoldOffs.Split(now, c.poolTargets())
	switch {
	case never:
		return c.noTargetError(shortRetryAfter, "all targets leave")
	case wait == 0:
		return nil
	case now+wait > c.arrivedAt+c.inTimeLimit():
		return c.noTargetError(wait, "no target takes requests from this host")
	}
	if cfg.Clock.Sleep(ctx, wait) != nil {
		return c.grantError(ctx, ctx.Err())
	}
	return nil
}

// inTimeLimit returns the time after the arrival of the request at which it is late.
func (c *call) inTimeLimit() basilmoor.Millis {
	limit := c.timeLimit()
	if c.route.Objective > 0 {
		limit = min(limit, c.route.Objective)
	}
	return limit
}

// noTargetError returns the answer to a request for which there is no target before the
// given time is over.
func (c *call) noTargetError(after basilmoor.Millis, detail string) error {
	if c.possibleRuns > 0 {
		return c.notSentError(basilmoor.ReasonNoTarget, newRetryableError(basilmoor.ReasonNoTarget, after, detail))
	}
	return newRetryableError(basilmoor.ReasonNoTarget, after, detail)
}

// poolTargets returns the targets of the request's pool that the view does not call
// leaving.
func (c *call) poolTargets() []basilmoor.Target {
	var targets []basilmoor.Target
	for _, t := range c.handler.cfg.ViewSource.View().Targets(c.pool.Name) {
		if !t.Leaving {
			targets = append(targets, t)
		}
	}
	return targets
}

// isHeldOff reports whether a target that was granted must not be sent requests any more,
// and excludes it then.
func (c *call) isHeldOff(target basilmoor.Target) bool {
	cfg := &c.handler.cfg
	if !cfg.HoldOffs.Blocks(cfg.Clock.Now(), target) {
		return false
	}
	cfg.Metrics.Add("holdoffs.grants-returned", 1)
	c.exclude(target.Name)
	return true
}

// unwantedTargets returns the names of the targets that must not be granted: those that
// failed this request, and those that must not be sent any.
func (c *call) unwantedTargets() []string {
	cfg := &c.handler.cfg
	blocked, _, _ := cfg.HoldOffs.Split(cfg.Clock.Now(), c.poolTargets())
	return append(blocked, c.excludedTargets...)
}
