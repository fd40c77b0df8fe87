package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// contracts and bounds are those of the site seedleaf-press.
var contracts = []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"}

var bounds = map[string]any{
	"seed_lag_s": 3, "addr_reuse_s": 2, "stable_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4,
	"drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
	"outer_ms": 5000, "strict_revoke": true, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10,
	"retry_slack": 52, "quota_window_s": 8, "quota_excess": 0.1, "quota_slack": 190000, "recovery_s": 12,
	"event_lag_ms": 120, "retry_after_s": 10,
}

// useDemands sets the contracts and bounds of the site mandacaru-docs-grown.
func useDemands() {
	contracts = []string{"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "engine", "stream", "tenants", "quota", "rollout", "pressure", "platform"}
	for name, figure := range map[string]any{
		"stable_ms": 4000, "ack_timeout_ms": 6000, "catch_up_s": 6, "drain_ms": 3000, "config_apply_ms": 3000, "outer_ms": 6000,
		"retry_slack": 212, "exposure_share": 0.1, "exposure_slack": 50, "rollback_ms": 5000, "recovery_s": 15, "event_lag_ms": 200,
	} {
		bounds[name] = figure
	}
}

// entry is an entry host: one process with the command of deploy/system.toml.
type entry struct {
	name     string
	zone     string
	ip       string
	frontend string
	ready    string
	boot     string // path of the settings file
	root     string
	log      string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// deployCommand returns the words of run in deploy/system.toml.
func deployCommand(root string) ([]string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("no run in deploy/system.toml")
}

// freePorts returns ports that are free on an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// newEntry writes the settings of an entry host. Host n, of at most three, is in zone n and
// has the loopback address 127.0.4.n.
func newEntry(root, dir string, n int, s *store) (*entry, error) {
	e := &entry{
		name: fmt.Sprintf("edge-%d", n),
		zone: fmt.Sprintf("z%d", n),
		ip:   fmt.Sprintf("127.0.4.%d", n),
		root: root,
	}
	ports, err := freePorts(e.ip, 3)
	if err != nil {
		return nil, err
	}
	first, err := freeRange(e.ip, 4)
	if err != nil {
		return nil, err
	}
	e.frontend = fmt.Sprintf("%s:%d", e.ip, ports[0])
	e.ready = fmt.Sprintf("%s:%d", e.ip, ports[1])
	e.boot = filepath.Join(dir, e.name+".json")
	e.log = filepath.Join(dir, e.name+".log")
	return e, e.writeSettings(s.address, ports[2], first, true)
}

// freeRange returns the first of n free ports in a row.
func freeRange(ip string, n int) (int, error) {
	for first := 17600; first < 30000; first += 16 {
		free := true
		for p := first; p < first+n && free; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				free = false
				continue
			}
			_ = l.Close()
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports on %s", ip)
}

func (e *entry) writeSettings(storeAddress string, control, first int, bootstrap bool) error {
	raw, err := json.MarshalIndent(map[string]any{
		"node_name": e.name, "role": "entry", "machine_class": "edge", "serves": []string{"edge"},
		"ip": e.ip, "zone": e.zone, "region": "r1", "zones": map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"},
		"listen_addrs": map[string]string{
			"frontend": e.frontend, "ready": e.ready, "control_plane": fmt.Sprintf("%s:%d", e.ip, control),
		},
		"port_range": []int{first, first + 3}, "seed_nodes": []string{}, "bootstrap": bootstrap,
		"failure_counted": false,
		"limits": map[string]any{
			"cpu_fraction": 0.4, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0,
		},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       contracts,
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds":          bounds,
		"platform": map[string]any{
			"address": storeAddress, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
			"value_bytes": 1048576, "min_ttl_ms": 1000,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(e.boot, raw, 0o600)
}

// notFirstStart writes bootstrap = false into the settings, as the platform does after
// the first start.
func (e *entry) notFirstStart() error {
	raw, err := os.ReadFile(e.boot)
	if err != nil {
		return err
	}
	var m map[string]any
	if err := json.Unmarshal(raw, &m); err != nil {
		return err
	}
	m["bootstrap"] = false
	if raw, err = json.MarshalIndent(m, "", "  "); err != nil {
		return err
	}
	return os.WriteFile(e.boot, raw, 0o600)
}

func (e *entry) start() error {
	words, err := deployCommand(e.root)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.cmd = exec.Command(filepath.Join(e.root, words[0]), words[1:]...)
	e.cmd.Dir = e.root
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BASILMOOR_BOOT=" + e.boot}
	e.cmd.Stdout = log
	e.cmd.Stderr = log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	e.ended = ended
	cmd := e.cmd
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// isReady asks as the platform does.
func (e *entry) isReady() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := c.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *entry) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if e.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", e.name)
}

// kill sends SIGKILL to the process that start has started.
func (e *entry) kill() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	_ = e.cmd.Process.Kill()
	<-e.ended
}

// leads tells by the log whether the host took the broker's role last.
func (e *entry) leads() bool {
	raw, err := os.ReadFile(e.log)
	if err != nil {
		return false
	}
	leads := false
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.Contains(line, `"message":"broker chosen"`) {
			leads = strings.Contains(line, `"broker":"`+e.name+`"`)
		}
	}
	return leads
}
