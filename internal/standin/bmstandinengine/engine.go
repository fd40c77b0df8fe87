package bmstandinengine

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// Engine is an http.Handler with the protocol of a model engine. It is safe
// for concurrent use.
type Engine struct {
	clock      basilmoor.Clock
	settings   Settings
	mux        *http.ServeMux
	executions *bmstandin.Executions
	load       *bmstandin.LaggingLoad
	process    *bmstandin.Process

	// life ends with the engine and frees the handlers that wait.
	life context.Context
	wake chan struct{} // tells the loop of new work
	done chan struct{} // closed when the loop has ended

	mu      sync.Mutex
	epoch   int         // number of crashes
	number  int         // of the last sequence
	queue   []*sequence // in order of arrival
	batch   []*sequence // in order of admission
	used    int         // tokens reserved by the batch
	streams map[string]*sequence
	ended   []*sequence // in order of their ends
	cache   *prefixCache
	events  *eventLog
	loaded  loaded
	applied []Command
	stats   Stats
}

var _ http.Handler = (*Engine)(nil)

// Stats is the response to GET /v1/stats.
type Stats struct {
	Admitted      int `json:"admitted"`
	Finished      int `json:"finished"`
	Cancelled     int `json:"cancelled"`
	Lost          int `json:"lost"`
	Refused       int `json:"refused"`
	Crashes       int `json:"crashes"`
	Steps         int `json:"steps"`
	PeakBatch     int `json:"peak-batch"`
	PeakTokens    int `json:"peak-tokens"` // reserved in the KV cache
	PrefillTokens int `json:"prefill-tokens"`
	CachedTokens  int `json:"cached-tokens"`
	OutputTokens  int `json:"output-tokens"`
}

// New returns a running engine and a function that stops it and waits for its
// loop to end.
func New(clock basilmoor.Clock, settings Settings) (*Engine, func(), error) {
	if err := settings.validate(); err != nil {
		return nil, nil, err
	}
	e, stop := build(clock, settings)
	go e.run()
	return e, func() {
		stop()
		<-e.done
	}, nil
}

// build returns an engine without its loop, and a function that ends its
// waiting handlers.
func build(clock basilmoor.Clock, settings Settings) (*Engine, func()) {
	life, end := context.WithCancel(context.Background())
	e := &Engine{
		clock:      clock,
		settings:   settings,
		mux:        http.NewServeMux(),
		executions: bmstandin.NewExecutions(clock),
		load:       bmstandin.NewLaggingLoad(clock, settings.LoadLag),
		life:       life,
		wake:       make(chan struct{}, 1),
		done:       make(chan struct{}),
		streams:    make(map[string]*sequence),
	}
	process, stopProcess := bmstandin.NewProcess(clock, e.crash)
	e.process = process
	e.reset()
	e.routes()
	return e, func() {
		end()
		stopProcess()
	}
}

// Start returns an engine that listens on address, and on controlAddress
// unless it is empty, and a function that stops both.
func Start(address, controlAddress string, clock basilmoor.Clock, settings Settings) (*Engine, *bmstandin.Server, func(), error) {
	e, stop, err := New(clock, settings)
	if err != nil {
		return nil, nil, nil, err
	}
	server, closeServer, err := bmstandin.Listen(address, controlAddress, e)
	if err != nil {
		stop()
		return nil, nil, nil, err
	}
	e.process.Attach(server)
	cleanup := func() {
		closeServer()
		stop()
	}
	return e, server, cleanup, nil
}

func (e *Engine) routes() {
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.cancel)
	e.mux.Handle("GET /v1/load", e.load)
	e.mux.HandleFunc("GET /v1/cache/events", e.cacheEvents)
	e.mux.HandleFunc("POST /v1/kv/export", e.exportKV)
	e.mux.HandleFunc("POST /v1/kv/import", e.importKV)
	e.mux.HandleFunc("POST /v1/commands", e.command)
	e.mux.HandleFunc("GET /v1/models", e.models)
	e.mux.HandleFunc("GET /v1/commands", e.commandLog)
	e.mux.Handle("POST /v1/faults", e.process)
	e.mux.HandleFunc("GET /v1/stats", e.getStats)
	e.mux.Handle("GET /v1/executions", e.executions)
}

// checkerPaths are served while the engine is crashed, because they belong to
// the stand-in and not to the engine.
var checkerPaths = map[string]bool{
	"/v1/faults":     true,
	"/v1/stats":      true,
	"/v1/executions": true,
}

// ServeHTTP handles one call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !checkerPaths[r.URL.Path] && e.process.Crashed() {
		bmstandin.Drop()
	}
	e.mux.ServeHTTP(w, r)
}

// SetFaults changes the faults.
func (e *Engine) SetFaults(f bmstandin.Faults) error {
	return e.process.SetFaults(f)
}

// Executions returns the log of executions.
func (e *Engine) Executions() []bmstandin.Execution {
	return e.executions.All()
}

// Stats returns the counts since the engine was made.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

func (e *Engine) getStats(w http.ResponseWriter, _ *http.Request) {
	bmstandin.WriteJSON(w, http.StatusOK, e.Stats())
}

// reset sets the state that a new process has. The caller holds mu, except in
// New.
func (e *Engine) reset() {
	e.cache = newPrefixCache(e.settings.PrefixCacheTokens / basilmoor.PrefixBlockTokens)
	e.events = newEventLog(e.clock, e.settings)
	e.loaded = newLoaded(e.settings)
}

// crash loses what the process of the engine held.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch++
	e.stats.Crashes++
	e.loseAll()
	e.streams = make(map[string]*sequence)
	e.ended = nil
	e.reset()
}

// loseAll ends every sequence. The caller holds mu.
func (e *Engine) loseAll() {
	all := append(e.batch, e.queue...)
	e.batch = nil
	e.queue = nil
	e.used = 0
	for _, q := range all {
		e.end(q, lost)
	}
	e.record()
}

// add enqueues a sequence. The caller holds mu.
func (e *Engine) add(q *sequence) {
	e.purge()
	e.number++
	q.id = e.settings.Name + "-" + strconv.Itoa(e.epoch) + "-" + strconv.Itoa(e.number)
	q.changed = make(chan struct{})
	e.streams[q.id] = q
	e.queue = append(e.queue, q)
	e.record()
	e.signal()
}

// signal wakes the loop.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default: // the loop is already told
	}
}

// end moves a sequence to its last phase. The caller holds mu and has taken
// the sequence from the queue or the batch.
func (e *Engine) end(q *sequence, p phase) {
	if q.logged > 0 {
		e.executions.End(q.logged, q.generated, p == finished)
	}
	q.phase = p
	q.endedAt = e.clock.Now()
	e.ended = append(e.ended, q)
	switch p {
	case finished:
		e.stats.Finished++
	case cancelled:
		e.stats.Cancelled++
	default:
		e.stats.Lost++
	}
	q.notify()
}

// purge forgets the streams that ended long ago. The caller holds mu.
func (e *Engine) purge() {
	oldest := e.clock.Now() - e.settings.Retention
	n := 0
	for n < len(e.ended) && e.ended[n].endedAt < oldest {
		delete(e.streams, e.ended[n].id)
		n++
	}
	e.ended = e.ended[n:]
}

// remove takes a sequence from the queue and the batch. The caller holds mu.
func (e *Engine) remove(q *sequence) {
	if q.phase == running {
		e.used -= q.need()
	}
	e.queue = without(e.queue, q)
	e.batch = without(e.batch, q)
}

func without(list []*sequence, q *sequence) []*sequence {
	for i, o := range list {
		if o == q {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// record notes the load for later reports. The caller holds mu.
func (e *Engine) record() {
	e.load.Record(bmstandin.Load{
		Running:         len(e.batch),
		Waiting:         len(e.queue),
		CacheTokensUsed: e.used,
	})
}
