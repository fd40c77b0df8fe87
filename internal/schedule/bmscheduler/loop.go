package bmscheduler

import (
	"context"

	"basilmoor.example/basilmoor"
)

const (
	// tickPeriod is the time between two ticks of a broker or client.
	tickPeriod basilmoor.Millis = 50

	// targetsPeriod is the time between two looks at the catalog and at the
	// leaving marks, well below the 3 s in which a leaving target gets its
	// last request.
	targetsPeriod basilmoor.Millis = 250

	// idleBound is the time after which a broker without hosts ends.
	idleBound = 10 * basilmoor.Second

	// disownBound is the time after which a host that isn't the pool's broker
	// any more ends the streams. Clients move on their own before.
	disownBound = 3 * basilmoor.Second
)

// action is a call of the broker's state machine.
type action func(b *broker, now basilmoor.Millis)

// poolLoop serialises the calls of one pool's broker.
type poolLoop struct {
	clock   basilmoor.Clock
	broker  *broker
	inbox   *mailbox[action]
	targets func() ([]basilmoor.Target, bool) // false if unchanged
	owned   func() bool
	retire  func(l *poolLoop) bool // nil if the loop lasts as long as its context
	done    chan struct{}
}

func newPoolLoop(clock basilmoor.Clock, b *broker, targets func() ([]basilmoor.Target, bool)) *poolLoop {
	return &poolLoop{
		clock:   clock,
		broker:  b,
		inbox:   newMailbox[action](),
		targets: targets,
		owned:   func() bool { return true },
		done:    make(chan struct{}),
	}
}

// do queues an action; false if the loop has ended.
func (l *poolLoop) do(a action) bool {
	return l.inbox.put(a) > 0
}

// run applies actions and ticks until ctx ends or the pool has been idle.
func (l *poolLoop) run(ctx context.Context) {
	defer close(l.done)
	var (
		now      = l.clock.Now()
		lastTurn = now
		busy     = now // last time with a host
		owned    = now
		targets  = now
	)
	l.updateTargets(now)
	timer := l.clock.NewTimer(tickPeriod)
	for {
		due := false
		select {
		case <-ctx.Done():
			timer.Stop()
			l.end()
			return
		case <-l.inbox.ready:
		case <-timer.C():
			due = true
			timer = l.clock.NewTimer(tickPeriod)
		}
		now = l.clock.Now()
		if now-lastTurn >= silenceBound {
			l.broker.reset(now)
		}
		lastTurn = now
		for _, a := range l.inbox.take() {
			a(l.broker, now)
		}
		if !due {
			continue
		}
		if now-targets >= targetsPeriod {
			targets = now
			l.updateTargets(now)
		}
		if l.owned() {
			owned = now
		}
		if now-owned >= disownBound {
			l.broker.reset(now)
		}
		l.broker.tick(now)
		if !l.broker.idle() {
			busy = now
		}
		if now-busy >= idleBound && l.retire != nil && l.retire(l) {
			timer.Stop()
			return
		}
	}
}

func (l *poolLoop) updateTargets(now basilmoor.Millis) {
	if targets, changed := l.targets(); changed {
		l.broker.setTargets(now, targets)
	}
}

// end closes the inbox and ends all sessions.
func (l *poolLoop) end() {
	l.inbox.close()
	l.broker.reset(l.clock.Now())
}
