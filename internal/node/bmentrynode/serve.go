package bmentrynode

import (
	"context"
	"fmt"
	"net/http"
	"sort"

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

// serveMetrics writes all counters as lines of a name and a value.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	values := n.metrics.Snapshot()
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "%s %d\n", name, values[name])
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
