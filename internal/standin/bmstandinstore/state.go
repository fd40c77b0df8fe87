package bmstandinstore

import (
	"sort"
	"strconv"
	"strings"

	"basilmoor.example/basilmoor"
)

// record is the value and metadata of a key.
type record struct {
	value    []byte
	version  int64
	revision int64
	lease    string
}

// change is one entry of the history. It keeps the replaced record in before,
// so that restore can undo the change.
type change struct {
	key       string
	after     record
	before    record
	existed   bool // the key existed, and before is its record
	deleted   bool
	atVersion int64 // version that was written or deleted
}

// lease has a time to live and expires unless it is renewed.
type lease struct {
	ttl       basilmoor.Millis
	expiresAt basilmoor.Millis
}

// state holds the keys, leases and history of the store. It is not safe for
// concurrent use.
type state struct {
	revision      int64
	compacted     int64 // watches that start at an older revision fail
	records       map[string]record
	leasedKeys    map[string]struct{} // keys with a lease
	history       []change            // changes with revisions compacted+1 to revision
	historyLimit  int
	leases        map[string]lease
	grantedLeases int64 // number of leases granted so far, the source of lease ids
}

func newState(limit int) *state {
	return &state{
		records:      make(map[string]record),
		leasedKeys:   make(map[string]struct{}),
		historyLimit: limit,
		leases:       make(map[string]lease),
	}
}

// put writes a key and returns its new record.
func (s *state) put(key string, value []byte, leaseID string) record {
	before, existed := s.records[key]
	after := record{
		value:    value,
		version:  before.version + 1,
		revision: s.revision + 1,
		lease:    leaseID,
	}
	s.setRecord(key, after)
	s.appendChange(change{
		key:       key,
		after:     after,
		before:    before,
		existed:   existed,
		atVersion: after.version,
	})
	return after
}

// deleteKey deletes an existing key and adds the deletion to the history.
func (s *state) deleteKey(key string) {
	before := s.records[key]
	s.deleteRecord(key)
	s.appendChange(change{
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

// setRecord sets the record of a key without changing the history.
func (s *state) setRecord(key string, r record) {
	s.records[key] = r
	delete(s.leasedKeys, key)
	if r.lease != "" {
		s.leasedKeys[key] = struct{}{}
	}
}

// deleteRecord deletes a key without changing the history.
func (s *state) deleteRecord(key string) {
	delete(s.records, key)
	delete(s.leasedKeys, key)
}

// appendChange increases the revision and adds c to the history, discarding the
// oldest changes above historyLimit.
func (s *state) appendChange(c change) {
	s.revision++
	s.history = append(s.history, c)
	if excess := len(s.history) - s.historyLimit; excess > 0 {
		s.history = s.history[excess:]
		s.compacted += int64(excess)
	}
}

// keys returns the keys that start with prefix in sorted order.
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

// changes returns the changes after the given revision to keys that start with
// prefix. The revision must not be older than compacted.
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

// restore undoes the changes after revision. It returns false and changes
// nothing if the history does not include revision.
func (s *state) restore(revision int64) bool {
	if revision < s.compacted || revision > s.revision {
		return false
	}
	keep := int(revision - s.compacted)
	for i := len(s.history) - 1; i >= keep; i-- {
		c := s.history[i]
		s.deleteRecord(c.key)
		if c.existed {
			s.setRecord(c.key, c.before)
		}
	}
	s.history = s.history[:keep:keep]
	s.revision = revision
	return true
}

// grant creates a lease and returns its id.
func (s *state) grant(now, ttl basilmoor.Millis) string {
	s.grantedLeases++
	id := strconv.FormatInt(s.grantedLeases, 10)
	s.leases[id] = lease{
		ttl:       ttl,
		expiresAt: now + ttl,
	}
	return id
}

// renew extends a lease by its time to live and reports whether it exists.
func (s *state) renew(now basilmoor.Millis, id string) bool {
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	l.expiresAt = now + l.ttl
	s.leases[id] = l
	return true
}

// revoke removes the lease and reports whether it existed. The next call of
// expireLeases deletes its keys.
func (s *state) revoke(id string) bool {
	_, ok := s.leases[id]
	delete(s.leases, id)
	return ok
}

// expireLeases removes expired leases and deletes the keys whose lease no longer
// exists. It reports whether it deleted any key.
func (s *state) expireLeases(now basilmoor.Millis) bool {
	for id, l := range s.leases {
		if l.expiresAt <= now {
			delete(s.leases, id)
		}
	}
	var keysToDelete []string
	for key := range s.leasedKeys {
		if _, ok := s.leases[s.records[key].lease]; !ok {
			keysToDelete = append(keysToDelete, key)
		}
	}
	sort.Strings(keysToDelete)
	for _, key := range keysToDelete {
		s.deleteKey(key)
	}
	return len(keysToDelete) > 0
}

// timeToNextExpiry returns the time until the next lease expires, but at most
// limit.
func (s *state) timeToNextExpiry(now, limit basilmoor.Millis) basilmoor.Millis {
	for _, l := range s.leases {
		limit = min(limit, l.expiresAt-now)
	}
	return limit
}
