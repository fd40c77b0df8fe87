package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or a change of a key.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease_id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type leaseState struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's metadata store. Leases expire on the real
// clock. It loses nothing and is never slow.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*leaseState
	nextID   int64
	writer   int // machine that last wrote under a condition
}

func startStore() *store {
	s := &store{
		changed:  make(chan struct{}),
		revision: 10,
		items:    map[string]item{},
		leases:   map[int64]*leaseState{},
	}
	go s.expireLoop()
	return s
}

// listen opens a way to the store for one machine, so that the store knows who calls.
func (s *store) listen(ip string, machine int) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, machine) }))
	return l.Addr().String(), nil
}

// lastWriter returns the machine that last wrote to the store under a condition.
func (s *store) lastWriter() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writer
}

func (s *store) expireLoop() {
	for {
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.del(key)
		}
	}
	s.notify()
}

func (s *store) put(key string, value []byte, lease int64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.events = append(s.events, i)
}

func (s *store) del(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
}

// write is a write of the operator or of a replica. It returns when the store has
// acknowledged it.
func (s *store) write(key string, value any) (revision int64) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, raw, 0)
	s.notify()
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.del(key)
	s.notify()
}

// revisionOf returns the revision of a key, 0 if it does not exist.
func (s *store) revisionOf(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Revision
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	w.Write(raw)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, machine int) {
	q := r.URL.Query()
	path := "/" + strings.SplitN(strings.TrimPrefix(r.URL.Path, "/"), "/", 2)[0]
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	switch path {
	case "/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, i)
	case "/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "/kv-watch":
		s.serveWatch(w, r)
	case "/kv-txn":
		s.serveTxn(w, r, machine)
	case "/kv-lease":
		var b struct {
			TTL int64 `json:"ttl_ms"`
		}
		json.NewDecoder(r.Body).Decode(&b)
		ttl := max(time.Duration(b.TTL)*time.Millisecond, time.Second)
		s.mu.Lock()
		s.nextID++
		n := s.nextID
		s.leases[n] = &leaseState{ttl: ttl, expires: time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease_id": n, "ttl_ms": ttl.Milliseconds()})
	case "/kv-keep":
		s.mu.Lock()
		l, ok := s.leases[id]
		if ok {
			l.expires = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{"lease_id": id, "ttl_ms": l.ttl.Milliseconds()})
	case "/kv-lease-end":
		s.mu.Lock()
		_, ok := s.leases[id]
		if ok {
			s.endLease(id)
		}
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{})
	default:
		reply(w, 404, map[string]any{})
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > 500
	if more {
		found = found[:500]
	}
	reply(w, 200, map[string]any{"entries": found, "has_more": more, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request, machine int) {
	var t struct {
		Expected []item   `json:"expected_rev"`
		Put      []item   `json:"put"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	met := true
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		met = met && i.Revision == e.Revision
	}
	if !met {
		reply(w, 412, map[string]any{"entries": current})
		return
	}
	for _, p := range t.Put {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, map[string]any{})
			return
		}
	}
	for _, p := range t.Put {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.del(key)
	}
	s.writer = machine
	s.notify()
	reply(w, 200, map[string]any{"revision": s.revision})
}
