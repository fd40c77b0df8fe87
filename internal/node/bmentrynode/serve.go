package bmentrynode

import (
	"context"
	"net/http"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmlistener"
	"basilmoor.example/basilmoor/internal/request/bmentry"
)

const (
	// lateProbeTime is how long after the load balancer should have withdrawn a
	// stopping node it may still open connections, because a readiness probe
	// came late.
	lateProbeTime basilmoor.Millis = 500

	// maxDrainAnswerTime is how long a node waits for the answers to the requests
	// that it has ended.
	maxDrainAnswerTime basilmoor.Millis = 200

	// maxKillMargin is the time that is left after that until the process is
	// killed. It covers the delay of the signal and the end of the process.
	maxKillMargin basilmoor.Millis = 300

	// minMarginsPerGrace is how many times a short grace is longer than each of
	// these, so that they leave most of it to the requests.
	minMarginsPerGrace = 16

	// drainIdleTime is how long no connection may have a request before a
	// stopping node ends. It covers requests that were sent on a connection
	// while it was idle, and the connections that are still accepted.
	drainIdleTime = 2 * bmlistener.AcceptQueueTime

	// drainPollPeriod is the period at which a stopping node checks the
	// number of requests in progress, and answerPollPeriod that at which it checks
	// whether the last ones are answered.
	drainPollPeriod  basilmoor.Millis = 50
	answerPollPeriod basilmoor.Millis = 10
)

// isReady reports whether the load balancer may send new connections to this
// host.
func (n *Node) isReady() bool {
	select {
	case <-n.stopping:
		return false
	default:
	}
	if !n.callerListener.netListener.Accepting() {
		return false
	}
	age, known := n.keeper.Age()
	return known && n.keeper.View().Table != nil && age < n.settings.Load().maxViewAge()
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveMetrics updates the gauges and writes all metrics.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	n.metrics.Set("requests.in-progress", int64(n.handler.Active()))
	if age, known := n.keeper.Age(); known {
		n.metrics.Set("view.age-ms", int64(age))
	}
	n.metrics.Set("view.hosts", int64(len(n.keeper.View().Hosts())))
	n.callerListener.setGauges()
	n.setMemoryGauges()
	inUse, idle := n.exchange.ConnCounts()
	n.metrics.Set("exchange.in-use-connections", int64(inUse))
	n.metrics.Set("exchange.idle-connections", int64(idle))
	if err := n.metrics.WriteText(w); err != nil {
		n.log.Debug().Err(err).Msg("writing metrics failed")
	}
}

// setMemoryGauges updates the gauges of the memory for callers' requests.
func (n *Node) setMemoryGauges() {
	stats := n.memory.Stats()
	n.metrics.Set("memory.used-bytes", stats.Used)
	n.metrics.Set("memory.evicted-requests", stats.Evicted)
	n.metrics.Set("memory.refused", stats.Refused)
}

// drainTimes returns the times of a planned stop that begins at began.
func (s Settings) drainTimes(began basilmoor.Millis) bmentry.DrainTimes {
	killMargin := min(maxKillMargin, s.StopGrace/minMarginsPerGrace)
	end := began + s.StopGrace - killMargin - s.drainAnswerTime()
	withdrawn := min(began+s.WithdrawalTime+lateProbeTime, end)
	return bmentry.DrainTimes{
		Began:          began,
		Withdrawn:      withdrawn,
		ListenerClosed: min(withdrawn+drainPollPeriod+bmlistener.AcceptQueueTime, end),
		End:            end,
	}
}

// drainAnswerTime returns how long the node waits for the answers to the requests
// that it has ended.
func (s Settings) drainAnswerTime() basilmoor.Millis {
	return min(maxDrainAnswerTime, s.StopGrace/minMarginsPerGrace)
}

// drain makes the node not ready and waits until the requests in progress have
// ended. Keep-alive connections are served for a while, with responses that announce
// the close of the connection; then the listener and idle connections are closed. At
// the end of the stop the requests that are left are ended.
func (n *Node) drain(ctx context.Context) {
	settings := n.settings.Load()
	times := settings.drainTimes(n.clock.Now())
	n.log.Info().Int("requests", n.handler.Active()).Msg("stopping")
	n.handler.Drain(times)
	close(n.stopping)
	n.scheduler.Drain()
	n.scheduler.ShortenDeadlines(times.End)
	n.registrar.deregister()
	closed := false
	idleSince := times.Began
	for {
		now := n.clock.Now()
		if now >= times.Withdrawn && !closed {
			closed = true
			n.closeCallerListener(now - times.Began)
			// Connections are still accepted, and may bring a request.
			idleSince = n.clock.Now()
		}
		if now >= times.End {
			n.endRequests(ctx, settings.drainAnswerTime())
			return
		}
		if n.isBusy() {
			idleSince = now
		}
		if closed && now-idleSince >= drainIdleTime {
			return
		}
		if n.clock.Sleep(ctx, drainPollPeriod) != nil {
			return
		}
	}
}

// isBusy reports whether requests are in progress, or connections of callers may
// have a request without a complete response.
func (n *Node) isBusy() bool {
	return n.handler.Active() > 0 || n.callerListener.busyConns() > 0
}

// endRequests ends the requests in progress and waits until they are answered, at
// most for a time. The server writes the last bytes of a response after the handler
// has returned, so the connections with a request are waited for as well.
func (n *Node) endRequests(ctx context.Context, limit basilmoor.Millis) {
	n.log.Warn().Int("requests", n.handler.Active()).Msg("requests ended by the stop")
	n.handler.EndRequests()
	deadline := n.clock.Now() + limit
	for n.isBusy() && n.clock.Now() < deadline {
		if n.clock.Sleep(ctx, answerPollPeriod) != nil {
			return
		}
	}
	if left := n.handler.Active(); left > 0 {
		n.log.Warn().Int("requests", left).Msg("requests cut by the end of the grace")
	}
}

// closeCallerListener closes the callers' listener and idle connections. waited is
// the time since the request to stop.
func (n *Node) closeCallerListener(waited basilmoor.Millis) {
	n.callerListener.close()
	n.callerListener.server.SetKeepAlivesEnabled(false)
	n.log.Info().
		Int64("after-stop-ms", int64(waited)).
		Int("requests", n.handler.Active()).
		Int("busy-connections", n.callerListener.busyConns()).
		Msg("listener closes")
}
