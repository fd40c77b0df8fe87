package bmgateway

import (
	"context"
	"net/http"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/request/bmdispatch"
)

// AnnounceStop makes the gateway refuse requests that are not expected to end before
// the given time, at which the process ends what is left: new ones at once, those that
// wait for a target once their answer would no longer fit. It serves the others.
func (g *Gateway) AnnounceStop(end basilmoor.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopEnd = end
	g.announce()
}

// lastDispatch returns the time from which a request of a kind must not be dispatched,
// because its answer may outlast an announced stop. If the length of the kind's
// answers is not known, that is the end of the stop: most stops are long enough for
// what a host has taken, and to refuse it would be the greater harm.
func (g *Gateway) lastDispatch(kind string) basilmoor.Millis {
	longest, known := g.answers.longest(kind)
	if !known {
		longest = 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopEnd - longest
}

// mayOutlastStop reports whether a new request may be dispatched too late to end
// before the process, or still wait then for another request with its key.
func (g *Gateway) mayOutlastStop(c *call) bool {
	if g.announced.Err() == nil {
		return false
	}
	if c.receivedAt+c.demand.Deadline >= g.lastDispatch(c.kind.Name) {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.needsClaim() && c.receivedAt+keyInProgressTimeout >= g.stopEnd
}

// isTooLate reports whether a request must no longer be dispatched because of a stop.
func (g *Gateway) isTooLate(c *call) bool {
	if g.ended.Err() != nil {
		return true
	}
	return g.announced.Err() != nil && g.cfg.Clock.Now() >= g.lastDispatch(c.kind.Name)
}

// Stop refuses new requests and waits until those in progress have ended and
// the results of their claims are recorded, or until ctx is done.
func (g *Gateway) Stop(ctx context.Context) error {
	g.startDraining()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-g.drained:
	}
	return g.recorder.flush(ctx)
}

func (g *Gateway) startDraining() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return
	}
	g.stopping = true
	if g.inProgress == 0 {
		close(g.drained)
	}
}

// EndRequests ends the requests in progress, and those that follow. A stop that has
// waited for as long as it may calls it, so that callers are told what has become
// of their requests: those without a byte at a target are refused as not run, those
// that wait for another request with their key are told that it is in progress, the
// others end as unknown or incomplete.
func (g *Gateway) EndRequests() {
	g.end()
}

// FlushRecords waits until the results of the claims of requests that have ended are
// recorded, or until ctx is done.
func (g *Gateway) FlushRecords(ctx context.Context) error {
	return g.recorder.flush(ctx)
}

// CutRequests returns how many running requests EndRequests has ended.
func (g *Gateway) CutRequests() int {
	return int(g.cutCount.Load())
}

// withEnd returns a context that also ends, with the cause bmdispatch.ErrStopped, when
// the requests in progress are to end.
func (g *Gateway) withEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.ended, func() { cancel(bmdispatch.ErrStopped) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// acquire acquires a permit. It fails with a refusal once the stop is too close.
func (g *Gateway) acquire(ctx context.Context, c *call, d basilmoor.Demand) (basilmoor.Permit, error) {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &stopWait{
		gateway: g,
		kind:    c.kind.Name,
		ctx:     waitCtx,
		cancel:  cancel,
	}
	defer context.AfterFunc(g.announced, w.run)()
	defer context.AfterFunc(g.ended, cancel)()
	permit, err := g.cfg.Scheduler.Acquire(waitCtx, d)
	if err == nil || ctx.Err() != nil || waitCtx.Err() == nil {
		return permit, err
	}
	return nil, &basilmoor.RefusalError{
		Refusal: basilmoor.Refusal{
			Request: d.Request,
			Reason:  basilmoor.ReasonStopping,
		},
		Detail: "the host stops before a target was free",
	}
}

// stopWait ends the wait of one request for a target when its answer would no longer
// fit into an announced stop.
type stopWait struct {
	gateway *Gateway
	kind    string
	ctx     context.Context // of the wait
	cancel  context.CancelFunc
}

func (w *stopWait) run() {
	clock := w.gateway.cfg.Clock
	if clock.Sleep(w.ctx, w.gateway.lastDispatch(w.kind)-clock.Now()) == nil {
		w.cancel()
	}
}

// refuseStopping refuses a request because the host stops.
func (g *Gateway) refuseStopping(w http.ResponseWriter, detail string) {
	g.writeRefusal(w, newNotRunProblem(basilmoor.ReasonStopping, detail))
}
