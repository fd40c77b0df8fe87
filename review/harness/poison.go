package main

import (
	"net/http"
	"syscall"
	"time"
)

const poisonPath = "/orders/poison"

// poison plays a request that crashes each replica that begins to run it, while the
// machine that leads is killed a few times.
func poison(w *world, trouble bool) (int, error) {
	const machines, replicas, period = 4, 6, 3500 * time.Millisecond
	const maxKills, downTime = 2, 3500 * time.Millisecond
	for i := range replicas {
		r := &replica{w: w, name: string(rune('a' + i)), service: "orders-svc", slots: 6, workMs: 15}
		r.on = func(_ *replica, q *http.Request, _ []byte) action {
			if q.URL.Path == poisonPath {
				return actCrash
			}
			return actAnswer
		}
		r.start()
	}
	if err := w.startMachines(machines); err != nil {
		return couldNot, err
	}
	stop := make(chan struct{})
	go w.usual(100*time.Millisecond, 1, stop)
	defer close(stop)

	var third time.Time
	crashes, late := 0, 0
	kills := 0
	for n := range 12 {
		e := w.calmMachine(n)
		if e == nil {
			return couldNot, errNotReady
		}
		inTouch := e.inTouch(time.Now())
		a := w.send(e, request{method: "POST", host: "site.example", path: poisonPath, key: "key-of-farm", body: []byte("a bad order"), limitMs: 1000})
		ran := w.ranAt(a.attempt)
		if !ran.IsZero() {
			crashes++
			if crashes == 3 {
				third = ran
			}
			if crashes > 3 && inTouch && ran.Sub(third) > stableMs*time.Millisecond {
				late++
				w.logf("retry %s has reached a replica %d ms after the third crash, by %s, in touch", a.attempt, ran.Sub(third).Milliseconds(), e.name)
			}
		}
		next := time.Now().Add(period)
		if trouble && !ran.IsZero() && crashes%2 == 0 && kills < maxKills {
			kills++
			time.Sleep(500 * time.Millisecond)
			leader := w.entries[w.store.lastWriter()-1]
			leader.signal(syscall.SIGKILL)
			time.AfterFunc(downTime, func() { leader.start() })
		}
		time.Sleep(time.Until(next))
	}
	return w.verdict(late <= 3, "%d crashes, %d retries reached replicas later than %d ms after the third crash, by machines in touch (3 allowed); %d kills", crashes, late, stableMs, kills)
}

// calmMachine returns a running machine in touch, another one for each n.
func (w *world) calmMachine(n int) *entry {
	for i := range w.entries {
		e := w.entries[(n+i)%len(w.entries)]
		if e.running() && e.inTouch(time.Now()) && e.isReady() {
			return e
		}
	}
	return nil
}

// ranAt returns when a replica began to run an attempt.
func (w *world) ranAt(attempt string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals {
		if a.attempt == attempt && a.what == "run" {
			return a.at
		}
	}
	return time.Time{}
}

// usual sends a number of ordinary requests every period.
func (w *world) usual(period time.Duration, together int, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(period):
		}
		e := w.entries[n%len(w.entries)]
		if !e.running() {
			continue
		}
		for range together {
			go w.send(e, request{method: "POST", host: "site.example", path: "/orders/" + newAttempt(), key: "key-of-farm", body: []byte("order"), limitMs: 1000})
		}
	}
}

// startMachines starts machines in front of the service orders-svc, and waits until they
// are ready and the first span of stable_ms is over.
func (w *world) startMachines(n int) error {
	return w.startWith(n, config(1, []map[string]any{route("orders", "/orders/", "non_idempotent", "orders-svc", 1000, 100, 1)},
		[]string{"orders-svc"}, []map[string]any{tenant("farm", "key-of-farm")}))
}

// startWith starts machines with the given desired state.
func (w *world) startWith(n int, state map[string]any) error {
	w.store.write("op/config", state)
	for i := range n {
		if _, err := w.addEntry(i+1, settingsOptions{}); err != nil {
			return err
		}
	}
	for _, e := range w.entries {
		if !e.waitReady(10 * time.Second) {
			return errNotReady
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}
