package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// A replica that reads slowly takes slowPart bytes of a body after each slowPause: half
	// a MiB a second.
	slowPart  = 1 << 20
	slowPause = 2 * time.Second

	uploadBytes = 2 << 20 // half of max_body_bytes
	uploads     = 24
	lookups     = 48
	uploadLimit = 12 * time.Second

	// servedShare is the part of the share of the first routes that the rule CONFIG asks
	// for on routes that were added.
	servedShare = 0.25
)

// readBody reads the body of a request, slowly if the replica does.
func (r *replica) readBody(req *http.Request) error {
	if !r.slow {
		_, err := io.Copy(io.Discard, req.Body)
		return err
	}
	for {
		time.Sleep(slowPause)
		_, err := io.CopyN(io.Discard, req.Body, slowPart)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// playSlowReader adds a route to a service whose replicas read bodies slowly. In steady
// state the requests on it must be served at least a quarter as often as those on the first
// route.
func playSlowReader(rec *record, root, dir string, trouble bool) (bool, error) {
	useDemands()
	var replicas []*replica
	for n := range 6 {
		service := []string{"orders", "uploads"}[n/3]
		r, err := newReplica(fmt.Sprintf("i-%s%d", service, n%3), service, 6, rec)
		if err != nil {
			return false, err
		}
		r.slow = trouble && service == "uploads"
		replicas = append(replicas, r)
	}
	first := route("lookup", serviceHost, "/lookup/", "idempotent", "orders", 1000, 100, 2, false)
	added := route("upload", serviceHost, "/upload/", "non_idempotent", "uploads", int(uploadLimit.Milliseconds()), 8000, 1, false)
	d, err := newDeployment(rec, root, dir, 2, withUploads(desiredState(10, 0, 0, first)), replicas...)
	defer d.close()
	if err != nil {
		return false, err
	}
	d.store.put("op/config", withUploads(desiredState(12, 0, 0, first, added)))
	rec.line("config version 12 acked, with the route /upload/")
	time.Sleep(7500 * time.Millisecond) // longer than stable_ms and config_apply_ms together

	served := map[string]int{}
	var mu sync.Mutex
	var done sync.WaitGroup
	ask := func(kind, method, body string, n int, limit time.Duration) {
		defer done.Done()
		attempt := fmt.Sprintf("%s%04d", kind, n)
		req := request(method, serviceHost, "/"+kind+"/1", attempt, key, "", body, limit)
		a := send(rec, d.entries[n%len(d.entries)].frontend, req, attempt, limit+time.Second)
		mu.Lock()
		defer mu.Unlock()
		if a.status == 200 && a.complete && a.body == "answer to "+attempt {
			served[kind]++
		}
	}
	body := strings.Repeat("b", uploadBytes)
	for n := range lookups {
		done.Add(1)
		go ask("lookup", "GET", "", n, time.Second)
		if n%(lookups/uploads) == 0 {
			done.Add(1)
			go ask("upload", "POST", body, n/(lookups/uploads), uploadLimit)
		}
		time.Sleep(300 * time.Millisecond)
	}
	done.Wait()
	rec.line("check  %d of %d requests on the first route were served, %d of %d on the added one", served["lookup"], lookups, served["upload"], uploads)
	if served["lookup"] < lookups/2 {
		return false, fmt.Errorf("the first route is not served")
	}
	return float64(served["upload"])/uploads < servedShare*float64(served["lookup"])/lookups, nil
}

// withUploads adds the service for uploads to a desired state.
func withUploads(state map[string]any) map[string]any {
	state["backends"] = append(state["backends"].([]map[string]any), map[string]any{"name": "uploads", "health_path": "/healthz", "max_connections": 96})
	return state
}
