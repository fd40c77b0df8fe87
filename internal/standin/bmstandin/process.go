package bmstandin

import (
	"bytes"
	"context"
	"net/http"
	"sync"

	"basilmoor.example/basilmoor"
)

// reviveRetry is the pause between attempts to listen again when another
// process has taken the port meanwhile.
const reviveRetry basilmoor.Millis = 100

// Process is the simulated process of a target: it holds the faults and can
// crash and be started again. It is safe for concurrent use.
type Process struct {
	clock   basilmoor.Clock
	onCrash func()

	life context.Context
	died chan struct{}
	done chan struct{}

	// transition is held while the process dies or starts, so that a revived
	// one doesn't lose what the crash before it still drops.
	transition sync.Mutex

	mu     sync.Mutex
	server *Server // nil if the handler is served otherwise
	faults faultState
}

// NewProcess returns a running process and a function that releases it. At a
// crash, onCrash drops what the target held in memory.
func NewProcess(clock basilmoor.Clock, onCrash func()) (*Process, func()) {
	life, end := context.WithCancel(context.Background())
	p := &Process{
		clock:   clock,
		onCrash: onCrash,
		life:    life,
		died:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		faults: faultState{
			slow: 1,
		},
	}
	go p.run()
	return p, func() {
		end()
		<-p.done
	}
}

// Attach names the server that a crash suspends. Without one, the handler must
// drop the connections of requests while Crashed is true.
func (p *Process) Attach(s *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server = s
}

// run revives the process after its crashes if the faults say so.
func (p *Process) run() {
	defer close(p.done)
	for {
		select {
		case <-p.died:
		case <-p.life.Done():
			return
		}
		after := p.state().reviveAfter
		if after <= 0 {
			continue
		}
		for p.clock.Sleep(p.life, after) == nil && p.Revive() != nil {
			after = reviveRetry
		}
	}
}

func (p *Process) state() faultState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Crashed reports whether the process is dead.
func (p *Process) Crashed() bool { return p.state().crashed }

// Slow returns the factor by which durations grow.
func (p *Process) Slow() float64 { return p.state().slow }

// Refusing reports whether requests are refused, and whether the target is
// leaving.
func (p *Process) Refusing() (refusing, leaving bool) {
	s := p.state()
	return s.refuse || s.leaving, s.leaving
}

// HasMarker reports whether the body holds CrashMarker.
func HasMarker(body []byte) bool {
	return bytes.Contains(body, []byte(CrashMarker))
}

// TakeCrash reports whether the start of a request must crash the process. It
// uses up the fault crash-next.
func (p *Process) TakeCrash(marker bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	crash := p.faults.crashNext || p.faults.crashOnMarker && marker
	p.faults.crashNext = false
	return crash
}

// TakeLostAnswer reports whether the answer to a request must be lost. It uses
// up one of the fault lose-next-answers.
func (p *Process) TakeLostAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.lose == 0 {
		return false
	}
	p.faults.lose--
	return true
}

// Crash ends the process. It has no effect on a dead one.
func (p *Process) Crash() {
	p.transition.Lock()
	defer p.transition.Unlock()
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
	case p.died <- struct{}{}:
	default: // the loop has not seen the previous crash yet
	}
}

// Revive starts a dead process afresh. The error tells that it could not
// listen on its address again.
func (p *Process) Revive() error {
	p.transition.Lock()
	defer p.transition.Unlock()
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

// SetFaults changes the faults. The error tells that a value is invalid or
// that a revived process could not listen again.
func (p *Process) SetFaults(f Faults) error {
	return p.change(f, "")
}

// change sets the faults; the connection with the remote address except is not
// silenced.
func (p *Process) change(f Faults, except string) error {
	if err := f.validate(); err != nil {
		return err
	}
	if err := p.update(f, except); err != nil {
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

func (p *Process) update(f Faults, except string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.StopResponding {
		if err := p.server.Silence(except); err != nil {
			return err
		}
	}
	p.faults.update(f)
	return nil
}

// ServeHTTP answers POST /v1/faults.
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
		// The crash breaks the connection of this call, so the answer goes
		// first.
		w.WriteHeader(http.StatusNoContent)
		_ = http.NewResponseController(w).Flush() // the client has left
		_ = p.change(f, r.RemoteAddr)             // the answer is sent
		return
	}
	if err := p.change(f, r.RemoteAddr); err != nil {
		WriteProblem(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
