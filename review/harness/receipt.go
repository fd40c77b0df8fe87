package main

import (
	"net/http"
	"sync/atomic"
	"time"
)

// receipt plays replicas that hand out wrong bytes: in a few of their answers one letter of
// the name of the receipt's header is wrong.
func receipt(w *world, trouble bool) (int, error) {
	const (
		replicas   = 4
		faulty     = 2  // share 0.5
		spoilEvery = 33 // x 0.03
		spoilFor   = 5500 * time.Millisecond
		machines   = 3
		period     = 60 * time.Millisecond
		together   = 6
	)
	var spoiling atomic.Bool
	for i := range replicas {
		r := &replica{w: w, name: string(rune('a' + i)), service: "orders-svc", slots: 6, workMs: 15}
		var runs atomic.Int64
		r.on = func(r *replica, q *http.Request, _ []byte) action {
			if i < faulty && spoiling.Load() && runs.Add(1)%spoilEvery == 0 {
				w.logf("replica %s spoils its answer to %s", r.name, q.Header.Get("X-Attempt-Id"))
				return actSpoil
			}
			return actAnswer
		}
		r.start()
	}
	if err := w.startMachines(machines); err != nil {
		return couldNot, err
	}
	spoiling.Store(trouble)
	answers := make(chan answer)
	sent := 0
	for began := time.Now(); time.Since(began) < spoilFor; time.Sleep(period) {
		e := w.entries[sent/together%machines]
		for range together {
			sent++
			go func() {
				answers <- w.send(e, request{method: "POST", host: "site.example", path: "/orders/" + newAttempt(), key: "key-of-farm", body: []byte("order"), limitMs: 1000})
			}()
		}
	}
	without, served := 0, 0
	for range sent {
		a := <-answers
		if a.status/100 != 2 {
			continue
		}
		served++
		if a.signature == "" {
			without++
			w.logf("the client of %s has a success without a receipt", a.attempt)
		}
	}
	return w.verdict(without == 0, "%d of %d successes without a receipt", without, served)
}
