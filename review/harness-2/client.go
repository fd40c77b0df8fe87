package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// newAttempt returns an id of its own for a client's attempt.
func newAttempt() string {
	return fmt.Sprintf("%016x", uint64(0x9c41d07b00000000)+uint64(attempts.Add(1)))
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	err    error // of the body
}

// send sends a request on a channel of its own and returns the answer. target is the path
// and query as they stand in the request line.
func send(address, method, target, attempt string, limit time.Duration, body string) (answer, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(limit + 2*time.Second))
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"+
		"X-Model-Id: m\r\nX-Token-Usage: 1460,80\r\nX-Prefix-Hash: 5c1e07a2:800,%s:660\r\nContent-Length: %d\r\n\r\n%s",
		method, target, hostname, apiKey, attempt, limit.Milliseconds(), attempt[8:], len(body), body)
	if err != nil {
		return answer{}, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(raw), err: err}, nil
}
