package bmstandinstore

import (
	"sort"
	"strconv"
	"strings"

	"basilmoor.example/basilmoor"
)

// record is the value of an existing key.
type record struct {
	value    []byte
	version  int64
	revision int64
	lease    string
}

// change is one step of the history. Before is the state that it replaced, so
// that a restoration can undo it.
type change struct {
	key       string
	after     record
	before    record
	existed   bool // before holds a record
	deleted   bool
	atVersion int64 // version that was written or deleted
}

type lease struct {
	ttl     basilmoor.Millis
	expires basilmoor.Millis
}

// state is the content of the store. It is not safe for concurrent use.
type state struct {
	revision  int64
	compacted int64 // watches after an older revision are refused
	records   map[string]record
	leased    map[string]struct{} // keys with a lease
	history   []change            // of the revisions compacted+1 to revision
	limit     int
	leases    map[string]lease
	granted   int64 // number of leases ever granted
}

func newState(limit int) *state {
	return &state{
		records: make(map[string]record),
		leased:  make(map[string]struct{}),
		limit:   limit,
		leases:  make(map[string]lease),
	}
}

func (s *state) put(key string, value []byte, leaseID string) record {
	before, existed := s.records[key]
	after := record{
		value:    value,
		version:  before.version + 1,
		revision: s.revision + 1,
		lease:    leaseID,
	}
	s.set(key, after)
	s.append(change{
		key:       key,
		after:     after,
		before:    before,
		existed:   existed,
		atVersion: after.version,
	})
	return after
}

func (s *state) remove(key string) {
	before := s.records[key]
	s.unset(key)
	s.append(change{
		key: key,
		after: record{
			revision: s.revision + 1,
		},
		before:    before,
		existed:   true,
		deleted:   true,
		atVersion: before.version,
	})
}

func (s *state) set(key string, r record) {
	s.records[key] = r
	delete(s.leased, key)
	if r.lease != "" {
		s.leased[key] = struct{}{}
	}
}

func (s *state) unset(key string) {
	delete(s.records, key)
	delete(s.leased, key)
}

func (s *state) append(c change) {
	s.revision++
	s.history = append(s.history, c)
	if excess := len(s.history) - s.limit; excess > 0 {
		s.history = s.history[excess:]
		s.compacted += int64(excess)
	}
}

// keys returns the keys below prefix in order.
func (s *state) keys(prefix string) []string {
	var keys []string
	for key := range s.records {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// changes returns the changes below prefix after the given revision, which is
// not older than compacted.
func (s *state) changes(prefix string, after int64) []change {
	if after >= s.revision {
		return nil
	}
	var found []change
	for _, c := range s.history[after-s.compacted:] {
		if strings.HasPrefix(c.key, prefix) {
			found = append(found, c)
		}
	}
	return found
}

// restore undoes the changes after revision. It reports whether the history
// reaches back so far.
func (s *state) restore(revision int64) bool {
	if revision < s.compacted || revision > s.revision {
		return false
	}
	keep := int(revision - s.compacted)
	for i := len(s.history) - 1; i >= keep; i-- {
		c := s.history[i]
		s.unset(c.key)
		if c.existed {
			s.set(c.key, c.before)
		}
	}
	s.history = s.history[:keep:keep]
	s.revision = revision
	return true
}

func (s *state) grant(now, ttl basilmoor.Millis) string {
	s.granted++
	id := strconv.FormatInt(s.granted, 10)
	s.leases[id] = lease{
		ttl:     ttl,
		expires: now + ttl,
	}
	return id
}

func (s *state) renew(now basilmoor.Millis, id string) bool {
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	l.expires = now + l.ttl
	s.leases[id] = l
	return true
}

// revoke ends the lease. Its keys go with the next sweep.
func (s *state) revoke(id string) bool {
	_, ok := s.leases[id]
	delete(s.leases, id)
	return ok
}

// sweep ends the leases that lapsed and deletes the keys whose lease is gone.
// It reports whether a key changed.
func (s *state) sweep(now basilmoor.Millis) bool {
	for id, l := range s.leases {
		if l.expires <= now {
			delete(s.leases, id)
		}
	}
	var lost []string
	for key := range s.leased {
		if _, ok := s.leases[s.records[key].lease]; !ok {
			lost = append(lost, key)
		}
	}
	sort.Strings(lost)
	for _, key := range lost {
		s.remove(key)
	}
	return len(lost) > 0
}

// nextExpiry returns the time until the next lease lapses, or limit if that is
// sooner.
func (s *state) nextExpiry(now, limit basilmoor.Millis) basilmoor.Millis {
	for _, l := range s.leases {
		limit = min(limit, l.expires-now)
	}
	return limit
}
