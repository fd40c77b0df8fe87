package main

import (
	"fmt"
	"strings"
	"time"
)

// forged plays entries that another writer puts in the store, with fields missing, under
// the id of a replica of another service.
func forged(w *world, trouble bool) (int, error) {
	const machines, writes = 3, 3
	var other *replica
	for i := range 3 {
		orders := &replica{w: w, name: fmt.Sprintf("orders%d", i), service: "orders-svc", slots: 6, workMs: 15}
		orders.start()
		stock := &replica{w: w, name: fmt.Sprintf("stock%d", i), service: "stock-svc", slots: 6, workMs: 15}
		stock.start()
		other = stock
	}
	state := config(1, []map[string]any{
		route("orders", "/orders/", "non_idempotent", "orders-svc", 1000, 100, 1),
		route("stock", "/stock/", "idempotent", "stock-svc", 1000, 100, 2),
	}, []string{"orders-svc", "stock-svc"}, []map[string]any{tenant("farm", "key-of-farm")})
	if err := w.startWith(machines, state); err != nil {
		return couldNot, err
	}
	stop := make(chan struct{})
	go w.usual(50*time.Millisecond, 6, stop)
	time.Sleep(3 * time.Second)

	for range writes {
		if trouble {
			w.store.write("servers/"+other.id, map[string]any{"backend": "orders-svc", "address": other.addr, "zone": "z1", "slots": 6, "lifecycle": "ready"})
			w.logf("another writer has put an entry without version, cold_left_ms and seq_num under servers/%s", other.id)
		}
		time.Sleep(2300 * time.Millisecond)
	}
	close(stop)
	time.Sleep(1500 * time.Millisecond)

	foreign := 0
	w.mu.Lock()
	for _, a := range w.arrivals {
		if strings.HasPrefix(a.path, "/orders/") && a.service != "orders-svc" && a.what == "run" {
			foreign++
		}
	}
	w.mu.Unlock()
	return w.verdict(foreign == 0, "%d requests of orders were run by stock-svc, to which no desired state sends them", foreign)
}
