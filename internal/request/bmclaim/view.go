package bmclaim

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// keyID identifies an idempotency key within a workspace.
type keyID struct {
	workspace string
	key       string
}

// claim is the state of a key in the log.
type claim struct {
	digest    digest
	host      string
	request   basilmoor.RequestID
	state     basilmoor.ClaimState // ClaimRunning or a final state
	answer    *basilmoor.Answer
	firstSeen basilmoor.Millis // when this committer first read or wrote it, less the age that it had
	sequence  int64            // of its segment
	origin    int64            // sequence of the segment that held it first
}

// retainedSegment describes a segment that is still in the log.
type retainedSegment struct {
	sequence  int64
	version   int64
	batch     string
	firstSeen basilmoor.Millis
	keys      []keyID // keys claimed in the segment
}

// view is a committer's in-memory copy of a slot's log. It is not safe for
// concurrent use.
type view struct {
	slot     int
	segments []retainedSegment // in the order of the log
	claims   map[keyID]claim
}

func newView(slot int) *view {
	return &view{
		slot:   slot,
		claims: make(map[keyID]claim),
	}
}

// nextSequence returns the sequence number of the next segment to append.
func (v *view) nextSequence() int64 {
	if len(v.segments) == 0 {
		return 1
	}
	return v.segments[len(v.segments)-1].sequence + 1
}

// lastBatch returns the batch of the last segment, or "" if the log is empty.
func (v *view) lastBatch() string {
	if len(v.segments) == 0 {
		return ""
	}
	return v.segments[len(v.segments)-1].batch
}

// containsBatch reports whether the batch is part of the log.
func (v *view) containsBatch(batch string) bool {
	for _, s := range v.segments {
		if s.batch == batch {
			return true
		}
	}
	return false
}

// apply appends a segment to the view.
func (v *view) apply(sequence, version int64, s segment, now basilmoor.Millis) {
	held := retainedSegment{
		sequence:  sequence,
		version:   version,
		batch:     s.Batch,
		firstSeen: now,
	}
	for _, e := range s.Entries {
		if e.Claim != nil {
			held.keys = append(held.keys, v.applyClaim(sequence, *e.Claim, now))
			continue
		}
		v.applyRecord(*e.Record)
	}
	v.segments = append(v.segments, held)
}

// applyClaim adds a claim without checking for an existing one: the writer of
// the segment evaluated it against the whole preceding log. Only a claim that was
// written again does not replace one that was made after it.
func (v *view) applyClaim(sequence int64, e claimEntry, now basilmoor.Millis) keyID {
	id := keyID{
		workspace: e.Workspace,
		key:       e.Key,
	}
	if c, ok := v.claims[id]; ok && e.Origin > 0 && c.origin > e.Origin {
		return id
	}
	v.claims[id] = claim{
		digest:    e.BodyDigest,
		host:      e.Host,
		request:   e.Request,
		state:     basilmoor.ClaimRunning,
		firstSeen: now - e.Age,
		sequence:  sequence,
		origin:    cmp.Or(e.Origin, sequence),
	}
	return id
}

func (v *view) applyRecord(e recordEntry) {
	id := keyID{
		workspace: e.Workspace,
		key:       e.Key,
	}
	c, ok := v.claims[id]
	if !ok || c.request != e.Request {
		return
	}
	c.state = e.State
	c.answer = nil
	if e.Answer != nil {
		c.answer = &basilmoor.Answer{
			Status:      e.Answer.Status,
			ContentType: e.Answer.ContentType,
			Body:        e.Answer.Body,
		}
	}
	v.claims[id] = c
}

// find returns the claim on a key unless it is released or expired.
func (v *view) find(id keyID, now basilmoor.Millis) (claim, bool) {
	c, ok := v.claims[id]
	if !ok || c.state == basilmoor.ClaimReleased || now-c.firstSeen >= claimExpiry {
		return claim{}, false
	}
	return c, true
}

// dropOldest removes the oldest segment and its claims from the view.
func (v *view) dropOldest() {
	first := v.segments[0]
	for _, id := range first.keys {
		if v.claims[id].sequence == first.sequence {
			delete(v.claims, id)
		}
	}
	v.segments = v.segments[1:]
}

// buildView builds a view from the listed entries of a log. The view holds the
// segments from which the chain of predecessors leads to the last entry. Segments that
// are also in old keep their firstSeen time.
func buildView(slot int, entries []basilmoor.Entry, old *view, now basilmoor.Millis) (*view, error) {
	v := newView(slot)
	if len(entries) == 0 {
		return v, nil
	}
	chain, err := readChain(slot, entries)
	if err != nil {
		return nil, err
	}
	seen := old.firstSeenByBatch()
	for _, c := range slices.Backward(chain) {
		at, ok := seen[c.segment.Batch]
		if !ok {
			at = now
		}
		v.apply(c.sequence, c.version, c.segment, at)
	}
	return v, nil
}

// chainedSegment is a stored segment that is part of a log.
type chainedSegment struct {
	sequence int64
	version  int64
	segment  segment
}

// readChain returns the segments of a log, the last one first. Those that none of the
// later ones names as its predecessor are not part of it.
func readChain(slot int, entries []basilmoor.Entry) ([]chainedSegment, error) {
	var chain []chainedSegment
	for _, e := range slices.Backward(entries) {
		n, err := parseSequence(slot, e.Key)
		if err != nil {
			return nil, err
		}
		s, err := decodeSegment(e.Value)
		if err != nil {
			return nil, errors.Wrap(err, e.Key)
		}
		if len(chain) > 0 && chain[len(chain)-1].segment.Previous != s.Batch {
			continue
		}
		chain = append(chain, chainedSegment{
			sequence: n,
			version:  e.Version,
			segment:  s,
		})
	}
	return chain, nil
}

func (v *view) firstSeenByBatch() map[string]basilmoor.Millis {
	seen := make(map[string]basilmoor.Millis)
	for _, s := range v.segments {
		seen[s.batch] = s.firstSeen
	}
	return seen
}
