package bmscheduler

import (
	"basilmoor.example/basilmoor"
)

// localUplink connects a client to a broker on the same host without a stream.
type localUplink struct {
	loop    *brokerLoop
	host    string
	clock   basilmoor.Clock
	tracker *requestTracker
	epoch   int
	onLost  func(epoch int)
}

var (
	_ uplink  = (*localUplink)(nil)
	_ session = (*localSession)(nil)
)

// localSession is the broker's side of a localUplink.
type localSession struct {
	uplink *localUplink
}

func (s *localSession) deliver(d basilmoor.Decision) bool {
	s.uplink.tracker.handleDecision(s.uplink.clock.Now(), s.uplink.epoch, d)
	return true
}

func (s *localSession) sendKeepalive() {
	s.uplink.tracker.recordKeepalive(s.uplink.clock.Now(), s.uplink.epoch)
}

func (s *localSession) close() {
	s.uplink.onLost(s.uplink.epoch)
}

// enqueue runs f on the broker's loop, unless the host's session has been
// replaced or closed by then.
func (u *localUplink) enqueue(f func(b *broker, now basilmoor.Millis, s session)) {
	u.loop.enqueue(func(b *broker, now basilmoor.Millis) {
		h, ok := b.hosts[u.host]
		if !ok {
			return
		}
		s, ok := h.session.(*localSession)
		if ok && s.uplink == u {
			f(b, now, s)
		}
	})
}

func (u *localUplink) submit(d basilmoor.Demand) {
	u.enqueue(func(b *broker, now basilmoor.Millis, s session) { b.submit(now, u.host, s, d) })
}

func (u *localUplink) cancel(id basilmoor.RequestID) {
	u.enqueue(func(b *broker, now basilmoor.Millis, s session) { b.cancel(now, u.host, s, id) })
}

func (u *localUplink) observe(o basilmoor.Observation) {
	u.enqueue(func(b *broker, now basilmoor.Millis, s session) { b.observe(now, u.host, s, o) })
}

func (u *localUplink) endResubmission() {
	u.enqueue(func(b *broker, now basilmoor.Millis, s session) { b.endResubmission(now, u.host, s) })
}

func (u *localUplink) keepalive() {
	u.enqueue(func(b *broker, now basilmoor.Millis, s session) { b.keepalive(now, u.host, s) })
}

func (u *localUplink) flush() {}

func (u *localUplink) close() {
	u.enqueue(func(b *broker, now basilmoor.Millis, s session) { b.detach(now, u.host, s) })
}
