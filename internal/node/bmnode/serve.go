package bmnode

import (
	"context"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"basilmoor.example/basilmoor"
)

// leaveNotice is the time between the announcement that this host leaves and
// the end of its broker duties: two heartbeats, so that every entry host has
// moved its demands even if one heartbeat is lost.
const leaveNotice = 2 * basilmoor.Second

// CutError tells that requests in progress were cut at a stop.
type CutError struct {
	Requests int
}

func (e *CutError) Error() string {
	return errors.Errorf("%d requests in progress were cut at the stop", e.Requests).Error()
}

// Serve runs the node until ctx ends, and then stops it gracefully. When cut
// ends, the requests that are still in progress are cut and a *CutError tells
// how many.
func (n *Node) Serve(ctx, cut context.Context) error {
	running, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	supervisor := suture.New("node", suture.Spec{
		EventHook: n.logEvent,
	})
	for _, s := range n.services() {
		supervisor.Add(s)
	}
	done := supervisor.ServeBackground(running)
	n.log.Info().Interface("addresses", n.Addresses()).Msg("node started")
	select {
	case err := <-done:
		return errors.Wrap(err, "supervisor ended")
	case <-ctx.Done():
	}
	err := n.stop(cut)
	end()
	if supervisorErr := <-done; !errors.Is(supervisorErr, context.Canceled) {
		n.log.Warn().Err(supervisorErr).Msg("supervisor ended with an error")
	}
	n.log.Info().Err(err).Msg("node stopped")
	return err
}

func (n *Node) services() []suture.Service {
	return []suture.Service{
		n.peers,
		n.members,
		n.config,
		n.marks,
		n.brokers,
		n.client,
		n.loads,
		n.callers,
		n.admin,
	}
}

func (n *Node) logEvent(e suture.Event) {
	n.log.Warn().Str("event", e.String()).Msg("service event")
}

// stop takes the host out of service. Readiness goes first; brokers of this
// host move while its own requests end.
func (n *Node) stop(cut context.Context) error {
	limited, cancel := context.WithCancel(cut)
	defer cancel()
	limit := &stopLimit{
		clock:  n.clock,
		limit:  n.settings.StopLimit,
		cancel: cancel,
	}
	go limit.run(limited)
	n.stopping.Store(true)
	n.members.Announce()
	n.log.Info().Int("in-progress", n.gateway.InProgress()).Msg("stopping")
	_ = n.clock.Sleep(limited, leaveNotice)
	if err := n.gateway.Stop(limited); err != nil {
		left := n.gateway.InProgress()
		n.metrics.Add("stops.cut-requests", int64(left))
		return &CutError{
			Requests: left,
		}
	}
	return nil
}

// stopLimit bounds the time that requests in progress get at a stop.
type stopLimit struct {
	clock  basilmoor.Clock
	limit  basilmoor.Millis
	cancel context.CancelFunc // of what is bounded
}

func (l *stopLimit) run(ctx context.Context) {
	if l.clock.Sleep(ctx, l.limit) == nil {
		l.cancel()
	}
}
