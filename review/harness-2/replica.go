package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// request is a request as it reached a replica.
type request struct {
	method, target string // as in the request line
	header         textproto.MIMEHeader
	body           []byte
}

func (r request) attempt() string {
	return r.header.Get("X-Attempt-Id")
}

// channel is a channel on which a replica has read a request.
type channel struct {
	net.Conn
	gone chan struct{} // closed when the other end has closed or reset the channel
}

// closed reports whether the replica sees that its channel was closed.
func (c *channel) closed() bool {
	select {
	case <-c.gone:
		return true
	default:
		return false
	}
}

// replica is a stand-in for a replica. It serves one request at a time on a channel and
// answers 421 if another replica is expected.
type replica struct {
	id      string
	service string
	born    int64
	rec     *record
	// run runs a request and writes its answer. The channel is closed if it returns false.
	run func(r *replica, c *channel, q request) bool

	listener net.Listener

	mu   sync.Mutex
	runs []run
}

// run is one run of a request.
type run struct {
	replica string
	request request
	began   time.Time
	ended   time.Time // zero while it goes on
}

// startReplica starts a replica and writes its entry to the store.
func startReplica(s *store, rec *record, id, service string, serve func(r *replica, c *channel, q request) bool) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, born: time.Now().UnixMilli(), rec: rec, run: serve, listener: l}
	go r.accept()
	s.put("servers/"+id, replicaEntry(service, l.Addr().String(), r.born))
	return r, nil
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *replica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		q, err := readRequest(in)
		if err != nil {
			return
		}
		if q.target == "/healthz" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Replica-Id: %s\r\nX-Replica-Load: 0,0,6\r\nContent-Length: 0\r\n\r\n", r.id)
			continue
		}
		if q.header.Get("X-Expected-Replica") != r.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", q.attempt())
			continue
		}
		ch := &channel{Conn: c, gone: make(chan struct{})}
		watched := make(chan struct{})
		go func() {
			// No request is sent on the channel before the answer, so that only its end
			// can be read, unless the answer has ended.
			defer close(watched)
			if _, err := in.Peek(1); err != nil {
				close(ch.gone)
			}
		}()
		n := r.begin(q)
		keep := r.run(r, ch, q)
		r.end(n)
		if !keep || ch.closed() {
			return
		}
		<-watched
		if ch.closed() {
			return
		}
	}
}

// begin records the start of a run.
func (r *replica) begin(q request) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run{replica: r.id, request: q, began: time.Now()})
	r.rec.add("replica %s (%s) begins to run attempt %s: %s %s, Last-Event-Id %q", r.id, r.service, q.attempt(), q.method, q.target, q.header.Get("Last-Event-Id"))
	return len(r.runs) - 1
}

func (r *replica) end(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[n].ended = time.Now()
	r.rec.add("replica %s ends its run of attempt %s", r.id, r.runs[n].request.attempt())
}

// allRuns returns the runs so far. One that still goes on ends now.
func (r *replica) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := append([]run(nil), r.runs...)
	for i := range runs {
		if runs[i].ended.IsZero() {
			runs[i].ended = time.Now()
		}
	}
	return runs
}

// readRequest reads a request and its body.
func readRequest(in *bufio.Reader) (request, error) {
	tp := textproto.NewReader(in)
	line, err := tp.ReadLine()
	if err != nil {
		return request{}, err
	}
	fields := strings.Split(line, " ")
	if len(fields) != 3 {
		return request{}, fmt.Errorf("request line %q", line)
	}
	q := request{method: fields[0], target: fields[1]}
	if q.header, err = tp.ReadMIMEHeader(); err != nil {
		return request{}, err
	}
	n, _ := strconv.Atoi(q.header.Get("Content-Length"))
	q.body = make([]byte, n)
	_, err = io.ReadFull(in, q.body)
	return q, err
}

// answerHead returns the head of a whole answer in chunks.
func answerHead(r *replica, q request, contentType string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s.%s\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		q.attempt(), r.id, q.attempt(), contentType)
}

// chunk encodes a chunk of a body.
func chunk(data string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
}

// event is the event of a stream with an id.
func event(attempt string, id int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", id, attempt, id)
}

// servePlain runs a request of a plain service for 15 ms and answers it.
func servePlain(r *replica, c *channel, q request) bool {
	time.Sleep(15 * time.Millisecond)
	body := "done by " + r.id
	_, err := io.WriteString(c, answerHead(r, q, "text/plain")+chunk(body)+"0\r\n\r\n")
	return err == nil
}
