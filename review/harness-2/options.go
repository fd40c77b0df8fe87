package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// caseOptions sends OPTIONS requests with the request target "*", which has no path, and
// looks for a success that no replica has made.
func caseOptions(e *env) (broken bool, err error) {
	desk, err := startReplica(e.store, e.rec, "i-7f3a91c2", "orderbook", servePlain)
	if err != nil {
		return false, err
	}
	e.store.put("op/config", desiredState(7, []route{{
		name: "r-tdhbjph", prefix: "/orders/", kind: "idempotent", service: "orderbook",
		timeoutMs: 3000, latencyMs: 300, attempts: 2,
	}}, map[string]bool{"orderbook": false}))
	hosts, stop, err := e.startHosts(1)
	if err != nil {
		return false, err
	}
	defer stop()

	target := "/orders/7"
	if e.trouble {
		target = "*"
	}
	for range 5 {
		attempt := newAttempt()
		resp, err := exchange(hosts[0].callers(), fmt.Sprintf("OPTIONS %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\n\r\n",
			target, hostname, apiKey, attempt))
		if err != nil {
			return false, err
		}
		receipt := resp.Header.Get("X-Response-Signature")
		e.rec.add("client: attempt %s, OPTIONS %s, gets status %d, receipt %q", attempt, target, resp.StatusCode, receipt)
		if resp.StatusCode/100 == 2 && receipt == "" {
			broken = true
		}
	}
	e.rec.add("%d requests were run", len(desk.allRuns()))
	return broken, nil
}

// exchange sends a request as it stands and returns the head of its answer.
func exchange(address, request string) (*http.Response, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Write([]byte(request)); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_ = resp.Body.Close()
	}
	return resp, err
}
