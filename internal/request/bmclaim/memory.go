package bmclaim

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"

	"basilmoor.example/basilmoor"
)

// segmentRef names a segment that this host knows to be part of a log.
type segmentRef struct {
	sequence int64
	batch    string
	since    basilmoor.Millis // when this host wrote it or heard of it
}

// isLost reports whether the segment is missing from the log although nobody can have
// trimmed it: it is too young, or the log still has older ones.
func (r segmentRef) isLost(v *view, now basilmoor.Millis) bool {
	if v.containsBatch(r.batch) {
		return false
	}
	return now-r.since < trimAge || len(v.segments) == 0 || v.segments[0].sequence <= r.sequence
}

// segmentRefs lists segments in the order in which this host has heard of them.
type segmentRefs []segmentRef

// after returns the segments that follow the given first ones, which may have been
// dropped already.
func (l segmentRefs) after(first segmentRefs) segmentRefs {
	n := 0
	for n < len(l) && n < len(first) && l[n] == first[n] {
		n++
	}
	return l[n:]
}

// withoutLast returns the segments but the last one, with which the next check begins.
func (l segmentRefs) withoutLast() segmentRefs {
	return l[:max(len(l)-1, 0)]
}

// memory holds claims of a slot that this host knows to have been in the log, apart
// from its view: those of which another host has told it, and those that were missing
// when the log was read again. A store that comes back from a copy has lost the latest
// ones. It is safe for concurrent use.
type memory struct {
	mu    sync.Mutex
	known *view // without segments
	// unverified holds the segments of which other hosts have told, to be looked for in
	// the next check of the log, and the last one that the check before has found.
	unverified segmentRefs
	// highest is the highest sequence number that this host knows of. A log that was
	// set back goes on after it, so that no number is used twice.
	highest int64
}

func newMemory(slot int) *memory {
	return &memory{
		known: newView(slot),
	}
}

// add records a segment that another host has appended to the log.
func (m *memory) add(sequence int64, seg segment, now basilmoor.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range seg.Entries {
		if e.Claim != nil {
			m.known.applyClaim(sequence, *e.Claim, now)
			continue
		}
		m.known.applyRecord(*e.Record)
	}
	m.unverified = append(m.unverified, segmentRef{
		sequence: sequence,
		batch:    seg.Batch,
		since:    now,
	})
	m.highest = max(m.highest, sequence)
}

// addSequence records a sequence number that is in use or was before the store was set
// back.
func (m *memory) addSequence(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highest = max(m.highest, n)
}

// highestSequence returns the highest sequence number that this host knows of.
func (m *memory) highestSequence() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.highest
}

// addRecord records the final state of a claim.
func (m *memory) addRecord(e recordEntry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known.applyRecord(e)
}

// addMissing records the claims of a view that are missing from the one that replaces
// it.
func (m *memory) addMissing(old, replacement *view, now basilmoor.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, c := range old.claims {
		if now-c.firstSeen >= claimExpiry || !replacement.lacks(id, c) {
			continue
		}
		if k, ok := m.known.claims[id]; !ok || k.origin <= c.origin {
			m.known.claims[id] = c
		}
	}
}

// unverifiedSegments returns the segments to look for in the log.
func (m *memory) unverifiedSegments() segmentRefs {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.unverified)
}

// dropVerified drops the given first ones of the segments to look for.
func (m *memory) dropVerified(first segmentRefs) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unverified = m.unverified.after(first)
}

// expire removes the claims that no longer protect their keys.
func (m *memory) expire(now basilmoor.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, c := range m.known.claims {
		if now-c.firstSeen >= claimExpiry {
			delete(m.known.claims, id)
		}
	}
}

func (m *memory) isEmpty() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.known.claims) == 0
}

// missingOf returns the entries by which a log with the given view gets back the
// remembered claim of a key, none if it has that claim.
func (m *memory) missingOf(v *view, id keyID, now basilmoor.Millis) []entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.known.claims[id]
	if !ok || now-c.firstSeen >= claimExpiry {
		return nil
	}
	return v.missingEntries(id, c, now)
}

// missing returns the entries by which a log with the given view gets back the
// remembered claims, the latest claims first, as many as fit into a segment.
func (m *memory) missing(v *view, now basilmoor.Millis) []entry {
	m.expire(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	var entries []entry
	for _, id := range m.missingKeys(v) {
		entries = append(entries, v.missingEntries(id, m.known.claims[id], now)...)
		if len(entries) >= maxBatchEntries {
			break
		}
	}
	return fitSegment(entries)
}

// missingKeys returns the keys whose remembered claims the log with the given view
// lacks, the latest first. m.mu is held.
func (m *memory) missingKeys(v *view) []keyID {
	var ids []keyID
	for id, c := range m.known.claims {
		if v.lacks(id, c) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b keyID) int {
		return cmp.Or(
			cmp.Compare(m.known.claims[b].firstSeen, m.known.claims[a].firstSeen),
			cmp.Compare(a.workspace, b.workspace),
			cmp.Compare(a.key, b.key))
	})
	return ids
}

// fitSegment returns as many of the entries, from the first, as one segment holds.
func fitSegment(entries []entry) []entry {
	size := 0
	for i, e := range entries {
		raw, err := json.Marshal(e)
		size += len(raw)
		if i > 0 && (err != nil || i >= maxBatchEntries || size > maxBatchBytes) {
			return entries[:i]
		}
	}
	return entries
}

// lacks reports whether the log with this view has lost a claim that was in it, or the
// final state of that claim.
func (v *view) lacks(id keyID, c claim) bool {
	logged, ok := v.claims[id]
	switch {
	case ok && logged.request == c.request:
		return logged.state == basilmoor.ClaimRunning && c.state != basilmoor.ClaimRunning
	case c.state == basilmoor.ClaimReleased:
		return false
	}
	// A log that was set back may still have an earlier request's claim on the key.
	return !ok || c.origin > logged.origin
}

// missingEntries returns the entries by which the log with this view gets back a claim.
func (v *view) missingEntries(id keyID, c claim, now basilmoor.Millis) []entry {
	if !v.lacks(id, c) {
		return nil
	}
	var entries []entry
	if v.claims[id].request != c.request {
		entries = append(entries, entry{
			Claim: &claimEntry{
				Workspace:  id.workspace,
				Key:        id.key,
				BodyDigest: c.digest,
				Host:       c.host,
				Request:    c.request,
				Age:        now - c.firstSeen,
				Origin:     c.origin,
			},
		})
	}
	if c.state == basilmoor.ClaimRunning {
		return entries
	}
	return append(entries, newRecordEntry(basilmoor.ClaimRecord{
		Workspace: id.workspace,
		Key:       id.key,
		Request:   c.request,
		State:     c.state,
		Answer:    c.answer,
	}))
}
