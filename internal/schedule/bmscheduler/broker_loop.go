package bmscheduler

import (
	"context"

	"basilmoor.example/basilmoor"
)

const (
	// tickPeriod is the interval between ticks of a broker or client.
	tickPeriod basilmoor.Millis = 50

	// targetRefreshPeriod is the interval at which the targets and their
	// leaving flags are read again. A leaving target must receive its last
	// request within 3 s, so the interval is well below that.
	targetRefreshPeriod basilmoor.Millis = 250

	// idleTimeout is the time after which a broker without hosts stops.
	idleTimeout = 10 * basilmoor.Second

	// ownershipGracePeriod is the time after which a host that is no longer
	// the pool's broker closes the remaining streams. Clients normally switch
	// to the new broker before that.
	ownershipGracePeriod = 3 * basilmoor.Second
)

// action is a call to the broker's state machine, executed on its loop.
type action func(b *broker, now basilmoor.Millis)

// brokerLoop is the event loop of one pool's broker. It serialises the calls to
// the broker.
type brokerLoop struct {
	clock   basilmoor.Clock
	broker  *broker
	inbox   *mailbox[action]
	targets func() ([]basilmoor.Target, bool) // returns false if unchanged
	isOwner func() bool
	retire  func(l *brokerLoop) bool // reports whether an idle loop may stop; nil if it never does
	done    chan struct{}
}

func newBrokerLoop(clock basilmoor.Clock, b *broker, targets func() ([]basilmoor.Target, bool)) *brokerLoop {
	return &brokerLoop{
		clock:   clock,
		broker:  b,
		inbox:   newMailbox[action](),
		targets: targets,
		isOwner: func() bool { return true },
		done:    make(chan struct{}),
	}
}

// enqueue queues an action. It returns false if the loop has stopped.
func (l *brokerLoop) enqueue(a action) bool {
	return l.inbox.put(a) > 0
}

// run executes actions and ticks until ctx is done or the broker has been idle
// for idleTimeout.
func (l *brokerLoop) run(ctx context.Context) {
	defer close(l.done)
	var (
		now           = l.clock.Now()
		lastIteration = now
		lastBusy      = now // last time with a host
		lastOwned     = now
		lastRefresh   = now
	)
	l.refreshTargets(now)
	timer := l.clock.NewTimer(tickPeriod)
	for {
		tickDue := false
		select {
		case <-ctx.Done():
			timer.Stop()
			l.shutdown()
			return
		case <-l.inbox.ready:
		case <-timer.C():
			tickDue = true
			timer = l.clock.NewTimer(tickPeriod)
		}
		now = l.clock.Now()
		// After a pause this long, the hosts have switched to other brokers.
		if now-lastIteration >= silenceTimeout {
			l.broker.reset(now)
		}
		lastIteration = now
		for _, a := range l.inbox.drain() {
			a(l.broker, now)
		}
		if !tickDue {
			continue
		}
		if now-lastRefresh >= targetRefreshPeriod {
			lastRefresh = now
			l.refreshTargets(now)
		}
		if l.isOwner() {
			lastOwned = now
		}
		if now-lastOwned >= ownershipGracePeriod {
			l.broker.reset(now)
		}
		l.broker.tick(now)
		if !l.broker.idle() {
			lastBusy = now
		}
		if now-lastBusy >= idleTimeout && l.retire != nil && l.retire(l) {
			timer.Stop()
			return
		}
	}
}

func (l *brokerLoop) refreshTargets(now basilmoor.Millis) {
	if targets, changed := l.targets(); changed {
		l.broker.setTargets(now, targets)
	}
}

// shutdown closes the inbox and all sessions.
func (l *brokerLoop) shutdown() {
	l.inbox.close()
	l.broker.reset(l.clock.Now())
}
