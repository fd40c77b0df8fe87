package bmclaim

import (
	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// keyID names an idempotency key.
type keyID struct {
	workspace string
	key       string
}

// claim is the state of a key in the log.
type claim struct {
	digest   digest
	host     string
	request  basilmoor.RequestID
	state    basilmoor.ClaimState // ClaimRunning or a final state
	answer   *basilmoor.Answer
	seen     basilmoor.Millis // when this committer learned of it
	sequence int64
}

// heldSegment is a segment that has not been deleted.
type heldSegment struct {
	sequence int64
	version  int64
	batch    string
	seen     basilmoor.Millis
	keys     []keyID // claimed in it
}

// view is what a committer knows of a slot's log. It is not safe for
// concurrent use.
type view struct {
	slot     int
	segments []heldSegment // contiguous
	claims   map[keyID]claim
}

func newView(slot int) *view {
	return &view{
		slot:   slot,
		claims: make(map[keyID]claim),
	}
}

// next returns the sequence number after the end of the log.
func (v *view) next() int64 {
	if len(v.segments) == 0 {
		return 1
	}
	return v.segments[len(v.segments)-1].sequence + 1
}

// tail returns the batch at the end of the log.
func (v *view) tail() string {
	if len(v.segments) == 0 {
		return ""
	}
	return v.segments[len(v.segments)-1].batch
}

// holds reports whether the batch is part of the log.
func (v *view) holds(batch string) bool {
	for _, s := range v.segments {
		if s.batch == batch {
			return true
		}
	}
	return false
}

// apply adds the segment after the end of the log.
func (v *view) apply(sequence, version int64, s segment, now basilmoor.Millis) {
	held := heldSegment{
		sequence: sequence,
		version:  version,
		batch:    s.Batch,
		seen:     now,
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

// applyClaim believes the writer of the segment, who knew the whole log before
// it and found the key free.
func (v *view) applyClaim(sequence int64, e claimEntry, now basilmoor.Millis) keyID {
	id := keyID{
		workspace: e.Workspace,
		key:       e.Key,
	}
	v.claims[id] = claim{
		digest:   e.BodyDigest,
		host:     e.Host,
		request:  e.Request,
		state:    basilmoor.ClaimRunning,
		seen:     now,
		sequence: sequence,
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

// find returns the claim on a key that is neither released nor expired.
func (v *view) find(id keyID, now basilmoor.Millis) (claim, bool) {
	c, ok := v.claims[id]
	if !ok || c.state == basilmoor.ClaimReleased || now-c.seen >= expiry {
		return claim{}, false
	}
	return c, true
}

// drop forgets the oldest segment.
func (v *view) drop() {
	first := v.segments[0]
	for _, id := range first.keys {
		if v.claims[id].sequence == first.sequence {
			delete(v.claims, id)
		}
	}
	v.segments = v.segments[1:]
}

// build makes the view of a listed log: the contiguous, chained segments up to
// the last one. Segments that old knew keep the moment they were first seen.
func build(slot int, entries []basilmoor.Entry, old *view, now basilmoor.Millis) (*view, error) {
	v := newView(slot)
	if len(entries) == 0 {
		return v, nil
	}
	segments := make([]segment, len(entries))
	sequences := make([]int64, len(entries))
	first := len(entries)
	for i := len(entries) - 1; i >= 0; i-- {
		n, err := sequenceOf(slot, entries[i].Key)
		if err != nil {
			return nil, err
		}
		if i < len(entries)-1 && n != sequences[i+1]-1 {
			break
		}
		s, err := decodeSegment(entries[i].Value)
		if err != nil {
			return nil, errors.Wrap(err, entries[i].Key)
		}
		if i < len(entries)-1 && segments[i+1].Previous != s.Batch {
			break
		}
		segments[i] = s
		sequences[i] = n
		first = i
	}
	seen := old.seenTimes()
	for i := first; i < len(entries); i++ {
		at, ok := seen[segments[i].Batch]
		if !ok {
			at = now
		}
		v.apply(sequences[i], entries[i].Version, segments[i], at)
	}
	return v, nil
}

func (v *view) seenTimes() map[string]basilmoor.Millis {
	seen := make(map[string]basilmoor.Millis)
	for _, s := range v.segments {
		seen[s.batch] = s.seen
	}
	return seen
}
