package bmclaim

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// operation is a queued claim or record whose caller waits for the result.
type operation struct {
	ctx    context.Context
	claim  *basilmoor.ClaimRequest
	record *recordEntry
	size   int // encoded bytes of its segment entry
	done   chan result

	queuedAt basilmoor.Millis
}

// result is the outcome of an operation.
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

func (o *operation) reply(c basilmoor.Claim, err error) {
	o.done <- result{
		claim: c,
		err:   err,
	}
}

// failBatch replies to all operations with an *UnavailableError, which means
// that it is unknown whether they took effect.
func failBatch(batch []*operation, err error) {
	for _, o := range batch {
		o.reply(basilmoor.Claim{}, &basilmoor.UnavailableError{
			Operation: "claim",
			Err:       err,
		})
	}
}

// decision is the outcome of evaluating a batch against a view.
type decision struct {
	entries        []entry      // to be appended
	pending        []*operation // replied to after the entries are part of the log
	pendingResults []basilmoor.Claim

	settled        []*operation // decided by the view alone
	settledResults []basilmoor.Claim

	// needsFreshView is set if a settled result may be out of date.
	needsFreshView bool

	// claimNotInView is set if a record refers to a claim that is missing from
	// the view, or if the view lacks a remembered claim. Another committer may have
	// written the claim.
	claimNotInView bool

	// lost are entries that the log must get back before the rest of the batch is
	// decided.
	lost []entry
}

// replySettled replies to the operations that the view alone decides.
func (d *decision) replySettled() {
	for i, o := range d.settled {
		o.reply(d.settledResults[i], nil)
	}
}

// replyPending replies to the operations that depended on the append.
func (d *decision) replyPending() {
	for i, o := range d.pending {
		o.reply(d.pendingResults[i], nil)
	}
}

func (d *decision) addSettled(o *operation, c basilmoor.Claim) {
	d.settled = append(d.settled, o)
	d.settledResults = append(d.settledResults, c)
}

func (d *decision) addPending(o *operation, c basilmoor.Claim) {
	d.pending = append(d.pending, o)
	d.pendingResults = append(d.pendingResults, c)
}

// decide evaluates a batch against a view, and against the remembered claims that the
// view may lack. Claims for the same key within a batch are evaluated in order.
func decide(v *view, m *memory, batch []*operation, live func(string) bool, now basilmoor.Millis) *decision {
	d := &decision{}
	claimedInBatch := make(map[keyID]*basilmoor.ClaimRequest)
	for _, o := range batch {
		if o.record != nil {
			m.addRecord(*o.record)
			d.decideRecord(v, o, now)
			continue
		}
		id := keyID{
			workspace: o.claim.Workspace,
			key:       o.claim.Key,
		}
		if first := claimedInBatch[id]; first != nil {
			d.addPending(o, describeInBatch(first, o.claim))
			continue
		}
		if lost := m.missingOf(v, id, now); len(lost) > 0 {
			d.claimNotInView = true
			d.lost = append(d.lost, lost...)
			continue
		}
		found, ok := v.find(id, now)
		if ok {
			// Every state except done can change before the claim expires.
			d.needsFreshView = d.needsFreshView || found.state != basilmoor.ClaimDone
			d.addSettled(o, describeClaim(found, o.claim, live, now))
			continue
		}
		claimedInBatch[id] = o.claim
		d.entries = append(d.entries, newClaimEntry(*o.claim))
		d.addPending(o, claimHeldBy(o.claim, basilmoor.ClaimGranted))
	}
	return d
}

func (d *decision) decideRecord(v *view, o *operation, now basilmoor.Millis) {
	found, ok := v.find(keyID{
		workspace: o.record.Workspace,
		key:       o.record.Key,
	}, now)
	if !ok || found.request != o.record.Request || found.state == o.record.State || found.state == basilmoor.ClaimDone {
		// There is nothing to record. The reply still waits for the next
		// segment, which fences off a delayed write of the claim.
		d.claimNotInView = d.claimNotInView || !ok || found.request != o.record.Request
		d.addPending(o, basilmoor.Claim{})
		return
	}
	d.entries = append(d.entries, entry{
		Record: o.record,
	})
	d.addPending(o, basilmoor.Claim{})
}

func claimHeldBy(r *basilmoor.ClaimRequest, state basilmoor.ClaimState) basilmoor.Claim {
	return basilmoor.Claim{
		State:   state,
		Holder:  r.Host,
		Request: r.Request,
	}
}

// describeInBatch returns the reply to r when first claims the same key earlier
// in the same batch.
func describeInBatch(first, r *basilmoor.ClaimRequest) basilmoor.Claim {
	switch {
	case first.BodyDigest != r.BodyDigest:
		return claimHeldBy(first, basilmoor.ClaimMismatch)
	case first.Request == r.Request:
		return claimHeldBy(first, basilmoor.ClaimGranted)
	}
	return claimHeldBy(first, basilmoor.ClaimRunning)
}

// describeClaim returns the reply to r when c already holds its key.
func describeClaim(c claim, r *basilmoor.ClaimRequest, live func(string) bool, now basilmoor.Millis) basilmoor.Claim {
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
	case now-c.firstSeen >= holderLivenessGrace && !live(c.host):
		found.State = basilmoor.ClaimUnknown
	}
	return found
}

func newClaimEntry(r basilmoor.ClaimRequest) entry {
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

func newRecordEntry(r basilmoor.ClaimRecord) entry {
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
