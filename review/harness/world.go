package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeatMs = 1200
	crashBackMs = 2000 // a replica that has crashed is back after some seconds
	stableMs    = 3000
	grace       = 8 * time.Second
)

// world is one small deployment: a store, entry processes and replicas.
type world struct {
	dir    string // temporary folder
	net    string // first three bytes of the loopback addresses
	root   string // repository
	store  *store
	record *os.File
	began  time.Time

	mu       sync.Mutex
	arrivals []arrival
	entries  []*entry
	service  map[string]string
}

// arrival is a request that has reached a replica.
type arrival struct {
	at      time.Time
	attempt string
	path    string
	tenant  string
	replica string
	service string
	what    string // run, shed or 421
	from    string // IP address of the machine that sent it
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, root: root, record: f, began: time.Now()}
	// A free part of the loopback network, so that the fixed port of the metrics is free.
	for range 50 {
		w.net = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		if l, err := net.Listen("tcp", w.net+"1:9464"); err == nil {
			l.Close()
			break
		}
	}
	w.store = startStore()
	return w, nil
}

func (w *world) ip(n int) string { return w.net + fmt.Sprint(n) }

func (w *world) ms() int64 { return time.Since(w.began).Milliseconds() }

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%7.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) arrived(r *replica, q *http.Request, id, what string) {
	from, _, _ := net.SplitHostPort(q.RemoteAddr)
	a := arrival{
		at: time.Now(), attempt: q.Header.Get("X-Attempt-Id"), path: q.URL.Path, tenant: q.Header.Get("X-Tenant-Id"),
		replica: id, service: r.service, what: what, from: from,
	}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	fmt.Fprintf(w.record, "%7.3f  replica %s %s %s %s tenant %q\n", a.at.Sub(w.began).Seconds(), id, what, a.attempt, a.path, a.tenant)
	w.mu.Unlock()
}

// entry is one machine with the process of the deploy file.
type entry struct {
	w        *world
	n        int
	name     string
	ip       string
	frontend string
	ready    string
	settings string

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{}
	starts    int
	touchedAt time.Time // last kill, start, SIGTERM or freeze of the process
	log       *os.File
}

type settingsOptions struct {
	bounds map[string]any
}

func (w *world) addEntry(n int, o settingsOptions) (*entry, error) {
	e := &entry{
		w: w, n: n, name: fmt.Sprintf("edge-z1-%d", n), ip: w.ip(n),
		frontend: w.ip(n) + ":8221", ready: w.ip(n) + ":8224",
		settings: filepath.Join(w.dir, fmt.Sprintf("settings-%d.json", n)),
	}
	bounds := map[string]any{
		"seed_lag_s": 3, "addr_reuse_s": 2, "stable_ms": stableMs, "ack_timeout_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
		"grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
		"strict_revoke": true, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52,
		"quota_window_s": 8, "quota_excess": 0.1, "quota_slack": 190000, "recovery_s": 12, "event_lag_ms": 120, "retry_after_s": 10,
	}
	for k, v := range o.bounds {
		bounds[k] = v
	}
	storeAddress, err := w.store.listen(w.ip(250), n)
	if err != nil {
		return nil, err
	}
	s := map[string]any{
		"node_name": e.name, "role": "entry", "machine_class": "edge", "serves": []string{"edge"}, "ip": e.ip,
		"zone": "z1", "region": "r1", "zones": map[string]string{"z1": "r1"},
		"listen_addrs": map[string]string{"frontend": e.frontend, "ready": e.ready},
		"port_range":   []int{7600, 7615}, "seed_nodes": []string{}, "bootstrap": true, "failure_counted": false,
		"limits":   map[string]any{"cpu_fraction": 0.4, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeatMs,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds":          bounds,
		"platform": map[string]any{"address": storeAddress, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000,
			"history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
	}
	if err := e.writeSettings(s); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.entries = append(w.entries, e)
	w.mu.Unlock()
	return e, e.start()
}

func (e *entry) writeSettings(s map[string]any) error {
	raw, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return os.WriteFile(e.settings, raw, 0o600)
}

// start runs the command of the deploy file.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	if e.starts == 2 {
		// bootstrap is true only at the first start of the whole system.
		raw, _ := os.ReadFile(e.settings)
		os.WriteFile(e.settings, []byte(strings.Replace(string(raw), `"bootstrap":true`, `"bootstrap":false`, 1)), 0o600)
	}
	out, err := os.Create(filepath.Join(e.w.dir, fmt.Sprintf("%s-%d.log", e.name, e.starts)))
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(e.w.root, "target/basilmoor"), "entry", "-metrics-port", "9464")
	cmd.Dir = e.w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.w.dir, "BASILMOOR_BOOT=" + e.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	e.log = out
	e.cmd = cmd
	done := make(chan struct{})
	e.done = done
	e.touchedAt = time.Now()
	e.w.logf("machine %s starts, pid %d", e.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		out.Close()
		e.w.logf("machine %s: process %d has ended: %v", e.name, cmd.Process.Pid, err)
		close(done)
	}()
	return nil
}

func (e *entry) signal(sig syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.touchedAt = time.Now()
	e.w.logf("machine %s gets %v", e.name, sig)
	e.cmd.Process.Signal(sig)
}

// kill ends the process with SIGKILL and waits for its end.
func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	<-e.done
}

// restart stops the process as the platform does, and starts it again.
func (e *entry) restart(pause time.Duration) error {
	e.signal(syscall.SIGTERM)
	select {
	case <-e.done:
	case <-time.After(grace):
		e.signal(syscall.SIGKILL)
		<-e.done
	}
	time.Sleep(pause)
	return e.start()
}

func (e *entry) running() bool {
	select {
	case <-e.done:
		return false
	default:
		return true
	}
}

// inTouch tells whether the process of the machine ran undisturbed for stable_ms before t.
func (e *entry) inTouch(t time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return t.Sub(e.touchedAt) >= stableMs*time.Millisecond
}

func (e *entry) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

func (e *entry) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if e.isReady() {
			return true
		}
	}
	return false
}

// metric returns a value of the machine's own metrics, for the choice of a machine only.
func (e *entry) metric(name string) string {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + e.ip + ":9464/metrics")
	if err != nil {
		return ""
	}
	defer r.Body.Close()
	sc := bufio.NewScanner(r.Body)
	for sc.Scan() {
		f := strings.Fields(sc.Text())
		if len(f) == 2 && f[0] == name {
			return f[1]
		}
	}
	return ""
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, e := range w.entries {
		if e.cmd != nil && e.running() {
			e.cmd.Process.Signal(syscall.SIGCONT)
			e.cmd.Process.Kill()
			<-e.done
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
	w.record.Close()
}

// answer is what a client has seen of one attempt.
type answer struct {
	attempt   string
	sent      time.Time // when its last byte was sent
	status    int       // 0: no complete answer
	signature string
	body      string
	err       error
}

// request is one attempt of a client, on a channel of its own.
type request struct {
	method, host, path, key string
	body                    []byte
	limitMs                 int
	header                  map[string]string
}

func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one attempt to a machine and waits for the answer.
func (w *world) send(e *entry, q request) answer {
	a := answer{attempt: newAttempt()}
	w.logf("client sends %s %s %s to %s", a.attempt, q.method, q.path, e.name)
	c, err := net.DialTimeout("tcp", e.frontend, time.Second)
	if err != nil {
		a.err = err
		a.sent = time.Now()
		w.logf("client of %s: no channel: %v", a.attempt, err)
		return a
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Duration(q.limitMs)*time.Millisecond + 2*time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.host, a.attempt, q.limitMs)
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", q.key)
	}
	for k, v := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if len(q.body) > 0 || q.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	_, err = c.Write(append([]byte(b.String()), q.body...))
	a.sent = time.Now()
	if err == nil {
		a.read(c, q.method)
	} else {
		a.err = err
	}
	w.logf("client of %s gets %d signature %q after %d ms %v", a.attempt, a.status, a.signature, time.Since(a.sent).Milliseconds(), errText(a.err))
	return a
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (a *answer) read(c net.Conn, method string) {
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		a.err = err
		return
	}
	a.status, a.signature, a.body = r.StatusCode, r.Header.Get("X-Response-Signature"), string(raw)
}

var errNotReady = errors.New("the machines did not become ready")

// config returns a desired state.
func config(version int, routes []map[string]any, services []string, tenants []map[string]any) map[string]any {
	var backends []map[string]any
	for _, s := range services {
		backends = append(backends, map[string]any{"name": s, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "backends": backends,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}

func route(name, prefix, kind, service string, timeoutMs, objectiveMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": "site.example", "prefix": prefix, "route_type": kind, "timeout_ms": timeoutMs,
		"target_latency_ms": objectiveMs, "priority": 0, "backend": service, "max_attempts": attempts, "public": false,
		"session_affinity": false, "stream_resume": false,
	}
}

func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys, "priority": 1, "unit": "requests", "rate_per_s": 0, "burst": 0}
}
