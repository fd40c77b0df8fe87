// Command standins plays the cases 14 and following of the review: it starts entry hosts
// as separate processes, with stand-ins of the platform's store, of replicas and of
// clients in its own process.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec      *record
	store    *store
	entries  []*entry
	replicas []*replica
	dir      string
}

const (
	engineHost  = "ficu95.example"
	serviceHost = "puxa403.example"
	key         = "i9n73hh2b9wu3fexd9dn"
	tenant      = "hule930"
)

// route returns a route of the desired state.
func route(name, host, prefix, kind, service string, timeoutMS, aimMS, attempts int, resume bool) map[string]any {
	r := map[string]any{
		"name": name, "hostname": host, "prefix": prefix, "route_type": kind, "timeout_ms": timeoutMS,
		"target_latency_ms": aimMS, "priority": 0, "backend": service, "max_attempts": attempts,
	}
	if kind == "streaming" {
		r["stream_resume"] = resume
		r["target_itl_ms"] = 300
		r["session_affinity"] = true
	}
	return r
}

// desiredState returns a desired state with an engine service and a plain one.
func desiredState(version int, rate, burst float64, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes":  routes,
		"backends": []map[string]any{
			{"name": "engines", "health_path": "/healthz", "max_connections": 360, "engine": map[string]any{"slots": 6, "kv_capacity": 694610, "stride": 3}},
			{"name": "orders", "health_path": "/healthz", "max_connections": 96},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 2000, "idle_timeout_ms": 30000},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{key}, "priority": 0, "unit": "tokens", "uncached_tokens": 200, "rate_per_s": rate, "burst": burst}},
	}
}

// newDeployment starts the store and the replicas, and then the entry hosts.
func newDeployment(rec *record, root, dir string, entries int, state map[string]any, replicas ...*replica) (*deployment, error) {
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, store: s, dir: dir, replicas: replicas}
	s.put("op/config", state)
	for _, r := range replicas {
		r.start(s)
	}
	for n := 1; n <= entries; n++ {
		e, err := newEntry(root, dir, n, s)
		if err != nil {
			return d, err
		}
		d.entries = append(d.entries, e)
		if err := e.start(); err != nil {
			return d, err
		}
		rec.line("start  %s at %s", e.name, e.frontend)
	}
	for _, e := range d.entries {
		if err := e.awaitReady(10 * time.Second); err != nil {
			return d, err
		}
		if err := e.notFirstStart(); err != nil {
			return d, err
		}
	}
	// Traffic starts some seconds after the machines.
	time.Sleep(4 * time.Second)
	return d, nil
}

// close ends all processes that the case has started.
func (d *deployment) close() {
	if d == nil {
		return
	}
	for _, e := range d.entries {
		e.kill()
	}
	for _, r := range d.replicas {
		r.close()
	}
	d.store.close()
}

// play is one case. It reports whether the rule was broken.
type play func(rec *record, root, dir string, trouble bool) (bool, error)

var plays = map[string]play{
	"quota-kill":   playQuotaKill,
	"slow-reader":  playSlowReader,
	"bad-version":  playBadVersion,
	"quota-refund": playQuotaRefund,
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", "", "root of the repository")
	out := flag.String("record", "", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "folder in which the logs of the entry hosts are kept; empty for none")
	flag.Parse()
	os.Exit(runCase(*name, *root, *out, *logs))
}

func runCase(name, root, out, logs string) int {
	p, ok := plays[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		return 2
	}
	rec, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir := logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-4-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer os.RemoveAll(dir)
	}
	absRoot, err := filepath.Abs(root)
	if err != nil {
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case   %s, disruption %t", name, trouble)
	broken, err := p(rec, absRoot, dir, trouble)
	switch {
	case err != nil:
		rec.line("result could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		rec.line("result the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	rec.line("result the rule held")
	fmt.Println("the rule held")
	return 0
}
