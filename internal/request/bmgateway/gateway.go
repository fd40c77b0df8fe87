package bmgateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmlistener"
	"basilmoor.example/basilmoor/internal/core/bmmemory"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/request/bmdispatch"
)

// Limiter enforces the rate and concurrency limits of workspaces.
type Limiter interface {
	// Admit admits a request of w and returns the function that releases its
	// slot, or returns a refusal.
	Admit(w basilmoor.Workspace) (func(), *basilmoor.Refusal)
}

// RetryBudget limits retries to a fraction of the requests.
type RetryBudget interface {
	// Deposit credits the budget for one request.
	Deposit()

	// Withdraw debits one retry and reports whether the budget allowed it.
	Withdraw() bool
}

// Config holds the dependencies of a Gateway. Claimer, Crashes, Limiter,
// Retries, OnTargetLeaving and IsIsolated may be nil.
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

	// OnTargetLeaving is called when a target's response says that it accepts no
	// new requests.
	OnTargetLeaving func(target string)

	// IsIsolated reports whether the host can't tell which configuration is in
	// effect.
	IsIsolated func() bool
}

// Gateway is the HTTP handler for callers. It is safe for concurrent use.
type Gateway struct {
	cfg      Config
	recorder *recorder
	answers  *answerTimes

	announced context.Context // done when AnnounceStop was called
	announce  context.CancelFunc
	ended     context.Context // done when the requests in progress are to end
	end       context.CancelFunc
	cutCount  atomic.Int64 // running requests that EndRequests has ended

	mu           sync.Mutex
	requestCount uint64 // requests received; part of each request id
	inProgress   int
	stopEnd      basilmoor.Millis // time at which the process ends, if announced
	stopping     bool
	drained      chan struct{} // closed when stopping and no request is in progress
	crashProbes  sync.WaitGroup
}

var _ http.Handler = (*Gateway)(nil)

// New returns a gateway and a function that releases its resources, to be
// called after Stop has returned.
func New(cfg Config) (*Gateway, func()) {
	g := &Gateway{
		cfg:     cfg,
		answers: newAnswerTimes(),
		drained: make(chan struct{}),
	}
	g.recorder = newRecorder(cfg)
	g.announced, g.announce = context.WithCancel(context.Background())
	g.ended, g.end = context.WithCancel(context.Background())
	return g, g.close
}

func (g *Gateway) close() {
	g.announce()
	g.end()
	g.recorder.close()
	g.crashProbes.Wait()
}

// Server returns an HTTP server for the gateway with the limits that the
// handler can't enforce itself. The server accepts headers of up to twice
// MaxHeaderBytes, so that the handler can refuse those above MaxHeaderBytes
// with a response that states the outcome.
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

// InProgress returns the number of requests being served.
func (g *Gateway) InProgress() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inProgress
}

// beginRequest assigns an id to a new request and counts it as in progress. It
// returns false, and doesn't count the request, if the gateway is stopping.
func (g *Gateway) beginRequest() (basilmoor.RequestID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requestCount++
	id := basilmoor.RequestID(fmt.Sprintf("%s-%d-%d", g.cfg.Host, g.cfg.Incarnation, g.requestCount))
	if g.stopping {
		return id, false
	}
	g.inProgress++
	return id, true
}

func (g *Gateway) endRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inProgress--
	if g.stopping && g.inProgress == 0 {
		close(g.drained)
	}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, ok := g.beginRequest()
	w.Header().Set(bmdispatch.HeaderRequestID, string(id))
	if !ok {
		g.refuseStopping(w, "the host is stopping")
		return
	}
	defer g.endRequest()
	c, refused := g.parse(w, r, id)
	if refused != nil {
		g.writeRefusal(w, *refused)
		return
	}
	if g.mayOutlastStop(c) {
		g.refuseStopping(w, "the host may stop before the request has ended")
		return
	}
	if !g.serve(r.Context(), c) {
		// Aborts the connection, so that the caller sees a truncated response as
		// an error.
		panic(http.ErrAbortHandler)
	}
}

// ServeExcess refuses a request on a connection beyond the limit of the host, or one that
// was evicted from the memory budget, and closes the connection. The request has not run.
func (g *Gateway) ServeExcess(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	if bmlistener.AccountOf(r.Context()).Evicted() {
		g.writeRefusal(w, newNotRunProblem(basilmoor.ReasonNoMemory, bmmemory.ErrNoRoom.Error()))
		return
	}
	g.writeRefusal(w, newNotRunProblem(basilmoor.ReasonTooManyConns, "the host serves as many connections as it can"))
}

func (g *Gateway) writeRefusal(w http.ResponseWriter, p problem) {
	g.cfg.Metrics.Refusal(p.reason)
	g.cfg.Metrics.Outcome(p.outcome)
	p.write(w)
}
