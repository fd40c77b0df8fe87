package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// losingReplicas of segmentReplicas lose one of lossPart answers: half of them, and 5
	// in 100.
	segmentReplicas = 4
	losingReplicas  = 2
	lossPart        = 20
)

// caseSegment sends orders, which may run once, with an encoded slash in their path. Their
// longest prefix is that of a non-idempotent route; with the slash decoded, it would be that
// of an idempotent one. Some replicas lose a part of their answers: they run the request
// and reset its channel.
func caseSegment(e *env) (broken bool, err error) {
	var replicas []*replica
	for i := range segmentReplicas {
		var answers atomic.Int64
		loses := i < losingReplicas && e.trouble
		r, err := startReplica(e.store, e.rec, fmt.Sprintf("i-51d0e8b%d", i), "orderbook", func(r *replica, c *channel, q request) bool {
			if loses && answers.Add(1)%lossPart == lossPart/2 {
				time.Sleep(15 * time.Millisecond)
				r.rec.add("replica %s has run attempt %s and loses the answer", r.id, q.attempt())
				if tcp, ok := c.Conn.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				return false
			}
			return servePlain(r, c, q)
		})
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	e.store.put("op/config", desiredState(7, []route{
		{name: "r-6q5rmmv", prefix: "/orders/", kind: "non_idempotent", service: "orderbook", timeoutMs: 3000, latencyMs: 300, attempts: 1},
		{name: "r-tdhbjph", prefix: "/orders/status/", kind: "idempotent", service: "orderbook", timeoutMs: 3000, latencyMs: 300, attempts: 2},
	}, map[string]bool{"orderbook": false}))
	hosts, stop, err := e.startHosts(1)
	if err != nil {
		return false, err
	}
	defer stop()

	const clients, orders = 6, 80
	var wg sync.WaitGroup
	for client := range clients {
		wg.Go(func() {
			for n := range orders {
				target := fmt.Sprintf("/orders/status%%2F%d-%d", client, n)
				attempt := newAttempt()
				a, err := send(hosts[0].callers(), "POST", target, attempt, 3*time.Second, "order")
				e.rec.add("client: attempt %s, POST %s, gets status %d %q, error %v", attempt, target, a.status, a.body, firstOf(err, a.err))
			}
		})
	}
	wg.Wait()

	runs := map[string]int{} // by attempt
	for _, r := range replicas {
		for _, one := range r.allRuns() {
			runs[one.request.attempt()]++
		}
	}
	for attempt, n := range runs {
		if n > 1 {
			e.rec.add("attempt %s, an order, ran %d times", attempt, n)
			broken = true
		}
	}
	return broken, nil
}
