package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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

// fraction: a desired state writes the timeouts of its routes with a decimal point, and takes
// a key away. With TROUBLE=0 it writes them without.
func fraction(w *world) bool {
	const revoke = 5 * time.Second
	w.addReplica("app", 6, ok)
	w.addReplica("app", 6, ok)
	coop := tenant{Name: "coop", Keys: []string{"kept", "taken"}, Unit: "tokens", Plain: 200, Rate: 165313, Burst: 165313}
	w.configure(plainRoutes(), []tenant{coop})
	for range 3 {
		w.addHost()
	}
	w.awaitReady()
	q := request{method: "POST", target: "/orders/1", key: "taken", body: "order"}
	for _, h := range w.hosts {
		await("the key is served", func() bool { return w.send(h.frontend(), q).status == 200 })
	}
	coop.Keys = []string{"kept"}
	timeout := json.RawMessage("9000")
	if w.trouble {
		timeout = json.RawMessage("9000.0")
	}
	routes := plainRoutes()
	for _, r := range routes {
		r["timeout_ms"] = timeout
	}
	ack := w.configure(routes, []tenant{coop})
	w.recordf("timeout_ms of the routes is written as %s", timeout)
	time.Sleep(time.Until(ack.Add(revoke + time.Second)))
	ran := 0
	for range 5 {
		for _, h := range w.hosts {
			ran += len(w.runsOf(w.send(h.frontend(), q).id))
		}
	}
	for _, h := range w.hosts {
		w.recordf("%s is ready: %v; its last warning: %s", h.name, h.ready(), h.lastLine(`"level":"error"`))
	}
	w.recordf("%d of 15 requests with the key that was taken away ran, sent more than %v after the ack", ran, revoke)
	return ran > 0
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

// poison answers streams of 30 events, one each 50 ms. If crashes is set, a request with the
// body "harmful" ends the replica the given time after its first event.
func poison(crashes bool, after, back time.Duration) func(*replica, net.Conn, *http.Request, string) bool {
	return func(r *replica, c net.Conn, req *http.Request, body string) bool {
		harmful := crashes && body == "harmful"
		streamHead(r, c, req)
		began := time.Now()
		for n := 1; n <= 30 || harmful; n++ {
			if event(c, n) != nil {
				return false
			}
			if harmful && time.Since(began) >= after {
				r.crash(back)
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
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

// lateCrash: a request crashes each replica that runs it, beside streams that harm nobody.
// With TROUBLE=0 it is sent as often and crashes nothing.
func lateCrash(w *world) bool {
	const after = 1500 * time.Millisecond
	for range 6 {
		w.addReplica("llm", 6, poison(w.trouble, after, 3*time.Second))
	}
	coop := tenant{Name: "coop", Keys: []string{"k"}, Unit: "tokens", Plain: 200, Rate: 165313, Burst: 165313}
	w.configure(streamRoutes(nil), []tenant{coop})
	for range 3 {
		w.addHost()
	}
	w.awaitReady()
	sound := func(h *host) result {
		return w.send(h.frontend(), request{method: "POST", target: "/review/1", key: "k", body: newID(), header: usage(100, 90), limit: 6 * time.Second})
	}
	for _, h := range w.hosts {
		await("served", func() bool { return sound(h).status == 200 })
	}
	time.Sleep(3 * time.Second)
	end := make(chan struct{})
	var others sync.WaitGroup
	lost := 0
	others.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-time.After(250 * time.Millisecond):
			}
			others.Go(func() {
				if r := sound(w.hosts[i%len(w.hosts)]); r.status != 200 || r.err != nil {
					w.mu.Lock()
					lost++
					w.mu.Unlock()
				}
			})
		}
	})
	parts := usage(400, 100)
	for i := range 14 {
		h := w.hosts[i%len(w.hosts)]
		w.send(h.frontend(), request{method: "POST", target: "/review/harm", key: "k", body: "harmful", header: parts, limit: 6 * time.Second})
		time.Sleep(1500 * time.Millisecond)
	}
	close(end)
	others.Wait()
	w.recordf("%d other streams were lost", lost)
	if !w.trouble {
		return false
	}
	n := w.retriesAfterThird(after)
	w.recordf("the request ran %d times later than stable_ms after its third crash; 3 are allowed", n)
	return n > 3
}

// settingsFraction: the settings files change, with a bound that is no whole number, and all
// processes are killed and started again. With TROUBLE=0 the bound stays whole.
func settingsFraction(w *world) bool {
	const recovery = 12 * time.Second
	w.addReplica("app", 6, ok)
	w.addReplica("app", 6, ok)
	w.configure(plainRoutes(), []tenant{{Name: "coop", Keys: []string{"k"}, Unit: "tokens", Plain: 200, Rate: 165313, Burst: 165313}})
	for range 3 {
		w.addHost()
	}
	w.awaitReady()
	served := func(times int) (ok, all int) {
		for range times {
			for _, h := range w.hosts {
				all++
				if w.send(h.frontend(), request{method: "GET", target: "/lookup/1", key: "k"}).status == 200 {
					ok++
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		return ok, all
	}
	await("served", func() bool { n, _ := served(1); return n == len(w.hosts) })
	for _, h := range w.hosts {
		if w.trouble {
			h.drain = 2000.5
		}
		h.writeSettings()
	}
	w.recordf("the settings files have changed, drain_ms is %v", w.hosts[0].drain)
	time.Sleep(time.Second)
	before, all := served(10)
	w.recordf("before the final fault %d of %d requests are served", before, all)
	for _, h := range w.hosts {
		h.kill()
	}
	// The platform starts a process again that has ended, after a short delay.
	end := make(chan struct{})
	var platform sync.WaitGroup
	starts := make([]int, len(w.hosts))
	for i, h := range w.hosts {
		platform.Go(func() {
			for {
				select {
				case <-end:
					return
				case <-time.After(time.Second):
				}
				if !h.alive() {
					starts[i]++
					h.start()
				}
			}
		})
	}
	time.Sleep(time.Second)
	w.recordf("the machines are back")
	time.Sleep(recovery)
	after, all := served(20)
	close(end)
	platform.Wait()
	for i, h := range w.hosts {
		w.recordf("%s was started %d times; its output ends with: %s", h.name, starts[i], h.lastLine(""))
	}
	w.recordf("later than recovery_s after that %d of %d requests are served; a quarter is the least", after, all)
	return 4*before >= all/2 && 4*after < all
}
