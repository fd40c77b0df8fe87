package main

import (
	"fmt"
	"net"
	"time"
)

// revoke plays a client with a slow link whose key is taken away while its request is
// on its way. The rest of the request is sent for longer than revoke_ms after the ack.
func revoke(w *world, trouble bool) (int, error) {
	const revokeMs, pieces, pause = 5000, 35, 200 * time.Millisecond
	for i := range 3 {
		r := &replica{w: w, name: string(rune('a' + i)), service: "orders-svc", slots: 6, workMs: 15}
		r.start()
	}
	routes := []map[string]any{route("orders", "/orders/", "non_idempotent", "orders-svc", 10000, 100, 1)}
	if err := w.startWith(3, config(1, routes, []string{"orders-svc"}, []map[string]any{tenant("farm", "key-of-farm"), tenant("shop", "key-of-shop")})); err != nil {
		return couldNot, err
	}
	late := 0
	for i, e := range w.entries {
		key := fmt.Sprintf("key-%d", i)
		held := config(2+2*i, routes, []string{"orders-svc"}, []map[string]any{tenant("farm", "key-of-farm", key), tenant("shop", "key-of-shop")})
		gone := config(3+2*i, routes, []string{"orders-svc"}, []map[string]any{tenant("farm", "key-of-farm"), tenant("shop", "key-of-shop")})
		w.store.write("op/config", held)
		w.logf("the desired state holds %s", key)
		time.Sleep(2500 * time.Millisecond)

		c, err := net.DialTimeout("tcp", e.frontend, time.Second)
		if err != nil {
			return couldNot, err
		}
		attempt := newAttempt()
		fmt.Fprintf(c, "POST /orders/slow HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 10000\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n", attempt, key, pieces*20)
		w.logf("client begins to send %s with %s to %s", attempt, key, e.name)
		time.Sleep(300 * time.Millisecond)
		var acked time.Time
		if trouble {
			w.store.write("op/config", gone)
			acked = time.Now()
			w.logf("the store has acknowledged the desired state without %s", key)
		}
		for range pieces {
			time.Sleep(pause)
			fmt.Fprintf(c, "%-20s", "an order")
		}
		a := answer{attempt: attempt, sent: time.Now()}
		w.logf("client has sent the last byte of %s", attempt)
		c.SetDeadline(time.Now().Add(4 * time.Second))
		a.read(c, "POST")
		c.Close()
		w.logf("client of %s gets %d signature %q %s", attempt, a.status, a.signature, errText(a.err))
		ran := w.ranAt(attempt)
		if trouble && !ran.IsZero() && a.sent.Sub(acked) > revokeMs*time.Millisecond {
			late++
			w.logf("%s has run with %s, its last byte sent %d ms after the ack", attempt, key, a.sent.Sub(acked).Milliseconds())
		}
		if !trouble && (ran.IsZero() || a.status != 200) {
			return couldNot, fmt.Errorf("the request wasn't served: status %d", a.status)
		}
	}
	return w.verdict(late == 0, "%d of %d requests with a key that was taken away ran, the last byte sent later than %d ms after the ack", late, len(w.entries), revokeMs)
}
