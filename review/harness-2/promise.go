package main

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// greyReplicas is the number of replicas of which one fails a part of its requests.
	greyReplicas = 7

	// greyPart is the part of its requests that a grey replica fails: two of five.
	greyPart = 5

	// clientTries is the number of attempts that a client makes with one order.
	clientTries = 2
)

// casePromise sends non-idempotent orders to a service of which one replica fails a part
// of its requests after it has run them: it answers 503, with its receipt and without
// X-Not-Executed. A client that gets 503 sends its order once more, as the promise allows.
func casePromise(e *env) (broken bool, err error) {
	var answered atomic.Int64
	fails := func() bool {
		return e.trouble && answered.Add(1)%greyPart < 2
	}
	var replicas []*replica
	for i := range greyReplicas {
		grey := i == 0
		r, err := startReplica(e.store, e.rec, fmt.Sprintf("i-7f3a91c%d", i), "orderbook", func(r *replica, c *channel, q request) bool {
			if grey && fails() {
				return serveFailure(r, c, q)
			}
			return servePlain(r, c, q)
		})
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	e.store.put("op/config", desiredState(7, []route{{
		name: "r-tdhbjph", prefix: "/orders/", kind: "non_idempotent", service: "orderbook",
		timeoutMs: 3000, latencyMs: 300, attempts: 1,
	}}, map[string]bool{"orderbook": false}))
	hosts, stop, err := e.startHosts(1)
	if err != nil {
		return false, err
	}
	defer stop()

	promised := sync.Map{} // attempts that were answered with a promise
	var wg sync.WaitGroup
	const clients, orders = 8, 40
	for client := range clients {
		wg.Go(func() {
			for n := range orders {
				order := fmt.Sprintf("/orders/%d-%d", client, n)
				for range clientTries {
					attempt := newAttempt()
					a, err := send(hosts[0].callers(), "POST", order, attempt, 3*time.Second, "order")
					e.rec.add("client: attempt %s, POST %s, gets status %d, error %v", attempt, order, a.status, firstOf(err, a.err))
					if a.status != 503 && a.status != 429 && a.status != 408 {
						break
					}
					promised.Store(attempt, a.status)
					time.Sleep(300 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()

	runs := map[string]int{} // of each order, under any attempt
	for _, r := range replicas {
		for _, one := range r.allRuns() {
			runs[one.request.target]++
			if status, ok := promised.Load(one.request.attempt()); ok {
				e.rec.add("attempt %s (%s) was answered %d, which promises that it has not run, and was run by %s", one.request.attempt(), one.request.target, status, one.replica)
				broken = true
			}
		}
	}
	for order, n := range runs {
		if n > 1 {
			e.rec.add("%s was carried out %d times", order, n)
		}
	}
	return broken, nil
}

// serveFailure runs a request as servePlain does and fails at the end.
func serveFailure(r *replica, c *channel, q request) bool {
	time.Sleep(15 * time.Millisecond)
	const body = "failed"
	_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n",
		q.attempt(), r.id, q.attempt(), len(body))
	if err == nil {
		_, err = io.WriteString(c, body)
	}
	return err == nil
}
