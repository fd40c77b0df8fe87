package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func plainRoutes() []map[string]any {
	return []map[string]any{
		route("orders", "/orders/", "non_idempotent", "app", nil),
		route("lookup", "/lookup/", "idempotent", "app", nil),
	}
}

// lastTenant: the only tenant of a deployment is taken away. With TROUBLE=0 another
// tenant stays.
func lastTenant(w *world) bool {
	const revoke = 5 * time.Second
	w.addReplica("app", 6, ok)
	w.addReplica("app", 6, ok)
	leaving := tenant{Name: "coop", Keys: []string{"key-of-coop"}, Unit: "tokens", Plain: 200, Rate: 165313, Burst: 165313}
	staying := tenant{Name: "mill", Keys: []string{"key-of-mill"}, Unit: "tokens", Plain: 200, Rate: 165313, Burst: 165313}
	left := []tenant{}
	if !w.trouble {
		left = append(left, staying)
	}
	w.configure(plainRoutes(), append([]tenant{leaving}, left...))
	w.addHost()
	w.addHost()
	w.addHost()
	w.awaitReady()
	post := request{method: "POST", target: "/orders/1", key: "key-of-coop", body: "order"}
	for _, h := range w.hosts {
		await("the key is served", func() bool { return w.send(h.frontend(), post).status == 200 })
		q := post
		q.key = "never-given"
		if r := w.send(h.frontend(), q); r.status != 401 {
			cannotRun("an unknown key was answered %d before the change", r.status)
		}
	}
	ack := w.configure(plainRoutes(), left)
	time.Sleep(time.Until(ack.Add(revoke + time.Second)))
	ran := map[string]int{}
	for range 5 {
		for _, h := range w.hosts {
			for _, key := range []string{"key-of-coop", "never-given"} {
				q := post
				q.key = key
				r := w.send(h.frontend(), q)
				ran[key] += len(w.runsOf(r.id))
			}
		}
	}
	w.recordf("%d of 15 requests with the key that was taken away ran, sent more than %v after the ack", ran["key-of-coop"], revoke)
	w.recordf("%d of 15 requests with a key that no desired state ever held ran", ran["never-given"])
	return ran["key-of-coop"] > 0
}

// requestTarget: clients send paths with an empty part at their start, and with an empty
// query. With TROUBLE=0 their paths are plain.
func requestTarget(w *world) bool {
	w.addReplica("app", 6, ok)
	w.configure([]map[string]any{route("all", "/", "non_idempotent", "app", nil)},
		[]tenant{{Name: "coop", Keys: []string{"k"}, Unit: "tokens", Plain: 200, Rate: 165313, Burst: 165313}})
	w.addHost()
	w.awaitReady()
	await("served", func() bool {
		return w.send(w.hosts[0].frontend(), request{method: "POST", target: "/orders/1", key: "k", body: "x"}).status == 200
	})
	targets := []string{"/orders/2f", "/orders/2f?a=1"}
	if w.trouble {
		targets = []string{"//orders/2f", "//orders/2f?a=1"}
	}
	changed := 0
	for range 5 {
		for _, t := range targets {
			r := w.send(w.hosts[0].frontend(), request{method: "POST", target: t, key: "k", body: "x"})
			for _, run := range w.runsOf(r.id) {
				if run.target != t || run.host != "app.example" {
					changed++
					w.recordf("the client sent %s with Host app.example, replica %s got %s with host %s", t, run.replica, run.target, run.host)
				}
			}
		}
	}
	return changed > 0
}

// encodedTarget: clients send a slash within an identifier, encoded. The path as sent does
// not begin with the prefix of the narrower route. With TROUBLE=0 the identifier is plain.
func encodedTarget(w *world) bool {
	w.addReplica("app", 6, ok)
	other := w.addReplica("llm", 6, ok)
	w.configure([]map[string]any{
		route("orders", "/orders/", "non_idempotent", "app", nil),
		route("archive", "/orders/archive/", "non_idempotent", "llm", nil),
	}, []tenant{{Name: "coop", Keys: []string{"k"}, Unit: "tokens", Plain: 200, Rate: 165313, Burst: 165313}})
	w.addHost()
	w.awaitReady()
	await("served", func() bool {
		return w.send(w.hosts[0].frontend(), request{method: "POST", target: "/orders/1", key: "k", body: "x"}).status == 200
	})
	target := "/orders/archive-7"
	if w.trouble {
		target = "/orders/archive%2F7"
	}
	wrong := 0
	for range 5 {
		r := w.send(w.hosts[0].frontend(), request{method: "POST", target: target, key: "k", body: "x"})
		for _, run := range w.runsOf(r.id) {
			if run.replica == other.id {
				wrong++
			}
		}
	}
	w.recordf("%d of 5 requests ran at the service of the route /orders/archive/, with which their path does not begin", wrong)
	return wrong > 0
}

// fraction: a desired state has the timeouts of its routes with a decimal point, and takes
// a key away. With TROUBLE=0 it has them without.
func fraction(w *world) bool {
	w.addReplica("app", 6, ok)
	coop := tenant{Name: "coop", Keys: []string{"k", "taken"}, Unit: "tokens", Plain: 200, Rate: 165313, Burst: 165313}
	w.configure(plainRoutes(), []tenant{coop})
	w.addHost()
	w.addHost()
	w.awaitReady()
	q := request{method: "POST", target: "/orders/1", key: "taken", body: "x"}
	for _, h := range w.hosts {
		await("served", func() bool { return w.send(h.frontend(), q).status == 200 })
	}
	coop.Keys = []string{"k"}
	routes := plainRoutes()
	for _, r := range routes {
		r["timeout_ms"] = 9000
		if w.trouble {
			r["timeout_ms"] = json.RawMessage("9000.0")
		}
	}
	ack := w.configure(routes, []tenant{coop})
	time.Sleep(time.Until(ack.Add(6 * time.Second)))
	ran := 0
	for _, h := range w.hosts {
		w.recordf("%s is ready: %v", h.name, h.ready())
		ran += len(w.runsOf(w.send(h.frontend(), q).id))
	}
	w.recordf("%d of 2 requests with a key that was taken away ran, sent more than revoke_ms after the ack", ran)
	return ran > 0
}

// optionsAll sends OPTIONS *.
func optionsAll(w *world) bool {
	w.addReplica("app", 6, ok)
	w.configure(plainRoutes(), []tenant{{Name: "coop", Keys: []string{"k"}, Unit: "tokens", Plain: 200, Rate: 165313, Burst: 165313}})
	w.addHost()
	w.awaitReady()
	q := request{method: "OPTIONS", target: "/orders/1", key: "k"}
	if w.trouble {
		q.target = "*"
	}
	await("served", func() bool {
		return w.send(w.hosts[0].frontend(), request{method: "POST", target: "/orders/1", key: "k", body: "x"}).status == 200
	})
	broken := false
	for range 5 {
		r := w.send(w.hosts[0].frontend(), q)
		broken = broken || r.status/100 == 2 && r.header.Get("X-Response-Signature") == ""
	}
	return broken
}

func streamRoutes(more map[string]any) []map[string]any {
	return []map[string]any{route("review", "/review/", "streaming", "llm", more)}
}

func usage(in, out int) []string {
	return []string{"X-Model-Id: m", fmt.Sprintf("X-Token-Usage: %d,%d", in, out), "X-Prefix-Hash: " + newID()[:8] + ":" + fmt.Sprint(in)}
}

// windowTokens returns the most tokens that ran within a window, of requests that were
// both sent and run in it.
func mostInWindow(w *world, sent map[string]time.Time, tokens map[string]int, window time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := 0
	for _, from := range sent {
		sum := 0
		counted := map[string]bool{}
		for _, r := range w.runs {
			at, known := sent[r.id]
			if known && !counted[r.id] && !at.Before(from) && r.at.Before(from.Add(window)) {
				counted[r.id] = true
				sum += tokens[r.id]
			}
		}
		most = max(most, sum)
	}
	return most
}

// quotaBack: a tenant is taken away and added again.
func quotaBack(w *world) bool {
	for range 6 {
		w.addReplica("llm", 6, stream)
	}
	coop := tenant{Name: "coop", Keys: []string{"k"}, Unit: "tokens", Plain: 200, Rate: 50000, Burst: 50000}
	mill := tenant{Name: "mill", Keys: []string{"m"}, Unit: "tokens", Plain: 200, Rate: 50000, Burst: 50000}
	w.configure(streamRoutes(nil), []tenant{coop, mill})
	for range 3 {
		w.addHost()
	}
	w.awaitReady()
	for _, h := range w.hosts {
		await("served", func() bool {
			return w.send(h.frontend(), request{method: "POST", target: "/review/1", key: "m", body: "x", header: usage(100, 20), limit: 6 * time.Second}).status == 200
		})
	}
	time.Sleep(time.Second)
	sent := map[string]time.Time{}
	tokens := map[string]int{}
	type done struct{ r result }
	results := make(chan done, 10000)
	began := time.Now()
	pending := 0
	spend := func(until time.Duration) {
		for time.Since(began) < until {
			for _, h := range w.hosts {
				pending++
				go func() {
					results <- done{w.send(h.frontend(), request{method: "POST", target: "/review/1", key: "k", body: newID(), header: usage(4000, 100), limit: 6 * time.Second})}
				}()
			}
			time.Sleep(40 * time.Millisecond)
		}
	}
	spend(2500 * time.Millisecond)
	if w.trouble {
		w.configure(streamRoutes(nil), []tenant{mill})
		time.Sleep(1500 * time.Millisecond)
		w.configure(streamRoutes(nil), []tenant{coop, mill})
		time.Sleep(300 * time.Millisecond)
	}
	spend(7 * time.Second)
	for range pending {
		d := <-results
		sent[d.r.id] = d.r.sent
		tokens[d.r.id] = 4100
	}
	limit := (50000*8+50000)*11/10 + 190000
	most := mostInWindow(w, sent, tokens, 8*time.Second)
	w.recordf("most tokens of the tenant in 8 s: %d, allowed %d", most, limit)
	return most > limit
}

// quotaLarge: a tenant of a small allowance sends one request that is larger than it.
func quotaLarge(w *world) bool {
	for range 3 {
		w.addReplica("llm", 6, stream)
	}
	coop := tenant{Name: "coop", Keys: []string{"k"}, Unit: "tokens", Plain: 200, Rate: 2000, Burst: 2000}
	w.configure(streamRoutes(nil), []tenant{coop})
	for range 3 {
		w.addHost()
	}
	w.awaitReady()
	limit := (2000*8+2000)*11/10 + 190000
	in := 100000
	if w.trouble {
		in = 250000
	}
	sent := map[string]time.Time{}
	tokens := map[string]int{}
	time.Sleep(8500 * time.Millisecond)
	r := w.send(w.hosts[0].frontend(), request{method: "POST", target: "/review/1", key: "k", body: "x", header: usage(in, 100), limit: 12 * time.Second})
	sent[r.id] = r.sent
	tokens[r.id] = in + 100
	most := mostInWindow(w, sent, tokens, 8*time.Second)
	w.recordf("most tokens of the tenant in 8 s: %d, allowed %d", most, limit)
	return most > limit
}

// poison answers streams like stream, but a request with the body "harmful" crashes the
// replica the given time after its first event.
func poison(after, back time.Duration) func(*replica, net.Conn, *http.Request, string) bool {
	return func(r *replica, c net.Conn, req *http.Request, body string) bool {
		if body != "harmful" {
			return stream(r, c, req, body)
		}
		streamHead(r, c, req)
		end := time.Now().Add(after)
		for n := 1; ; n++ {
			if event(c, n) != nil {
				return false
			}
			if left := time.Until(end); left <= 0 {
				break
			} else {
				time.Sleep(min(left, 100*time.Millisecond))
			}
		}
		r.crash(back)
		return false
	}
}

// retriesAfterThird returns how many runs of the harmful request began later than
// stable_ms after it had crashed the third replica. crashes and runs are in order.
func (w *world) retriesAfterThird(after time.Duration) int {
	const stable = 3 * time.Second
	w.mu.Lock()
	defer w.mu.Unlock()
	var harmful []run
	for _, r := range w.runs {
		if r.body == "harmful" {
			harmful = append(harmful, r)
		}
	}
	if len(harmful) < 3 {
		return 0
	}
	third := harmful[2].at.Add(after)
	n := 0
	for _, r := range harmful[3:] {
		if r.at.After(third.Add(stable)) {
			n++
		}
	}
	return n
}

// lateCrash: a request crashes each replica that runs it.
func lateCrash(w *world) bool {
	const after = 1500 * time.Millisecond
	for range 6 {
		if w.trouble {
			w.addReplica("llm", 6, poison(after, 3*time.Second))
		} else {
			w.addReplica("llm", 6, stream)
		}
	}
	coop := tenant{Name: "coop", Keys: []string{"k"}, Unit: "tokens", Plain: 200, Rate: 165313, Burst: 165313}
	w.configure(streamRoutes(nil), []tenant{coop})
	for range 3 {
		w.addHost()
	}
	w.awaitReady()
	for _, h := range w.hosts {
		await("served", func() bool {
			return w.send(h.frontend(), request{method: "POST", target: "/review/1", key: "k", body: "x", header: usage(100, 20), limit: 6 * time.Second}).status == 200
		})
	}
	time.Sleep(3 * time.Second)
	parts := usage(400, 100)
	for i := range 14 {
		h := w.hosts[i%len(w.hosts)]
		w.send(h.frontend(), request{method: "POST", target: "/review/harm", key: "k", body: "harmful", header: parts, limit: 6 * time.Second})
		time.Sleep(1500 * time.Millisecond)
	}
	if !w.trouble {
		w.recordf("nothing crashed")
		return false
	}
	n := w.retriesAfterThird(after)
	w.recordf("the request ran %d times later than stable_ms after its third crash; 3 are allowed", n)
	return n > 3
}

// broker returns the host that the others follow last.
func (w *world) broker() *host {
	newest, name := "", ""
	for _, h := range w.hosts {
		for _, line := range h.logged("broker chosen") {
			at := field(line, "time")
			if at > newest && h.alive() {
				newest, name = at, field(line, "broker")
			}
		}
	}
	for _, h := range w.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// field returns a text field of a line of a log.
func field(line, name string) string {
	_, rest, _ := strings.Cut(line, `"`+name+`":"`)
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

// crashRoll: a request crashes each replica that runs it while the hosts are restarted.
func crashRoll(w *world) bool {
	after := 50 * time.Millisecond
	for range 8 {
		w.addReplica("llm", 6, poison(after, 3*time.Second))
	}
	coop := tenant{Name: "coop", Keys: []string{"k"}, Unit: "tokens", Plain: 200, Rate: 165313, Burst: 165313}
	w.configure(streamRoutes(nil), []tenant{coop})
	for range 6 {
		w.addHost()
	}
	w.awaitReady()
	for _, h := range w.hosts {
		await("served", func() bool {
			return w.send(h.frontend(), request{method: "POST", target: "/review/1", key: "k", body: "x", header: usage(100, 20), limit: 6 * time.Second}).status == 200
		})
	}
	time.Sleep(3 * time.Second)
	parts := usage(400, 100)
	stopped := map[*host]time.Time{}
	for range 5 {
		for range 2 {
			for _, h := range w.hosts {
				if time.Since(stopped[h]) > 12*time.Second && h.alive() && h.ready() {
					w.send(h.frontend(), request{method: "POST", target: "/review/harm", key: "k", body: "harmful", header: parts, limit: 6 * time.Second})
					break
				}
			}
			time.Sleep(1600 * time.Millisecond)
		}
		if w.trouble {
			if b := w.broker(); b != nil {
				stopped[b] = time.Now()
				w.recordf("the broker is %s", b.name)
				b.stop()
				b.start()
				time.Sleep(500 * time.Millisecond)
			}
		}
	}
	n := w.retriesAfterThird(after)
	w.recordf("the request ran %d times later than stable_ms after its third crash; 3 are allowed", n)
	return n > 3
}

// spoiled: a replica spoils a few of its streams: in the middle, it sends bytes that are
// not of the protocol, and works on until its channel is closed.
func spoiled(w *world) bool {
	const (
		events  = 30
		pause   = 100 * time.Millisecond
		garbage = 5 // the event before the bytes that are no answer
	)
	ends := map[string]time.Time{} // by attempt id and replica, when its work ended
	count := 0                     // streams that faulty replicas ran
	answer := func(faulty bool) func(*replica, net.Conn, *http.Request, string) bool {
		return func(r *replica, c net.Conn, req *http.Request, _ string) bool {
			id := req.Header.Get("X-Attempt-Id")
			w.mu.Lock()
			if faulty {
				count++
			}
			spoil := faulty && w.trouble && count%spoilEach == 0
			w.mu.Unlock()
			closed := make(chan struct{})
			go func() {
				// The client of this channel sends nothing before the end of the answer.
				var b [1]byte
				if _, err := c.Read(b[:]); err != nil {
					close(closed)
				}
			}()
			from := 1
			fmt.Sscan(req.Header.Get("Last-Event-Id"), &from)
			if req.Header.Get("Last-Event-Id") != "" {
				from++
			}
			streamHead(r, c, req)
			how := "its channel was closed"
			n := from
		work:
			for ; n <= events; n++ {
				select {
				case <-closed:
					break work
				case <-time.After(pause):
				}
				if event(c, n) != nil {
					break
				}
				if spoil && n == garbage {
					w.recordf("replica %s spoils %s after event %d and works on", r.id, id, n)
					_, _ = io.WriteString(c, "?!\r\n~~~\r\n")
				}
			}
			if n > events {
				how = "it was done"
				_, _ = io.WriteString(c, "0\r\n\r\n")
			}
			w.mu.Lock()
			ends[id+r.id] = time.Now()
			w.mu.Unlock()
			w.recordf("replica %s ends its work on %s at event %d: %s", r.id, id, n, how)
			return false
		}
	}
	for i := range 6 {
		w.addReplica("llm", 6, answer(i%2 == 0))
	}
	w.configure(streamRoutes(map[string]any{"stream_resume": true, "max_attempts": 2}),
		[]tenant{{Name: "coop", Keys: []string{"k"}, Unit: "tokens", Plain: 200, Rate: 165313, Burst: 165313}})
	for range 3 {
		w.addHost()
	}
	w.awaitReady()
	await("the brokers have settled", func() bool { return w.broker() != nil })
	time.Sleep(time.Second)
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			w.send(w.hosts[i%3].frontend(), request{method: "POST", target: "/review/1", key: "k", body: newID(), header: usage(400, 90), limit: 10 * time.Second})
		})
		time.Sleep(125 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(time.Second)
	w.mu.Lock()
	byID := map[string][]run{}
	for _, r := range w.runs {
		byID[r.id] = append(byID[r.id], r)
	}
	w.mu.Unlock()
	twice := 0
	for id, runs := range byID {
		for i := 1; i < len(runs); i++ {
			end := ends[id+runs[i-1].replica]
			if overlap := end.Sub(runs[i].at); overlap > 400*time.Millisecond {
				twice++
				w.recordf("%s went on at replica %s, and replica %s still worked on it %d ms later", id, runs[i].replica, runs[i-1].replica, overlap.Milliseconds())
			}
		}
	}
	w.recordf("%d of %d requests ran at two replicas at once for more than 400 ms", twice, len(byID))
	return twice > 0
}

// spoilEach is one in how many streams a faulty replica spoils: 2 in 100.
const spoilEach = 50
