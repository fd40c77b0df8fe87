package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment: a store, replicas and entry hosts on loopback addresses.
type world struct {
	trouble bool
	root    string // of the repository
	dir     string // temporary folder
	net     string // first three numbers of the addresses
	nextIP  int
	store   *store
	began   time.Time

	mu      sync.Mutex
	record  io.Writer
	runs    []run
	hosts   []*host
	version int64
}

// run is a request that a replica began to run.
type run struct {
	at      time.Time
	replica string
	id      string
	method  string
	target  string // the request target, as received
	host    string
	tenant  string
	body    string
	header  http.Header
}

// recordf writes a line of the record.
func (w *world) recordf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) ip() string {
	w.nextIP++
	return fmt.Sprintf("%s.%d", w.net, w.nextIP)
}

// newID returns a random id.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// newWorld starts the store.
func newWorld(root, folder string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "basilmoor-case-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	var b [2]byte
	_, _ = rand.Read(b[:])
	w := &world{
		trouble: trouble,
		root:    root,
		dir:     dir,
		net:     fmt.Sprintf("127.%d.%d", 20+int(b[0])%200, b[1]),
		record:  record,
		began:   time.Now(),
	}
	if w.store, err = newStore(w.ip()); err != nil {
		return nil, err
	}
	w.recordf("TROUBLE=%v", trouble)
	return w, nil
}

// close ends all processes.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	_ = os.RemoveAll(w.dir)
}

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// endOnSignal ends all processes if the case is ended from outside, or takes too long.
func (w *world) endOnSignal() {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-ch:
		w.recordf("the case could not run: %v", s)
	case <-time.After(limit):
		w.recordf("the case could not run: it took longer than %v", limit)
	}
	w.close()
	os.Exit(2)
}

// host is an entry host.
type host struct {
	w        *world
	name     string
	ip       string
	settings string
	boot     bool // the whole system starts for the first time
	drain    any  // drain_ms of the settings

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	log   string
}

func (h *host) frontend() string { return h.ip + ":8221" }

// addHost writes the settings of an entry host and starts it.
func (w *world) addHost() *host {
	h := &host{w: w, ip: w.ip(), boot: true, drain: 2000}
	h.name = fmt.Sprintf("edge-%d", len(w.hosts)+1)
	h.settings = filepath.Join(w.dir, h.name+".json")
	h.log = filepath.Join(w.dir, h.name+".log")
	w.hosts = append(w.hosts, h)
	h.start()
	return h
}

func (h *host) writeSettings() {
	zone := "kinston"
	settings := map[string]any{
		"node_name": h.name, "role": "entry", "machine_class": "edge", "serves": []string{"edge"},
		"ip": h.ip, "zone": zone, "region": "carolina-east", "zones": map[string]string{zone: "carolina-east"},
		"listen_addrs": map[string]string{"frontend": h.frontend(), "ready": h.ip + ":8224"},
		"port_range":   []int{7600, 7615}, "seed_nodes": []string{}, "bootstrap": h.boot, "failure_counted": false,
		"limits":   map[string]any{"cpu_fraction": 0.4, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "stable_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4, "drain_ms": h.drain,
			"grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
			"strict_revoke": true, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52,
			"quota_window_s": 8, "quota_excess": 0.1, "quota_slack": 190000, "recovery_s": 12, "event_lag_ms": 120, "retry_after_s": 10,
		},
		"platform": map[string]any{"address": h.w.store.address, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
	}
	raw, _ := json.MarshalIndent(settings, "", "  ")
	if err := os.WriteFile(h.settings, raw, 0o600); err != nil {
		panic(err)
	}
}

// start starts the process with the command of the deploy file.
func (h *host) start() {
	h.writeSettings()
	h.boot = false
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	cmd := exec.Command(filepath.Join(h.w.root, "target/basilmoor"), "entry", "-metrics-port", "9464", "-prefill-limits")
	cmd.Dir = h.w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BASILMOOR_BOOT=" + h.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.ended = cmd, ended
	h.mu.Unlock()
	h.w.recordf("%s starts", h.name)
	go func() {
		err := cmd.Wait()
		out.Close()
		h.w.recordf("%s has ended: %v", h.name, err)
		close(ended)
	}()
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s)
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	<-ended
}

func (h *host) alive() bool {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// ready asks as the platform does.
func (h *host) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + h.ip + ":8224/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// lastLine returns the last line of the log that contains text.
func (h *host) lastLine(text string) string {
	raw, _ := os.ReadFile(h.log)
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if strings.Contains(lines[i], text) {
			return lines[i]
		}
	}
	return ""
}

// errCannotRun means that a case did not come about.
type errCannotRun struct{ why string }

func cannotRun(format string, args ...any) { panic(errCannotRun{fmt.Sprintf(format, args...)}) }

// await waits for a condition, up to 10 s.
func await(what string, f func() bool) {
	for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			cannotRun("waited in vain: %s", what)
		}
	}
}

func (w *world) awaitReady() {
	for _, h := range w.hosts {
		await(h.name+" is ready", h.ready)
	}
	w.recordf("all hosts are ready")
}

// replica is a server. Its address has a listener only while it is up.
type replica struct {
	w       *world
	id      string
	backend string
	address string
	slots   int
	born    int64
	answer  func(r *replica, c net.Conn, req *http.Request, body string) bool // false: the channel ends

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
}

// addReplica starts a replica and registers it.
func (w *world) addReplica(backend string, slots int, answer func(*replica, net.Conn, *http.Request, string) bool) *replica {
	r := &replica{w: w, backend: backend, slots: slots, answer: answer, address: w.ip() + ":8080"}
	r.up()
	return r
}

// up starts the replica's process anew, with a new id.
func (r *replica) up() {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		cannotRun("listen: %v", err)
	}
	r.mu.Lock()
	r.id = "i-" + newID()[:8]
	r.born = time.Now().UnixMilli()
	r.listener, r.down = l, false
	r.conns = map[net.Conn]bool{}
	r.mu.Unlock()
	go r.serve(l, r.id)
	r.register("ready")
	r.w.recordf("replica %s of %s is up at %s", r.id, r.backend, r.address)
}

func (r *replica) register(lifecycle string) {
	r.w.store.put("servers/"+r.id, map[string]any{
		"backend": r.backend, "address": r.address, "zone": "kinston", "version": "v1", "slots": r.slots, "lifecycle": lifecycle,
		"cold_left_ms": 0, "phase": "colocated", "models": []map[string]any{{"name": "m", "version": 1, "adapter_ids": []int{}}}, "seq_num": 1, "born": r.born,
	})
}

// crash ends the replica's process: its channels are reset and its port is closed. Its
// entry goes after three status reports of silence; it is back after the given time.
func (r *replica) crash(back time.Duration) {
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return
	}
	r.down = true
	id := r.id
	r.listener.Close()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	r.mu.Unlock()
	r.w.recordf("replica %s crashes", id)
	time.AfterFunc(3600*time.Millisecond, func() { r.w.store.remove("servers/" + id) })
	time.AfterFunc(back, r.up)
}

func (r *replica) serve(l net.Listener, id string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serveConn(c, id)
	}
}

func (r *replica) serveConn(c net.Conn, id string) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		raw, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		attempt := req.Header.Get("X-Attempt-Id")
		if e := req.Header.Get("X-Expected-Replica"); e != "" && e != id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt, id)
			continue
		}
		if req.URL.Path == "/healthz" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		w := r.w
		w.mu.Lock()
		w.runs = append(w.runs, run{
			at: time.Now(), replica: id, id: attempt, method: req.Method, target: req.RequestURI,
			host: req.Host, tenant: req.Header.Get("X-Tenant-Id"), body: string(raw), header: req.Header,
		})
		w.mu.Unlock()
		w.recordf("replica %s runs %s: %s %s tenant=%q", id, attempt, req.Method, req.RequestURI, req.Header.Get("X-Tenant-Id"))
		if !r.answer(r, c, req, string(raw)) {
			return
		}
	}
}

// ok answers with success.
func ok(r *replica, c net.Conn, req *http.Request, _ string) bool {
	body := "answer of " + r.id
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s.%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		req.Header.Get("X-Attempt-Id"), r.id, req.Header.Get("X-Attempt-Id"), len(body), body)
	return err == nil
}

// event writes one event of a stream whose head was written.
func event(c net.Conn, n int) error {
	e := fmt.Sprintf("id: %d\ndata: token-%d\n\n", n, n)
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
	return err
}

func streamHead(r *replica, c net.Conn, req *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		req.Header.Get("X-Attempt-Id"), r.id, req.Header.Get("X-Attempt-Id"))
}

// stream answers with a short stream.
func stream(r *replica, c net.Conn, req *http.Request, _ string) bool {
	streamHead(r, c, req)
	for n := 1; n <= 5; n++ {
		time.Sleep(20 * time.Millisecond)
		if event(c, n) != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// runsOf returns the runs with an attempt id.
func (w *world) runsOf(id string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []run
	for _, r := range w.runs {
		if r.id == id {
			found = append(found, r)
		}
	}
	return found
}

// result is what a client saw.
type result struct {
	id     string
	sent   time.Time
	status int // 0: none
	header http.Header
	body   string
	err    error
	took   time.Duration
}

// request is what a client sends.
type request struct {
	method, target, key string
	limit               time.Duration
	header              []string // further lines
	body                string
}

// send sends a request on a new channel to an address.
func (w *world) send(address string, q request) result {
	r := result{id: newID(), sent: time.Now()}
	defer func() { r.took = time.Since(r.sent) }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer c.Close()
	if q.limit == 0 {
		q.limit = 2 * time.Second
	}
	_ = c.SetDeadline(time.Now().Add(q.limit + time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.target, r.id, q.limit.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", q.key)
	}
	for _, line := range q.header {
		b.WriteString(line + "\r\n")
	}
	if q.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	if _, r.err = io.WriteString(c, b.String()); r.err != nil {
		return r
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.header = resp.StatusCode, resp.Header
	raw, err := io.ReadAll(resp.Body)
	r.body, r.err = string(raw), err
	r.took = time.Since(r.sent)
	w.recordf("client: %s %s %s key=%q to %s: %d %q signature=%q err=%v after %d ms", r.id, q.method, q.target, q.key, address, r.status,
		strings.TrimSpace(r.body[:min(len(r.body), 60)]), r.header.Get("X-Response-Signature"), r.err, r.took.Milliseconds())
	return r
}

// tenant is a row of a desired state.
type tenant struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api_keys"`
	Prio  int      `json:"priority"`
	Unit  string   `json:"unit"`
	Plain int      `json:"uncached_tokens"`
	Rate  int      `json:"rate_per_s"`
	Burst int      `json:"burst"`
}

func route(name, prefix, kind, backend string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "hostname": "app.example", "prefix": prefix, "route_type": kind, "timeout_ms": 12000, "target_latency_ms": 800,
		"priority": 0, "backend": backend, "max_attempts": 2, "public": false, "session_affinity": kind == "streaming", "stream_resume": false, "target_itl_ms": 300,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// configure writes the next desired state and records its ack.
func (w *world) configure(routes []map[string]any, tenants []tenant) time.Time {
	w.version += 3
	w.store.put("op/config", map[string]any{
		"version": w.version, "routes": routes,
		"backends": []map[string]any{
			{"name": "llm", "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 6, "kv_capacity": 694610, "kv_token_bytes": 18432, "link_mbps": 88000.0, "migrations": true, "backups": true, "stride": 3, "most": 12,
				"pin_ttl_ms": 4000.0, "hold_ms": 2000.0, "kv_handle_s": 5.0, "models": []map[string]any{{"name": "m"}}}},
			{"name": "app", "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
	ack := time.Now()
	raw, _ := json.Marshal(tenants)
	w.recordf("operator: version %d is acknowledged, tenants %s", w.version, raw)
	return ack
}
