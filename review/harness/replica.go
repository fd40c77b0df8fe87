package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in for a replica of a service. It runs at most slots requests at
// once, queues a few more and refuses the rest with X-Not-Executed.
type replica struct {
	w       *world
	name    string // stays the same over its incarnations
	service string
	slots   int
	workMs  int
	keepID  bool                                                  // starts again under the id that it had
	on      func(r *replica, q *http.Request, body []byte) action // decides what a run does; nil: answer

	mu       sync.Mutex
	id       string
	n        int // incarnations
	listener net.Listener
	server   *http.Server
	addr     string
	sem      chan struct{}
	seq      int
	born     int64
	revision int64 // of its own last write
	stop     chan struct{}
	waiting  atomic.Int64 // requests without a slot
}

// replicaQueue is the number of requests that wait for a slot of a replica.
const replicaQueue = 24

// action is what a replica does with a request that it has begun to run.
type action int

const (
	actAnswer action = iota
	actCrash         // the process ends: all channels close, the address refuses
	actError         // its own 500, signed
	actSpoil         // an answer with a wrong letter in the name of the receipt's header
)

// start begins a new incarnation with a new id at a new port.
func (r *replica) start() {
	r.mu.Lock()
	r.n++
	r.id = fmt.Sprintf("i-%s-%d", r.name, r.n)
	if r.keepID {
		r.id = "i-" + r.name
	}
	r.born = time.Now().UnixMilli()
	r.seq = 0
	r.revision = -1 // a new incarnation writes its entry at once
	l, err := net.Listen("tcp", r.w.ip(200)+":0")
	if err != nil {
		panic(err)
	}
	r.listener = l
	r.addr = l.Addr().String()
	r.sem = make(chan struct{}, r.slots)
	r.stop = make(chan struct{})
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	srv, stop, id := r.server, r.stop, r.id
	r.mu.Unlock()
	go srv.Serve(l)
	r.beat()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(heartbeatMs) * time.Millisecond):
				r.beat()
			}
		}
	}()
	r.w.logf("replica %s of %s starts as %s at %s", r.name, r.service, id, r.addr)
}

func (r *replica) beat() {
	r.mu.Lock()
	r.seq++
	entry := map[string]any{
		"backend": r.service, "address": r.addr, "zone": "z1", "version": "v1", "slots": r.slots,
		"lifecycle": "ready", "cold_left_ms": 0, "seq_num": r.seq, "born": r.born,
	}
	id, revision := r.id, r.revision
	r.mu.Unlock()
	// An entry changes when more than seq_num changes, also by another writer.
	if now := r.w.store.revisionOf("servers/" + id); now == 0 || now != revision {
		now = r.w.store.write("servers/"+id, entry)
		r.mu.Lock()
		r.revision = now
		r.mu.Unlock()
	}
}

// crash ends the incarnation: its entry goes after three periods of silence, and the
// replica is back with a new id after backMs.
func (r *replica) crash(backMs int) {
	r.mu.Lock()
	id, n := r.id, r.n
	close(r.stop)
	r.server.Close()
	r.mu.Unlock()
	time.AfterFunc(3*time.Duration(heartbeatMs)*time.Millisecond, func() {
		r.mu.Lock()
		back := r.id == id && r.n > n
		r.mu.Unlock()
		if !back {
			r.w.store.remove("servers/" + id)
		}
	})
	time.AfterFunc(time.Duration(backMs)*time.Millisecond, r.start)
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	id, sem, stop := r.id, r.sem, r.stop
	r.mu.Unlock()
	attempt := q.Header.Get("X-Attempt-Id")
	h := w.Header()
	if attempt != "" {
		h.Set("X-Attempt-Id", attempt)
	}
	if want := q.Header.Get("X-Expected-Replica"); want != "" && want != id {
		h.Set("X-Replica-Id", id)
		r.w.arrived(r, q, id, "421")
		w.WriteHeader(421)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if r.waiting.Add(1) > replicaQueue {
		r.waiting.Add(-1)
		r.w.arrived(r, q, id, "shed")
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	select {
	case sem <- struct{}{}:
		r.waiting.Add(-1)
	case <-q.Context().Done():
		r.waiting.Add(-1)
		return
	case <-stop:
		r.waiting.Add(-1)
		return
	}
	defer func() { <-sem }()
	r.w.arrived(r, q, id, "run")
	act := actAnswer
	if r.on != nil {
		act = r.on(r, q, body)
	}
	if act == actCrash {
		r.crash(crashBackMs)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(time.Duration(r.workMs) * time.Millisecond):
	case <-q.Context().Done():
		return
	case <-stop:
		panic(http.ErrAbortHandler)
	}
	receiptName := "X-Response-Signature"
	if act == actSpoil {
		receiptName = "X-Response-Sagnature"
	}
	h.Set(receiptName, "sig-"+id)
	if act == actError {
		w.WriteHeader(500)
	}
	fmt.Fprintf(w, "answer to %s", strings.Repeat(attempt+" ", 4))
}
