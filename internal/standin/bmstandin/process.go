package bmstandin

import (
	"bytes"
	"context"
	"net/http"
	"sync"

	"basilmoor.example/basilmoor"
)

// reviveRetryInterval is the delay between attempts to reopen the listener when
// another process has bound the port in the meantime.
const reviveRetryInterval basilmoor.Millis = 100

// Process simulates the operating system process of a target. It holds the
// injected faults and can crash and be restarted. It is safe for concurrent
// use.
type Process struct {
	clock   basilmoor.Clock
	onCrash func()

	ctx         context.Context
	crashNotify chan struct{}
	loopDone    chan struct{}

	// lifecycleMu serializes crashes and restarts. Otherwise onCrash could
	// still be dropping state after a restart and drop the requests of the
	// restarted process.
	lifecycleMu sync.Mutex

	mu     sync.Mutex
	server *Server // nil if Attach was not called
	faults faultState
}

// NewProcess returns a running process and a function that stops its goroutine.
// onCrash is called on each crash and must drop the target's in-memory state.
func NewProcess(clock basilmoor.Clock, onCrash func()) (*Process, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process{
		clock:       clock,
		onCrash:     onCrash,
		ctx:         ctx,
		crashNotify: make(chan struct{}, 1),
		loopDone:    make(chan struct{}),
		faults: faultState{
			slowFactor: 1,
		},
	}
	go p.run()
	return p, func() {
		cancel()
		<-p.loopDone
	}
}

// Attach sets the server that is suspended on a crash. If the handler is served
// by something else, it must itself drop the connections of requests that
// arrive while Crashed is true.
func (p *Process) Attach(s *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server = s
}

// run restarts the process after each crash if the revive-after-ms fault is
// set.
func (p *Process) run() {
	defer close(p.loopDone)
	for {
		select {
		case <-p.crashNotify:
		case <-p.ctx.Done():
			return
		}
		after := p.currentFaults().reviveAfter
		if after <= 0 {
			continue
		}
		for p.clock.Sleep(p.ctx, after) == nil && p.Revive() != nil {
			after = reviveRetryInterval
		}
	}
}

// currentFaults returns a copy of the fault state.
func (p *Process) currentFaults() faultState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Crashed reports whether the process has crashed and not been restarted.
func (p *Process) Crashed() bool { return p.currentFaults().crashed }

// SlowFactor returns the factor by which simulated durations are multiplied.
func (p *Process) SlowFactor() float64 { return p.currentFaults().slowFactor }

// Refusing reports whether the target rejects requests, and whether it does so
// because it is leaving.
func (p *Process) Refusing() (refusing, leaving bool) {
	s := p.currentFaults()
	return s.refuse || s.leaving, s.leaving
}

// HasMarker reports whether body contains CrashMarker.
func HasMarker(body []byte) bool {
	return bytes.Contains(body, []byte(CrashMarker))
}

// ConsumeCrashFault reports whether starting a request must crash the process;
// marker tells whether its body contains CrashMarker. ConsumeCrashFault clears
// the crash-next fault.
func (p *Process) ConsumeCrashFault(marker bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	crash := p.faults.crashNext || p.faults.crashOnMarker && marker
	p.faults.crashNext = false
	return crash
}

// ConsumeLostResponse reports whether the response to a request must be
// dropped. If so, it decrements the count of the lose-next-answers fault.
func (p *Process) ConsumeLostResponse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.responsesToDrop == 0 {
		return false
	}
	p.faults.responsesToDrop--
	return true
}

// Crash simulates the death of the process. It has no effect on a process that
// has already crashed.
func (p *Process) Crash() {
	p.lifecycleMu.Lock()
	defer p.lifecycleMu.Unlock()
	p.mu.Lock()
	if p.faults.crashed {
		p.mu.Unlock()
		return
	}
	p.faults.crashed = true
	server := p.server
	p.mu.Unlock()
	if server != nil {
		server.Suspend()
	}
	p.onCrash()
	select {
	case p.crashNotify <- struct{}{}:
	default: // run has not received the previous crash yet
	}
}

// Revive restarts a crashed process. It returns an error, and the process stays
// crashed, if the server cannot listen on its address again.
func (p *Process) Revive() error {
	p.lifecycleMu.Lock()
	defer p.lifecycleMu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.faults.crashed {
		return nil
	}
	p.faults.crashed = false
	if p.server == nil {
		return nil
	}
	err := p.server.Resume()
	p.faults.crashed = err != nil
	return err
}

// SetFaults applies f. It returns an error if a value of f is invalid, if
// stop-responding is set and no server is attached, or if a revived process
// cannot listen on its address again.
func (p *Process) SetFaults(f Faults) error {
	return p.applyFaults(f, "")
}

// applyFaults applies f. StopResponding does not silence the connection whose
// remote address is except.
func (p *Process) applyFaults(f Faults, except string) error {
	if err := f.validate(); err != nil {
		return err
	}
	if err := p.updateFaults(f, except); err != nil {
		return err
	}
	if f.CrashNow {
		p.Crash()
	}
	if f.Revive {
		return p.Revive()
	}
	return nil
}

// updateFaults applies the faults that neither crash nor restart the process.
func (p *Process) updateFaults(f Faults, except string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.StopResponding {
		if err := p.server.StopResponding(except); err != nil {
			return err
		}
	}
	p.faults.update(f)
	return nil
}

// ServeHTTP handles POST /v1/faults.
func (p *Process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !ReadJSON(w, r, &f) {
		return
	}
	if err := f.validate(); err != nil {
		WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	if f.CrashNow && !FromControl(r) {
		// The crash closes the connection of this call, so the response is sent
		// before it.
		w.WriteHeader(http.StatusNoContent)
		_ = http.NewResponseController(w).Flush() // fails only if the client disconnected
		_ = p.applyFaults(f, r.RemoteAddr)        // the response is already sent
		return
	}
	if err := p.applyFaults(f, r.RemoteAddr); err != nil {
		WriteProblem(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
