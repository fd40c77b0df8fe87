package bmclaim

import "basilmoor.example/basilmoor"

// pacer bounds the appends of a slot: writeBurst at once and one per
// writeInterval in the long run. Repetitions of an append may go over the
// bound; the next batch then waits until they are made up for.
type pacer struct {
	next basilmoor.Millis // the instant from which the slot may append
}

// spend counts an append.
func (p *pacer) spend(now basilmoor.Millis) {
	p.next = max(p.next, now-(writeBurst-1)*writeInterval) + writeInterval
}
