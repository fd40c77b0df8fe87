package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryLimitMB is memory_mb of the machines. The platform kills a process that exceeds it.
const memoryLimitMB = 284

// rssMB returns the memory of the machine's process.
func (e *entry) rssMB() int {
	e.mu.Lock()
	pid := e.cmd.Process.Pid
	e.mu.Unlock()
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			var kb int
			fmt.Sscan(rest, &kb)
			return kb / 1024
		}
	}
	return 0
}

// keptClient is a client with a kept channel to one machine.
type keptClient struct {
	w    *world
	e    *entry
	conn net.Conn
	r    *bufio.Reader
}

// post sends a request on the kept channel. lost is true if the channel ends without a
// complete answer.
func (c *keptClient) post(path string, body []byte, limitMs int) (attempt string, status int, lost bool) {
	attempt = newAttempt()
	c.conn.SetDeadline(time.Now().Add(time.Duration(limitMs)*time.Millisecond + 2*time.Second))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token key-of-farm\r\nContent-Length: %d\r\n\r\n", path, attempt, limitMs, len(body))
	c.w.logf("client sends %s, %d bytes, on a kept channel to %s", attempt, len(body), c.e.name)
	_, err := c.conn.Write(append([]byte(head), body...))
	var r *http.Response
	if err == nil {
		r, err = http.ReadResponse(c.r, &http.Request{Method: "POST"})
	}
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	if err != nil {
		c.w.logf("client of %s: the channel ends without an answer: %v", attempt, err)
		return attempt, 0, true
	}
	c.w.logf("client of %s gets %d", attempt, r.StatusCode)
	return attempt, r.StatusCode, false
}

// memory plays a burst of requests as large as the limits of the desired state allow.
func memory(w *world, trouble bool) (int, error) {
	const (
		usualPerS  = 17.0
		burstX     = 2.1
		burstAt    = 6 * time.Second
		burstFor   = 5 * time.Second
		length     = 16 * time.Second
		limitMs    = 10000
		bodyBytes  = 4 << 20
		unevenness = 0.7 // share of the channels at the first machine
	)
	for i := range 3 {
		r := &replica{w: w, name: string(rune('a' + i)), service: "orders-svc", slots: 6, workMs: 970}
		r.start()
	}
	if err := w.startWith(2, config(1, []map[string]any{route("uploads", "/uploads/", "idempotent", "orders-svc", limitMs, 1000, 2)},
		[]string{"orders-svc"}, []map[string]any{tenant("farm", "key-of-farm")})); err != nil {
		return couldNot, err
	}
	stop := make(chan struct{})
	most := make([]int, len(w.entries))
	var ends int
	for i, e := range w.entries {
		go func() { // the platform
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				if !e.running() {
					continue
				}
				mb := e.rssMB()
				most[i] = max(most[i], mb)
				if mb > memoryLimitMB {
					ends++
					w.logf("machine %s has %d MB of %d", e.name, mb, memoryLimitMB)
					e.signal(syscall.SIGKILL)
					<-e.done
					time.Sleep(500 * time.Millisecond)
					e.start()
				}
			}
		}()
	}
	body := make([]byte, bodyBytes)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var idle [2][]*keptClient
	lost := map[string]bool{}
	statuses := map[int]int{}
	one := func(n int) {
		defer wg.Done()
		mu.Lock()
		var c *keptClient
		if k := len(idle[n]); k > 0 {
			c = idle[n][k-1]
			idle[n] = idle[n][:k-1]
		}
		mu.Unlock()
		if c == nil {
			conn, err := net.DialTimeout("tcp", w.entries[n].frontend, time.Second)
			if err != nil {
				return
			}
			c = &keptClient{w: w, e: w.entries[n], conn: conn, r: bufio.NewReader(conn)}
			// A small request first, so that the channel is a kept one.
			if _, _, bad := c.post("/uploads/small", []byte("x"), limitMs); bad {
				conn.Close()
				return
			}
		}
		attempt, status, bad := c.post("/uploads/large", body, limitMs)
		mu.Lock()
		defer mu.Unlock()
		if bad {
			lost[attempt] = true
			c.conn.Close()
			return
		}
		statuses[status]++
		idle[n] = append(idle[n], c)
	}
	began := time.Now()
	due := 0.0
	for sent := 0; time.Since(began) < length; {
		rate := usualPerS
		if at := time.Since(began); trouble && at >= burstAt && at < burstAt+burstFor {
			rate *= burstX
		}
		time.Sleep(10 * time.Millisecond)
		for due += rate * 0.0102; due >= 1; due-- {
			sent++
			n := 0
			if float64(sent%10) >= 10*unevenness {
				n = 1
			}
			wg.Add(1)
			go one(n)
		}
	}
	wg.Wait()
	close(stop)
	passed := 0
	for attempt := range lost {
		if !w.ranAt(attempt).IsZero() {
			passed++
		}
	}
	return w.verdict(passed <= 3, "%d requests of kept channels were passed on to sound replicas and their channel closed without an answer (3 allowed), %d lost in all; processes ended over the memory limit %d times; most memory %v MB; answers %v", passed, len(lost), ends, most, statuses)
}
