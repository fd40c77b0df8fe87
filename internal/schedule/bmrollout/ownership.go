package bmrollout

import (
	"basilmoor.example/basilmoor"
)

// Resume continues from the record of an earlier owner that was read at a time.
func (r *Rollout) Resume(now basilmoor.Millis, last Record) {
	if !last.Of(r.order) {
		return
	}
	r.began = min(r.began, now-last.Elapsed)
	r.stage = last.Stage
	r.reason = last.Reason
	r.exposed = max(r.exposed, last.Reserved)
	r.total = max(r.total, last.Total)
	r.totalBefore = r.total
	if r.failures.judged == 0 {
		// Good answers reduce the evidence of earlier owners, like that of this one.
		r.failures.all.sum = max(r.failures.all.sum, last.Score)
		r.earlierAnswers = last.Answers
	}
	if last.Stage.Decided() {
		r.recorded = last
	}
}

// Owned reports whether the stored record allows this owner to send requests to the new
// version.
func (r *Rollout) Owned(now basilmoor.Millis) bool {
	return now < r.ownedUntil
}

// NextRecord returns the record to store under a generation.
func (r *Rollout) NextRecord(now basilmoor.Millis, owner string, generation int64) Record {
	reserved := max(r.exposed, r.recorded.Reserved)
	if r.stage == StageCanary {
		limit := r.canaryLimit(int(r.perMilli * float64(r.ownership())))
		reserved = max(reserved, min(limit, r.exposed+reservedBatches*canaryBatch))
	}
	return Record{
		Version:    r.order.Version,
		Order:      r.order.At.Revision,
		Generation: generation,
		Owner:      owner,
		Stage:      r.stage,
		Reason:     r.reason,
		Reserved:   reserved,
		Total:      r.total,
		Answers:    r.failures.judged + r.earlierAnswers,
		Score:      r.score(),
		Elapsed:    max(now-r.began, 0),
	}
}

// Stored notes that a record was stored, by a call that was sent at a time.
func (r *Rollout) Stored(sent basilmoor.Millis, stored Record) {
	r.recorded = stored
	r.ownedUntil = max(r.ownedUntil, sent+r.ownership())
}

// ownership returns how long a stored record allows its owner to send requests to the new
// version. The next owner may have rolled it back meanwhile.
func (r *Rollout) ownership() basilmoor.Millis {
	if r.bounds.RollbackTime == 0 {
		return maxOwnership
	}
	return min(maxOwnership, r.bounds.RollbackTime/2)
}

// Lost notes that another owner has stored a record: this one sends nothing more to the
// new version.
func (r *Rollout) Lost() {
	r.ownedUntil = 0
}

// RecordDue reports whether a record is to be stored: because of a new stage, or because
// the latest one lapses or is used up. sent is when the latest call was sent.
func (r *Rollout) RecordDue(now, sent basilmoor.Millis) bool {
	if r.recorded.Stage != r.stage {
		return true
	}
	if r.stage == StageCanary && now-sent >= reservePeriod && r.recorded.Reserved-r.exposed < canaryBatch && r.canaryLimit(0)-r.recorded.Reserved >= canaryBatch {
		return true
	}
	return !r.stage.Decided() && now-sent >= renewPeriod
}
