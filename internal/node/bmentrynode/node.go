package bmentrynode

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmlistener"
	"basilmoor.example/basilmoor/internal/core/bmmemory"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmview"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
	"basilmoor.example/basilmoor/internal/request/bmentry"
	"basilmoor.example/basilmoor/internal/request/bmexchange"
	"basilmoor.example/basilmoor/internal/schedule/bmgrant"
	"basilmoor.example/basilmoor/internal/schedule/bmholdoff"
)

const (
	// viewAgeMargin is the part of Settings.RevocationTimeout that is reserved for
	// the time between the admission of a request and its run, and for the
	// time by which a store that loses its history may hide a change from a
	// watch.
	viewAgeMargin basilmoor.Millis = 800

	// memoryLimitFraction is the Go runtime's soft memory limit as a fraction
	// of Settings.MemoryBytes.
	memoryLimitFraction = 0.6

	// memoryPerBuffers is the number of parts of Settings.MemoryBytes of which one may
	// hold what responses keep. A buffer that grows takes three times its size.
	memoryPerBuffers = 12

	// gcPercent is the heap growth in percent that triggers a garbage
	// collection.
	gcPercent = 100

	// callerIdleTimeout is the idle timeout of callers' connections. It is
	// longer than any limit that operators set, because a request that
	// arrives while the server closes the connection is lost.
	callerIdleTimeout = 2 * basilmoor.Minute

	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * basilmoor.Second
)

// Dependencies holds the dependencies of a node.
type Dependencies struct {
	Clock     basilmoor.Clock
	Metrics   *bmmetrics.Registry
	Store     basilmoor.Store
	Feed      bmview.Feed
	Protocol  bmentry.Protocol
	Inspector bmexchange.ResponseInspector
	// Registration returns the store key and value of a host's registration.
	Registration func(m basilmoor.Member) (key string, value []byte, err error)
	// RecordKeys are the store keys of the broker's records.
	RecordKeys bmgrant.RecordKeys
	// RolloutKeys are the store keys of the rollouts.
	RolloutKeys bmgrant.RolloutKeys
}

// Node is the process of an entry host.
type Node struct {
	settings atomic.Pointer[Settings]
	clock    basilmoor.Clock
	log      zerolog.Logger
	metrics  *bmmetrics.Registry

	keeper     *bmview.Keeper
	broker     *bmgrant.Broker
	scheduler  *bmgrant.Client
	peerServer *peerServer
	exchange   *bmexchange.Client
	holdOffs   *bmholdoff.Table
	retries    *bmentry.RetryLimiter
	handler    *bmentry.Handler
	registrar  *registrar
	recorder   *bmgrant.Recorder
	memory     *bmmemory.Budget // of callers' requests
	rollouts   *bmgrant.RolloutWriter

	callerListener  *listener
	readyListener   *listener
	metricsListener *listener

	stopping chan struct{} // closed when the node starts to drain
	cleanups []func()
}

// New opens the listeners and creates the services of a node. The returned
// function releases them and must not be called before Serve has returned.
func New(s Settings, deps Dependencies, log zerolog.Logger) (*Node, func(), error) {
	n := &Node{
		clock:    deps.Clock,
		log:      log,
		metrics:  deps.Metrics,
		stopping: make(chan struct{}),
	}
	n.settings.Store(&s)
	n.memory = bmmemory.NewBudget(s.requestBytes())
	s.logAssumed(log)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	debug.SetGCPercent(gcPercent)
	self := basilmoor.Member{
		Host:       s.Host,
		Address:    s.port(portPeers),
		DataCentre: s.DataCentre,
		Region:     s.Region,
		// Incarnations are compared between starts of the same host only,
		// so clock differences between hosts have no effect.
		Incarnation: uint64(bmclock.UnixMillis()),
		Capacity:    s.capacity(),
	}
	n.keeper = bmview.NewKeeper(n.clock, deps.Feed, log, n.metrics, n.viewChanged, n.relayUpdate)
	crashes := bmcrash.New(n.clock)
	n.broker = bmgrant.NewBroker(n.clock, n.keeper, crashes, s.Tolerance, n.metrics, log)
	n.broker.SetRolloutBounds(s.Host, s.Rollouts)
	if s.PrefillLimits {
		n.broker.EnablePrefillLimits()
	}
	n.scheduler = bmgrant.NewClient(n.clock, self, n.broker, bmgrant.Options{
		DisableBroker:  s.LocalScheduling,
		AssumeSpending: !s.FirstStart,
	}, n.metrics, log)
	budget := bmlistener.NewBudget(s.MaxSockets)
	n.holdOffs = bmholdoff.New()
	exchange, closeExchange := bmexchange.New(bmexchange.Config{
		Clock:     n.clock,
		Inspector: deps.Inspector,
		Metrics:   n.metrics,
		MaxConns:  budget.Targets,
		OnNotice:  n.recordNotice,
	})
	n.exchange = exchange
	n.addCleanup(closeExchange)
	n.retries = bmentry.NewRetryLimiter(n.clock, s.RetryRatio, s.RetryWindow)
	n.handler = bmentry.New(bmentry.Config{
		Clock:      n.clock,
		ViewSource: n.keeper,
		Protocol:   deps.Protocol,
		Scheduler:  n.scheduler,
		Exchange:   n.exchange,
		Retries:    n.retries,
		Crashes:    crashes,
		HoldOffs:   n.holdOffs,
		Metrics:    n.metrics,
		Log:        log,
		MaxViewAge: func() basilmoor.Millis { return n.settings.Load().maxViewAge() },

		BufferBytes: s.MemoryBytes / memoryPerBuffers,
	})
	n.registrar = newRegistrar(n.clock, deps.Store, s.MinLease, func() (string, []byte, error) { return deps.Registration(self) }, log)
	n.recorder = bmgrant.NewRecorder(n.clock, deps.Store, deps.RecordKeys, n.broker, log)
	n.rollouts = bmgrant.NewRolloutWriter(n.clock, deps.Store, deps.RolloutKeys, n.broker, log)
	if err := n.listen(s, budget); err != nil {
		n.close()
		return nil, nil, err
	}
	return n, n.close, nil
}

func (n *Node) listen(s Settings, budget bmlistener.Budget) error {
	callers := &http.Server{
		Handler:           n.handler,
		ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout:       callerIdleTimeout.Duration(),
		MaxHeaderBytes:    maxHeaderBytes,
	}
	var err error
	callersConfig := n.listenerConfig("callers", s.CallersAddress, budget.Callers)
	callersConfig.Memory = n.memory
	if n.callerListener, err = newListener(callersConfig, callers, http.HandlerFunc(n.handler.ServeExcess)); err != nil {
		return errors.Wrap(err, "listener for callers")
	}
	n.addCleanup(n.callerListener.close)
	if n.readyListener, err = newListener(n.listenerConfig("ready", s.ReadyAddress, bmlistener.ProbeConns), &http.Server{
		Handler:           http.HandlerFunc(n.serveReady),
		ReadHeaderTimeout: headerTimeout.Duration(),
		MaxHeaderBytes:    bmlistener.ProbeHeaderBytes,
	}, http.HandlerFunc(bmlistener.RefuseExcess)); err != nil {
		return errors.Wrap(err, "listener for readiness probes")
	}
	n.addCleanup(n.readyListener.close)
	if n.metricsListener, err = newListener(n.listenerConfig("metrics", s.metricsAddress(), bmlistener.ProbeConns), &http.Server{
		Handler:           http.HandlerFunc(n.serveMetrics),
		ReadHeaderTimeout: headerTimeout.Duration(),
		MaxHeaderBytes:    bmlistener.ProbeHeaderBytes,
	}, http.HandlerFunc(bmlistener.RefuseExcess)); err != nil {
		return errors.Wrap(err, "listener for metrics")
	}
	n.addCleanup(n.metricsListener.close)
	if n.peerServer, err = newPeerServer(n.listenerConfig("peers", s.port(portPeers), 0), n.scheduler); err != nil {
		return errors.Wrap(err, "listener for peers")
	}
	n.addCleanup(n.peerServer.close)
	return nil
}

func (n *Node) listenerConfig(name, address string, maxConns int) bmlistener.Config {
	return bmlistener.Config{
		Name:     name,
		Address:  address,
		Clock:    n.clock,
		Metrics:  n.metrics,
		Log:      n.log,
		MaxConns: maxConns,
	}
}

// addCleanup registers a function that close calls, in reverse order.
func (n *Node) addCleanup(f func()) {
	n.cleanups = append(n.cleanups, f)
}

func (n *Node) close() {
	for i := len(n.cleanups) - 1; i >= 0; i-- {
		n.cleanups[i]()
	}
}

// Reload applies the revocation time, the stop grace and the retry slack of new
// settings. All other settings, such as addresses, the name of the host and the
// limits of the process, require a restart.
func (n *Node) Reload(s Settings) {
	next := *n.settings.Load()
	next.RevocationTimeout = s.RevocationTimeout
	next.StopGrace = s.StopGrace
	next.StopGraceAssumed = s.StopGraceAssumed
	next.RetrySlack = s.RetrySlack
	n.settings.Store(&next)
	next.logAssumed(n.log)
	n.viewChanged(n.keeper.View())
	n.log.Info().
		Int64("revocation-ms", int64(next.RevocationTimeout)).
		Int64("stop-grace-ms", int64(next.StopGrace)).
		Float64("retry-slack", next.RetrySlack).
		Msg("settings reloaded")
}

// relayUpdate sends an update of the platform's state to the hosts that follow
// this one.
func (n *Node) relayUpdate(u bmview.Update) {
	n.broker.Relay(u)
}

// viewChanged passes a new view to the services that keep a copy, and divides the
// retry slack among the hosts.
func (n *Node) viewChanged(v *bmview.View) {
	hosts := max(len(v.Hosts()), 1)
	n.retries.SetSlack(n.settings.Load().RetrySlack / float64(hosts+spareRetryHosts))
	n.broker.SetView(v)
	n.scheduler.SetView(v)
	known := map[string]bool{}
	for _, t := range v.AllTargets() {
		known[t.Name] = true
	}
	n.exchange.CloseIdleExcept(func(target string) bool { return known[target] })
	for _, name := range n.holdOffs.Forget(n.clock.Now(), func(target string) bool { return known[target] }) {
		n.log.Info().Str("target", name).Msg("target takes requests again")
	}
}

// recordNotice records what a target has said about further requests.
func (n *Node) recordNotice(target basilmoor.Target, notice bmholdoff.Notice) {
	if !n.holdOffs.Record(n.clock.Now(), target, notice) {
		return
	}
	if notice.Leaving {
		n.metrics.Add("holdoffs.leaving", 1)
	} else {
		n.metrics.Add("holdoffs.retry-after", 1)
	}
	n.log.Warn().
		Str("target", target.Name).
		Str("pool", target.Pool).
		Bool("leaving", notice.Leaving).
		Int64("retry-after-ms", int64(notice.RetryAfter)).
		Msg("target takes no requests from this host")
}

// spareRetryHosts is added to the number of hosts that share the retry slack. It
// covers hosts that have just started: they use their share before other hosts
// include them in the count.
const spareRetryHosts = 1

// Serve runs the node until stop ends, and then drains the requests in progress.
func (n *Node) Serve(stop context.Context) error {
	supervisor := suture.New("entry", suture.Spec{
		EventHook: n.logSupervisorEvent,
		Timeout:   time.Second,
	})
	for _, s := range []suture.Service{n.keeper, n.broker, n.scheduler, n.registrar, n.recorder, n.rollouts, n.peerServer, n.callerListener, n.readyListener, n.metricsListener} {
		supervisor.Add(s)
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	done := supervisor.ServeBackground(ctx)
	n.log.Info().Str("data-centre", n.settings.Load().DataCentre).Str("callers", n.settings.Load().CallersAddress).Msg("started")
	select {
	case err := <-done:
		return errors.Wrap(err, "supervisor ended")
	case <-stop.Done():
	}
	n.drain(ctx)
	cancel()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		return errors.Wrap(err, "supervisor ended")
	}
	n.log.Info().Msg("stopped")
	return nil
}

func (n *Node) logSupervisorEvent(e suture.Event) {
	n.log.Error().Fields(e.Map()).Str("event", e.String()).Msg("service failed")
}
