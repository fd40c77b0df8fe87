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
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmview"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
	"basilmoor.example/basilmoor/internal/request/bmentry"
	"basilmoor.example/basilmoor/internal/request/bmexchange"
	"basilmoor.example/basilmoor/internal/schedule/bmgrant"
)

const (
	// proofMargin is the part of the bound for revoked keys that a request
	// may spend between its admission and its run, and by which a store that
	// forgets its history may hide a change from a watch.
	proofMargin basilmoor.Millis = 800

	// memoryShare is the share of the memory bound at which the runtime
	// collects garbage harder.
	memoryShare = 0.6

	// collectPercent lets the heap grow by this much between two collections.
	collectPercent = 100

	// idleBound closes callers' connections that are idle for longer. It
	// exceeds any limit that operators set, because a request that crosses
	// the close is lost.
	idleBound = 2 * basilmoor.Minute

	headerBytes   = 64 << 10
	headerTimeout = 10 * basilmoor.Second
)

// Parts are what the platform brings.
type Parts struct {
	Clock    basilmoor.Clock
	Metrics  *bmmetrics.Registry
	Store    basilmoor.Store
	Feed     bmview.Feed
	Protocol bmentry.Protocol
	Contract bmexchange.Contract
	// Registration returns the key and value under which a host registers.
	Registration func(m basilmoor.Member) (key string, value []byte, err error)
	// SpendingKey is the key of the record of what workspaces have spent.
	SpendingKey string
}

// Node is the process of an entry host.
type Node struct {
	settings atomic.Pointer[Settings]
	clock    basilmoor.Clock
	log      zerolog.Logger
	metrics  *bmmetrics.Registry

	keeper    *bmview.Keeper
	broker    *bmgrant.Broker
	scheduler *bmgrant.Client
	peers     *peerServer
	exchange  *bmexchange.Client
	retries   *bmentry.RetryLimiter
	handler   *bmentry.Handler
	registrar *registrar
	recorder  *bmgrant.Recorder

	callers *listener
	ready   *listener
	metric  *listener

	stopping chan struct{} // closed when the node leaves
	cleanups []func()
}

// New opens the listeners and makes the parts of a node. The returned function
// releases them; Serve must have returned before.
func New(s Settings, parts Parts, log zerolog.Logger) (*Node, func(), error) {
	n := &Node{
		clock:    parts.Clock,
		log:      log,
		metrics:  parts.Metrics,
		stopping: make(chan struct{}),
	}
	n.settings.Store(&s)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	debug.SetGCPercent(collectPercent)
	self := basilmoor.Member{
		Host:       s.Host,
		Address:    s.port(portPeers),
		DataCentre: s.DataCentre,
		Region:     s.Region,
		// Only the starts of one host are compared.
		Incarnation: uint64(bmclock.WallMillis()),
		Capacity:    s.capacity(),
	}
	n.keeper = bmview.NewKeeper(n.clock, parts.Feed, log, n.metrics, n.viewChanged, n.relay)
	n.broker = bmgrant.NewBroker(n.clock, n.keeper, bmcrash.New(n.clock), s.Tolerance, log)
	n.scheduler = bmgrant.NewClient(n.clock, self, n.broker, bmgrant.Options{
		Alone:     s.LocalScheduling,
		Restarted: !s.FirstStart,
	}, n.metrics, log)
	exchange, closeExchange := bmexchange.New(n.clock, parts.Contract, n.metrics)
	n.exchange = exchange
	n.onClose(closeExchange)
	n.retries = bmentry.NewRetryLimiter(n.clock, s.RetryRatio, s.RetryWindow)
	n.handler = bmentry.New(bmentry.Config{
		Clock:       n.clock,
		Views:       n.keeper,
		Protocol:    parts.Protocol,
		Scheduler:   n.scheduler,
		Exchange:    n.exchange,
		Retries:     n.retries,
		Crashes:     n.scheduler.Crashes(),
		Metrics:     n.metrics,
		Log:         log,
		MaxProofAge: func() basilmoor.Millis { return n.settings.Load().maxProofAge() },
	})
	n.registrar = newRegistrar(n.clock, parts.Store, s.MinLease, func() (string, []byte, error) { return parts.Registration(self) }, log)
	n.recorder = bmgrant.NewRecorder(n.clock, parts.Store, parts.SpendingKey, n.broker, log)
	if err := n.listen(s); err != nil {
		n.close()
		return nil, nil, err
	}
	return n, n.close, nil
}

func (n *Node) listen(s Settings) error {
	callers := &http.Server{
		Handler:           n.handler,
		ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout:       idleBound.Duration(),
		MaxHeaderBytes:    headerBytes,
	}
	var err error
	if n.callers, err = newListener(s.CallersAddress, callers); err != nil {
		return errors.Wrap(err, "callers")
	}
	n.onClose(n.callers.close)
	if n.ready, err = newListener(s.ReadyAddress, &http.Server{
		Handler:           http.HandlerFunc(n.serveReady),
		ReadHeaderTimeout: headerTimeout.Duration(),
	}); err != nil {
		return errors.Wrap(err, "readiness")
	}
	n.onClose(n.ready.close)
	if n.metric, err = newListener(s.metricsAddress(), &http.Server{
		Handler:           http.HandlerFunc(n.serveMetrics),
		ReadHeaderTimeout: headerTimeout.Duration(),
	}); err != nil {
		return errors.Wrap(err, "metrics")
	}
	n.onClose(n.metric.close)
	if n.peers, err = newPeerServer(s.port(portPeers), n.broker); err != nil {
		return errors.Wrap(err, "other hosts")
	}
	n.onClose(n.peers.close)
	return nil
}

func (n *Node) onClose(f func()) {
	n.cleanups = append(n.cleanups, f)
}

func (n *Node) close() {
	for i := len(n.cleanups) - 1; i >= 0; i-- {
		n.cleanups[i]()
	}
}

// Reload takes over the bounds of new settings. Addresses, the name of the host
// and the limits of the process stay as they were at the start.
func (n *Node) Reload(s Settings) {
	next := *n.settings.Load()
	next.Revocation = s.Revocation
	next.StopGrace = s.StopGrace
	next.RetrySlack = s.RetrySlack
	n.settings.Store(&next)
	n.viewChanged(n.keeper.View())
	n.log.Info().
		Int64("revocation-ms", int64(next.Revocation)).
		Int64("stop-grace-ms", int64(next.StopGrace)).
		Float64("retry-slack", next.RetrySlack).
		Msg("settings reloaded")
}

// relay passes a step of the platform's state on to the hosts that follow this
// one.
func (n *Node) relay(u bmview.Update) {
	n.broker.Relay(u)
}

// viewChanged passes a new view on to the parts that keep a copy.
func (n *Node) viewChanged(v *bmview.View) {
	hosts := max(len(v.Hosts()), 1)
	n.retries.SetSlack(n.settings.Load().RetrySlack / float64(hosts+retrySpare))
	n.broker.SetView(v)
	n.scheduler.SetView(v)
	known := map[string]bool{}
	for _, t := range v.AllTargets() {
		known[t.Name] = true
	}
	n.exchange.Forget(func(target string) bool { return known[target] })
}

// retrySpare leaves room in the retry budget of all hosts for hosts that have
// just started and count themselves before others count them.
const retrySpare = 1

// Serve runs the node until stop ends, then lets the requests in progress end.
func (n *Node) Serve(stop context.Context) error {
	supervisor := suture.New("entry", suture.Spec{
		EventHook: n.logEvent,
		Timeout:   time.Second,
	})
	for _, s := range []suture.Service{n.keeper, n.broker, n.scheduler, n.registrar, n.recorder, n.peers, n.callers, n.ready, n.metric} {
		supervisor.Add(s)
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	done := supervisor.ServeBackground(ctx)
	n.log.Info().Str("data-centre", n.settings.Load().DataCentre).Str("callers", n.settings.Load().CallersAddress).Msg("started")
	select {
	case err := <-done:
		return errors.Wrap(err, "services ended")
	case <-stop.Done():
	}
	n.drain(ctx)
	cancel()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		return errors.Wrap(err, "services ended")
	}
	n.log.Info().Msg("stopped")
	return nil
}

func (n *Node) logEvent(e suture.Event) {
	n.log.Error().Fields(e.Map()).Str("event", e.String()).Msg("service failed")
}
