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

// casePrefix sends requests with an encoded slash in their path, and compares the service
// that runs them with the one of the longest prefix that begins the path.
func casePrefix(e *env) (broken bool, err error) {
	lookups, err := startReplica(e.store, e.rec, "i-7f3a91c2", "stock-lookup", servePlain)
	if err != nil {
		return false, err
	}
	orders, err := startReplica(e.store, e.rec, "i-51d0e8b4", "orderbook", servePlain)
	if err != nil {
		return false, err
	}
	e.store.put("op/config", desiredState(7, []route{
		{name: "r-tdhbjph", prefix: "/stock/", kind: "idempotent", service: "stock-lookup", timeoutMs: 3000, latencyMs: 300, attempts: 2},
		{name: "r-6q5rmmv", prefix: "/stock/orders/", kind: "non_idempotent", service: "orderbook", timeoutMs: 3000, latencyMs: 300, attempts: 1},
	}, map[string]bool{"stock-lookup": false, "orderbook": false}))
	hosts, stop, err := e.startHosts(1)
	if err != nil {
		return false, err
	}
	defer stop()

	services := map[string]string{"/stock/paper": "stock-lookup", "/stock/orders/7": "orderbook"}
	if e.trouble {
		// No prefix but /stock/ begins these paths.
		services["/stock/orders%2F7"] = "stock-lookup"
		services["/stock/orders%2Fkinston"] = "stock-lookup"
	}
	want := map[string]string{} // service by attempt
	for range 3 {
		for target, service := range services {
			attempt := newAttempt()
			want[attempt] = service
			a, err := send(hosts[0].callers(), "POST", target, attempt, 3*time.Second, "paper")
			e.rec.add("client: attempt %s, POST %s, gets status %d %q, error %v", attempt, target, a.status, a.body, firstOf(err, a.err))
		}
	}
	for _, r := range append(lookups.allRuns(), orders.allRuns()...) {
		service := "stock-lookup"
		if r.replica == orders.id {
			service = "orderbook"
		}
		if service != want[r.request.attempt()] {
			e.rec.add("attempt %s: POST %s was run by %s, its route is that of %s", r.request.attempt(), r.request.target, service, want[r.request.attempt()])
			broken = true
		}
	}
	return broken, nil
}
