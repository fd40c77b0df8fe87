package bmstandinengine

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// Engine is an http.Handler that implements the protocol of a model engine. It
// is safe for concurrent use.
type Engine struct {
	clock      basilmoor.Clock
	settings   Settings
	mux        *http.ServeMux
	executions *bmstandin.Executions
	load       *bmstandin.DelayedLoad
	process    *bmstandin.Process

	// ctx is cancelled when the engine stops, which ends waiting handlers.
	ctx           context.Context
	workAvailable chan struct{} // notifies run of new work
	loopDone      chan struct{} // closed when run returns

	mu              sync.Mutex
	epoch           int         // number of crashes
	lastSequence    int         // number of the last sequence, part of its id
	queue           []*sequence // in order of arrival
	batch           []*sequence // in order of admission
	reservedTokens  int         // KV cache tokens reserved by the batch
	streams         map[string]*sequence
	endedSequences  []*sequence // in the order in which they ended
	cache           *prefixCache
	events          *eventLog
	loadState       loadState
	appliedCommands []Command
	stats           Stats
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
	PeakTokens    int `json:"peak-tokens"` // maximum reserved in the KV cache
	PrefillTokens int `json:"prefill-tokens"`
	CachedTokens  int `json:"cached-tokens"`
	OutputTokens  int `json:"output-tokens"`
}

// New returns a running engine and a function that stops it and waits for its
// goroutine to end.
func New(clock basilmoor.Clock, settings Settings) (*Engine, func(), error) {
	if err := settings.validate(); err != nil {
		return nil, nil, err
	}
	e, stop := newEngine(clock, settings)
	go e.run()
	return e, func() {
		stop()
		<-e.loopDone
	}, nil
}

// newEngine returns an engine whose run method has not been started, and a
// function that ends waiting handlers and stops the simulated process.
func newEngine(clock basilmoor.Clock, settings Settings) (*Engine, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		clock:         clock,
		settings:      settings,
		mux:           http.NewServeMux(),
		executions:    bmstandin.NewExecutions(clock),
		load:          bmstandin.NewDelayedLoad(clock, settings.LoadReportDelay),
		ctx:           ctx,
		workAvailable: make(chan struct{}, 1),
		loopDone:      make(chan struct{}),
		streams:       make(map[string]*sequence),
	}
	process, stopProcess := bmstandin.NewProcess(clock, e.crash)
	e.process = process
	e.resetState()
	e.routes()
	return e, func() {
		cancel()
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
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	e.mux.HandleFunc("GET /v1/streams/{id}", e.serveStream)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	e.mux.Handle("GET /v1/load", e.load)
	e.mux.HandleFunc("GET /v1/cache/events", e.serveCacheEvents)
	e.mux.HandleFunc("POST /v1/kv/export", e.serveKVExport)
	e.mux.HandleFunc("POST /v1/kv/import", e.serveKVImport)
	e.mux.HandleFunc("POST /v1/commands", e.serveCommand)
	e.mux.HandleFunc("GET /v1/models", e.serveModels)
	e.mux.HandleFunc("GET /v1/commands", e.serveCommandLog)
	e.mux.Handle("POST /v1/faults", e.process)
	e.mux.HandleFunc("GET /v1/stats", e.serveStats)
	e.mux.Handle("GET /v1/executions", e.executions)
}

// controlPaths are served even while the engine is crashed, because they control
// the simulation and are not part of the engine's protocol.
var controlPaths = map[string]bool{
	"/v1/faults":     true,
	"/v1/stats":      true,
	"/v1/executions": true,
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !controlPaths[r.URL.Path] && e.process.Crashed() {
		bmstandin.AbortResponse()
	}
	bmstandin.NameRequest(w, r)
	e.mux.ServeHTTP(w, r)
}

// SetFaults applies f. See bmstandin.Process.SetFaults for its errors.
func (e *Engine) SetFaults(f bmstandin.Faults) error {
	return e.process.SetFaults(f)
}

// Executions returns a copy of the execution log.
func (e *Engine) Executions() []bmstandin.Execution {
	return e.executions.All()
}

// Stats returns the counters, which are kept across crashes.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	bmstandin.WriteJSON(w, http.StatusOK, e.Stats())
}

// resetState sets the initial state of a new process. The caller must hold mu,
// except while the engine is being created.
func (e *Engine) resetState() {
	e.cache = newPrefixCache(e.settings.PrefixCacheTokens / basilmoor.PrefixBlockTokens)
	e.events = newEventLog(e.clock, e.settings)
	e.loadState = newLoadState(e.settings)
}

// crash drops the in-memory state of the engine.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch++
	e.stats.Crashes++
	e.abortAll()
	e.streams = make(map[string]*sequence)
	e.endedSequences = nil
	e.resetState()
}

// abortAll ends all waiting and running sequences as lost. The caller must hold
// mu.
func (e *Engine) abortAll() {
	all := append(e.batch, e.queue...)
	e.batch = nil
	e.queue = nil
	e.reservedTokens = 0
	for _, q := range all {
		e.endSequence(q, lost)
	}
	e.recordLoad()
}

// enqueue assigns an id to a sequence and appends it to the queue. The caller
// must hold mu.
func (e *Engine) enqueue(q *sequence) {
	e.purgeEndedStreams()
	e.lastSequence++
	q.id = e.settings.Name + "-" + strconv.Itoa(e.epoch) + "-" + strconv.Itoa(e.lastSequence)
	q.changed = make(chan struct{})
	e.streams[q.id] = q
	e.queue = append(e.queue, q)
	e.recordLoad()
	e.wakeLoop()
}

// wakeLoop notifies run of new work.
func (e *Engine) wakeLoop() {
	select {
	case e.workAvailable <- struct{}{}:
	default: // a notification is already pending
	}
}

// endSequence moves a sequence to a final phase. The caller must hold mu and
// have removed the sequence from the queue or the batch.
func (e *Engine) endSequence(q *sequence, p phase) {
	if q.executionNumber > 0 {
		e.executions.End(q.executionNumber, q.generatedTokens, p == finished)
	}
	q.phase = p
	q.endedAt = e.clock.Now()
	e.endedSequences = append(e.endedSequences, q)
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

// purgeEndedStreams removes the streams whose retention time has passed. The
// caller must hold mu.
func (e *Engine) purgeEndedStreams() {
	cutoff := e.clock.Now() - e.settings.Retention
	n := 0
	for n < len(e.endedSequences) && e.endedSequences[n].endedAt < cutoff {
		delete(e.streams, e.endedSequences[n].id)
		n++
	}
	e.endedSequences = e.endedSequences[n:]
}

// removeSequence removes a sequence from the queue and the batch, and releases
// the KV cache that it reserved. The caller must hold mu.
func (e *Engine) removeSequence(q *sequence) {
	if q.phase == running {
		e.reservedTokens -= q.kvTokens()
	}
	e.queue = without(e.queue, q)
	e.batch = without(e.batch, q)
}

// without returns list without q.
func without(list []*sequence, q *sequence) []*sequence {
	for i, other := range list {
		if other == q {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// recordLoad records the current load for load reports. The caller must hold mu.
func (e *Engine) recordLoad() {
	e.load.Record(bmstandin.Load{
		Running:         len(e.batch),
		Waiting:         len(e.queue),
		CacheTokensUsed: e.reservedTokens,
	})
}
