package main

import (
	"net/http"
	"time"
)

// sameID plays a request that crashes each replica that begins to run it. The replicas
// start again under the id that they had.
func sameID(w *world, trouble bool) (int, error) {
	const machines, period = 3, 3500 * time.Millisecond
	for i, workMs := range []int{10, 30, 30} {
		r := &replica{w: w, name: string(rune('a' + i)), service: "orders-svc", slots: 6, workMs: workMs, keepID: true}
		r.on = func(_ *replica, q *http.Request, _ []byte) action {
			if trouble && q.URL.Path == poisonPath {
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
	defer close(stop)
	go w.usual(700*time.Millisecond, 1, stop)

	time.Sleep(350 * time.Millisecond)
	var third time.Time
	crashes, late := 0, 0
	for n := range 12 {
		next := time.Now().Add(period)
		e := w.entries[n%len(w.entries)]
		a := w.send(e, request{method: "POST", host: "site.example", path: poisonPath, key: "key-of-farm", body: []byte("a bad order"), limitMs: 1000})
		if ran := w.ranAt(a.attempt); trouble && !ran.IsZero() {
			crashes++
			if crashes == 3 {
				third = ran
			}
			if crashes > 3 && ran.Sub(third) > stableMs*time.Millisecond {
				late++
				w.logf("retry %s has reached a replica %d ms after the third crash", a.attempt, ran.Sub(third).Milliseconds())
			}
		}
		time.Sleep(time.Until(next))
	}
	return w.verdict(late <= 3, "%d crashes, %d retries reached replicas later than %d ms after the third crash (3 allowed)", crashes, late, stableMs)
}
