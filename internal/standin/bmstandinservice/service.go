// Package bmstandinservice provides a stand-in for a plain HTTP service.
//
// A request that is not refused is logged as one execution before it runs, and
// runs to completion even if its client disconnects.
package bmstandinservice

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

const maxBodyBytes = 16 << 20 // of a request

// Settings configures a Service.
type Settings struct {
	Name    string
	Latency basilmoor.Millis // duration of each request

	// Workers is the maximum number of requests that run concurrently; others
	// wait. 0 means no limit.
	Workers int

	LoadReportDelay basilmoor.Millis // age of load reports
}

// Service is an http.Handler that answers any method and path with a Receipt,
// except the paths of faults, executions and load. It is safe for concurrent
// use.
type Service struct {
	clock      basilmoor.Clock
	settings   Settings
	reserved   map[string]http.Handler // by method and path
	executions *bmstandin.Executions
	load       *bmstandin.DelayedLoad
	process    *bmstandin.Process
	workers    chan struct{} // semaphore; nil for no limit

	mu            sync.Mutex
	processCtx    context.Context // canceled when the simulated process crashes or stops
	cancelProcess context.CancelFunc
	running       int
	waiting       int
}

var _ http.Handler = (*Service)(nil)

// Receipt is the response to a request.
type Receipt struct {
	Receipt    int    `json:"receipt"` // sequence number of the execution
	Service    string `json:"service"`
	Request    string `json:"request-id"`
	Key        string `json:"request-key,omitempty"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodyDigest string `json:"body-digest"`
	Bytes      int    `json:"bytes"`
}

// New returns a service that doesn't listen, and a function that ends its
// requests.
func New(clock basilmoor.Clock, settings Settings) (*Service, func()) {
	s := &Service{
		clock:      clock,
		settings:   settings,
		executions: bmstandin.NewExecutions(clock),
		load:       bmstandin.NewDelayedLoad(clock, settings.LoadReportDelay),
	}
	s.processCtx, s.cancelProcess = context.WithCancel(context.Background())
	if settings.Workers > 0 {
		s.workers = make(chan struct{}, settings.Workers)
	}
	process, stop := bmstandin.NewProcess(clock, s.crash)
	s.process = process
	s.reserved = map[string]http.Handler{
		"POST /v1/faults":    s.process,
		"GET /v1/executions": s.executions,
		"GET /v1/load":       s.load,
	}
	return s, func() {
		stop()
		s.endRequests()
	}
}

// Start returns a service that listens on address, and on controlAddress
// unless it is empty, and a function that stops both.
func Start(address, controlAddress string, clock basilmoor.Clock, settings Settings) (*Service, *bmstandin.Server, func(), error) {
	s, stop := New(clock, settings)
	server, closeServer, err := bmstandin.Listen(address, controlAddress, s)
	if err != nil {
		stop()
		return nil, nil, nil, err
	}
	s.process.Attach(server)
	cleanup := func() {
		closeServer()
		stop()
	}
	return s, server, cleanup, nil
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h, ok := s.reserved[r.Method+" "+r.URL.Path]; ok {
		h.ServeHTTP(w, r)
		return
	}
	bmstandin.NameRequest(w, r)
	s.serve(w, r)
}

// SetFaults changes the faults.
func (s *Service) SetFaults(f bmstandin.Faults) error {
	return s.process.SetFaults(f)
}

// Executions returns the log of executions.
func (s *Service) Executions() []bmstandin.Execution {
	return s.executions.All()
}

// endRequests ends the requests of the current process.
func (s *Service) endRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelProcess()
}

// crash ends the requests of the current process and starts a new process.
func (s *Service) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelProcess()
	s.processCtx, s.cancelProcess = context.WithCancel(context.Background())
}

// currentProcess returns the context of the current process.
func (s *Service) currentProcess() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processCtx
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	processCtx := s.currentProcess()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || s.process.Crashed() {
		bmstandin.AbortResponse()
	}
	if len(body) > maxBodyBytes {
		bmstandin.WriteProblem(w, http.StatusRequestEntityTooLarge, "body exceeds 16 MiB")
		return
	}
	if refusing, leaving := s.process.Refusing(); refusing {
		bmstandin.RejectNotRun(w, leaving, "service takes no new requests")
		return
	}
	lost := s.process.ConsumeLostResponse()
	receipt, err := s.execute(processCtx, bmstandin.NewExecution(r, body), bmstandin.HasMarker(body))
	if err != nil || lost {
		bmstandin.AbortResponse()
	}
	receipt.Bytes = len(body)
	bmstandin.WriteJSON(w, http.StatusOK, receipt)
}

// execute runs a request. It returns an error if the process ended before the
// request was done.
func (s *Service) execute(processCtx context.Context, x bmstandin.Execution, marker bool) (Receipt, error) {
	if err := s.acquire(processCtx); err != nil {
		return Receipt{}, err
	}
	defer s.release()
	sequence := s.executions.Start(x)
	if s.process.ConsumeCrashFault(marker) {
		s.process.Crash()
	}
	latency := basilmoor.Millis(float64(s.settings.Latency) * s.process.SlowFactor())
	slept := s.clock.Sleep(processCtx, latency)
	// The sleep may end at the moment the process does; an ended process doesn't
	// complete the request.
	if slept != nil || processCtx.Err() != nil {
		s.executions.End(sequence, 0, false)
		return Receipt{}, errors.New("process ended while the request ran")
	}
	s.executions.End(sequence, 0, true)
	return Receipt{
		Receipt:    sequence,
		Service:    s.settings.Name,
		Request:    x.Request,
		Key:        x.Key,
		Method:     x.Method,
		Path:       x.Path,
		BodyDigest: x.BodyDigest,
	}, nil
}

// acquire waits for a free worker.
func (s *Service) acquire(processCtx context.Context) error {
	s.adjustCounts(0, 1)
	if s.workers != nil {
		select {
		case s.workers <- struct{}{}:
		case <-processCtx.Done():
			s.adjustCounts(0, -1)
			return errors.Wrap(processCtx.Err(), "process ended while the request waited for a worker")
		}
	}
	s.adjustCounts(1, -1)
	return nil
}

// release frees the worker.
func (s *Service) release() {
	if s.workers != nil {
		<-s.workers
	}
	s.adjustCounts(-1, 0)
}

// adjustCounts adds to the numbers of running and waiting requests and reports
// the load.
func (s *Service) adjustCounts(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
	s.load.Record(bmstandin.Load{
		Running: s.running,
		Waiting: s.waiting,
	})
}
