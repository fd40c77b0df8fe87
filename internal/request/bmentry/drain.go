package bmentry

import (
	"context"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
)

// stoppingRetryAfter is the retry hint of a request that a stopping host does not
// take. Another host can take it at once.
const stoppingRetryAfter basilmoor.Millis = 10

// DrainTimes holds the times of a planned stop on the host's clock.
type DrainTimes struct {
	Began basilmoor.Millis // the request to stop

	// Withdrawn is the time from which the load balancer is expected to open no
	// more connections to the host, so that the listener begins to close. Requests
	// that arrive later are taken only if their time limit ends before End.
	Withdrawn basilmoor.Millis

	// ListenerClosed is the time by which the listener has accepted the connections
	// that were established before it closed. Until then requests on connections
	// that were accepted after Withdrawn are taken as before it: the load balancer
	// still sends to this host, as it does to all hosts while most of them are
	// stopping, so that another host may refuse them as well.
	ListenerClosed basilmoor.Millis

	// End is the time at which requests in progress are ended.
	End basilmoor.Millis
}

// errDrained is the cause of the end of a request that is still in progress at
// DrainTimes.End.
var errDrained = errors.New("the host has stopped")

// Drain begins a planned stop: every further response closes its connection, no
// request is scheduled to end after t.End, and requests that may last longer are
// rejected from t.Withdrawn on, or from t.ListenerClosed on if their connection was
// accepted after t.Withdrawn. It must be called at most once.
func (h *Handler) Drain(t DrainTimes) {
	h.drainTimes.Store(&t)
}

// EndRequests ends the requests in progress. Those without a response so far are
// answered with an error.
func (h *Handler) EndRequests() {
	h.endRequests()
}

// draining reports whether a planned stop has begun.
func (h *Handler) draining() bool {
	return h.drainTimes.Load() != nil
}

// logDrain adds to a log line when a request arrived in a planned stop, and how old
// its connection was. If the connection is older than the stop, the load balancer did
// not send the request after the signal: its caller reused a kept connection.
func (c *call) logDrain(e *zerolog.Event) *zerolog.Event {
	t := c.handler.drainTimes.Load()
	if t == nil {
		return e
	}
	e = e.Int64("after-stop-ms", int64(c.arrivedAt-t.Began))
	if accepted, known := AcceptTime(c.r.Context()); known {
		e = e.Int64("connection-age-ms", int64(c.arrivedAt-accepted))
	}
	return e
}

// checkDrain rejects a request that arrives after the load balancer was to send
// no more and that may last longer than the planned stop.
func (c *call) checkDrain() error {
	t := c.handler.drainTimes.Load()
	if t == nil || c.deadline <= t.End {
		return nil
	}
	takenUntil := t.Withdrawn
	if accepted, known := AcceptTime(c.r.Context()); known && accepted >= t.Withdrawn {
		takenUntil = t.ListenerClosed
	}
	if c.handler.cfg.Clock.Now() < takenUntil {
		return nil
	}
	return newRetryableError(basilmoor.ReasonStopping, stoppingRetryAfter, "the time limit is longer than the rest of the stop")
}

// scheduledDeadline returns the time by which the response has to be complete: the
// deadline, or the end of a planned stop if that is sooner.
func (c *call) scheduledDeadline() (deadline basilmoor.Millis, shortened bool) {
	t := c.handler.drainTimes.Load()
	if t == nil || c.deadline <= t.End {
		return c.deadline, false
	}
	return t.End, true
}

// withEnd returns a context that ends with ctx, and with the given cause when end
// is done.
func withEnd(ctx, end context.Context, cause error) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(end, func() { cancel(cause) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}
