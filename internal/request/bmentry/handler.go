package bmentry

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmview"
	"basilmoor.example/basilmoor/internal/request/bmexchange"
	"basilmoor.example/basilmoor/internal/request/bmlimit"
)

// defaultTimeLimit bounds requests whose caller and route give no limit.
const defaultTimeLimit = basilmoor.Minute

// Views gives the host's view of the platform and the age of its proof.
type Views interface {
	View() *bmview.View
	Age() (basilmoor.Millis, bool)
}

// Config are the parts that a Handler works with.
type Config struct {
	Clock     basilmoor.Clock
	Views     Views
	Protocol  Protocol
	Scheduler basilmoor.Scheduler
	Exchange  *bmexchange.Client
	Retries   *RetryLimiter
	Crashes   basilmoor.CrashRegistry
	Metrics   *bmmetrics.Registry
	Log       zerolog.Logger

	// MaxProofAge returns the age of the view's proof from which keyed requests
	// are refused, because their key may have been taken away.
	MaxProofAge func() basilmoor.Millis
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	cfg      Config
	expected *expectations
	closing  atomic.Bool
	active   atomic.Int64
}

// New returns a handler.
func New(cfg Config) *Handler {
	return &Handler{
		cfg:      cfg,
		expected: newExpectations(),
	}
}

// Close makes every answer announce that its connection ends with it.
func (h *Handler) Close() {
	h.closing.Store(true)
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
		handler: h,
		w:       w,
		r:       r,
		arrived: h.cfg.Clock.Now(),
	}
	c.serve()
}

// call is one request of a caller on its way through the system. It belongs to
// the goroutine that serves it.
type call struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	arrived basilmoor.Millis

	attempt   Attempt
	route     *bmrouting.Route
	pool      bmrouting.Pool
	workspace *bmrouting.Workspace // nil without a key
	version   int64                // of the desired state that admitted it
	body      []byte
	limit     basilmoor.Millis // instant at which the answer is due

	demands  int              // made to the scheduler
	waited   basilmoor.Millis // for grants
	sends    int              // handed to a target
	runs     int              // sends that may have run
	excluded []string
	target   string // of the last send
}

func (c *call) serve() {
	err := c.admit()
	if err == nil {
		ctx, cancel := bmclock.WithTimeout(c.r.Context(), c.handler.cfg.Clock, c.limit-c.arrived)
		defer cancel()
		err = c.run(ctx)
	}
	c.finish(err)
}

// finish answers a request that got no response, and records its end.
func (c *call) finish(err error) {
	var answer *answerError
	switch {
	case err == nil:
		c.record("done", "", http.StatusOK)
	case errors.As(err, &answer):
		c.record("answered", answer.Reason, answer.Status)
		c.handler.cfg.Metrics.Refusal(answer.Reason)
		answer.write(c.w, c.handler.cfg.Protocol, c.handler.closing.Load())
	default:
		// Part of a response was sent, or the caller has left.
		c.record("broken", reasonOf(err), 0)
		panic(http.ErrAbortHandler)
	}
}

// record logs the end of a request with what decided it.
func (c *call) record(outcome string, reason basilmoor.Reason, status int) {
	cfg := &c.handler.cfg
	elapsed := cfg.Clock.Now() - c.arrived
	cfg.Metrics.Add("requests."+outcome, 1)
	age, _ := cfg.Views.Age()
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
	e.Str("request", c.attempt.ID).
		Str("outcome", outcome).
		Str("reason", string(reason)).
		Int("status", status).
		Str("target", c.target).
		Int("prompt-tokens", c.attempt.PromptTokens).
		Int("output-tokens", c.attempt.OutputTokens).
		Int("expected-tokens", c.attempt.ExpectedTokens).
		Int("sends", c.sends).
		Int64("waited-ms", int64(c.waited)).
		Int64("elapsed-ms", int64(elapsed)).
		Int64("config-version", c.version).
		Int64("view-age-ms", int64(age)).
		Msg("request ended")
}

// admit decides whether the request may be scheduled, and reads its body.
func (c *call) admit() error {
	cfg := &c.handler.cfg
	view := cfg.Views.View()
	if view.Table == nil {
		return notRun(basilmoor.ReasonNoConfiguration, shortRetry, "no desired state yet")
	}
	table := view.Table
	c.version = table.Version()
	attempt, err := cfg.Protocol.Decode(c.r.Header)
	if err != nil {
		return finalAnswer(http.StatusBadRequest, basilmoor.ReasonMalformed, err.Error())
	}
	c.attempt = attempt
	if limit := table.Limits().HeaderBytes; limit > 0 && bmlimit.HeaderBytes(c.r) > limit {
		return finalAnswer(http.StatusRequestHeaderFieldsTooLarge, basilmoor.ReasonTooLarge, "header over the limit")
	}
	if err := c.readBody(table.Limits()); err != nil {
		return err
	}
	age, known := cfg.Views.Age()
	stale := !known || age >= cfg.MaxProofAge()
	route, ok := table.Route(c.r.Host, c.r.URL.Path)
	if !ok {
		if stale {
			return notRun(basilmoor.ReasonIsolated, shortRetry, "no route, and the view is too old to be sure")
		}
		return finalAnswer(http.StatusNotFound, basilmoor.ReasonUnknownKind, "no route")
	}
	c.route = route
	if err := c.authenticate(table, stale); err != nil {
		return err
	}
	c.pool, ok = table.Pool(route.Choose(rand.Float64()))
	if !ok {
		return notRun(basilmoor.ReasonNoTarget, shortRetry, "the route's pool is not declared")
	}
	c.limit = c.arrived + c.timeLimit()
	return nil
}

// timeLimit is the shorter of the caller's and the route's limit.
func (c *call) timeLimit() basilmoor.Millis {
	limit := defaultTimeLimit
	if c.attempt.TimeLimit > 0 {
		limit = c.attempt.TimeLimit
	}
	if c.route.Timeout > 0 {
		limit = min(limit, c.route.Timeout)
	}
	return limit
}

// authenticate finds the workspace of the caller's key.
func (c *call) authenticate(table *bmrouting.Table, stale bool) error {
	if !table.RequiresKeys() || c.route.Public && c.attempt.Key == "" {
		return nil
	}
	w, ok := table.WorkspaceByKey(c.attempt.Key)
	if stale && !c.route.Public {
		return notRun(basilmoor.ReasonIsolated, shortRetry, "the key may have been taken away")
	}
	if !ok && !c.route.Public {
		return finalAnswer(http.StatusUnauthorized, basilmoor.ReasonUnauthorized, "unknown key")
	}
	if !stale {
		c.workspace = w
	}
	return nil
}

// readBody reads the whole body, so that no target sees a request that its
// caller broke off.
func (c *call) readBody(limits bmrouting.Limits) error {
	if c.r.ContentLength == 0 {
		return nil
	}
	if c.r.ContentLength > limits.BodyBytes {
		return finalAnswer(http.StatusRequestEntityTooLarge, basilmoor.ReasonTooLarge, "body over the limit")
	}
	controller := http.NewResponseController(c.w)
	if limits.HeaderTimeout > 0 {
		if err := controller.SetReadDeadline(bmclock.WallAfter(bodyTimeout(limits))); err != nil {
			return errors.Wrap(err, "read deadline")
		}
	}
	var body []byte
	var err error
	if n := c.r.ContentLength; n > 0 {
		body = make([]byte, n)
		_, err = io.ReadFull(c.r.Body, body)
	} else {
		body, err = io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limits.BodyBytes))
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return finalAnswer(http.StatusRequestEntityTooLarge, basilmoor.ReasonTooLarge, "body over the limit")
	}
	if err != nil {
		return &callerLeftError{
			Err: err,
		}
	}
	c.body = body
	return errors.Wrap(controller.SetReadDeadline(bmclock.NoDeadline), "read deadline")
}

// bodyTimeout bounds the time in which a body has to arrive. Callers get the
// time of a header for each part of the body that is as large as one.
func bodyTimeout(l bmrouting.Limits) basilmoor.Millis {
	return 4 * l.HeaderTimeout
}

// callerLeftError tells that a caller broke off its request.
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

func reasonOf(err error) basilmoor.Reason {
	var left *callerLeftError
	if errors.As(err, &left) || errors.Is(err, context.Canceled) {
		return basilmoor.ReasonCallerLeft
	}
	var broken *bmexchange.BrokenError
	if errors.As(err, &broken) && broken.Silent {
		return basilmoor.ReasonTargetSilent
	}
	return basilmoor.ReasonTargetFailed
}
