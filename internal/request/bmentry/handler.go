package bmentry

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmlistener"
	"basilmoor.example/basilmoor/internal/core/bmmemory"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmview"
	"basilmoor.example/basilmoor/internal/request/bmexchange"
	"basilmoor.example/basilmoor/internal/request/bmlimit"
)

// defaultTimeLimit applies if the caller declares no time limit.
const defaultTimeLimit = basilmoor.Minute

// ViewSource provides the host's view of the desired state and the age of the last
// proof that the view was current.
type ViewSource interface {
	View() *bmview.View
	Age() (basilmoor.Millis, bool)
}

// CrashSuspects tells which keys of requests the scheduler has convicted, because
// targets died while they ran requests with them.
type CrashSuspects interface {
	Suspect(key uint64) bool
}

// HoldOffs tells which targets must not be sent requests, because they said so. The
// times are on the host's clock.
type HoldOffs interface {
	// Blocks reports whether a target must not be sent a request.
	Blocks(now basilmoor.Millis, target basilmoor.Target) bool

	// Split returns the names of those targets that must not be sent requests. If
	// that are all of them, wait is the time until one may be sent requests again;
	// never is set if there is no such time.
	Split(now basilmoor.Millis, targets []basilmoor.Target) (blocked []string, wait basilmoor.Millis, never bool)
}

// Config holds the dependencies of a Handler.
type Config struct {
	Clock      basilmoor.Clock
	ViewSource ViewSource
	Protocol   Protocol
	Scheduler  basilmoor.Scheduler
	Exchange   *bmexchange.Client
	Retries    *RetryLimiter
	Crashes    CrashSuspects
	HoldOffs   HoldOffs
	Metrics    *bmmetrics.Registry
	Log        zerolog.Logger

	// MaxViewAge returns the age of the view from which requests that
	// need a key are rejected, because the key may have been revoked since.
	MaxViewAge func() basilmoor.Millis

	// BufferBytes bounds what all responses together keep in memory, beyond a small
	// part for each; 0 for a default.
	BufferBytes int64
}

// Handler is the HTTP handler for callers' requests. It is safe for concurrent
// use.
type Handler struct {
	cfg       Config
	estimator *outputEstimator
	buffers   *bufferBudget
	active    atomic.Int64

	drainTimes    atomic.Pointer[DrainTimes] // nil before a planned stop
	requestsEnded context.Context            // done once requests in progress are to end
	endRequests   context.CancelFunc
}

// New returns a handler.
func New(cfg Config) *Handler {
	h := &Handler{
		cfg:       cfg,
		estimator: newOutputEstimator(),
		buffers:   newBufferBudget(cfg.BufferBytes),
	}
	h.requestsEnded, h.endRequests = context.WithCancel(context.Background())
	return h
}

// Active returns the number of requests in progress.
func (h *Handler) Active() int {
	return int(h.active.Load())
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	c := &call{
		handler:   h,
		w:         w,
		r:         r,
		arrivedAt: h.cfg.Clock.Now(),
	}
	c.serve()
}

// ServeExcess refuses a request on a connection beyond the limit of the host, or one that
// was evicted from the memory budget, and closes the connection. The request has not run.
func (h *Handler) ServeExcess(w http.ResponseWriter, r *http.Request) {
	c := &call{
		handler:   h,
		w:         w,
		r:         r,
		arrivedAt: h.cfg.Clock.Now(),
	}
	if info, err := h.cfg.Protocol.Decode(r.Header); err == nil {
		c.info = info
	}
	w.Header().Set("Connection", "close")
	if bmlistener.AccountOf(r.Context()).Evicted() {
		c.finish(newRetryableError(basilmoor.ReasonNoMemory, shortRetryAfter, bmmemory.ErrNoRoom.Error()))
		return
	}
	c.finish(newRetryableError(basilmoor.ReasonTooManyConns, shortRetryAfter, "the host serves as many connections as it can"))
}

// call is the state of one caller's request. Only the goroutine that serves the
// request uses it.
type call struct {
	handler   *Handler
	w         http.ResponseWriter
	r         *http.Request
	arrivedAt basilmoor.Millis

	info          RequestInfo
	route         *bmrouting.Route
	pool          bmrouting.Pool
	workspace     *bmrouting.Workspace // nil unless a valid key was given
	configVersion int64                // of the desired state at admission
	body          []byte
	deadline      basilmoor.Millis // time at which the response is due

	demandCount     int              // demands made to the scheduler
	grantWait       basilmoor.Millis // total wait for grants
	sendCount       int              // sends that reached a target
	possibleRuns    int              // sends that the target may have run
	excludedTargets []string
	keys            []uint64 // of crashKeys, once computed
	lastTarget      string   // name of the target granted last
	refusalSource   basilmoor.RefusalSource
	status          int  // of the target's response that is relayed; 0 before
	endsWithConn    bool // the answer has no length or chunks: the caller sees its end in that of the connection
}

// serve admits and runs the request, and answers it if that fails.
func (c *call) serve() {
	err := c.admit()
	if err == nil {
		ctx, cancelEnd := withEnd(c.r.Context(), c.handler.requestsEnded, errDrained)
		defer cancelEnd()
		ctx, cancel := bmclock.WithTimeout(ctx, c.handler.cfg.Clock, c.timeLeft())
		defer cancel()
		err = c.sendWithRetries(ctx)
	}
	c.finish(err)
}

// finish logs the outcome of the request, and answers it if nothing was relayed.
// It panics with http.ErrAbortHandler to close the connection if neither a
// complete response nor an answer is possible.
func (c *call) finish(err error) {
	var answer *statusError
	switch {
	case err == nil:
		c.closeInOrder()
		c.logEnd("done", "", c.status)
	case errors.As(err, &answer):
		c.refusalSource = answer.Source
		c.logEnd("answered", answer.Reason, answer.Status)
		c.handler.cfg.Metrics.Refusal(answer.Reason)
		c.handler.cfg.Metrics.RefusalSource(answer.Source)
		answer.write(c.w, c.handler.cfg.Protocol, c.handler.draining())
	default:
		// Part of a response was relayed, or the caller disconnected.
		c.logEnd("broken", c.brokenReason(err), 0)
		panic(http.ErrAbortHandler)
	}
}

// logEnd counts and logs the outcome of the request.
func (c *call) logEnd(outcome string, reason basilmoor.Reason, status int) {
	cfg := &c.handler.cfg
	elapsed := cfg.Clock.Now() - c.arrivedAt
	cfg.Metrics.Add("requests."+outcome, 1)
	age, _ := cfg.ViewSource.Age()
	e := cfg.Log.Info()
	if outcome != "done" {
		e = cfg.Log.Warn()
	}
	if c.route != nil {
		e = e.Str("route", c.route.Name).Int("rank", c.route.Rank)
	}
	if c.workspace != nil {
		e = e.Str("workspace", c.workspace.Name)
	}
	c.logDrain(e).
		Str("request", c.info.ID).
		Str("outcome", outcome).
		Str("reason", string(reason)).
		Str("source", string(c.refusalSource)).
		Int("status", status).
		Str("target", c.lastTarget).
		Int("prompt-tokens", c.info.PromptTokens).
		Int("output-tokens", c.info.OutputTokens).
		Int("expected-tokens", c.info.ExpectedTokens).
		Int("sends", c.sendCount).
		Int64("waited-ms", int64(c.grantWait)).
		Int64("elapsed-ms", int64(elapsed)).
		Int64("limit-ms", int64(max(c.deadline-c.arrivedAt, 0))).
		Int64("config-version", c.configVersion).
		Int64("view-age-ms", int64(age)).
		Msg("request ended")
}

// admit validates and authenticates the request, reads its body and chooses its
// route and pool.
func (c *call) admit() error {
	cfg := &c.handler.cfg
	view := cfg.ViewSource.View()
	if view.Table == nil {
		return newRetryableError(basilmoor.ReasonNoConfiguration, shortRetryAfter, "no desired state yet")
	}
	table := view.Table
	info, err := cfg.Protocol.Decode(c.r.Header)
	if err != nil {
		return newFinalError(http.StatusBadRequest, basilmoor.ReasonMalformed, err.Error())
	}
	c.info = info
	if limit := table.Limits().HeaderBytes; limit > 0 && bmlimit.HeaderBytes(c.r) > limit {
		return newFinalError(http.StatusRequestHeaderFieldsTooLarge, basilmoor.ReasonTooLarge, "header over the limit")
	}
	if err := c.readBody(table); err != nil {
		return err
	}
	// The configuration may have changed while the body was read: a key or route that
	// was removed meanwhile must not be served.
	table = cfg.ViewSource.View().Table
	c.configVersion = table.Version()
	age, known := cfg.ViewSource.Age()
	stale := !known || age >= cfg.MaxViewAge()
	route, ok := table.Route(c.r.Host, c.r.URL.Path)
	if !ok {
		if stale {
			return newRetryableError(basilmoor.ReasonIsolated, shortRetryAfter, "no route, and the view is too old to be sure")
		}
		return newFinalError(http.StatusNotFound, basilmoor.ReasonUnknownKind, "no route")
	}
	c.route = route
	if err := c.authenticate(table, stale); err != nil {
		return err
	}
	c.pool, ok = table.Pool(route.PickPool(rand.Float64()))
	if !ok {
		return newRetryableError(basilmoor.ReasonNoTarget, shortRetryAfter, "the route's pool is not declared")
	}
	c.deadline = c.arrivedAt + c.timeLimit()
	return c.checkDrain()
}

// timeLimit returns the shorter of the caller's limit and the route's timeout.
func (c *call) timeLimit() basilmoor.Millis {
	limit := defaultTimeLimit
	if c.info.TimeLimit > 0 {
		limit = c.info.TimeLimit
	}
	if c.route.Timeout > 0 {
		limit = min(limit, c.route.Timeout)
	}
	return limit
}

// authenticate sets the workspace of the caller's key. While the view is stale
// the key may have been revoked: then only public routes are served, without a
// workspace.
func (c *call) authenticate(table *bmrouting.Table, stale bool) error {
	if !table.RequiresKeys() || c.route.Public && c.info.Key == "" {
		return nil
	}
	w, ok := table.WorkspaceByKey(c.info.Key)
	if stale && !c.route.Public {
		return newRetryableError(basilmoor.ReasonIsolated, shortRetryAfter, "the key may have been taken away")
	}
	if !ok && !c.route.Public {
		return newFinalError(http.StatusUnauthorized, basilmoor.ReasonUnauthorized, "unknown key")
	}
	if !stale {
		c.workspace = w
	}
	return nil
}

// readBody reads the whole body before the request is scheduled, so that no
// target gets a request whose caller disconnected while sending it.
func (c *call) readBody(table *bmrouting.Table) error {
	if c.r.ContentLength == 0 {
		return nil
	}
	limits := table.Limits()
	if c.r.ContentLength > limits.BodyBytes {
		bmlistener.DiscardRest(c.w, c.r.Body, limits.BodyBytes)
		return newFinalError(http.StatusRequestEntityTooLarge, basilmoor.ReasonTooLarge, "body over the limit")
	}
	controller := http.NewResponseController(c.w)
	if limits.HeaderTimeout > 0 {
		if err := controller.SetReadDeadline(bmclock.WallDeadline(bodyTimeout(limits))); err != nil {
			return errors.Wrap(err, "read deadline")
		}
	}
	var reader io.Reader = c.r.Body
	if c.r.ContentLength < 0 {
		reader = http.MaxBytesReader(c.w, c.r.Body, limits.BodyBytes)
	}
	account := bmlistener.AccountOf(c.r.Context())
	body, err := account.ReadBody(bmmemory.Body{
		Reader: reader,
		Size:   c.r.ContentLength,
		Limit:  limits.BodyBytes,
		Rank:   c.bodyRank(table),
	}, c.handler.cfg.Clock)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		bmlistener.DiscardRest(c.w, c.r.Body, limits.BodyBytes)
		return newFinalError(http.StatusRequestEntityTooLarge, basilmoor.ReasonTooLarge, "body over the limit")
	}
	if errors.Is(err, bmmemory.ErrNoRoom) {
		bmlistener.DiscardRest(c.w, c.r.Body, limits.BodyBytes)
		return newRetryableError(basilmoor.ReasonNoMemory, shortRetryAfter, err.Error())
	}
	if err != nil {
		return &callerLeftError{
			Err: err,
		}
	}
	c.body = body
	return errors.Wrap(controller.SetReadDeadline(bmclock.NoDeadline), "read deadline")
}

// routeRanks is the number of ranks of routes below one rank of a workspace, which takes
// precedence.
const routeRanks = 1 << 16

// bodyRank returns the rank by which the body gets memory. Requests that will be refused
// have the lowest.
func (c *call) bodyRank(table *bmrouting.Table) int {
	route, ok := table.Route(c.r.Host, c.r.URL.Path)
	if !ok {
		return math.MaxInt
	}
	w, known := table.WorkspaceByKey(c.info.Key)
	switch {
	case known:
		return min(w.Rank, routeRanks)*routeRanks + min(route.Rank, routeRanks-1)
	case table.RequiresKeys() && !route.Public:
		return math.MaxInt
	}
	return route.Rank
}

// bodyTimeout returns the time allowed for reading a body of any size: the header
// timeout for each of four header-sized parts.
func bodyTimeout(l bmrouting.Limits) basilmoor.Millis {
	return 4 * l.HeaderTimeout
}

// callerLeftError means that the caller disconnected before it got the whole
// response.
type callerLeftError struct {
	Err error
}

func (e *callerLeftError) Error() string {
	return "caller left: " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *callerLeftError) Unwrap() error {
	return e.Err
}

// failureReason classifies an error that ended a request.
func failureReason(err error) basilmoor.Reason {
	var left *callerLeftError
	if errors.As(err, &left) || errors.Is(err, context.Canceled) {
		return basilmoor.ReasonCallerLeft
	}
	var broken *bmexchange.BrokenError
	if errors.As(err, &broken) && broken.ContextDone {
		return basilmoor.ReasonTargetSilent
	}
	return basilmoor.ReasonTargetFailed
}

// brokenReason classifies an error that ended a request in the middle of its response.
func (c *call) brokenReason(err error) basilmoor.Reason {
	if c.handler.requestsEnded.Err() != nil && c.r.Context().Err() == nil {
		return basilmoor.ReasonStopping
	}
	return failureReason(err)
}
