package bmnode

import (
	"context"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

// leaveNotice is the minimum delay between announcing that this host leaves and
// stopping its brokers. It spans two heartbeats, so that every entry host has
// moved its demands to another broker even if one heartbeat is lost.
const leaveNotice = 2 * basilmoor.Second

const (
	// lastAnswerTime is how long a stop waits for the connections of callers whose
	// request has ended, while their last bytes are written, and for those that
	// were just opened and may bring a request, which is refused. The same time is
	// left of the stop limit for the answers to the requests that are ended then.
	lastAnswerTime basilmoor.Millis = 500

	// lastRecordTime is how long a stop then waits until the results of the claims of
	// those requests are recorded. A record waits up to 500 ms for a claim with which
	// it shares a write to the store. This time is also left of the stop limit.
	lastRecordTime = basilmoor.Second

	// adminStopTime is how long a stop waits for calls of operators. The longest
	// one writes a release note to the store, in several calls.
	adminStopTime = 10 * basilmoor.Second
)

// AbortedRequestsError reports how many requests in progress were aborted by a
// stop.
type AbortedRequestsError struct {
	Requests int
}

func (e *AbortedRequestsError) Error() string {
	return errors.Errorf("%d requests in progress were aborted when the node stopped", e.Requests).Error()
}

// Serve runs the node until ctx is done and then stops it gracefully. When cut
// is done or the stop limit has passed, it aborts the requests that are still
// in progress and returns a *AbortedRequestsError with their number.
func (n *Node) Serve(ctx, cut context.Context) error {
	servicesCtx, stopServices := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServices()
	supervisor := suture.New("node", suture.Spec{
		EventHook: n.logEvent,
	})
	for _, s := range n.services() {
		supervisor.Add(s)
	}
	done := supervisor.ServeBackground(servicesCtx)
	n.log.Info().Interface("addresses", n.Addresses()).Msg("node started")
	select {
	case err := <-done:
		return errors.Wrap(err, "supervisor ended")
	case <-ctx.Done():
	}
	err := n.stop(cut)
	stopServices()
	if supervisorErr := <-done; !errors.Is(supervisorErr, context.Canceled) {
		n.log.Warn().Err(supervisorErr).Msg("supervisor ended with an error")
	}
	n.log.Info().Err(err).Msg("node stopped")
	return err
}

func (n *Node) services() []suture.Service {
	return []suture.Service{
		n.peerServer,
		n.membership,
		n.follower,
		n.leaving,
		n.brokers,
		n.scheduler,
		n.loadPoller,
		n.callerServer,
		n.adminServer,
	}
}

func (n *Node) logEvent(e suture.Event) {
	n.log.Warn().Str("event", e.String()).Msg("supervisor event")
}

// stop takes the host out of service. It fails the readiness check first;
// other hosts take over the brokers while requests in progress complete.
func (n *Node) stop(cut context.Context) error {
	limitedCtx, cancel := context.WithCancel(cut)
	defer cancel()
	limit := &stopLimit{
		clock:  n.clock,
		limit:  max(n.settings.StopLimit-lastAnswerTime-lastRecordTime, 0),
		cancel: cancel,
	}
	go limit.run(limitedCtx)
	n.stopping.Store(true)
	n.gateway.AnnounceStop(n.clock.Now() + limit.limit)
	n.membership.Announce()
	n.log.Info().Int("in-progress", n.gateway.InProgress()).Msg("stopping")
	_ = n.clock.Sleep(limitedCtx, leaveNotice)
	if n.gateway.Stop(limitedCtx) != nil {
		n.gateway.EndRequests()
		n.shutdown(context.WithoutCancel(limitedCtx), n.callerServer, lastAnswerTime)
		n.flushRecords(context.WithoutCancel(limitedCtx))
		unanswered := n.gateway.InProgress()
		cut := unanswered + n.gateway.CutRequests()
		n.metrics.Add("stops.cut-requests", int64(cut))
		n.log.Warn().Int("requests", cut).Int("unanswered", unanswered).Msg("requests cut by the stop limit")
		return &AbortedRequestsError{
			Requests: cut,
		}
	}
	n.shutdown(limitedCtx, n.callerServer, lastAnswerTime)
	n.shutdown(limitedCtx, n.adminServer, adminStopTime)
	return nil
}

// flushRecords waits until the results of claims are recorded, at most for
// lastRecordTime.
func (n *Node) flushRecords(ctx context.Context) {
	ctx, cancel := bmclock.WithTimeout(ctx, n.clock, lastRecordTime)
	defer cancel()
	if err := n.gateway.FlushRecords(ctx); err != nil {
		n.log.Warn().Err(err).Msg("results of claims were not recorded before the end of the stop")
	}
}

// shutdown shuts a server down, and waits for its requests in progress at most for
// the given time.
func (n *Node) shutdown(ctx context.Context, s *httpServer, limit basilmoor.Millis) {
	ctx, cancel := bmclock.WithTimeout(ctx, n.clock, limit)
	defer cancel()
	s.shutdown(ctx)
}

// stopLimit limits how long a stop waits for requests in progress.
type stopLimit struct {
	clock  basilmoor.Clock
	limit  basilmoor.Millis
	cancel context.CancelFunc // called when the limit has passed
}

func (l *stopLimit) run(ctx context.Context) {
	if l.clock.Sleep(ctx, l.limit) == nil {
		l.cancel()
	}
}
