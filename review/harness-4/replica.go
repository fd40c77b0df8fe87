package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a request at a replica.
type run struct {
	attempt string
	replica string
	method  string
	target  string // request target as it was received
	host    string
	tokens  string // X-Token-Usage
	began   time.Duration
	ended   time.Duration // 0 while the replica works on it
	how     string
	from    int // events before those of this run
}

// replica is a stand-in of a replica. It serves one request at a time on a channel and
// drops a request when its channel closes.
type replica struct {
	id      string
	service string
	slots   int
	rec     *record
	address string

	events   int           // of a stream
	interval time.Duration // between two events
	work     time.Duration // of a plain request
	slow     bool          // reads bodies slowly
	version  string
	fails    float64 // the portion of its answers to plain requests that are failures

	listener net.Listener
	mu       sync.Mutex
	runs     []*run
	seq      int
	born     int64
	stop     chan struct{}
	channels map[net.Conn]bool
	down     bool // crashed or closed
}

func newReplica(id, service string, slots int, rec *record) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &replica{
		id: id, service: service, slots: slots, rec: rec, listener: l, address: l.Addr().String(),
		events: 40, interval: 100 * time.Millisecond, work: 15 * time.Millisecond, version: "v1",
		born: time.Now().UnixMilli(), stop: make(chan struct{}), channels: map[net.Conn]bool{},
	}, nil
}

// start serves, and registers the replica in the store.
func (r *replica) start(s *store) {
	r.beat(s)
	go func() {
		for {
			c, err := r.listener.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	go func() {
		t := time.NewTicker(1200 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-r.stop:
				return
			case <-t.C:
				r.beat(s)
			}
		}
	}()
}

func (r *replica) beat(s *store) {
	r.mu.Lock()
	first := r.seq == 0
	r.seq = 1
	r.mu.Unlock()
	if !first {
		return // the entry changes when more than seq_num changes
	}
	s.put("servers/"+r.id, map[string]any{
		"backend": r.service, "address": r.address, "zone": "z1", "version": r.version, "slots": r.slots,
		"lifecycle": "ready", "cold_left_ms": 0, "phase": "colocated",
		"models":  []map[string]any{{"name": "m", "version": 1, "adapter_ids": []string{}}},
		"seq_num": 1, "born": r.born,
	})
}

// crash ends the replica: its port refuses connections, and its channels end.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return
	}
	r.down = true
	close(r.stop)
	_ = r.listener.Close()
	for c := range r.channels {
		_ = c.Close()
	}
}

func (r *replica) close() {
	r.crash()
}

// track adds a channel, or reports that the replica is down.
func (r *replica) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return false
	}
	r.channels[c] = true
	return true
}

func (r *replica) forget(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.channels, c)
}

func (r *replica) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var copies []run
	for _, x := range r.runs {
		copies = append(copies, *x)
	}
	return copies
}

func (r *replica) active() int {
	n := 0
	for _, x := range r.all() {
		if x.ended == 0 {
			n++
		}
	}
	return n
}

func (r *replica) begin(req *http.Request, from int) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := &run{
		attempt: req.Header.Get("X-Attempt-Id"), replica: r.id, method: req.Method, target: req.RequestURI, host: req.Host,
		tokens: req.Header.Get("X-Token-Usage"), began: r.rec.now(), from: from,
	}
	r.runs = append(r.runs, x)
	r.rec.line("run    %s begins %s %s %s (host %s, deadline %s ms, after event %d)", r.id, x.attempt, x.method, x.target, x.host, req.Header.Get("X-Deadline-Ms"), from)
	return x
}

func (r *replica) end(x *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.ended = max(r.rec.now(), 1)
	x.how = how
	r.rec.line("run    %s ends   %s: %s", r.id, x.attempt, how)
}

func (r *replica) serve(c net.Conn) {
	defer c.Close()
	if !r.track(c) {
		return
	}
	defer r.forget(c)
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if err := r.readBody(req); err != nil {
			r.rec.line("cut    %s: the request %s ended in its body: %v", r.id, req.Header.Get("X-Attempt-Id"), err)
			return
		}
		if !r.answer(c, br, req) {
			return
		}
	}
}

// answer serves one request, and reports whether the channel stays open.
func (r *replica) answer(c net.Conn, br *bufio.Reader, req *http.Request) bool {
	attempt := req.Header.Get("X-Attempt-Id")
	if req.Method == http.MethodGet && req.URL.Path == "/healthz" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Replica-Id: %s\r\nX-Replica-Load: %d,0,%d\r\nContent-Length: 0\r\n\r\n", r.id, r.active(), r.slots)
		return err == nil
	}
	if expected := req.Header.Get("X-Expected-Replica"); expected != "" && expected != r.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt, r.id)
		return err == nil
	}
	if r.active() >= r.slots+24 {
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
		return err == nil
	}
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	x := r.begin(req, from)
	head := fmt.Sprintf("X-Attempt-Id: %s\r\nX-Response-Signature: sig.%s.%s\r\nX-Replica-Load: %d,0,%d\r\n", attempt, r.id, attempt, r.active(), r.slots)
	if req.Header.Get("X-Model-Id") != "" {
		return r.stream(c, br, x, head)
	}
	gone := watchClose(c, br)
	select {
	case <-gone.closed:
		r.end(x, "the channel was closed")
		return false
	case <-time.After(r.work):
	}
	if !gone.stopWatching(c) {
		r.end(x, "the channel was closed")
		return false
	}
	if rand.Float64() < r.fails {
		r.end(x, "failed")
		_, err := fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\n%sContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	body := "answer to " + attempt
	r.end(x, "answered")
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return err == nil
}

// closeWatch tells when the peer closes a channel on which a request runs.
type closeWatch struct {
	closed chan struct{}
	done   chan struct{}
}

func watchClose(c net.Conn, br *bufio.Reader) *closeWatch {
	w := &closeWatch{closed: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		_, err := br.Peek(1)
		if ne, ok := err.(net.Error); err != nil && !(ok && ne.Timeout()) {
			close(w.closed)
		}
	}()
	return w
}

// stopWatching ends the watch and reports whether the channel is still open.
func (w *closeWatch) stopWatching(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now())
	<-w.done
	_ = c.SetReadDeadline(time.Time{})
	select {
	case <-w.closed:
		return false
	default:
		return true
	}
}

func event(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, attempt, n)
}

// stream answers with events in chunks.
func (r *replica) stream(c net.Conn, br *bufio.Reader, x *run, head string) bool {
	gone := watchClose(c, br)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		r.end(x, "the channel was closed")
		return false
	}
	for n := x.from + 1; n <= r.events; n++ {
		select {
		case <-gone.closed:
			r.end(x, fmt.Sprintf("the channel was closed before event %d", n))
			return false
		case <-time.After(r.interval):
		}
		text := event(x.attempt, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			r.end(x, fmt.Sprintf("the channel was closed before event %d", n))
			return false
		}
	}
	if !gone.stopWatching(c) {
		r.end(x, "the channel was closed at its end")
		return false
	}
	r.end(x, "whole")
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// engines returns replicas of the engine service.
func engines(rec *record, count, events int, interval time.Duration) ([]*replica, error) {
	var replicas []*replica
	for n := range count {
		r, err := newReplica(fmt.Sprintf("i-engine%02d", n), "engines", 6, rec)
		if err != nil {
			return nil, err
		}
		r.events = events
		r.interval = interval
		replicas = append(replicas, r)
	}
	return replicas, nil
}
