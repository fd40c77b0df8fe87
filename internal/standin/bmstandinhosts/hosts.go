// Package bmstandinhosts provides a stand-in for the platform's list of hosts
// and targets.
//
// The states of a list become visible to readers in order, each after the delay
// configured at that time.
package bmstandinhosts

import (
	"net/http"
	"sync"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// Host is an entry host in the list.
type Host struct {
	Host       string `json:"host"`
	Address    string `json:"address"` // of the listener for peers
	DataCentre string `json:"data-centre"`
	Region     string `json:"region"`
	Leaving    bool   `json:"leaving"`
}

// Target is a target in the list.
type Target struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// Settings configures a List.
type Settings struct {
	Lag     basilmoor.Millis // delay before a change becomes visible
	Hosts   []Host           // visible at once
	Targets []Target         // visible at once
}

// Faults is the body of POST /v1/faults. Absent fields leave the corresponding
// fault unchanged.
type Faults struct {
	// Outage sets whether every read has its connection closed without a
	// response.
	Outage *bool `json:"outage,omitempty"`

	// LagMillis sets the delay before a change becomes visible.
	LagMillis *basilmoor.Millis `json:"lag-ms,omitempty"`

	// StopResponding permanently silences the open connections, except the one
	// of this call. New connections work.
	StopResponding bool `json:"stop-responding,omitempty"`
}

// List is an http.Handler that serves the lists of hosts and targets. It is
// safe for concurrent use.
type List struct {
	mux     *http.ServeMux
	hosts   *bmstandin.Delayed[[]Host]
	targets *bmstandin.Delayed[[]Target]

	mu     sync.Mutex
	server *bmstandin.Server // nil unless created by Start
	outage bool
}

var _ http.Handler = (*List)(nil)

// New returns a list that doesn't listen.
func New(clock basilmoor.Clock, settings Settings) *List {
	l := &List{
		mux:     http.NewServeMux(),
		hosts:   bmstandin.NewDelayed(clock, settings.Lag, settings.Hosts),
		targets: bmstandin.NewDelayed(clock, settings.Lag, settings.Targets),
	}
	l.mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) { serveList(w, l, l.hosts) })
	l.mux.HandleFunc("GET /v1/targets", func(w http.ResponseWriter, _ *http.Request) { serveList(w, l, l.targets) })
	l.mux.HandleFunc("PUT /v1/hosts", func(w http.ResponseWriter, r *http.Request) { replaceList(w, r, l.hosts) })
	l.mux.HandleFunc("PUT /v1/targets", func(w http.ResponseWriter, r *http.Request) { replaceList(w, r, l.targets) })
	l.mux.HandleFunc("POST /v1/faults", l.postFaults)
	return l
}

// Start returns a list that listens on address, and on controlAddress unless
// it is empty, and a function that stops both.
func Start(address, controlAddress string, clock basilmoor.Clock, settings Settings) (*List, *bmstandin.Server, func(), error) {
	l := New(clock, settings)
	server, closeServer, err := bmstandin.Listen(address, controlAddress, l)
	if err != nil {
		return nil, nil, nil, err
	}
	l.mu.Lock()
	l.server = server
	l.mu.Unlock()
	return l, server, closeServer, nil
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mux.ServeHTTP(w, r)
}

// SetHosts replaces the list of hosts.
func (l *List) SetHosts(hosts []Host) {
	l.hosts.Record(append([]Host(nil), hosts...))
}

// SetTargets replaces the list of targets.
func (l *List) SetTargets(targets []Target) {
	l.targets.Record(append([]Target(nil), targets...))
}

// SetFaults changes the faults. On an error, which names the unsupported fault,
// no fault has changed.
func (l *List) SetFaults(f Faults) error {
	return l.applyFaults(f, "")
}

// applyFaults sets the faults. It doesn't silence the connection whose remote
// address is except.
func (l *List) applyFaults(f Faults, except string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.StopResponding {
		if err := l.server.StopResponding(except); err != nil {
			return err
		}
	}
	if f.LagMillis != nil {
		l.hosts.SetDelay(*f.LagMillis)
		l.targets.SetDelay(*f.LagMillis)
	}
	if f.Outage != nil {
		l.outage = *f.Outage
	}
	return nil
}

func (l *List) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !bmstandin.ReadJSON(w, r, &f) {
		return
	}
	if err := l.applyFaults(f, r.RemoteAddr); err != nil {
		bmstandin.WriteProblem(w, http.StatusConflict, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) inOutage() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outage
}

func serveList[T any](w http.ResponseWriter, l *List, list *bmstandin.Delayed[[]T]) {
	if l.inOutage() {
		bmstandin.AbortResponse()
	}
	items, _ := list.Report()
	if items == nil {
		items = []T{}
	}
	bmstandin.WriteJSON(w, http.StatusOK, items)
}

func replaceList[T any](w http.ResponseWriter, r *http.Request, list *bmstandin.Delayed[[]T]) {
	var items []T
	if !bmstandin.ReadJSON(w, r, &items) {
		return
	}
	list.Record(items)
	w.WriteHeader(http.StatusNoContent)
}
