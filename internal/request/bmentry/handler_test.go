package bmentry

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmrouting"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmview"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
	"basilmoor.example/basilmoor/internal/request/bmexchange"
	"basilmoor.example/basilmoor/internal/schedule/bmholdoff"
)

// testViews returns a fixed view with a settable age.
type testViews struct {
	view *bmview.View
	age  basilmoor.Millis
}

func (v *testViews) View() *bmview.View { return v.view }

func (v *testViews) Age() (basilmoor.Millis, bool) { return v.age, true }

// testScheduler grants the first target that is not excluded, or refuses if
// there is none. It records the demands and the observed stages.
type testScheduler struct {
	targets []basilmoor.Target
	full    bool             // no demand is granted
	reason  basilmoor.Reason // of refusals; deadline if empty

	mu      sync.Mutex
	demands []basilmoor.Demand
	stages  []basilmoor.Stage

	// observed, if set, is called with each observation.
	observed func(o basilmoor.Observation)
}

func (s *testScheduler) Acquire(ctx context.Context, d basilmoor.Demand) (basilmoor.Permit, error) {
	s.mu.Lock()
	s.demands = append(s.demands, d)
	s.mu.Unlock()
	if s.full {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for _, t := range s.targets {
		if !strings.Contains(strings.Join(d.Excluded, " "), t.Name) {
			return &testPermit{
				scheduler: s,
				target:    t,
			}, nil
		}
	}
	return nil, &basilmoor.RefusalError{
		Refusal: basilmoor.Refusal{
			Reason:     cmp.Or(s.reason, basilmoor.ReasonDeadline),
			RetryAfter: 700,
		},
	}
}

func (s *testScheduler) observedStages() []basilmoor.Stage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.stages)
}

func (s *testScheduler) demandCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.demands)
}

type testPermit struct {
	scheduler *testScheduler
	target    basilmoor.Target
}

func (p *testPermit) Target() basilmoor.Target { return p.target }

func (p *testPermit) Valid() bool { return true }

func (p *testPermit) Observe(o basilmoor.Observation) {
	p.scheduler.mu.Lock()
	defer p.scheduler.mu.Unlock()
	p.scheduler.stages = append(p.scheduler.stages, o.Stage)
	if p.scheduler.observed != nil {
		p.scheduler.observed(o)
	}
}

// Behaviours of test targets.
const (
	answersOK        = "ok"
	answers500       = "500"
	answersUnsigned  = "unsigned" // reports success without a signature
	refuses          = "refuses"
	breaksOff        = "breaks off"                   // closes the connection without a response
	breaksStream     = "breaks its stream"            // closes the connection after two and a half events
	endsInEvent      = "ends-in-event"                // a stream that ends in the middle of its third event, on a sound connection
	endlessEvent     = "endless-event"                // a stream whose third event has no end
	streamsRemaining = "streams the remaining events" // sends the events after Last, up to id 4
	unreachable      = "unreachable"
	dies             = "dies"               // breaks off and refuses new connections
	diesInStream     = "dies in its stream" // like breaksStream, and refuses new connections
	silent           = "silent"             // runs without a response
	silentInStream   = "silent in its stream"
	unframed         = "unframed"           // a stream that ends with the connection
	unframedEmpty    = "unframed and empty" // the same without an event
	diesUnframed     = "dies unframed"      // like unframed, and refuses new connections
)

// testFleet is a handler with targets of given behaviours, which the scheduler
// grants in order.
type testFleet struct {
	holdOffs  *bmholdoff.Table
	url       string
	close     func() // stops the server after its requests have ended
	drop      func() // closes the callers' connections, as the end of the process does
	scheduler *testScheduler
	views     *testViews
	retries   *RetryLimiter
	crashes   *bmcrash.Registry
	metrics   *bmmetrics.Registry
	handler   *Handler

	acceptTime atomic.Int64 // that the handler sees of new connections; 0 for the time of the clock
	log        bytes.Buffer // read only after the request has ended

	mu   sync.Mutex
	runs []string // target and Last header of each run, in order
}

func newTestFleet(t *testing.T, behaviours ...string) *testFleet {
	t.Helper()
	return newTestFleetWithClock(t, bmclock.NewSystem(), behaviours...)
}

func newTestFleetWithClock(t *testing.T, clock basilmoor.Clock, behaviours ...string) *testFleet {
	t.Helper()
	f := &testFleet{
		scheduler: &testScheduler{},
		views: &testViews{
			view: &bmview.View{
				Table: testTable("k"),
			},
		},
	}
	for i, b := range behaviours {
		f.scheduler.targets = append(f.scheduler.targets, basilmoor.Target{
			Name:    fmt.Sprint("t", i),
			Address: f.startTarget(t, fmt.Sprint("t", i), b),
		})
	}
	metrics := bmmetrics.NewRegistry()
	f.metrics = metrics
	f.holdOffs = bmholdoff.New()
	exchange, closeExchange := bmexchange.New(bmexchange.Config{
		Clock:     clock,
		Inspector: testProtocol{},
		Metrics:   metrics,
		MaxConns:  100,
	})
	t.Cleanup(closeExchange)
	f.retries = NewRetryLimiter(clock, 0, basilmoor.Minute)
	f.retries.SetSlack(100)
	f.crashes = bmcrash.New(clock)
	f.handler = New(Config{
		Clock:      clock,
		Crashes:    f.crashes,
		HoldOffs:   f.holdOffs,
		ViewSource: f.views,
		Protocol:   testProtocol{},
		Scheduler:  f.scheduler,
		Exchange:   exchange,
		Retries:    f.retries,
		Metrics:    metrics,
		Log:        zerolog.New(zerolog.SyncWriter(&f.log)),
		MaxViewAge: func() basilmoor.Millis { return 4000 },
	})
	server := httptest.NewUnstartedServer(f.handler)
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		accepted := basilmoor.Millis(f.acceptTime.Load())
		if accepted == 0 {
			accepted = clock.Now()
		}
		return WithConn(ctx, c, accepted)
	}
	server.Start()
	t.Cleanup(server.Close)
	f.url = server.URL
	f.close = server.Close
	f.drop = server.CloseClientConnections
	return f
}

// testTable returns a table with one workspace, whose key is given.
func testTable(key string) *bmrouting.Table {
	pools := []bmrouting.WeightedPool{
		{
			Pool:   "p",
			Weight: 1,
		},
	}
	return bmrouting.NewTable(bmrouting.Content{
		Limits: bmrouting.Limits{
			BodyBytes:   100,
			HeaderBytes: 1000,
		},
		Routes: []bmrouting.Route{
			{Host: "127.0.0.1", Prefix: "/once/", MaxAttempts: 3, Pools: pools},
			{Host: "127.0.0.1", Prefix: "/again/", MaxAttempts: 2, RetryPolicy: bmrouting.RetryWhole, Pools: pools},
			{Host: "127.0.0.1", Prefix: "/stream/", MaxAttempts: 2, Streaming: true, Pools: pools},
			{Host: "127.0.0.1", Prefix: "/resume/", MaxAttempts: 2, Streaming: true, RetryPolicy: bmrouting.RetryResume, Pools: pools},
			{Host: "127.0.0.1", Prefix: "/public/", MaxAttempts: 1, Public: true, Pools: pools},
		},
		Workspaces: []bmrouting.Workspace{{Name: "w", Keys: []string{key}}},
		Pools:      []bmrouting.Pool{{Name: "p"}},
	})
}

func (f *testFleet) startTarget(t *testing.T, name, behaviour string) string {
	if behaviour == unreachable {
		return "127.0.0.1:1"
	}
	server := httptest.NewUnstartedServer(nil)
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if behaviour != refuses {
			f.recordRun(name, r)
		}
		if behaviour == dies || behaviour == diesInStream || behaviour == diesUnframed {
			_ = server.Listener.Close()
		}
		serveBehaviour(w, r, behaviour)
	})
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// endlessData is a part of an event without an end.
var endlessData = bytes.Repeat([]byte("x"), 64<<10)

func serveBehaviour(w http.ResponseWriter, r *http.Request, behaviour string) {
	switch behaviour {
	case answersOK:
		fmt.Fprintf(w, "from %s for %q", r.Header.Get("Target"), r.Header.Get("Workspace"))
	case answersUnsigned:
		w.Header().Set("Unsigned", "1")
		fmt.Fprint(w, "id: 1\ndata: x\n\n")
	case answers500:
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, "own failure")
	case refuses:
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case unframed, unframedEmpty, diesUnframed:
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		body := ""
		if behaviour != unframedEmpty {
			body = "id: 1\ndata: x\n\n"
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n%s", body)
	case silent:
		// The server notices a closed connection once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	case silentInStream:
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	case breaksOff, dies:
		panic(http.ErrAbortHandler)
	case breaksStream, diesInStream:
		fmt.Fprint(w, "id: 1\ndata: id:9\n\nid: 2\ndata: b\n\nid: 3\nda")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case endsInEvent:
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: id:9\n\nid: 2\ndata: b\n\nid: 3\nda")
		_ = http.NewResponseController(w).Flush()
	case endlessEvent:
		fmt.Fprint(w, "id: 1\ndata: id:9\n\nid: 2\ndata: b\n\nid: 3\ndata: ")
		for range 64 * maxEventBytes / len(endlessData) {
			if _, err := w.Write(endlessData); err != nil {
				return
			}
		}
	case streamsRemaining:
		w.Header().Set("Content-Type", "text/event-stream")
		last := 0
		_, _ = fmt.Sscan(r.Header.Get("Last"), &last)
		for id := last + 1; id <= 4; id++ {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
		}
	}
}

// recordRun records the target and the Last header of a run.
func (f *testFleet) recordRun(target string, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, strings.TrimSpace(target+" "+r.Header.Get("Last")))
}

// ran returns the target and Last header of each run.
func (f *testFleet) ran() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs
}

// post sends a request with a key, and returns the status, the body and the
// error of reading the body.
func (f *testFleet) post(t *testing.T, path, key string) (int, string, error) {
	t.Helper()
	return f.postWithLimit(t, path, key, 0)
}

// postWithLimit sends a request with a time limit, 0 for none.
func (f *testFleet) postWithLimit(t *testing.T, path, key string, limit basilmoor.Millis) (int, string, error) {
	t.Helper()
	status, _, body, err := f.postForHeader(t, path, key, limit)
	return status, body, err
}

// postForHeader sends a request like postWithLimit and also returns the header of the
// response.
func (f *testFleet) postForHeader(t *testing.T, path, key string, limit basilmoor.Millis) (int, http.Header, string, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, f.url+path, strings.NewReader("body"))
	require.NoError(t, err)
	r.Header.Set("Id", "1")
	r.Header.Set("Key", key)
	r.Header.Set("Limit", fmt.Sprint(int64(limit)))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(body), err
}

// A request must not run more often than its route allows, and the status must
// match what happened to it.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		path       string
		behaviours []string
		status     int // 502 if a target may have run the request
		runs       []string
	}{
		"answered":                                 {path: "/once/x", behaviours: []string{answersOK}, status: 200, runs: []string{"t0"}},
		"once: a 500 is final":                     {path: "/once/x", behaviours: []string{answers500, answersOK}, status: 500, runs: []string{"t0"}},
		"once: broken connection":                  {path: "/once/x", behaviours: []string{breaksOff, answersOK}, status: 502, runs: []string{"t0"}},
		"once: retried after a refusal":            {path: "/once/x", behaviours: []string{refuses, answersOK}, status: 200, runs: []string{"t1"}},
		"once: refused by all targets":             {path: "/once/x", behaviours: []string{refuses, refuses}, status: 503},
		"once: retried after a failed connection":  {path: "/once/x", behaviours: []string{unreachable, answersOK}, status: 200, runs: []string{"t1"}},
		"once: no target":                          {path: "/once/x", status: 503},
		"again: retried after a 500":               {path: "/again/x", behaviours: []string{answers500, answersOK}, status: 200, runs: []string{"t0", "t1"}},
		"again: the last 500 is relayed":           {path: "/again/x", behaviours: []string{answers500, answers500, answersOK}, status: 500, runs: []string{"t0", "t1"}},
		"again: retried after a broken connection": {path: "/again/x", behaviours: []string{breaksOff, answersOK}, status: 200, runs: []string{"t0", "t1"}},
		"once: a success without a signature":      {path: "/once/x", behaviours: []string{answersUnsigned, answersOK}, status: 502, runs: []string{"t0"}},
		"again: a success without a signature":     {path: "/again/x", behaviours: []string{answersUnsigned, answersOK}, status: 200, runs: []string{"t0", "t1"}},
		"stream: without a signature":              {path: "/stream/x", behaviours: []string{answersUnsigned}, status: 502, runs: []string{"t0"}},
		"again: run, then refused":                 {path: "/again/x", behaviours: []string{breaksOff, refuses}, status: 502, runs: []string{"t0"}},
		"again: run, then no target":               {path: "/again/x", behaviours: []string{breaksOff}, status: 502, runs: []string{"t0"}},
		"stream: broken before the first event":    {path: "/stream/x", behaviours: []string{breaksOff, streamsRemaining}, status: 502, runs: []string{"t0"}},
		"stream: complete":                         {path: "/stream/x", behaviours: []string{streamsRemaining}, status: 200, runs: []string{"t0"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, tt.behaviours...)
			status, _, err := f.post(t, tt.path, "k")
			require.NoError(t, err)
			require.Equal(t, tt.status, status)
			require.Equal(t, tt.runs, f.ran())
		})
	}
}

// Guards against a request that crashes targets and is retried through the fleet
// once the scheduler has convicted it, against deaths under it that the scheduler
// does not learn of, and against holding it back after what this host alone has seen:
// targets that fail at once may all run the same sound request.
func TestRequestThatCrashesTargets(t *testing.T) {
	tests := map[string]struct {
		behaviour string
		deaths    int // reported to the scheduler
	}{
		"targets die":       {behaviour: dies, deaths: 2},
		"targets break off": {behaviour: breaksOff},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, tt.behaviour, tt.behaviour, answersOK)
			deaths := 0
			f.scheduler.observed = func(o basilmoor.Observation) {
				if o.TargetDied {
					deaths++
				}
			}
			again := func(path string) int {
				status, _, err := f.post(t, path, "k")
				require.NoError(t, err)
				return status
			}
			require.Equal(t, http.StatusBadGateway, again("/again/x"))
			f.scheduler.targets = f.scheduler.targets[2:]
			require.Equal(t, http.StatusOK, again("/again/other"))
			require.Equal(t, http.StatusOK, again("/again/x"))
			digests := map[uint64]int{}
			for _, d := range f.scheduler.demands {
				digests[d.CrashKeys[0]]++
			}
			digest := f.scheduler.demands[0].CrashKeys[0]
			require.Equal(t, 3, digests[digest], "the same request has another key")
			require.Len(t, digests, 2, "another request has the same key")
			for _, target := range []string{"t0", "t1", "t2"} {
				f.crashes.RecordCrash(digest, target)
			}
			require.Equal(t, http.StatusServiceUnavailable, again("/again/x"))
			require.Equal(t, http.StatusOK, again("/again/other"))
			require.Equal(t, []string{"t0", "t1", "t2", "t2", "t2"}, f.ran())
			f.close()
			require.Equal(t, tt.deaths, deaths)
		})
	}
}

// eventTimeout bounds the wait for events without a specified bound.
const eventTimeout = 20 * time.Second

// The handler must not send more retries than the retry limiter allows.
func TestRetryLimit(t *testing.T) {
	f := newTestFleet(t, answers500, answersOK)
	f.retries.SetSlack(1)
	for _, want := range []int{200, 500, 500} {
		status, _, err := f.post(t, "/again/x", "k")
		require.NoError(t, err)
		require.Equal(t, want, status)
	}
}

// endOfRequest returns the only line of the log that tells the end of a request.
func endOfRequest(t *testing.T, log io.Reader) map[string]any {
	t.Helper()
	var ends []map[string]any
	for lines := json.NewDecoder(log); lines.More(); {
		var line map[string]any
		require.NoError(t, lines.Decode(&line))
		if line["message"] == "request ended" {
			ends = append(ends, line)
		}
	}
	require.Len(t, ends, 1)
	return ends[0]
}

// The log line of a request must have the fields that docs/OPERATIONS.md uses to
// find the cause of a failure.
func TestLogLineOfARequest(t *testing.T) {
	tests := map[string]struct {
		behaviours []string
		age        basilmoor.Millis
		want       map[string]any
	}{
		"no target available": {
			want: map[string]any{
				"reason": "deadline",
				"status": 503.0,
				"sends":  0.0,
				"target": "",
			},
		},
		"lost response": {
			behaviours: []string{breaksOff},
			want: map[string]any{
				"reason": "target-failed",
				"status": 502.0,
				"sends":  1.0,
				"target": "t0",
			},
		},
		"relayed failure": {
			behaviours: []string{answers500},
			want: map[string]any{
				"outcome": "done",
				"status":  500.0,
				"sends":   1.0,
				"target":  "t0",
			},
		},
		"old view": {
			age: 4000,
			want: map[string]any{
				"reason":      "isolated",
				"status":      503.0,
				"sends":       0.0,
				"view-age-ms": 4000.0,
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, tt.behaviours...)
			f.views.age = tt.age
			_, _, err := f.post(t, "/once/x", "k")
			require.NoError(t, err)
			f.close()
			line := endOfRequest(t, &f.log)
			for field, value := range tt.want {
				require.Equal(t, value, line[field], field)
			}
			for _, field := range []string{"request", "route", "rank", "outcome", "waited-ms", "elapsed-ms", "limit-ms", "config-version", "view-age-ms", "prompt-tokens", "output-tokens", "expected-tokens"} {
				require.Contains(t, line, field)
			}
		})
	}
}
