// Package bmstandinservice stands in for a plain HTTP service.
//
// Invariants: a request that is not refused is logged as one execution before
// it runs, and runs to its end even if its client leaves.
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

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 16 << 20

// Settings configures a Service.
type Settings struct {
	Name    string
	Latency basilmoor.Millis // of each request

	// Workers bounds the requests that run at the same time; further ones
	// wait. 0 is no bound.
	Workers int

	LoadLag basilmoor.Millis // age of load reports
}

// Service is an http.Handler that answers any method and path with a receipt.
// It is safe for concurrent use.
type Service struct {
	clock      basilmoor.Clock
	settings   Settings
	reserved   map[string]http.Handler // by method and path
	executions *bmstandin.Executions
	load       *bmstandin.LaggingLoad
	process    *bmstandin.Process
	workers    chan struct{} // nil for no bound

	mu      sync.Mutex
	life    context.Context // of the present process
	kill    context.CancelFunc
	running int
	waiting int
}

var _ http.Handler = (*Service)(nil)

// Receipt is the response to a request.
type Receipt struct {
	Receipt    int    `json:"receipt"` // number of the execution
	Service    string `json:"service"`
	Request    string `json:"request-id"`
	Key        string `json:"request-key,omitempty"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodyDigest string `json:"body-digest"`
	Bytes      int    `json:"bytes"`
}

// New returns a service and a function that ends its requests.
func New(clock basilmoor.Clock, settings Settings) (*Service, func()) {
	s := &Service{
		clock:      clock,
		settings:   settings,
		executions: bmstandin.NewExecutions(clock),
		load:       bmstandin.NewLaggingLoad(clock, settings.LoadLag),
	}
	s.life, s.kill = context.WithCancel(context.Background())
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
		s.end()
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

// ServeHTTP handles one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h, ok := s.reserved[r.Method+" "+r.URL.Path]; ok {
		h.ServeHTTP(w, r)
		return
	}
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

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kill()
}

// crash ends the requests of the present process and begins a new one.
func (s *Service) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kill()
	s.life, s.kill = context.WithCancel(context.Background())
}

func (s *Service) present() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	life := s.present()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || s.process.Crashed() {
		bmstandin.Drop()
	}
	if len(body) > maxBodyBytes {
		bmstandin.WriteProblem(w, http.StatusRequestEntityTooLarge, "body exceeds 16 MiB")
		return
	}
	if refusing, leaving := s.process.Refusing(); refusing {
		bmstandin.RefuseNotRun(w, leaving, "service takes no new requests")
		return
	}
	lost := s.process.TakeLostAnswer()
	receipt, err := s.execute(life, bmstandin.NewExecution(r, body), bmstandin.HasMarker(body))
	if err != nil || lost {
		bmstandin.Drop()
	}
	receipt.Bytes = len(body)
	bmstandin.WriteJSON(w, http.StatusOK, receipt)
}

// execute runs a request. The error tells that the process ended before it was
// done.
func (s *Service) execute(life context.Context, x bmstandin.Execution, marker bool) (Receipt, error) {
	if err := s.acquire(life); err != nil {
		return Receipt{}, err
	}
	defer s.release()
	sequence := s.executions.Start(x)
	if s.process.TakeCrash(marker) {
		s.process.Crash()
	}
	latency := basilmoor.Millis(float64(s.settings.Latency) * s.process.Slow())
	slept := s.clock.Sleep(life, latency)
	// Both may be due: a dead process does not complete the request.
	if slept != nil || life.Err() != nil {
		s.executions.End(sequence, 0, false)
		return Receipt{}, errors.New("service ended")
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

// acquire waits for a worker.
func (s *Service) acquire(life context.Context) error {
	s.count(0, 1)
	if s.workers != nil {
		select {
		case s.workers <- struct{}{}:
		case <-life.Done():
			s.count(0, -1)
			return errors.Wrap(life.Err(), "service ended")
		}
	}
	s.count(1, -1)
	return nil
}

func (s *Service) release() {
	if s.workers != nil {
		<-s.workers
	}
	s.count(-1, 0)
}

// count changes the numbers of running and waiting requests.
func (s *Service) count(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
	s.load.Record(bmstandin.Load{
		Running: s.running,
		Waiting: s.waiting,
	})
}
