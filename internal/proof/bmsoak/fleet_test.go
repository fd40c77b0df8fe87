package bmsoak

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"basilmoor.example/basilmoor/internal/standin/bmstandinplatform"
)

const (
	hosts    = 3
	services = 2

	// hostname is the value of the Host header of all requests.
	hostname = "soak.example"

	// Ports of a host.
	callersPort   = 8001
	readyPort     = 8002
	firstPeerPort = 8003
	lastPeerPort  = 8004

	// revokeBound is the value of the setting revoke_ms.
	revokeBound = 5 * time.Second

	// configBound is the time within which a change of the desired state is in effect
	// on all hosts.
	configBound = 5 * time.Second

	// grace is the value of the setting grace_s.
	grace = 8 * time.Second

	// longLimit is the time limit of long streams. A host that gets the signal to
	// stop right after it took one can finish it within the grace.
	longLimit = 7 * time.Second

	// hostMemory is the value of the setting memory_mb, in bytes.
	hostMemory int64 = 256 << 20

	// recoveryTimeout bounds each wait for a host to become ready, at the start
	// and after the last fault.
	recoveryTimeout = 30 * time.Second
)

// fleet is a set of entry hosts that use a stand-in of the platform, with a
// proxy on each network path that the test disturbs.
type fleet struct {
	t        *testing.T
	dir      string
	binary   string
	store    *bmstandinplatform.Store
	replicas map[string]*bmstandinplatform.Replica
	entries  map[string]map[string]any // of the replicas in the store
	targets  []*proxy                  // one in front of each replica
	hosts    []*host
	maxFiles int // limit of open files of each host's process; 0 for that of the test

	mu      sync.Mutex
	version int
	keys    map[string]bool
}

// host is an entry host whose process is restarted whenever it exits.
type host struct {
	fleet    *fleet
	name     string
	settings string // path of the settings file
	callers  string
	ready    string
	store    *proxy

	mu             sync.Mutex
	process        *exec.Cmd
	stopped        bool          // the process is not restarted
	supervisorDone chan struct{} // closed when run returns
}

// newFleet starts the hosts and the services, and the given number of engines.
func newFleet(t *testing.T, binary string, engines int) *fleet {
	t.Helper()
	f := newStoppedFleet(t, binary, engines)
	f.start()
	return f
}

// newStoppedFleet returns a fleet whose hosts have not been started.
func newStoppedFleet(t *testing.T, binary string, engines int) *fleet {
	t.Helper()
	store, stopStore := bmstandinplatform.NewStore()
	t.Cleanup(stopStore)
	f := &fleet{
		t:        t,
		dir:      t.TempDir(),
		binary:   binary,
		store:    store,
		replicas: map[string]*bmstandinplatform.Replica{},
		entries:  map[string]map[string]any{},
		keys: map[string]bool{
			"key-kept": true,
		},
	}
	t.Cleanup(f.saveLogs)
	f.writeConfiguration()
	for i := range engines {
		f.addReplica(fmt.Sprint("e", i), "engines")
	}
	for i := range services {
		f.addReplica(fmt.Sprint("s", i), "services")
	}
	for i := range hosts {
		f.addHost(fmt.Sprint("h", i))
	}
	return f
}

func (f *fleet) start() {
	f.t.Helper()
	for _, h := range f.hosts {
		h.start()
	}
	f.waitReady()
	for _, h := range f.hosts {
		h.writeSettings(false)
	}
}

func (f *fleet) addReplica(id, pool string) {
	r, stop := bmstandinplatform.NewReplica(id)
	f.t.Cleanup(stop)
	p := newProxy(f.t, r.Address())
	f.replicas[id] = r
	f.targets = append(f.targets, p)
	f.entries[id] = bmstandinplatform.EntryAt(p.address(), pool, "ready")
	f.store.Put("servers/"+id, f.entries[id])
}

// writeConfiguration writes the next version of the desired state, with the
// keys that are valid now.
func (f *fleet) writeConfiguration() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.putConfiguration()
}

// putConfiguration writes the current version of the desired state. f.mu is held.
func (f *fleet) putConfiguration() {
	keys := slices.AppendSeq([]string{}, maps.Keys(f.keys))
	slices.Sort(keys)
	route := func(name, kind, pool string, attempts int, timeout time.Duration) map[string]any {
		return map[string]any{
			"name":              name,
			"hostname":          hostname,
			"prefix":            "/" + name + "/",
			"route_type":        kind,
			"timeout_ms":        timeout.Milliseconds(),
			"target_latency_ms": 800,
			"target_itl_ms":     300,
			"backend":           pool,
			"max_attempts":      attempts,
			"stream_resume":     kind == "streaming",
		}
	}
	f.store.Put("op/config", map[string]any{
		"version": f.version,
		"routes": []any{
			route("stream", "streaming", "engines", 3, 4*time.Second),
			route("stream/long", "streaming", "engines", 3, longLimit),
			route("stream/flood", "streaming", "engines", 1, floodLimit),
			route("again", "idempotent", "services", 2, 4*time.Second),
			route("once", "non_idempotent", "services", 1, 4*time.Second),
			route("silent", "non_idempotent", "services", 1, time.Minute),
		},
		"backends": []any{
			map[string]any{"name": "engines", "engine": map[string]any{"slots": 4, "stride": 1}},
			map[string]any{"name": "services"},
		},
		"limits": map[string]any{"max_body_bytes": 1000, "header_timeout_ms": 3000},
		"tenants": []any{map[string]any{
			"name": "w", "api_keys": keys, "unit": "tokens", "uncached_tokens": 1, "rate_per_s": 1e6, "burst": 1e6,
		}},
	})
}

// restoreStore replaces the store by a copy. The operator writes again what it had
// written since, a while after the store is back.
func (f *fleet) restoreStore(c bmstandinplatform.Copy, rewriteDelay time.Duration) {
	f.store.Restore(c)
	time.Sleep(rewriteDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.putConfiguration()
}

// setKey adds or revokes a key and returns once the store holds the
// change.
func (f *fleet) setKey(key string, valid bool) {
	f.mu.Lock()
	if valid {
		f.keys[key] = true
	} else {
		delete(f.keys, key)
	}
	f.mu.Unlock()
	f.writeConfiguration()
}

func (f *fleet) addHost(name string) {
	ip := bmstandinplatform.HostIP()
	h := &host{
		fleet:    f,
		name:     name,
		settings: filepath.Join(f.dir, name+".json"),
		callers:  fmt.Sprint(ip, ":", callersPort),
		ready:    fmt.Sprint(ip, ":", readyPort),
		store:    newProxy(f.t, f.store.Address()),
	}
	h.writeSettings(true)
	f.hosts = append(f.hosts, h)
	f.t.Cleanup(h.stop)
}

// writeSettings writes the settings file. bootstrap is set while the whole fleet
// starts for the first time: then no host has spent anything of the quotas.
func (h *host) writeSettings(bootstrap bool) {
	ip, _, err := net.SplitHostPort(h.callers)
	require.NoError(h.fleet.t, err)
	raw, err := json.Marshal(map[string]any{
		"node_name":    h.name,
		"ip":           ip,
		"bootstrap":    bootstrap,
		"zone":         "z1",
		"listen_addrs": map[string]any{"frontend": h.callers, "ready": h.ready},
		"port_range":   []int{firstPeerPort, lastPeerPort},
		"limits":       map[string]any{"cpu_fraction": 1, "memory_mb": hostMemory >> 20, "max_fds": h.fleet.maxFiles},
		"bounds": map[string]any{
			"drain_ms": 2000, "grace_s": grace.Seconds(), "revoke_ms": revokeBound.Milliseconds(), "retry_ratio": 0.5,
			"retry_window_s": 10, "retry_slack": 100, "quota_window_s": 8,
		},
		"platform": map[string]any{"address": h.store.address(), "min_ttl_ms": 1000},
	})
	require.NoError(h.fleet.t, err)
	require.NoError(h.fleet.t, os.WriteFile(h.settings, raw, 0o600))
}

// start starts the process and restarts it whenever it exits.
func (h *host) start() {
	h.supervisorDone = make(chan struct{})
	h.mu.Lock()
	defer h.mu.Unlock()
	require.NoError(h.fleet.t, h.launch())
	go h.run()
}

func (h *host) logPath() string {
	return filepath.Join(h.fleet.dir, h.name+".log")
}

func (h *host) launch() error {
	log, err := os.OpenFile(h.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.process = exec.Command(h.fleet.binary, "entry", "-settings", h.settings)
	h.process.Stdout = log
	h.process.Stderr = log
	if err := h.process.Start(); err != nil {
		return err
	}
	return h.limitFiles()
}

// limitFiles limits the open files of the process that was just started.
func (h *host) limitFiles() error {
	if h.fleet.maxFiles == 0 {
		return nil
	}
	limit := unix.Rlimit{
		Cur: uint64(h.fleet.maxFiles),
		Max: uint64(h.fleet.maxFiles),
	}
	return unix.Prlimit(h.process.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil)
}

func (h *host) run() {
	defer close(h.supervisorDone)
	for {
		h.mu.Lock()
		process := h.process
		h.mu.Unlock()
		_ = process.Wait() // most exits are injected faults
		time.Sleep(200 * time.Millisecond)
		h.mu.Lock()
		if h.stopped {
			h.mu.Unlock()
			return
		}
		err := h.launch()
		h.mu.Unlock()
		if err != nil {
			h.fleet.t.Errorf("%s failed to restart: %v", h.name, err)
			return
		}
	}
}

// signal sends a signal to the current process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.process.Process.Signal(s) // the process may have exited already
}

func (h *host) stop() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	if h.supervisorDone == nil {
		return
	}
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.supervisorDone
}

func (h *host) isReady() bool {
	client := &http.Client{
		Timeout: time.Second,
	}
	resp, err := client.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) waitReady() {
	f.t.Helper()
	for _, h := range f.hosts {
		if !assert.Eventually(f.t, h.isReady, recoveryTimeout, 20*time.Millisecond, "%s is not ready", h.name) {
			f.t.Fatalf("end of the log of %s:\n%s", h.name, h.endOfLog())
		}
	}
}

// endOfLog returns the last lines that the host's processes have logged.
func (h *host) endOfLog() string {
	const shownBytes = 4000
	log, err := os.ReadFile(h.logPath())
	if err != nil {
		return err.Error()
	}
	return string(log[max(0, len(log)-shownBytes):])
}

// logOf returns the lines that the hosts have logged about a request, and those of level
// warn, by host.
func (f *fleet) logOf(attempt string) string {
	var out strings.Builder
	for _, h := range f.hosts {
		log, err := os.ReadFile(h.logPath())
		if err != nil {
			return err.Error()
		}
		for line := range strings.Lines(string(log)) {
			if strings.Contains(line, `"`+attempt+`"`) || strings.Contains(line, `"level":"warn"`) {
				out.WriteString(h.name + " " + line)
			}
		}
	}
	return out.String()
}

// saveLogs copies the hosts' logs to the directory SOAK_LOGS, if that is set and
// the test has failed.
func (f *fleet) saveLogs() {
	dir := os.Getenv("SOAK_LOGS")
	if !f.t.Failed() || dir == "" {
		return
	}
	assert.NoError(f.t, os.CopyFS(filepath.Join(dir, strings.ReplaceAll(f.t.Name(), "/", "-")), os.DirFS(f.dir)))
}
