package bmscheduler

import (
	"cmp"
	"slices"

	"basilmoor.example/basilmoor"
)

const (
	// keepalivePeriod is the time without other messages after which either
	// side of a session sends a keepalive.
	keepalivePeriod = basilmoor.Second

	// silenceTimeout is the time without messages after which either side
	// gives up a session. A broker then also frees the capacity of the host's
	// open dispatches.
	silenceTimeout = 3 * basilmoor.Second

	// recoveryTimeout is the maximum time that a new broker waits for hosts to
	// resubmit. Until they have, it doesn't know which slots are taken by open
	// dispatches.
	recoveryTimeout = basilmoor.Second
)

// HostDropper is an optional interface of policies. DropHost removes all waiting
// demands of a host and frees the capacity of its open dispatches.
type HostDropper interface {
	DropHost(now basilmoor.Millis, host string) []basilmoor.Decision
}

// session is the broker's side of a host's connection. Its methods neither block
// nor call the broker.
type session interface {
	// deliver sends a decision to the host. It returns false if the session is
	// lost.
	deliver(d basilmoor.Decision) bool
	// sendKeepalive tells the host that the broker is alive.
	sendKeepalive()
	// close ends the session and notifies the host.
	close()
}

// openGrant is a grant that a host holds and has not ended yet.
type openGrant struct {
	target     string
	dispatched bool
}

// hostState is a broker's state for one entry host.
type hostState struct {
	dataCentre  string
	session     session // nil if detached
	lastSeen    basilmoor.Millis
	lastSent    basilmoor.Millis
	resubmitted bool
	waiting     map[basilmoor.RequestID]bool
	open        map[basilmoor.RequestID]*openGrant

	// seen holds the requests that the host has submitted or reported since
	// its session began. Open grants that are missing from it at the end of
	// the resubmission are released.
	seen map[basilmoor.RequestID]bool
}

// deferredDemand is a demand that arrived during recovery.
type deferredDemand struct {
	demand     basilmoor.Demand
	receivedAt basilmoor.Millis
}

// broker connects the sessions of one pool to its policy. It is a state machine:
// the caller passes the current time, and calls must not be concurrent.
type broker struct {
	pool            string
	policy          basilmoor.Policy
	liveHosts       func() []string // names of the live hosts
	recoveryEnabled bool            // whether a new broker waits for resubmissions first

	hosts            map[string]*hostState
	hostByRequest    map[basilmoor.RequestID]string
	recovering       bool
	recoveryDeadline basilmoor.Millis
	deferred         []deferredDemand
}

func newBroker(pool string, policy basilmoor.Policy, recoveryEnabled bool, liveHosts func() []string) *broker {
	return &broker{
		pool:            pool,
		policy:          policy,
		liveHosts:       liveHosts,
		recoveryEnabled: recoveryEnabled,
		hosts:           make(map[string]*hostState),
		hostByRequest:   make(map[basilmoor.RequestID]string),
	}
}

// idle reports whether the broker has no hosts.
func (b *broker) idle() bool {
	return len(b.hosts) == 0
}

// hasSession reports whether any host is connected. A broker without sessions
// doesn't know what other brokers have granted in the meantime.
func (b *broker) hasSession() bool {
	for _, h := range b.hosts {
		if h.session != nil {
			return true
		}
	}
	return false
}

func (b *broker) setTargets(now basilmoor.Millis, targets []basilmoor.Target) {
	b.deliver(now, b.policy.SetTargets(now, targets))
}

func (b *broker) report(now basilmoor.Millis, r basilmoor.LoadReport) {
	b.deliver(now, b.policy.Report(now, r))
}

// attach starts a session for a host and closes its previous one. If no host
// was connected, it starts recovery.
func (b *broker) attach(now basilmoor.Millis, host, dataCentre string, s session) {
	if b.recoveryEnabled && !b.hasSession() {
		b.recovering = true
		b.recoveryDeadline = now + recoveryTimeout
	}
	h, ok := b.hosts[host]
	if !ok {
		h = &hostState{
			waiting: make(map[basilmoor.RequestID]bool),
			open:    make(map[basilmoor.RequestID]*openGrant),
		}
		b.hosts[host] = h
	}
	if h.session != nil {
		h.session.close()
		b.cancelWaiting(now, h)
	}
	h.dataCentre = dataCentre
	h.session = s
	h.lastSeen = now
	h.lastSent = now
	h.resubmitted = false
	h.seen = make(map[basilmoor.RequestID]bool)
	s.sendKeepalive()
}

// detach removes a session that was lost. The host's open dispatches are kept
// until it reconnects or silenceTimeout expires.
func (b *broker) detach(now basilmoor.Millis, host string, s session) {
	h, ok := b.hosts[host]
	if !ok || h.session != s {
		return
	}
	h.session = nil
	h.resubmitted = false
	b.cancelWaiting(now, h)
}

// cancelWaiting cancels the host's waiting demands. The host submits them again
// when it reconnects.
func (b *broker) cancelWaiting(now basilmoor.Millis, h *hostState) {
	for _, id := range sortedKeys(h.waiting) {
		b.removeRequest(h, id)
		b.removeDeferred(id)
		b.deliver(now, b.policy.Cancel(now, id))
	}
}

// touch records that a message arrived from the host. It returns false if s is
// not the host's current session.
func (b *broker) touch(now basilmoor.Millis, host string, s session) (*hostState, bool) {
	h, ok := b.hosts[host]
	if !ok || h.session != s {
		return nil, false
	}
	h.lastSeen = now
	return h, true
}

func (b *broker) keepalive(now basilmoor.Millis, host string, s session) {
	b.touch(now, host, s)
}

// submit adds a demand. If the broker has already granted the request, the host
// didn't receive that grant, and it is taken back first.
func (b *broker) submit(now basilmoor.Millis, host string, s session, d basilmoor.Demand) {
	h, ok := b.touch(now, host, s)
	if !ok {
		return
	}
	d.Host = host
	d.DataCentre = h.dataCentre
	d.Pool = b.pool
	h.seen[d.Request] = true
	b.reclaimGrant(now, h, d.Request)
	h.waiting[d.Request] = true
	b.hostByRequest[d.Request] = host
	if b.recovering {
		b.deferred = append(b.deferred, deferredDemand{
			demand:     d,
			receivedAt: now,
		})
		return
	}
	b.submitToPolicy(now, d)
}

// reclaimGrant releases the open grant of a request, if any. The host has
// submitted the request again and so doesn't hold the grant.
func (b *broker) reclaimGrant(now basilmoor.Millis, h *hostState, id basilmoor.RequestID) {
	g, ok := h.open[id]
	if !ok {
		return
	}
	b.releaseGrant(now, h, id, g)
}

// releaseGrant frees the capacity of an open grant. An unused grant is
// cancelled. A dispatched one is reported as failed: policies ignore the
// cancellation of a dispatched request, and how it ended is not known here.
func (b *broker) releaseGrant(now basilmoor.Millis, h *hostState, id basilmoor.RequestID, g *openGrant) {
	b.removeRequest(h, id)
	if !g.dispatched {
		b.deliver(now, b.policy.Cancel(now, id))
		return
	}
	b.deliver(now, b.policy.Observe(now, basilmoor.Observation{
		Request: id,
		Target:  g.target,
		Stage:   basilmoor.StageFailed,
	}))
}

// submitToPolicy submits a demand to the policy, or refuses it if its deadline
// has passed.
func (b *broker) submitToPolicy(now basilmoor.Millis, d basilmoor.Demand) {
	if d.Deadline <= 0 {
		b.deliver(now, []basilmoor.Decision{{
			Refusal: &basilmoor.Refusal{
				Request: d.Request,
				Reason:  basilmoor.ReasonDeadline,
			},
		}})
		return
	}
	b.deliver(now, b.policy.Submit(now, d))
}

func (b *broker) cancel(now basilmoor.Millis, host string, s session, id basilmoor.RequestID) {
	h, ok := b.touch(now, host, s)
	if !ok || b.hostByRequest[id] != host {
		return
	}
	b.removeRequest(h, id)
	if b.removeDeferred(id) {
		return
	}
	b.deliver(now, b.policy.Cancel(now, id))
}

// observe passes an observation to the policy. An observation with a demand
// resubmits an open dispatch. The demand is passed on even if this broker
// granted the request itself, because the policy may have expired the grant
// since; a policy that knows the request ignores the demand.
func (b *broker) observe(now basilmoor.Millis, host string, s session, o basilmoor.Observation) {
	h, ok := b.touch(now, host, s)
	if !ok {
		return
	}
	g, open := h.open[o.Request]
	if !open && o.Demand == nil {
		return
	}
	if o.Demand != nil {
		g = b.adoptDispatch(now, h, host, &o)
	}
	h.seen[o.Request] = true
	g.dispatched = true
	o.Target = g.target
	if o.Stage.Terminal() {
		b.removeRequest(h, o.Request)
	}
	b.deliver(now, b.policy.Observe(now, o))
}

// adoptDispatch registers an open dispatch that a host has resubmitted.
func (b *broker) adoptDispatch(now basilmoor.Millis, h *hostState, host string, o *basilmoor.Observation) *openGrant {
	if h.waiting[o.Request] {
		b.removeRequest(h, o.Request)
		b.removeDeferred(o.Request)
		b.deliver(now, b.policy.Cancel(now, o.Request))
	}
	d := *o.Demand
	d.Request = o.Request
	d.Host = host
	d.DataCentre = h.dataCentre
	d.Pool = b.pool
	o.Demand = &d
	g := &openGrant{
		target: o.Target,
	}
	h.open[o.Request] = g
	b.hostByRequest[o.Request] = host
	return g
}

// endResubmission releases the open grants that the host did not resubmit.
func (b *broker) endResubmission(now basilmoor.Millis, host string, s session) {
	h, ok := b.touch(now, host, s)
	if !ok {
		return
	}
	for _, id := range sortedKeys(h.open) {
		if !h.seen[id] {
			b.releaseGrant(now, h, id, h.open[id])
		}
	}
	h.resubmitted = true
	h.seen = make(map[basilmoor.RequestID]bool)
	b.finishRecovery(now)
}

// tick drops silent hosts, sends keepalives and runs the policy's periodic work.
func (b *broker) tick(now basilmoor.Millis) {
	for _, host := range sortedKeys(b.hosts) {
		h := b.hosts[host]
		if now-h.lastSeen >= silenceTimeout {
			b.dropHost(now, host, h)
			continue
		}
		if h.session != nil && now-h.lastSent >= keepalivePeriod {
			h.lastSent = now
			h.session.sendKeepalive()
		}
	}
	b.finishRecovery(now)
	b.deliver(now, b.policy.Tick(now))
}

// reset closes all sessions and drops all hosts. It is called on shutdown, and
// after a pause or a loss of ownership, when the hosts have switched to other
// brokers. All sessions are detached before the first host is dropped: a demand
// still waiting then would be granted a freed slot whose dispatch is still
// running.
func (b *broker) reset(now basilmoor.Millis) {
	for _, host := range sortedKeys(b.hosts) {
		if h := b.hosts[host]; h.session != nil {
			h.session.close()
			b.detach(now, host, h.session)
		}
	}
	for _, host := range sortedKeys(b.hosts) {
		b.dropHost(now, host, b.hosts[host])
	}
}

// dropHost removes a host and frees the capacity of its open grants.
func (b *broker) dropHost(now basilmoor.Millis, host string, h *hostState) {
	if h.session != nil {
		h.session.close()
		h.session = nil
	}
	b.cancelWaiting(now, h)
	delete(b.hosts, host)
	for id := range h.open {
		delete(b.hostByRequest, id)
	}
	if p, ok := b.policy.(HostDropper); ok {
		b.deliver(now, p.DropHost(now, host))
		return
	}
	for _, id := range sortedKeys(h.open) {
		b.releaseGrant(now, h, id, h.open[id])
	}
}

// finishRecovery ends recovery once every live host has resubmitted or
// recoveryDeadline has passed, and submits the deferred demands. It sorts them
// by tier and then by age, oldest first, since the policy may grant each demand
// immediately.
func (b *broker) finishRecovery(now basilmoor.Millis) {
	if !b.recovering || now < b.recoveryDeadline && !b.allHostsResubmitted() {
		return
	}
	b.recovering = false
	deferred := b.deferred
	b.deferred = nil
	slices.SortStableFunc(deferred, func(x, y deferredDemand) int {
		return cmp.Or(
			cmp.Compare(x.demand.Tier, y.demand.Tier),
			cmp.Compare(y.demand.Age-y.receivedAt, x.demand.Age-x.receivedAt),
		)
	})
	for _, d := range deferred {
		waited := now - d.receivedAt
		b.submitToPolicy(now, d.demand.WithWait(waited))
	}
}

func (b *broker) allHostsResubmitted() bool {
	for _, host := range b.liveHosts() {
		if h, ok := b.hosts[host]; !ok || !h.resubmitted {
			return false
		}
	}
	return true
}

func (b *broker) removeDeferred(id basilmoor.RequestID) bool {
	n := len(b.deferred)
	b.deferred = slices.DeleteFunc(b.deferred, func(d deferredDemand) bool { return d.demand.Request == id })
	return len(b.deferred) < n
}

func (b *broker) removeRequest(h *hostState, id basilmoor.RequestID) {
	delete(h.waiting, id)
	delete(h.open, id)
	delete(b.hostByRequest, id)
}

// deliver sends decisions to their hosts. A grant that can't be delivered is
// cancelled, which may cause further decisions.
func (b *broker) deliver(now basilmoor.Millis, decisions []basilmoor.Decision) {
	for len(decisions) > 0 {
		d := decisions[0]
		decisions = decisions[1:]
		id := decisionRequest(d)
		h, ok := b.hosts[b.hostByRequest[id]]
		if ok && h.session != nil && h.waiting[id] {
			b.recordDecision(h, id, d)
			h.lastSent = now
			if h.session.deliver(d) {
				continue
			}
			b.removeRequest(h, id)
		}
		if d.Grant != nil {
			decisions = append(decisions, b.policy.Cancel(now, id)...)
		}
	}
}

func (b *broker) recordDecision(h *hostState, id basilmoor.RequestID, d basilmoor.Decision) {
	if d.Grant == nil {
		b.removeRequest(h, id)
		return
	}
	delete(h.waiting, id)
	h.open[id] = &openGrant{
		target: d.Grant.Target.Name,
	}
}

func decisionRequest(d basilmoor.Decision) basilmoor.RequestID {
	if d.Grant != nil {
		return d.Grant.Request
	}
	return d.Refusal.Request
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
