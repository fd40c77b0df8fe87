package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Ports of an entry host. Each host has a loopback address of its own.
const (
	portCallers = 8221
	portReady   = 8224
	portPeers   = 7600
	portMetrics = 9464 // as in deploy/system.toml
)

// entryHost is a process of the role of deploy/system.toml, with its settings file.
type entryHost struct {
	name     string
	ip       string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	exited   chan struct{}
}

// newEntryHost writes the settings of a host of a small deployment.
func newEntryHost(dir, name, storeAddress string) (*entryHost, error) {
	h := &entryHost{
		name:     name,
		ip:       freeIP(),
		settings: filepath.Join(dir, name+".json"),
	}
	raw, err := json.Marshal(map[string]any{
		"node_name":     name,
		"role":          "entry",
		"machine_class": "edge",
		"serves":        []string{"edge"},
		"ip":            h.ip,
		"zone":          "kinston",
		"region":        "carolina-east",
		"zones":         map[string]string{"kinston": "carolina-east"},
		"listen_addrs": map[string]string{
			"frontend": fmt.Sprintf("%s:%d", h.ip, portCallers),
			"ready":    fmt.Sprintf("%s:%d", h.ip, portReady),
		},
		"port_range":   []int{portPeers, portPeers + 15},
		"bootstrap":    true,
		"limits":       map[string]any{"cpu_fraction": 0.4, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery":    "platform",
		"entry":        "vip",
		"heartbeat_ms": 1200,
		"contracts":    []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "stable_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
			"grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
			"strict_revoke": true, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52,
			"quota_window_s": 8, "quota_excess": 0.1, "quota_slack": 190000, "recovery_s": 12, "event_lag_ms": 120, "retry_after_s": 10,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
			"value_bytes": 1048576, "min_ttl_ms": 1000,
		},
	})
	if err != nil {
		return nil, err
	}
	return h, os.WriteFile(h.settings, raw, 0o600)
}

// freeIP returns a loopback address on which the ports of an entry host are free.
func freeIP() string {
	for {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
		free := true
		for _, port := range []int{portCallers, portReady, portPeers, portMetrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip
		}
	}
}

// start starts the process with the command of deploy/system.toml.
func (h *entryHost) start() error {
	log, err := os.Create(h.settings + ".log")
	if err != nil {
		return err
	}
	h.log = log
	h.cmd = exec.Command("target/basilmoor", "entry", "-metrics-port", fmt.Sprint(portMetrics), "-prefill-limits")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BASILMOOR_BOOT=" + h.settings}
	h.cmd.Stdout = log
	h.cmd.Stderr = log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func() {
		_ = h.cmd.Wait()
		close(h.exited)
	}()
	return nil
}

// stop ends the process, if it still runs.
func (h *entryHost) stop() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.exited
	_ = h.log.Close()
}

// waitReady waits until the host answers the platform's question with 200.
func (h *entryHost) waitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", h.ip, portReady))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	raw, _ := os.ReadFile(h.settings + ".log")
	return fmt.Errorf("%s is not ready: %s", h.name, strings.TrimSpace(string(raw)))
}

// callers returns the address for callers.
func (h *entryHost) callers() string {
	return fmt.Sprintf("%s:%d", h.ip, portCallers)
}
