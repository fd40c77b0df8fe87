package bmclaim

import "basilmoor.example/basilmoor"

// pacer limits the append rate of a slot to bursts of writeBurst and a sustained
// rate of one per writeInterval. Retries of an append may exceed the limit; the
// next batch is then delayed to compensate.
type pacer struct {
	nextAppendAt basilmoor.Millis // earliest time of the next append
}

// countAppend charges one append to the limit.
func (p *pacer) countAppend(now basilmoor.Millis) {
	p.nextAppendAt = max(p.nextAppendAt, now-(writeBurst-1)*writeInterval) + writeInterval
}
