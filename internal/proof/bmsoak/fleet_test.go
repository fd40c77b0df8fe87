package bmsoak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor/internal/standin/bmstandinplatform"
)

const (
	hosts    = 3
	engines  = 3
	services = 2

	// revokeBound is revoke_ms of the settings.
	revokeBound = 5 * time.Second

	// patience bounds the wait for recovery after the last fault.
	patience = 30 * time.Second
)

// fleet is a number of processes before a stand-in of the platform, with a
// proxy on each path that can fail.
type fleet struct {
	t        *testing.T
	dir      string
	binary   string
	store    *bmstandinplatform.Store
	replicas map[string]*bmstandinplatform.Replica
	targets  []*proxy // before the replicas
	hosts    []*host

	mu      sync.Mutex
	version int
	keys    map[string]bool
}

// host is one process, started again after each end.
type host struct {
	fleet    *fleet
	name     string
	settings string // file
	callers  string
	ready    string
	store    *proxy

	mu      sync.Mutex
	process *exec.Cmd
	stopped bool // no more starts
	ended   chan struct{}
}

func newFleet(t *testing.T, binary string) *fleet {
	t.Helper()
	store, stopStore := bmstandinplatform.NewStore()
	t.Cleanup(stopStore)
	f := &fleet{
		t:        t,
		dir:      t.TempDir(),
		binary:   binary,
		store:    store,
		replicas: map[string]*bmstandinplatform.Replica{},
		keys: map[string]bool{
			"key-kept": true,
		},
	}
	f.configure()
	for i := range engines {
		f.addReplica(fmt.Sprint("e", i), "engines")
	}
	for i := range services {
		f.addReplica(fmt.Sprint("s", i), "services")
	}
	for i := range hosts {
		f.addHost(fmt.Sprint("h", i))
	}
	for _, h := range f.hosts {
		h.start()
	}
	f.awaitReady()
	return f
}

func (f *fleet) addReplica(id, pool string) {
	r, stop := bmstandinplatform.NewReplica(id)
	f.t.Cleanup(stop)
	p := newProxy(f.t, r.Address())
	f.replicas[id] = r
	f.targets = append(f.targets, p)
	f.store.Put("servers/"+id, bmstandinplatform.EntryAt(p.address(), pool, "ready"))
}

// configure writes the next desired state with the present keys.
func (f *fleet) configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	keys := []string{}
	for key := range f.keys {
		keys = append(keys, key)
	}
	route := func(name, kind, pool string, attempts int) map[string]any {
		return map[string]any{
			"name":              name,
			"hostname":          "127.0.0.1",
			"prefix":            "/" + name + "/",
			"route_type":        kind,
			"timeout_ms":        4000,
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
			route("stream", "streaming", "engines", 3),
			route("again", "idempotent", "services", 2),
			route("once", "non_idempotent", "services", 1),
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

// setKey adds or takes away a key and returns after the store's ack.
func (f *fleet) setKey(key string, valid bool) {
	f.mu.Lock()
	if valid {
		f.keys[key] = true
	} else {
		delete(f.keys, key)
	}
	f.mu.Unlock()
	f.configure()
}

// freePorts returns the first of n ports in a row at which nothing listens.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	for range 200 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		first := l.Addr().(*net.TCPAddr).Port
		free := true
		for i := 1; i < n; i++ {
			next, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", first+i))
			if err != nil {
				free = false
				break
			}
			_ = next.Close()
		}
		_ = l.Close()
		if free {
			return first
		}
	}
	t.Fatal("no free ports in a row")
	return 0
}

func (f *fleet) addHost(name string) {
	first := freePorts(f.t, 4)
	h := &host{
		fleet:    f,
		name:     name,
		settings: filepath.Join(f.dir, name+".json"),
		callers:  fmt.Sprint("127.0.0.1:", first),
		ready:    fmt.Sprint("127.0.0.1:", first+1),
		store:    newProxy(f.t, f.store.Address()),
	}
	raw, err := json.Marshal(map[string]any{
		"node_name":    name,
		"ip":           "127.0.0.1",
		"zone":         "z1",
		"listen_addrs": map[string]any{"frontend": h.callers, "ready": h.ready},
		"port_range":   []int{first + 2, first + 3},
		"limits":       map[string]any{"cpu_fraction": 1, "memory_mb": 256},
		"bounds": map[string]any{
			"drain_ms": 2000, "grace_s": 8, "revoke_ms": revokeBound.Milliseconds(), "retry_ratio": 0.5,
			"retry_window_s": 10, "retry_slack": 100, "quota_window_s": 8,
		},
		"platform": map[string]any{"address": h.store.address(), "min_ttl_ms": 1000},
	})
	require.NoError(f.t, err)
	require.NoError(f.t, os.WriteFile(h.settings, raw, 0o600))
	f.hosts = append(f.hosts, h)
	f.t.Cleanup(h.stop)
}

// start starts the process and starts it again whenever it ends.
func (h *host) start() {
	h.ended = make(chan struct{})
	h.mu.Lock()
	defer h.mu.Unlock()
	require.NoError(h.fleet.t, h.launch())
	go h.run()
}

func (h *host) launch() error {
	log, err := os.OpenFile(filepath.Join(h.fleet.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.process = exec.Command(h.fleet.binary, "entry", "-settings", h.settings)
	h.process.Stdout = log
	h.process.Stderr = log
	return h.process.Start()
}

func (h *host) run() {
	defer close(h.ended)
	for {
		h.mu.Lock()
		process := h.process
		h.mu.Unlock()
		_ = process.Wait() // most ends are faults of the soak
		time.Sleep(200 * time.Millisecond)
		h.mu.Lock()
		if h.stopped {
			h.mu.Unlock()
			return
		}
		err := h.launch()
		h.mu.Unlock()
		if err != nil {
			h.fleet.t.Errorf("%s does not start: %v", h.name, err)
			return
		}
	}
}

// signal sends a signal to the present process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.process.Process.Signal(s) // it may have ended just now
}

func (h *host) stop() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	if h.ended == nil {
		return
	}
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.ended
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

func (f *fleet) awaitReady() {
	f.t.Helper()
	for _, h := range f.hosts {
		require.Eventually(f.t, h.isReady, patience, 20*time.Millisecond, "%s is not ready", h.name)
	}
}
