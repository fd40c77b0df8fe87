package bmgateway

import (
	"context"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/request/bmdispatch"
)

const (
	maxClaimAttempts   = 3
	claimRetryInterval = 50 * basilmoor.Millis(1)
	claimTimeout       = 5 * basilmoor.Second
)

// claim claims the request's idempotency key. If the claim is not granted, it
// returns false and the response for the caller. Its outcome describes the
// operation that the key identifies.
func (g *Gateway) claim(ctx context.Context, c *call) (problem, bool) {
	if g.cfg.Claimer == nil {
		return newNotRunProblem(basilmoor.ReasonStoreUnavailable, ""), false
	}
	ctx, cancel := g.withEnd(ctx)
	defer cancel()
	keyRunning := false // another request with the key was in progress
	start := g.cfg.Clock.Now()
	// The claim's age counts from before the first call: the claim may have
	// become durable then, even if that call failed.
	c.claimedAt = start
	for {
		found, err := g.claimWithRetries(ctx, c)
		if err != nil {
			return g.releaseUnconfirmedClaim(ctx, c, keyRunning), false
		}
		switch found.State {
		case basilmoor.ClaimGranted:
			return problem{}, true
		case basilmoor.ClaimDone:
			return replayProblem(found), false
		case basilmoor.ClaimUnknown:
			return newProblem(basilmoor.ReasonHolderLost, basilmoor.OutcomeUnknown, "the request may have run"), false
		case basilmoor.ClaimMismatch:
			return newNotRunProblem(basilmoor.ReasonKeyMismatch, "this request was not run; the key belongs to another one"), false
		}
		keyRunning = true
		if g.cfg.Clock.Now()-start >= keyInProgressTimeout {
			return newProblem(basilmoor.ReasonKeyInProgress, basilmoor.OutcomeUnknown, "the request with this key has not ended"), false
		}
		if g.cfg.Clock.Sleep(ctx, keyPollInterval) != nil {
			return endedClaimProblem(ctx, keyRunning), false
		}
	}
}

// claimWithRetries calls the claimer until it answers, at most maxClaimAttempts
// times. Claiming again with the same request is safe and returns the result of a
// claim whose answer was lost.
func (g *Gateway) claimWithRetries(ctx context.Context, c *call) (basilmoor.Claim, error) {
	for n := 1; ; n++ {
		found, err := g.claimOnce(ctx, c)
		if err == nil || n == maxClaimAttempts {
			return found, err
		}
		if sleepErr := g.cfg.Clock.Sleep(ctx, claimRetryInterval); sleepErr != nil {
			return found, sleepErr
		}
	}
}

// claimOnce calls the claimer with a timeout, because the store may be slow for a
// long time.
func (g *Gateway) claimOnce(ctx context.Context, c *call) (basilmoor.Claim, error) {
	ctx, cancel := bmclock.WithTimeout(ctx, g.cfg.Clock, claimTimeout)
	defer cancel()
	return g.cfg.Claimer.Claim(ctx, c.claimRequest(g.cfg.Host))
}

// releaseUnconfirmedClaim refuses a request whose claim was not confirmed. The
// claim may exist nevertheless; since the request will not run, it is released.
func (g *Gateway) releaseUnconfirmedClaim(ctx context.Context, c *call, keyRunning bool) problem {
	g.recorder.add(basilmoor.ClaimRecord{
		Workspace: c.workspace.Name,
		Key:       c.key,
		Request:   c.state.ID(),
		State:     basilmoor.ClaimReleased,
	})
	if ctx.Err() != nil {
		return endedClaimProblem(ctx, keyRunning)
	}
	return newNotRunProblem(basilmoor.ReasonStoreUnavailable, "the request was not run")
}

// endedClaimProblem returns the response to a request whose claim ended with ctx,
// because the host stops or the caller has left. Another request with the key that was
// in progress may have run.
func endedClaimProblem(ctx context.Context, keyRunning bool) problem {
	switch {
	case !errors.Is(context.Cause(ctx), bmdispatch.ErrStopped):
		return newNotRunProblem(basilmoor.ReasonCallerLeft, "")
	case !keyRunning:
		return newNotRunProblem(basilmoor.ReasonStopping, "the host stops before the request was run")
	}
	p := newProblem(basilmoor.ReasonKeyInProgress, basilmoor.OutcomeUnknown, "the host stops, and the request with this key has not ended")
	p.closeConnection = true
	return p
}

// recordClaimResult records the result of a request whose claim was granted.
func (g *Gateway) recordClaimResult(c *call) {
	r := basilmoor.ClaimRecord{
		Workspace: c.workspace.Name,
		Key:       c.key,
		Request:   c.state.ID(),
		State:     basilmoor.ClaimUnknown,
	}
	switch c.state.Outcome() {
	case basilmoor.OutcomeDone:
		r.State = basilmoor.ClaimDone
		r.Answer = c.sink.recordedAnswer()
	case basilmoor.OutcomeNotRun:
		r.State = basilmoor.ClaimReleased
	}
	g.recorder.add(r)
}

// replayProblem returns the response for the repeat of a request that is done:
// the recorded response or, without one, ReasonResponseNotRecorded.
func replayProblem(found basilmoor.Claim) problem {
	p := newProblem(ReasonResponseNotRecorded, basilmoor.OutcomeDone, "")
	p.replayed = true
	p.recordedAnswer = found.Answer
	return p
}

// replay writes the recorded response.
func (p problem) replay(w http.ResponseWriter) {
	h := w.Header()
	if p.recordedAnswer.ContentType != "" {
		h.Set("Content-Type", p.recordedAnswer.ContentType)
	}
	h.Set(HeaderReplayed, "true")
	h.Set(bmdispatch.HeaderOutcome, string(basilmoor.OutcomeDone))
	if p.recordedAnswer.Status != http.StatusNoContent && p.recordedAnswer.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(p.recordedAnswer.Body)))
	}
	w.WriteHeader(p.recordedAnswer.Status)
	_, _ = w.Write(p.recordedAnswer.Body)
}
