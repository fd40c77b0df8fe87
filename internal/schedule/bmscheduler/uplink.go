package bmscheduler

import (
	"basilmoor.example/basilmoor"
)

// localUplink connects a client to a broker on the same node. It is both ends
// of the session.
type localUplink struct {
	loop   *poolLoop
	host   string
	clock  basilmoor.Clock
	ledger *ledger
	epoch  int
	lost   func(epoch int)
}

var (
	_ uplink  = (*localUplink)(nil)
	_ session = (*localSession)(nil)
)

// localSession is the broker's end of a localUplink.
type localSession struct {
	up *localUplink
}

func (s *localSession) deliver(d basilmoor.Decision) bool {
	s.up.ledger.decide(s.up.clock.Now(), s.up.epoch, d)
	return true
}

func (s *localSession) alive() {
	s.up.ledger.hear(s.up.clock.Now(), s.up.epoch)
}

func (s *localSession) end() {
	s.up.lost(s.up.epoch)
}

func (u *localUplink) call(f func(b *broker, now basilmoor.Millis, s session)) {
	u.loop.do(func(b *broker, now basilmoor.Millis) {
		h, ok := b.hosts[u.host]
		if !ok {
			return
		}
		s, ok := h.session.(*localSession)
		if ok && s.up == u {
			f(b, now, s)
		}
	})
}

func (u *localUplink) submit(d basilmoor.Demand) {
	u.call(func(b *broker, now basilmoor.Millis, s session) { b.submit(now, u.host, s, d) })
}

func (u *localUplink) cancel(id basilmoor.RequestID) {
	u.call(func(b *broker, now basilmoor.Millis, s session) { b.cancel(now, u.host, s, id) })
}

func (u *localUplink) observe(o basilmoor.Observation) {
	u.call(func(b *broker, now basilmoor.Millis, s session) { b.observe(now, u.host, s, o) })
}

func (u *localUplink) resubmitted() {
	u.call(func(b *broker, now basilmoor.Millis, s session) { b.endResubmission(now, u.host, s) })
}

func (u *localUplink) keepalive() {
	u.call(func(b *broker, now basilmoor.Millis, s session) { b.keepalive(now, u.host, s) })
}

func (u *localUplink) flush() {}

func (u *localUplink) end() {
	u.call(func(b *broker, now basilmoor.Millis, s session) { b.detach(now, u.host, s) })
}
