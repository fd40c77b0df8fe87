package bmgateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/request/bmdispatch"
)

// Limiter admits the requests of a workspace.
type Limiter interface {
	// Admit returns a function that ends the admission, or a refusal.
	Admit(w basilmoor.Workspace) (func(), *basilmoor.Refusal)
}

// RetryBudget bounds retries to a share of the requests.
type RetryBudget interface {
	// Deposit counts a request.
	Deposit()

	// Withdraw reports whether a retry may be made, and counts it.
	Withdraw() bool
}

// Config holds what the gateway works with. Claimer, Crashes,
// Limiter, Retries and Isolated may be nil.
type Config struct {
	Host        string
	DataCentre  string
	Incarnation uint64

	Clock      basilmoor.Clock
	Catalogs   basilmoor.CatalogSource
	Scheduler  basilmoor.Scheduler
	Dispatcher *bmdispatch.Dispatcher
	Claimer    basilmoor.Claimer
	Crashes    basilmoor.CrashRegistry
	Limiter    Limiter
	Retries    RetryBudget
	Metrics    *bmmetrics.Registry
	Log        zerolog.Logger

	// TargetLeaves is told of a target that says itself that it takes no new
	// requests; nil if nobody is to know.
	TargetLeaves func(target string)

	// Isolated reports that the host can't know the configuration in effect.
	Isolated func() bool
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	cfg      Config
	recorder *recorder

	mu       sync.Mutex
	requests uint64 // requests seen, for their identifiers
	running  int
	stopping bool
	idle     chan struct{} // closed when stopping and nothing runs
	probes   sync.WaitGroup
}

var _ http.Handler = (*Gateway)(nil)

// New returns a gateway and a function that releases its resources. Stop must
// have returned before.
func New(cfg Config) (*Gateway, func()) {
	g := &Gateway{
		cfg:  cfg,
		idle: make(chan struct{}),
	}
	g.recorder = newRecorder(cfg)
	return g, g.close
}

func (g *Gateway) close() {
	g.recorder.close()
	g.probes.Wait()
}

// Server returns an HTTP server for the gateway with the bounds that the
// handler itself can't set. Headers between MaxHeaderBytes and twice of it are
// refused by the handler, so that the refusal tells the outcome.
func (g *Gateway) Server() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:           g,
		Protocols:         protocols,
		MaxHeaderBytes:    2 * MaxHeaderBytes,
		ReadHeaderTimeout: readTimeout.Duration(),
		IdleTimeout:       2 * time.Minute,
	}
}

// InProgress returns the number of requests that have not ended.
func (g *Gateway) InProgress() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

// Stop refuses new requests and waits until the running ones have ended and
// their claims are recorded, or until ctx ends.
func (g *Gateway) Stop(ctx context.Context) error {
	g.stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-g.idle:
	}
	return g.recorder.flush(ctx)
}

func (g *Gateway) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return
	}
	g.stopping = true
	if g.running == 0 {
		close(g.idle)
	}
}

// enter counts a request in and names it; false while stopping.
func (g *Gateway) enter() (basilmoor.RequestID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests++
	id := basilmoor.RequestID(fmt.Sprintf("%s-%d-%d", g.cfg.Host, g.cfg.Incarnation, g.requests))
	if g.stopping {
		return id, false
	}
	g.running++
	return id, true
}

func (g *Gateway) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.stopping && g.running == 0 {
		close(g.idle)
	}
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, ok := g.enter()
	w.Header().Set(bmdispatch.HeaderRequestID, string(id))
	if !ok {
		w.Header().Set("Connection", "close")
		g.refuse(w, notRun(basilmoor.ReasonStopping, "the host is stopping"))
		return
	}
	defer g.leave()
	c, refused := g.parse(w, r, id)
	if refused != nil {
		g.refuse(w, *refused)
		return
	}
	if !g.serve(r.Context(), c) {
		// The only way to end a response that broke off without a clean end.
		panic(http.ErrAbortHandler)
	}
}

func (g *Gateway) refuse(w http.ResponseWriter, p problem) {
	g.cfg.Metrics.Refusal(p.reason)
	g.cfg.Metrics.Outcome(p.outcome)
	p.write(w)
}
