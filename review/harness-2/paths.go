package main

import (
	"time"
)

// casePaths sends orders whose paths are written in unusual ways, and compares the path and
// query that reach the replica with those that the client sent.
func casePaths(e *env) (broken bool, err error) {
	desk, err := startReplica(e.store, e.rec, "i-7f3a91c2", "orderbook", servePlain)
	if err != nil {
		return false, err
	}
	e.store.put("op/config", desiredState(7, []route{{
		name: "r-tdhbjph", prefix: "/", kind: "non_idempotent", service: "orderbook",
		timeoutMs: 3000, latencyMs: 300, attempts: 1,
	}}, map[string]bool{"orderbook": false}))
	hosts, stop, err := e.startHosts(1)
	if err != nil {
		return false, err
	}
	defer stop()

	targets := []string{"/orders/7", "/orders/7?item=2"}
	if e.trouble {
		targets = append(targets, "//orders/7", "//cancel/orders/8", "//orders/9?item=2", "/orders//9")
	}
	sent := map[string]string{} // path and query by attempt
	for range 3 {
		for _, target := range targets {
			attempt := newAttempt()
			sent[attempt] = target
			a, err := send(hosts[0].callers(), "POST", target, attempt, 3*time.Second, "order")
			e.rec.add("client: attempt %s, POST %s, gets status %d %q, error %v", attempt, target, a.status, a.body, firstOf(err, a.err))
		}
	}
	for _, r := range desk.allRuns() {
		if want := sent[r.request.attempt()]; r.request.target != want {
			e.rec.add("attempt %s: the client sent POST %s, the replica ran POST %s", r.request.attempt(), want, r.request.target)
			broken = true
		}
	}
	return broken, nil
}
