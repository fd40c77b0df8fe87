package bmentrynode

import (
	"context"
	"net/http"

	"basilmoor.example/basilmoor"
)

const (
	// leaveAfter is how long a stopping node takes new connections: the
	// balancer asks once a second and needs two answers.
	leaveAfter = 3 * basilmoor.Second

	// stopMargin is the time before the kill at which a node that still has
	// requests ends.
	stopMargin basilmoor.Millis = 300

	// drainPoll is the time between two looks at the requests in progress.
	drainPoll basilmoor.Millis = 50
)

// isReady reports whether the balancer may send new connections here.
func (n *Node) isReady() bool {
	select {
	case <-n.stopping:
		return false
	default:
	}
	age, known := n.keeper.Age()
	return known && n.keeper.View().Table != nil && age < n.settings.Load().maxProofAge()
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveMetrics writes all metrics with the state at this moment.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	n.metrics.Set("requests.in-progress", int64(n.handler.Active()))
	if age, known := n.keeper.Age(); known {
		n.metrics.Set("view.age-ms", int64(age))
	}
	n.metrics.Set("view.hosts", int64(len(n.keeper.View().Hosts())))
	if err := n.metrics.WriteText(w); err != nil {
		n.log.Debug().Err(err).Msg("metrics not written")
	}
}

// drain announces the stop and waits until the requests in progress have
// ended, at most until shortly before the kill. Kept connections are served
// until the balancer has had time to turn away, each answer announcing the end
// of its connection; then the idle ones are closed.
func (n *Node) drain(ctx context.Context) {
	began := n.clock.Now()
	n.log.Info().Int("requests", n.handler.Active()).Msg("stopping")
	close(n.stopping)
	n.handler.Close()
	n.registrar.leave()
	closed := false
	for {
		waited := n.clock.Now() - began
		if waited >= n.settings.Load().StopGrace-stopMargin {
			n.log.Warn().Int("requests", n.handler.Active()).Msg("requests cut by the end of the grace")
			return
		}
		if waited >= leaveAfter && !closed {
			closed = true
			n.callers.close()
			n.callers.server.SetKeepAlivesEnabled(false)
		}
		if closed && n.handler.Active() == 0 {
			return
		}
		if n.clock.Sleep(ctx, drainPoll) != nil {
			return
		}
	}
}
