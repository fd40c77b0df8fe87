package bmgateway

import (
	"context"
	"net/http"
	"strconv"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/request/bmdispatch"
)

const (
	claimTries = 3
	claimPause = 50 * basilmoor.Millis(1)
	claimBound = 5 * basilmoor.Second
)

// claim obtains the right to run a claimed request once, or returns what its
// caller is told instead. The outcome then describes the keyed operation.
func (g *Gateway) claim(ctx context.Context, c *call) (problem, bool) {
	if g.cfg.Claimer == nil {
		return notRun(basilmoor.ReasonStoreUnavailable, ""), false
	}
	since := g.cfg.Clock.Now()
	// The first call counts: the claim may have become durable right then.
	c.claimedAt = since
	for {
		found, err := g.tryClaim(ctx, c)
		if err != nil {
			return g.unclaimed(ctx, c), false
		}
		switch found.State {
		case basilmoor.ClaimGranted:
			return problem{}, true
		case basilmoor.ClaimDone:
			return replayOf(found), false
		case basilmoor.ClaimUnknown:
			return report(basilmoor.ReasonHolderLost, basilmoor.OutcomeUnknown, "the request may have run"), false
		case basilmoor.ClaimMismatch:
			return notRun(basilmoor.ReasonKeyMismatch, "this request was not run; the key belongs to another one"), false
		}
		if g.cfg.Clock.Now()-since >= keyWait {
			return report(basilmoor.ReasonKeyInProgress, basilmoor.OutcomeUnknown, "the request with this key has not ended"), false
		}
		if g.cfg.Clock.Sleep(ctx, keyPoll) != nil {
			return notRun(basilmoor.ReasonCallerLeft, ""), false
		}
	}
}

// tryClaim asks for the claim. A repetition with the same request settles a
// claim whose answer was lost.
func (g *Gateway) tryClaim(ctx context.Context, c *call) (basilmoor.Claim, error) {
	for n := 1; ; n++ {
		found, err := g.claimOnce(ctx, c)
		if err == nil || n == claimTries {
			return found, err
		}
		if sleepErr := g.cfg.Clock.Sleep(ctx, claimPause); sleepErr != nil {
			return found, sleepErr
		}
	}
}

// claimOnce bounds one call, because the store may be slow for a long time.
func (g *Gateway) claimOnce(ctx context.Context, c *call) (basilmoor.Claim, error) {
	ctx, cancel := bmclock.WithTimeout(ctx, g.cfg.Clock, claimBound)
	defer cancel()
	return g.cfg.Claimer.Claim(ctx, c.claimRequest(g.cfg.Host))
}

// unclaimed refuses a request whose claim was not confirmed. The claim may
// exist, and nobody will run it, so that it is released.
func (g *Gateway) unclaimed(ctx context.Context, c *call) problem {
	g.recorder.add(basilmoor.ClaimRecord{
		Workspace: c.workspace.Name,
		Key:       c.key,
		Request:   c.aggregate.ID(),
		State:     basilmoor.ClaimReleased,
	})
	if ctx.Err() != nil {
		return notRun(basilmoor.ReasonCallerLeft, "")
	}
	return notRun(basilmoor.ReasonStoreUnavailable, "the request was not run")
}

// settle records how a granted claim ended.
func (g *Gateway) settle(c *call) {
	r := basilmoor.ClaimRecord{
		Workspace: c.workspace.Name,
		Key:       c.key,
		Request:   c.aggregate.ID(),
		State:     basilmoor.ClaimUnknown,
	}
	switch c.aggregate.Outcome() {
	case basilmoor.OutcomeDone:
		r.State = basilmoor.ClaimDone
		r.Answer = c.sink.answer()
	case basilmoor.OutcomeNotRun:
		r.State = basilmoor.ClaimReleased
	}
	g.recorder.add(r)
}

// replayOf returns the recorded response of a request that is done.
func replayOf(found basilmoor.Claim) problem {
	p := report(ReasonNotRecorded, basilmoor.OutcomeDone, "")
	p.replayed = true
	p.answer = found.Answer
	return p
}

// replay sends the recorded response.
func (p problem) replay(w http.ResponseWriter) {
	h := w.Header()
	if p.answer.ContentType != "" {
		h.Set("Content-Type", p.answer.ContentType)
	}
	h.Set(HeaderReplayed, "true")
	h.Set(bmdispatch.HeaderOutcome, string(basilmoor.OutcomeDone))
	if p.answer.Status != http.StatusNoContent && p.answer.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(p.answer.Body)))
	}
	w.WriteHeader(p.answer.Status)
	_, _ = w.Write(p.answer.Body)
}
