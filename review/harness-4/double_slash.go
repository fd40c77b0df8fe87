package main

import (
	"fmt"
	"time"
)

// playDoubleSlash sends requests on a route with the prefix "/". With the disruption, the
// path of every second one begins with two slashes. Each must run with its method and path.
func playDoubleSlash(rec *record, root, dir string, trouble bool) (bool, error) {
	var replicas []*replica
	for n := range 3 {
		r, err := newReplica(fmt.Sprintf("i-order%d", n), "orders", 6, rec)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	state := desiredState(10, 0, 0, route("confirm", serviceHost, "/", "non_idempotent", "orders", 3000, 300, 1, false))
	d, err := newDeployment(rec, root, dir, 2, state, replicas...)
	defer d.close()
	if err != nil {
		return false, err
	}
	sent := map[string]string{}
	for n := range 20 {
		attempt := fmt.Sprintf("order%04d", n)
		target := fmt.Sprintf("/orders/%d/confirm", n)
		if trouble && n%2 == 1 {
			target = "/" + target
		}
		sent[attempt] = target
		req := request("POST", serviceHost, target, attempt, key, "", "order", 3*time.Second)
		send(rec, d.entries[n%len(d.entries)].frontend, req, attempt, 3*time.Second)
	}
	ran, changed := 0, 0
	for _, r := range replicas {
		for _, x := range r.all() {
			ran++
			if x.target != sent[x.attempt] || x.method != "POST" {
				changed++
				rec.line("broken %s was sent as POST %s and ran as %s %s", x.attempt, sent[x.attempt], x.method, x.target)
			}
		}
	}
	rec.line("check  %d requests ran, %d with another path than the client's", ran, changed)
	if ran == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return changed > 0, nil
}
