package bmmeasure

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/proof/bmcaller"
	"basilmoor.example/basilmoor/internal/request/bmdispatch"
	"basilmoor.example/basilmoor/internal/request/bmgateway"
)

const (
	entryModel             = "m"
	entryToken             = "capacity"
	requestsPerMeasurement = 40
)

// Entry measures the processor time of a request on an entry host over loopback
// connections. It includes the caller and the target, which run in the same
// process, so the values are upper bounds.
func Entry() ([]Series, error) {
	e, cleanup, err := newEntryHost()
	if err != nil {
		return nil, err
	}
	defer cleanup()
	s := Series{
		Role:       "entry (data)",
		Cost:       "processor time per streamed request, ns, caller and target included",
		Size:       "output tokens",
		Mechanism:  "gateway and dispatcher, event stream over HTTP/1.1",
		DesignSize: 500,
	}
	for _, n := range []int{100, 200, 400, 800} {
		v, err := e.cpuTimePerRequest(n)
		if err != nil {
			return nil, err
		}
		s.Points = append(s.Points, newPoint(n, v))
	}
	return []Series{s}, nil
}

// entryHost is a gateway with a caller and a target that responds immediately.
type entryHost struct {
	server *httptest.Server
	caller *bmcaller.Caller
}

func newEntryHost() (*entryHost, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	target := &instantTarget{
		listener: listener,
	}
	go target.run()
	clock := bmclock.NewSystem()
	dispatcher, closeDispatcher := bmdispatch.New(clock, bmdispatch.DefaultSettings())
	gateway, closeGateway := bmgateway.New(bmgateway.Config{
		Host:     "entry-1",
		Clock:    clock,
		Catalogs: fixedCatalog{},
		Scheduler: instantScheduler{
			address: listener.Addr().String(),
		},
		Dispatcher: dispatcher,
		Metrics:    bmmetrics.NewRegistry(),
		Log:        zerolog.Nop(),
	})
	e := &entryHost{
		server: httptest.NewServer(gateway),
	}
	var closeCaller func()
	e.caller, closeCaller = bmcaller.New(clock, entryToken)
	cleanup := func() {
		closeCaller()
		e.server.Close()
		closeGateway()
		closeDispatcher()
		_ = listener.Close()
	}
	return e, cleanup, nil
}

// cpuTimePerRequest returns the user and system time per request in nanoseconds,
// the least of three measurements.
func (e *entryHost) cpuTimePerRequest(tokens int) (float64, error) {
	q, err := bmcaller.Chat(entryModel, "measure", tokens, true)
	if err != nil {
		return 0, err
	}
	best := 0.0
	for range 3 {
		before := processCPUTime()
		for range requestsPerMeasurement {
			r := e.caller.Do(context.Background(), strings.TrimPrefix(e.server.URL, "http://"), q)
			if r.Outcome != basilmoor.OutcomeDone {
				return 0, fmt.Errorf("measure entry host: %s: %s", r, r.Body)
			}
		}
		perRequest := (processCPUTime() - before) / requestsPerMeasurement
		if best == 0 || perRequest < best {
			best = perRequest
		}
	}
	return best, nil
}

// processCPUTime returns the user and system time of this process in
// nanoseconds.
func processCPUTime() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64(usage.Utime.Nano() + usage.Stime.Nano())
}

// instantTarget responds to a chat request with max_tokens events. Like an
// engine, it writes each event separately.
type instantTarget struct {
	listener net.Listener
}

func (t *instantTarget) run() {
	_ = http.Serve(t.listener, t)
}

func (t *instantTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	_, rest, _ := strings.Cut(string(body), `"max_tokens":`)
	tokens := 0
	_, _ = fmt.Sscanf(rest, "%d", &tokens)
	w.Header().Set("Content-Type", "text/event-stream")
	out := bufio.NewWriter(w)
	flush := http.NewResponseController(w)
	for n := range tokens {
		fmt.Fprintf(out, "data: {\"choices\":[{\"delta\":{\"content\":\"%d \"}}]}\n\n", n)
		_ = out.Flush()
		_ = flush.Flush()
	}
	fmt.Fprint(out, "data: [DONE]\n\n")
	_ = out.Flush()
}

// instantScheduler grants every request immediately, on the same target.
type instantScheduler struct {
	address string
}

func (s instantScheduler) Acquire(context.Context, basilmoor.Demand) (basilmoor.Permit, error) {
	return instantPermit(s), nil
}

type instantPermit struct {
	address string
}

func (p instantPermit) Target() basilmoor.Target {
	return basilmoor.Target{
		Name:    "engine-1",
		Type:    basilmoor.EngineTarget,
		Address: p.address,
		Models:  []string{entryModel},
	}
}

func (p instantPermit) Valid() bool { return true }

func (p instantPermit) Observe(basilmoor.Observation) {}

// fixedCatalog is a configuration with one workspace, one kind and one tier.
type fixedCatalog struct{}

func (c fixedCatalog) Catalog() (basilmoor.Catalog, bool) { return c, true }
func (c fixedCatalog) Version() int64                     { return 1 }
func (c fixedCatalog) NoteID() string                     { return "capacity" }
func (c fixedCatalog) Pools() []basilmoor.Pool            { return nil }

func (c fixedCatalog) Targets(string) []basilmoor.Target { return nil }

func (c fixedCatalog) WorkspaceByToken(string) (basilmoor.Workspace, bool) {
	return basilmoor.Workspace{
		Name:        "capacity",
		Weight:      1,
		DefaultTier: "top",
	}, true
}

func (c fixedCatalog) KindByModel(string) (basilmoor.Kind, bool) {
	return basilmoor.Kind{
		Name:  "capacity",
		Pool:  "models",
		Model: entryModel,
	}, true
}

func (c fixedCatalog) KindByPath(string) (basilmoor.Kind, bool) { return basilmoor.Kind{}, false }

func (c fixedCatalog) TierByName(string) (basilmoor.Tier, bool) {
	return basilmoor.Tier{
		Name: "top",
	}, true
}
