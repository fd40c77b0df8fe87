package bmscheduler

import (
	"slices"
	"strings"
	"sync"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/schedule/bmcapacity"
)

// flushPeriod is the maximum delay of reports that don't free capacity. They are
// batched so that several share one TCP segment.
const flushPeriod basilmoor.Millis = 250

// uplink is the client's side of a session. Its methods neither block nor call
// the tracker.
type uplink interface {
	submit(d basilmoor.Demand)
	cancel(id basilmoor.RequestID)
	observe(o basilmoor.Observation)
	endResubmission()
	keepalive()
	// flush sends the messages that were batched.
	flush()
	close()
}

// entryState is the state of a request at its entry host.
type entryState int

const (
	entryWaiting entryState = iota
	entryGranted
	entryDispatched
	entryDone
)

// entry tracks one Acquire call. Its fields are guarded by the tracker's mutex.
type entry struct {
	id              basilmoor.RequestID // unique for each Acquire call
	demand          basilmoor.Demand
	submittedAt     basilmoor.Millis
	state           entryState
	sentToBroker    bool                    // whether the demand has been sent to a broker
	decision        chan basilmoor.Decision // receives at most one decision
	target          basilmoor.Target
	grantedAt       basilmoor.Millis // when the grant was received
	ttl             basilmoor.Millis
	dispatchedAt    basilmoor.Millis
	lastObservation basilmoor.Observation
}

// requestTracker tracks the waiting demands and open grants of one pool at their
// entry host. It is safe for concurrent use.
type requestTracker struct {
	codec   codec
	pool    string
	catalog basilmoor.CatalogSource
	metrics *bmmetrics.Registry

	mu           sync.Mutex
	lastNumber   uint64
	entries      map[basilmoor.RequestID]*entry
	uplink       uplink // nil if not connected
	epoch        int
	grantCounter string // metrics counter of grants received from uplink
	lastSent     basilmoor.Millis
	lastFlush    basilmoor.Millis
	lastHeard    basilmoor.Millis
	lastUsed     basilmoor.Millis // last time with an entry present
	stopped      bool

	// samplers select the progress reports to send for each target. One report
	// per token would exceed the host's budget for control messages.
	samplers map[string]*bmcapacity.Sampler
}

func newRequestTracker(pool string, c codec, catalog basilmoor.CatalogSource, metrics *bmmetrics.Registry) *requestTracker {
	return &requestTracker{
		codec:    c,
		pool:     pool,
		catalog:  catalog,
		metrics:  metrics,
		entries:  make(map[basilmoor.RequestID]*entry),
		samplers: make(map[string]*bmcapacity.Sampler),
	}
}

// add starts tracking an Acquire call and submits its demand if a session is
// attached.
func (t *requestTracker) add(now basilmoor.Millis, d basilmoor.Demand) *entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNumber++
	e := &entry{
		id:          t.codec.requestID(t.lastNumber),
		demand:      d,
		submittedAt: now,
		decision:    make(chan basilmoor.Decision, 1),
	}
	e.demand.Request = e.id
	if t.stopped {
		t.refuse(e, basilmoor.ReasonStopping, 0)
		return e
	}
	t.entries[e.id] = e
	t.lastUsed = now
	if t.uplink != nil {
		t.lastSent = now
		e.sentToBroker = true
		t.uplink.submit(e.demand)
	}
	return e
}

// abandon ends an Acquire call whose caller has left. A grant that arrived at
// the same time is returned.
func (t *requestTracker) abandon(now basilmoor.Millis, e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch e.state {
	case entryWaiting:
		t.cancel(now, e)
	case entryGranted:
		t.report(now, e, basilmoor.Observation{
			Stage: basilmoor.StageReturned,
		})
	}
}

func (t *requestTracker) cancel(now basilmoor.Millis, e *entry) {
	e.state = entryDone
	delete(t.entries, e.id)
	if t.uplink != nil {
		t.lastSent = now
		t.uplink.cancel(e.id)
	}
}

// attach starts a session and resubmits all waiting demands and open grants on
// it. It returns false if epoch is outdated or the tracker is stopped.
func (t *requestTracker) attach(now basilmoor.Millis, epoch int, up uplink, grantCounter string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch != t.epoch || t.stopped {
		return false
	}
	t.uplink = up
	t.grantCounter = grantCounter
	t.lastHeard = now
	t.lastSent = now
	for _, id := range sortedKeys(t.entries) {
		t.resubmit(now, t.entries[id])
	}
	up.endResubmission()
	return true
}

func (t *requestTracker) resubmit(now basilmoor.Millis, e *entry) {
	if e.state != entryWaiting {
		t.uplink.observe(e.resubmission(now))
		return
	}
	if e.sentToBroker {
		t.metrics.Retry(basilmoor.ReasonBrokerLost)
	}
	e.sentToBroker = true
	t.uplink.submit(e.remaining(now))
}

// remaining returns the demand with its age, deadline, objective and first
// byte timeout adjusted for the time since its submission.
func (e *entry) remaining(now basilmoor.Millis) basilmoor.Demand {
	return e.demand.WithWait(now - e.submittedAt)
}

// resubmission returns an observation that describes an open grant to a new
// broker. An unused grant is reported as dispatched, because it occupies a slot
// as well.
func (e *entry) resubmission(now basilmoor.Millis) basilmoor.Observation {
	d := e.remaining(now)
	o := e.lastObservation
	o.Request = e.id
	o.Target = e.target.Name
	o.Demand = &d
	if o.Stage == "" {
		o.Stage = basilmoor.StageDispatched
	}
	if e.state == entryDispatched {
		o.Elapsed = now - e.dispatchedAt
	}
	return o
}

// detach closes the session and returns the epoch of the next one. Messages with
// an earlier epoch are ignored from now on.
func (t *requestTracker) detach() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.detachLocked()
}

func (t *requestTracker) detachLocked() int {
	if t.uplink != nil {
		t.uplink.close()
		t.uplink = nil
	}
	t.epoch++
	return t.epoch
}

// recordKeepalive records that the session's broker is alive.
func (t *requestTracker) recordKeepalive(now basilmoor.Millis, epoch int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch == t.epoch {
		t.lastHeard = now
	}
}

// handleDecision processes a decision received from a broker. Decisions from
// earlier sessions or for demands that are not waiting are ignored: the broker
// frees such grants when the demand is resubmitted or cancelled.
func (t *requestTracker) handleDecision(now basilmoor.Millis, epoch int, d basilmoor.Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch != t.epoch {
		return
	}
	t.lastHeard = now
	e, ok := t.entries[decisionRequest(d)]
	if !ok || e.state != entryWaiting {
		return
	}
	if d.Refusal != nil {
		delete(t.entries, e.id)
		t.refuse(e, d.Refusal.Reason, d.Refusal.RetryAfter)
		return
	}
	target, ok := t.resolveTarget(d.Grant.Target)
	if !ok {
		t.excludeTarget(now, e, d.Grant.Target.Name)
		return
	}
	e.state = entryGranted
	e.target = target
	e.grantedAt = now
	e.ttl = d.Grant.TTL
	t.metrics.Add(t.grantCounter, 1)
	e.decision <- basilmoor.Decision{
		Grant: &basilmoor.Grant{
			Request: e.id,
			Target:  target,
			TTL:     d.Grant.TTL,
		},
	}
}

// resolveTarget looks up a target that the broker identified only by name.
func (t *requestTracker) resolveTarget(granted basilmoor.Target) (basilmoor.Target, bool) {
	if granted.Address != "" {
		return granted, true
	}
	c, ok := t.catalog.Catalog()
	if !ok {
		return granted, false
	}
	targets := c.Targets(t.pool)
	i, ok := slices.BinarySearchFunc(targets, granted.Name, func(x basilmoor.Target, name string) int {
		return strings.Compare(x.Name, name)
	})
	if !ok {
		return granted, false
	}
	return targets[i], true
}

// excludeTarget returns a grant for a target that is missing from this host's
// version of the configuration, and resubmits the demand with that target
// excluded.
func (t *requestTracker) excludeTarget(now basilmoor.Millis, e *entry, target string) {
	t.metrics.Retry(basilmoor.ReasonNoTarget)
	t.uplink.cancel(e.id)
	e.demand.Excluded = append(slices.Clone(e.demand.Excluded), target)
	t.lastSent = now
	t.uplink.submit(e.remaining(now))
}

func (t *requestTracker) refuse(e *entry, reason basilmoor.Reason, retryAfter basilmoor.Millis) {
	e.state = entryDone
	e.decision <- basilmoor.Decision{
		Refusal: &basilmoor.Refusal{
			Request:    e.id,
			Reason:     reason,
			RetryAfter: retryAfter,
		},
	}
}

// observe reports a stage of a granted request. Stages after a terminal one are
// ignored.
func (t *requestTracker) observe(now basilmoor.Millis, e *entry, o basilmoor.Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.state != entryGranted && e.state != entryDispatched {
		return
	}
	t.report(now, e, o)
}

func (t *requestTracker) report(now basilmoor.Millis, e *entry, o basilmoor.Observation) {
	o.Request = e.id
	o.Target = e.target.Name
	o.Demand = nil
	if e.state == entryGranted && o.Stage != basilmoor.StageReturned && o.Stage != basilmoor.StageUnreachable {
		e.state = entryDispatched
		e.dispatchedAt = now - o.Elapsed
	}
	e.lastObservation = o
	if o.Stage == basilmoor.StageProgress {
		t.sampleProgress(now, e, o)
		return
	}
	if o.Stage.Terminal() {
		e.state = entryDone
		delete(t.entries, e.id)
		t.endSampling(e)
	}
	t.send(now, o)
}

// sampleProgress sends the progress reports that the target's sampler selects.
func (t *requestTracker) sampleProgress(now basilmoor.Millis, e *entry, o basilmoor.Observation) {
	s, ok := t.samplers[e.target.Name]
	if !ok {
		s = &bmcapacity.Sampler{}
		t.samplers[e.target.Name] = s
	}
	due := s.RecordToken(now, e.id, bmcapacity.Sample{
		Tokens:  o.Tokens,
		Elapsed: o.Elapsed,
	})
	for _, p := range due {
		o.Tokens = p.Tokens
		o.Elapsed = p.Elapsed
		t.send(now, o)
	}
}

func (t *requestTracker) endSampling(e *entry) {
	if s, ok := t.samplers[e.target.Name]; ok {
		s.EndStream(e.id)
	}
}

func (t *requestTracker) send(now basilmoor.Millis, o basilmoor.Observation) {
	if t.uplink == nil {
		return
	}
	t.lastSent = now
	t.uplink.observe(o)
}

// tick refuses demands whose deadline has passed, even if the broker does not
// respond, and sends batched reports and keepalives.
func (t *requestTracker) tick(now basilmoor.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range sortedKeys(t.entries) {
		e := t.entries[id]
		if e.state == entryWaiting && now-e.submittedAt >= e.demand.Deadline {
			t.cancel(now, e)
			t.refuse(e, basilmoor.ReasonDeadline, 0)
		}
	}
	if len(t.entries) > 0 {
		t.lastUsed = now
	}
	if t.uplink != nil && now-t.lastFlush >= flushPeriod {
		t.lastFlush = now
		t.uplink.flush()
	}
	if t.uplink != nil && now-t.lastSent >= keepalivePeriod {
		t.lastSent = now
		t.uplink.keepalive()
	}
}

// stop refuses all waiting demands and closes the session.
func (t *requestTracker) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	for _, id := range sortedKeys(t.entries) {
		e := t.entries[id]
		if e.state != entryWaiting {
			continue
		}
		delete(t.entries, id)
		t.refuse(e, basilmoor.ReasonStopping, 0)
	}
	t.detachLocked()
}

// start accepts demands again after stop.
func (t *requestTracker) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = false
}

// trackerStatus is a snapshot for the loop that manages the tracker's session.
type trackerStatus struct {
	attached  bool
	epoch     int
	lastHeard basilmoor.Millis
	lastUsed  basilmoor.Millis
	entries   int
}

func (t *requestTracker) status() trackerStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	return trackerStatus{
		attached:  t.uplink != nil,
		epoch:     t.epoch,
		lastHeard: t.lastHeard,
		lastUsed:  t.lastUsed,
		entries:   len(t.entries),
	}
}
