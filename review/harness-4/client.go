package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got.
type answer struct {
	status    int
	signature string
	body      string
	complete  bool
	err       error
}

// send sends one request on a channel of its own and reads the answer.
func send(rec *record, address, request, attempt string, limit time.Duration) answer {
	rec.line("send   %s to %s", attempt, address)
	a := exchange(address, request, limit)
	rec.line("answer %s status %d complete %t bytes %d signature %q error %v", attempt, a.status, a.complete, len(a.body), a.signature, a.err)
	return a
}

func exchange(address, request string, limit time.Duration) (a answer) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c, request); err != nil {
		a.err = err
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	a.signature = resp.Header.Get("X-Response-Signature")
	body, err := io.ReadAll(resp.Body)
	a.body = string(body)
	a.err = err
	a.complete = err == nil
	return a
}

// request returns a request as PROTOCOL.md shows it. usage is the X-Token-Usage header
// of a request to an engine, empty for a plain one.
func request(method, host, target, attempt, key, usage, body string, limit time.Duration) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n", method, target, host, attempt, limit.Milliseconds(), key)
	if usage != "" {
		head += fmt.Sprintf("X-Model-Id: m\r\nX-Token-Usage: %s\r\nX-Prefix-Hash: 5c1e07a2:60,%s:1000\r\n", usage, attempt)
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}
