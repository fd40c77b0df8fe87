package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	rolloutSeconds = 30
	rolloutWatch   = 58 * time.Second // from the order on

	// badPortion of the new version's answers are failures.
	badPortion = 0.2

	// rolloutGap is the time between two requests, on five routes in turn.
	rolloutGap    = 100 * time.Millisecond
	rolloutRoutes = 5

	exposureShare = 0.1
	exposureSlack = 50
	rollbackTime  = 5 * time.Second
	rollbackBad   = 50
)

// playBadVersion orders a service's traffic to be moved to another version, which is bad
// with the disruption. It must not get more requests than the rule EXPOSURE allows.
func playBadVersion(rec *record, root, dir string, trouble bool) (bool, error) {
	useDemands()
	var replicas []*replica
	for n := range 4 {
		r, err := newReplica(fmt.Sprintf("i-old%d", n), "orders", 6, rec)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	var routes []map[string]any
	for n := range rolloutRoutes {
		routes = append(routes, route(fmt.Sprintf("kind%d", n), serviceHost, fmt.Sprintf("/kind%d/", n), "non_idempotent", "orders", 1500, 300, 1, false))
	}
	d, err := newDeployment(rec, root, dir, 2, desiredState(10, 0, 0, routes...), replicas...)
	defer d.close()
	if err != nil {
		return false, err
	}
	var done sync.WaitGroup
	stop := make(chan struct{})
	done.Add(1)
	go func() {
		defer done.Done()
		d.sendKinds(stop)
	}()
	time.Sleep(3 * time.Second)
	ordered := rec.now()
	d.store.put("op/rollout/orders", map[string]any{"backend": "orders", "target": "v2", "duration_s": rolloutSeconds})
	rec.line("order  orders to v2 within %d s", rolloutSeconds)
	fresh, err := d.startVersion(trouble)
	if err != nil {
		return false, err
	}
	d.followStatus(replicas, fresh, ordered+rolloutWatch)
	close(stop)
	done.Wait()
	return overExposed(rec, replicas, fresh, ordered, trouble), nil
}

// sendKinds sends requests on all routes in turn until stop is closed.
func (d *deployment) sendKinds(stop chan struct{}) {
	t := time.NewTicker(rolloutGap)
	defer t.Stop()
	var done sync.WaitGroup
	defer done.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		done.Add(1)
		go func() {
			defer done.Done()
			attempt := fmt.Sprintf("r%05d", n)
			req := request("POST", serviceHost, fmt.Sprintf("/kind%d/1", n%rolloutRoutes), attempt, key, "", "order", 1500*time.Millisecond)
			send(d.rec, d.entries[n%len(d.entries)].frontend, req, attempt, 2*time.Second)
		}()
	}
}

// startVersion starts the replicas of the new version beside the old ones.
func (d *deployment) startVersion(bad bool) ([]*replica, error) {
	var fresh []*replica
	for n := range 4 {
		r, err := newReplica(fmt.Sprintf("i-new%d", n), "orders", 6, d.rec)
		if err != nil {
			return nil, err
		}
		r.version = "v2"
		if bad {
			r.fails = badPortion
		}
		r.start(d.store)
		fresh = append(fresh, r)
		d.replicas = append(d.replicas, r)
	}
	return fresh, nil
}

// followStatus does what the platform does at the end of the roll-out: at completed the old
// replicas stop at once, at rolled_back the new ones drain and stop some seconds later.
func (d *deployment) followStatus(old, fresh []*replica, until time.Duration) {
	ended := false
	for d.rec.now() < until {
		time.Sleep(20 * time.Millisecond)
		status := d.store.value("status/rollout/orders")
		var leave []*replica
		switch {
		case ended:
			continue
		case strings.Contains(status, `"completed"`):
			leave = old
		case strings.Contains(status, `"rolled_back"`):
			time.Sleep(3 * time.Second)
			leave = fresh
		default:
			continue
		}
		ended = true
		d.rec.line("status %s", status)
		for _, r := range leave {
			d.store.remove("servers/" + r.id)
			r.crash()
		}
	}
}

// overExposed reports whether the new version got more requests than a bad one may.
func overExposed(rec *record, old, fresh []*replica, ordered time.Duration, bad bool) bool {
	limit := ordered + rolloutSeconds*time.Second
	all, toNew, failures, late := 0, 0, 0, 0
	var bound time.Duration // from which on a bad version must get no requests
	for _, r := range old {
		for _, x := range r.all() {
			if x.began >= ordered && x.began < limit {
				all++
			}
		}
	}
	for _, x := range sortedRuns(fresh) {
		if x.began < limit {
			all++
			toNew++
		}
		if x.how == "failed" {
			if failures++; failures == rollbackBad {
				bound = x.ended + rollbackTime
			}
		}
	}
	for _, x := range sortedRuns(fresh) {
		if bound > 0 && x.began > bound {
			late++
		}
	}
	allowed := exposureShare*float64(all) + exposureSlack
	rec.line("check  by the time limit the new version got %d of %d requests, %.0f allowed if it is bad; %d failures, %d requests later than 5 s after the 50th", toNew, all, allowed, failures, late)
	return bad && (float64(toNew) > allowed || late > 0)
}
