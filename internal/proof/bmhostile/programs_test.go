package bmhostile

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor/internal/node/bmadmin"
	"basilmoor.example/basilmoor/internal/node/bmnode"
	"basilmoor.example/basilmoor/internal/standin/bmstandinplatform"
)

// program is a running program under attack.
type program struct {
	process *process
	ports   map[string]string // addresses by name: callers, ready, metrics, peers, admin

	head           string // request line and fields of an ordinary request, without its end
	unansweredHead string // the same for a request that gets no answer; empty if there is none
	headLimit      int    // largest head that is served, in bytes
	bodyLimit      int    // largest body that is served, in bytes
	conns          int    // connections of callers that the program serves at the same time
}

const (
	entryHeadLimit = 32 << 10 // max_header_bytes
	entryBodyLimit = 1 << 20  // max_body_bytes
	entryConns     = 160      // of max_fds, after the parts for files, targets and the reserve

	nodeHeadLimit = 64 << 10
	nodeBodyLimit = 4 << 20
	nodeConns     = 200
	nodeToken     = "hostile-test-caller-token"
	operatorToken = "hostile-test-operator-token"

	hostname = "hostile.example"
	apiKey   = "key-kept"
)

// startEntry starts an entry host with a replica for ordinary requests, and one that
// reads and answers none.
func startEntry(t *testing.T) *program {
	t.Helper()
	store, stopStore := bmstandinplatform.NewStore()
	t.Cleanup(stopStore)
	replica, stopReplica := bmstandinplatform.NewReplica("s0")
	t.Cleanup(stopReplica)
	store.Put("servers/s0", bmstandinplatform.EntryAt(replica.Address(), "services", "ready"))
	// The system accepts connections to it, which nothing reads.
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	store.Put("servers/s1", bmstandinplatform.EntryAt(silent.Addr().String(), "silent-services", "ready"))
	store.Put("op/config", entryConfiguration())
	ip := bmstandinplatform.HostIP()
	p := &program{
		ports: map[string]string{
			"callers": ip + ":8001",
			"ready":   ip + ":8002",
			"peers":   ip + ":8003",
			"metrics": ip + ":8004",
		},
		head:           entryHead("/again/"),
		unansweredHead: entryHead(bmstandinplatform.SilentPrefix),
		headLimit:      entryHeadLimit,
		bodyLimit:      entryBodyLimit,
		conns:          entryConns,
	}
	settings := filepath.Join(t.TempDir(), "settings.json")
	raw, err := json.Marshal(map[string]any{
		"node_name":    "h0",
		"ip":           ip,
		"bootstrap":    true,
		"zone":         "z1",
		"listen_addrs": map[string]any{"frontend": p.ports["callers"], "ready": p.ports["ready"]},
		"port_range":   []int{8003, 8004},
		"limits":       map[string]any{"cpu_fraction": 1, "memory_mb": memoryMB, "max_fds": maxFiles},
		"bounds": map[string]any{
			"drain_ms": 2000, "grace_s": 8, "revoke_ms": 5000, "retry_ratio": 0.5,
			"retry_window_s": 10, "retry_slack": 100, "quota_window_s": 8,
		},
		"platform": map[string]any{"address": store.Address(), "min_ttl_ms": 1000},
	})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(settings, raw, 0o600))
	p.process = startProcess(t, maxFiles, "basilmoor", "entry", "-settings", settings)
	p.waitReady(t, "http://"+p.ports["ready"]+"/readyz")
	return p
}

func entryHead(path string) string {
	return fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 60000\r\nX-Token-Usage: 10,5\r\n", path, hostname, apiKey)
}

func entryConfiguration() map[string]any {
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name":              name,
			"hostname":          hostname,
			"prefix":            "/" + name + "/",
			"route_type":        kind,
			"timeout_ms":        60000,
			"target_latency_ms": 800,
			"backend":           service,
			"max_attempts":      1,
		}
	}
	return map[string]any{
		"version":  1,
		"routes":   []any{route("again", "idempotent", "services"), route("silent", "non_idempotent", "silent-services")},
		"backends": []any{map[string]any{"name": "services"}, map[string]any{"name": "silent-services"}},
		"limits":   map[string]any{"max_header_bytes": entryHeadLimit, "max_body_bytes": entryBodyLimit, "header_timeout_ms": 30000, "idle_timeout_ms": 60000},
		"tenants": []any{map[string]any{
			"name": "w", "api_keys": []string{apiKey}, "unit": "tokens", "uncached_tokens": 1, "rate_per_s": 1e6, "burst": 1e6,
		}},
	}
}

// startNode starts a node with one service.
func startNode(t *testing.T) *program {
	t.Helper()
	store := startStandin(t, "store")
	hosts := startStandin(t, "hosts")
	service := startStandin(t, "service")
	digest := sha256.Sum256([]byte(operatorToken))
	process := startProcess(t, maxFiles, "basilmoor", "node",
		"-host", "entry-1",
		"-data-centre", "bole",
		"-region", "addis",
		"-callers-address", "127.0.0.1:0",
		"-peers-address", "127.0.0.1:0",
		"-admin-address", "127.0.0.1:0",
		"-store-url", "http://"+store,
		"-host-list-url", "http://"+hosts,
		"-fleet-secret", "hostile-test-fleet-secret",
		"-operator-tokens", "tester:operator:"+hex.EncodeToString(digest[:]),
	)
	p := &program{
		process:   process,
		ports:     readyLine(t, process),
		head:      fmt.Sprintf("POST /ledger/stock HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", hostname, nodeToken),
		headLimit: nodeHeadLimit,
		bodyLimit: nodeBodyLimit,
		conns:     nodeConns,
	}
	publishHost(t, hosts, p.ports["peers"])
	admin := bmadmin.NewClient("http://"+p.ports["admin"], operatorToken)
	_, err := admin.AcceptNote(context.Background(), []byte(nodeNote(service)))
	require.NoError(t, err, process.log())
	p.waitReady(t, "http://"+p.ports["callers"]+bmnode.ReadyPath)
	return p
}

// startStandin starts a stand-in and returns its address.
func startStandin(t *testing.T, name string) string {
	t.Helper()
	return readyLine(t, startProcess(t, 0, "basilmoor-standin", name))["listening"]
}

// readyLine returns the JSON object that a program prints once it listens.
func readyLine(t *testing.T, p *process) map[string]string {
	t.Helper()
	ready := map[string]string{}
	eventually(t, p, func() bool {
		for line := range strings.Lines(p.log()) {
			if json.Unmarshal([]byte(line), &ready) == nil && ready["level"] == "" {
				return true
			}
			clear(ready)
		}
		return false
	})
	return ready
}

func publishHost(t *testing.T, list, peers string) {
	t.Helper()
	body, err := json.Marshal([]map[string]any{{
		"host": "entry-1", "address": peers, "data-centre": "bole", "region": "addis", "leaving": false,
	}})
	require.NoError(t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+list+"/v1/hosts", bytes.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Less(t, resp.StatusCode, http.StatusMultipleChoices)
}

func nodeNote(service string) string {
	digest := sha256.Sum256([]byte(nodeToken))
	return fmt.Sprintf(`schema: 1
note: first
added:
  tiers:
    - {name: plans, rank: 0}
  workspaces:
    - {name: blue-carts, token-digests: [%s], weight: 1, default-tier: plans}
  pools:
    - {name: ledger, region: addis}
  kinds:
    - {name: lookup, pool: ledger, path-prefix: /ledger/stock, deadline-ms: 20000}
  targets:
    - {name: ledger-1, pool: ledger, type: service, address: %q, data-centre: bole, slots: 8}
`, hex.EncodeToString(digest[:]), service)
}

func (p *program) waitReady(t *testing.T, url string) {
	t.Helper()
	eventually(t, p.process, func() bool {
		resp, err := http.Get(url)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func eventually(t *testing.T, p *process, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end) && p.isRunning(); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("the program did not start: %s", p.log())
}

// dial opens a connection to a port of the program.
func (p *program) dial(t *testing.T, port string) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", p.ports[port], waitLimit)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}
