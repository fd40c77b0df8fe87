package bmscheduler

import (
	"slices"
	"strings"
	"sync"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/schedule/bmcapacity"
)

// flushPeriod bounds the time that reports which don't free capacity are held
// back, so that several share one segment.
const flushPeriod basilmoor.Millis = 250

// uplink is the client's side of a session. Its methods don't block and don't
// call the ledger.
type uplink interface {
	submit(d basilmoor.Demand)
	cancel(id basilmoor.RequestID)
	observe(o basilmoor.Observation)
	resubmitted()
	keepalive()
	// flush sends what was held back to be sent together.
	flush()
	end()
}

// entryState is the state of a demand at its entry host.
type entryState int

const (
	entryWaiting entryState = iota
	entryGranted
	entryDispatched
	entryDone
)

// entry is one Acquire. Fields are guarded by the ledger's mutex.
type entry struct {
	id         basilmoor.RequestID // unique for each Acquire
	demand     basilmoor.Demand
	submitted  basilmoor.Millis
	state      entryState
	offered    bool                    // whether a broker was sent the demand
	decided    chan basilmoor.Decision // receives one decision
	target     basilmoor.Target
	received   basilmoor.Millis // when the grant arrived
	ttl        basilmoor.Millis
	dispatched basilmoor.Millis
	last       basilmoor.Observation
}

// ledger holds the waiting demands and open grants of one pool at their entry
// host. It is safe for concurrent use.
type ledger struct {
	codec   codec
	pool    string
	catalog basilmoor.CatalogSource
	metrics *bmmetrics.Registry

	mu      sync.Mutex
	next    uint64
	entries map[basilmoor.RequestID]*entry
	up      uplink // nil if detached
	epoch   int
	source  string // counter of grants from up
	sent    basilmoor.Millis
	flushed basilmoor.Millis
	heard   basilmoor.Millis
	used    basilmoor.Millis // last time with an entry
	stopped bool

	// samplers choose the progress that is reported of each target. One report
	// for every token would exceed the node's budget for control messages.
	samplers map[string]*bmcapacity.Sampler
}

func newLedger(pool string, c codec, catalog basilmoor.CatalogSource, metrics *bmmetrics.Registry) *ledger {
	return &ledger{
		codec:    c,
		pool:     pool,
		catalog:  catalog,
		metrics:  metrics,
		entries:  make(map[basilmoor.RequestID]*entry),
		samplers: make(map[string]*bmcapacity.Sampler),
	}
}

// add begins an Acquire.
func (l *ledger) add(now basilmoor.Millis, d basilmoor.Demand) *entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	e := &entry{
		id:        l.codec.id(l.next),
		demand:    d,
		submitted: now,
		decided:   make(chan basilmoor.Decision, 1),
	}
	e.demand.Request = e.id
	if l.stopped {
		l.refuse(e, basilmoor.ReasonStopping, 0)
		return e
	}
	l.entries[e.id] = e
	l.used = now
	if l.up != nil {
		l.sent = now
		e.offered = true
		l.up.submit(e.demand)
	}
	return e
}

// abandon ends an Acquire whose caller left. A grant that came at the same
// time is returned.
func (l *ledger) abandon(now basilmoor.Millis, e *entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch e.state {
	case entryWaiting:
		l.cancel(now, e)
	case entryGranted:
		l.report(now, e, basilmoor.Observation{
			Stage: basilmoor.StageReturned,
		})
	}
}

func (l *ledger) cancel(now basilmoor.Millis, e *entry) {
	e.state = entryDone
	delete(l.entries, e.id)
	if l.up != nil {
		l.sent = now
		l.up.cancel(e.id)
	}
}

// attach sends everything that is waiting or open to a new session. It returns
// the number that decisions from this session carry.
func (l *ledger) attach(now basilmoor.Millis, epoch int, up uplink, source string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch != l.epoch || l.stopped {
		return false
	}
	l.up = up
	l.source = source
	l.heard = now
	l.sent = now
	for _, id := range sortedKeys(l.entries) {
		l.resubmit(now, l.entries[id])
	}
	up.resubmitted()
	return true
}

func (l *ledger) resubmit(now basilmoor.Millis, e *entry) {
	if e.state != entryWaiting {
		l.up.observe(e.resubmission(now))
		return
	}
	if e.offered {
		l.metrics.Retry(basilmoor.ReasonBrokerLost)
	}
	e.offered = true
	l.up.submit(e.remaining(now))
}

// remaining returns the demand with its original age and the deadline that is
// left.
func (e *entry) remaining(now basilmoor.Millis) basilmoor.Demand {
	return e.demand.WithWait(now - e.submitted)
}

// resubmission describes an open grant to a broker that doesn't know it. A
// grant that isn't used yet occupies its slot as well.
func (e *entry) resubmission(now basilmoor.Millis) basilmoor.Observation {
	d := e.remaining(now)
	o := e.last
	o.Request = e.id
	o.Target = e.target.Name
	o.Demand = &d
	if o.Stage == "" {
		o.Stage = basilmoor.StageDispatched
	}
	if e.state == entryDispatched {
		o.Elapsed = now - e.dispatched
	}
	return o
}

// detach ends the session. Messages of earlier sessions are ignored from now
// on. It returns the number that the next session's messages have to carry.
func (l *ledger) detach() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.detachLocked()
}

func (l *ledger) detachLocked() int {
	if l.up != nil {
		l.up.end()
		l.up = nil
	}
	l.epoch++
	return l.epoch
}

// hear notes that the session's broker is alive.
func (l *ledger) hear(now basilmoor.Millis, epoch int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch == l.epoch {
		l.heard = now
	}
}

// decide takes a decision from a session. Decisions from earlier sessions and
// on demands that aren't waiting have no effect: the broker frees such grants
// when the demand is resubmitted or cancelled.
func (l *ledger) decide(now basilmoor.Millis, epoch int, d basilmoor.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch != l.epoch {
		return
	}
	l.heard = now
	e, ok := l.entries[decisionRequest(d)]
	if !ok || e.state != entryWaiting {
		return
	}
	if d.Refusal != nil {
		delete(l.entries, e.id)
		l.refuse(e, d.Refusal.Reason, d.Refusal.RetryAfter)
		return
	}
	target, ok := l.lookUp(d.Grant.Target)
	if !ok {
		l.exclude(now, e, d.Grant.Target.Name)
		return
	}
	e.state = entryGranted
	e.target = target
	e.received = now
	e.ttl = d.Grant.TTL
	l.metrics.Add(l.source, 1)
	e.decided <- basilmoor.Decision{
		Grant: &basilmoor.Grant{
			Request: e.id,
			Target:  target,
			TTL:     d.Grant.TTL,
		},
	}
}

// lookUp completes a target that was granted by name.
func (l *ledger) lookUp(t basilmoor.Target) (basilmoor.Target, bool) {
	if t.Address != "" {
		return t, true
	}
	c, ok := l.catalog.Catalog()
	if !ok {
		return t, false
	}
	targets := c.Targets(l.pool)
	i, ok := slices.BinarySearchFunc(targets, t.Name, func(x basilmoor.Target, name string) int {
		return strings.Compare(x.Name, name)
	})
	if !ok {
		return t, false
	}
	return targets[i], true
}

// exclude returns a grant of a target that this host's configuration doesn't
// have yet or any more, and asks for another one.
func (l *ledger) exclude(now basilmoor.Millis, e *entry, target string) {
	l.metrics.Retry(basilmoor.ReasonNoTarget)
	l.up.cancel(e.id)
	e.demand.Excluded = append(slices.Clone(e.demand.Excluded), target)
	l.sent = now
	l.up.submit(e.remaining(now))
}

func (l *ledger) refuse(e *entry, reason basilmoor.Reason, retryAfter basilmoor.Millis) {
	e.state = entryDone
	e.decided <- basilmoor.Decision{
		Refusal: &basilmoor.Refusal{
			Request:    e.id,
			Reason:     reason,
			RetryAfter: retryAfter,
		},
	}
}

// observe reports a stage of a granted request. Stages after the last one have
// no effect.
func (l *ledger) observe(now basilmoor.Millis, e *entry, o basilmoor.Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.state != entryGranted && e.state != entryDispatched {
		return
	}
	l.report(now, e, o)
}

func (l *ledger) report(now basilmoor.Millis, e *entry, o basilmoor.Observation) {
	o.Request = e.id
	o.Target = e.target.Name
	o.Demand = nil
	if e.state == entryGranted && o.Stage != basilmoor.StageReturned && o.Stage != basilmoor.StageUnreachable {
		e.state = entryDispatched
		e.dispatched = now - o.Elapsed
	}
	e.last = o
	if o.Stage == basilmoor.StageProgress {
		l.sample(now, e, o)
		return
	}
	if o.Stage.Terminal() {
		e.state = entryDone
		delete(l.entries, e.id)
		l.endSample(e)
	}
	l.send(now, o)
}

// sample reports what the target's sampler chooses.
func (l *ledger) sample(now basilmoor.Millis, e *entry, o basilmoor.Observation) {
	s, ok := l.samplers[e.target.Name]
	if !ok {
		s = &bmcapacity.Sampler{}
		l.samplers[e.target.Name] = s
	}
	due := s.Token(now, e.id, bmcapacity.Sample{
		Tokens:  o.Tokens,
		Elapsed: o.Elapsed,
	})
	for _, p := range due {
		o.Tokens = p.Tokens
		o.Elapsed = p.Elapsed
		l.send(now, o)
	}
}

func (l *ledger) endSample(e *entry) {
	if s, ok := l.samplers[e.target.Name]; ok {
		s.End(e.id)
	}
}

func (l *ledger) send(now basilmoor.Millis, o basilmoor.Observation) {
	if l.up == nil {
		return
	}
	l.sent = now
	l.up.observe(o)
}

// tick refuses demands whose deadline has passed, whatever the broker does, and
// keeps the session alive.
func (l *ledger) tick(now basilmoor.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range sortedKeys(l.entries) {
		e := l.entries[id]
		if e.state == entryWaiting && now-e.submitted >= e.demand.Deadline {
			l.cancel(now, e)
			l.refuse(e, basilmoor.ReasonDeadline, 0)
		}
	}
	if len(l.entries) > 0 {
		l.used = now
	}
	if l.up != nil && now-l.flushed >= flushPeriod {
		l.flushed = now
		l.up.flush()
	}
	if l.up != nil && now-l.sent >= keepalivePeriod {
		l.sent = now
		l.up.keepalive()
	}
}

// stop refuses everything that waits and ends the session.
func (l *ledger) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	for _, id := range sortedKeys(l.entries) {
		e := l.entries[id]
		if e.state != entryWaiting {
			continue
		}
		delete(l.entries, id)
		l.refuse(e, basilmoor.ReasonStopping, 0)
	}
	l.detachLocked()
}

// start accepts demands again after a stop.
func (l *ledger) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = false
}

// status describes the ledger to the loop that manages its session.
type ledgerStatus struct {
	attached bool
	epoch    int
	heard    basilmoor.Millis
	used     basilmoor.Millis
	entries  int
}

func (l *ledger) status() ledgerStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ledgerStatus{
		attached: l.up != nil,
		epoch:    l.epoch,
		heard:    l.heard,
		used:     l.used,
		entries:  len(l.entries),
	}
}
