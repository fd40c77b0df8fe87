package bmclaim

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// operation is a claim or a record that waits for its answer.
type operation struct {
	ctx    context.Context
	claim  *basilmoor.ClaimRequest
	record *recordEntry
	size   int // of its entry in a segment
	done   chan result

	arrived basilmoor.Millis // when it was queued
}

// result is the answer to an operation.
type result struct {
	claim basilmoor.Claim
	err   error
}

func newOperation(ctx context.Context, e entry, r *basilmoor.ClaimRequest) (*operation, error) {
	encoded, err := json.Marshal(e)
	if err != nil {
		return nil, err
	}
	if len(encoded) > maxEntryBytes {
		return nil, errors.Errorf("claim has %d bytes, at most %d are allowed", len(encoded), maxEntryBytes)
	}
	return &operation{
		ctx:    ctx,
		claim:  r,
		record: e.Record,
		size:   len(encoded),
		done:   make(chan result, 1),
	}, nil
}

func (o *operation) finish(c basilmoor.Claim, err error) {
	o.done <- result{
		claim: c,
		err:   err,
	}
}

// fail answers with an *UnavailableError: the effect is not known.
func fail(batch []*operation, err error) {
	for _, o := range batch {
		o.finish(basilmoor.Claim{}, &basilmoor.UnavailableError{
			Operation: "claim",
			Err:       err,
		})
	}
}

// decision is what a batch comes to on a view.
type decision struct {
	entries []entry      // to be appended
	pending []*operation // answered when the entries are part of the log
	results []basilmoor.Claim

	settled        []*operation // answered from the view alone
	settledResults []basilmoor.Claim

	// weak means that an answer would be better from a newer view.
	weak bool

	// unseen means that the end of a claim is to be recorded that the view
	// does not hold. Another committer may have made the claim.
	unseen bool
}

// answer settles what the view alone decides.
func (d *decision) answer() {
	for i, o := range d.settled {
		o.finish(d.settledResults[i], nil)
	}
}

// commit settles what the appended segment decides.
func (d *decision) commit() {
	for i, o := range d.pending {
		o.finish(d.results[i], nil)
	}
}

func (d *decision) settle(o *operation, c basilmoor.Claim) {
	d.settled = append(d.settled, o)
	d.settledResults = append(d.settledResults, c)
}

func (d *decision) wait(o *operation, c basilmoor.Claim) {
	d.pending = append(d.pending, o)
	d.results = append(d.results, c)
}

// decide finds what each operation comes to. Claims of one batch that concern
// the same key are decided in their order.
func decide(v *view, batch []*operation, live func(string) bool, now basilmoor.Millis) *decision {
	d := &decision{}
	taken := make(map[keyID]*basilmoor.ClaimRequest)
	for _, o := range batch {
		if o.record != nil {
			d.decideRecord(v, o, now)
			continue
		}
		id := keyID{
			workspace: o.claim.Workspace,
			key:       o.claim.Key,
		}
		if first := taken[id]; first != nil {
			d.wait(o, besides(first, o.claim))
			continue
		}
		found, ok := v.find(id, now)
		if ok {
			// Only a claim that is done stays as it is until it expires.
			d.weak = d.weak || found.state != basilmoor.ClaimDone
			d.settle(o, describe(found, o.claim, live, now))
			continue
		}
		taken[id] = o.claim
		d.entries = append(d.entries, claimOf(*o.claim))
		d.wait(o, holds(o.claim, basilmoor.ClaimGranted))
	}
	return d
}

func (d *decision) decideRecord(v *view, o *operation, now basilmoor.Millis) {
	found, ok := v.find(keyID{
		workspace: o.record.Workspace,
		key:       o.record.Key,
	}, now)
	if !ok || found.request != o.record.Request || found.state == o.record.State || found.state == basilmoor.ClaimDone {
		// Nothing is left to record. It still waits for the next segment, so
		// that a late write of the claim is fenced off first.
		d.unseen = d.unseen || !ok || found.request != o.record.Request
		d.wait(o, basilmoor.Claim{})
		return
	}
	d.entries = append(d.entries, entry{
		Record: o.record,
	})
	d.wait(o, basilmoor.Claim{})
}

func holds(r *basilmoor.ClaimRequest, state basilmoor.ClaimState) basilmoor.Claim {
	return basilmoor.Claim{
		State:   state,
		Holder:  r.Host,
		Request: r.Request,
	}
}

// besides describes a claim that is granted in the same batch.
func besides(first, r *basilmoor.ClaimRequest) basilmoor.Claim {
	switch {
	case first.BodyDigest != r.BodyDigest:
		return holds(first, basilmoor.ClaimMismatch)
	case first.Request == r.Request:
		return holds(first, basilmoor.ClaimGranted)
	}
	return holds(first, basilmoor.ClaimRunning)
}

// describe tells a request what holds its key.
func describe(c claim, r *basilmoor.ClaimRequest, live func(string) bool, now basilmoor.Millis) basilmoor.Claim {
	found := basilmoor.Claim{
		State:   c.state,
		Holder:  c.host,
		Request: c.request,
		Answer:  c.answer,
	}
	switch {
	case c.digest != digest(r.BodyDigest):
		found.State = basilmoor.ClaimMismatch
		found.Answer = nil
	case c.state != basilmoor.ClaimRunning:
	case c.request == r.Request:
		found.State = basilmoor.ClaimGranted
	case now-c.seen >= holderGrace && !live(c.host):
		found.State = basilmoor.ClaimUnknown
	}
	return found
}

func claimOf(r basilmoor.ClaimRequest) entry {
	return entry{
		Claim: &claimEntry{
			Workspace:  r.Workspace,
			Key:        r.Key,
			BodyDigest: r.BodyDigest,
			Host:       r.Host,
			Request:    r.Request,
		},
	}
}

func recordOf(r basilmoor.ClaimRecord) entry {
	e := &recordEntry{
		Workspace: r.Workspace,
		Key:       r.Key,
		Request:   r.Request,
		State:     r.State,
	}
	if r.State == basilmoor.ClaimDone && r.Answer != nil && len(r.Answer.Body) <= maxAnswerBytes && len(r.Answer.ContentType) <= 256 {
		e.Answer = &answerEntry{
			Status:      r.Answer.Status,
			ContentType: r.Answer.ContentType,
			Body:        r.Answer.Body,
		}
	}
	return entry{
		Record: e,
	}
}
