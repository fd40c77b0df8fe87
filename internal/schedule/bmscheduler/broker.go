package bmscheduler

import (
	"cmp"
	"slices"

	"basilmoor.example/basilmoor"
)

const (
	// keepalivePeriod is the time after which a side that has nothing to send
	// sends a keepalive.
	keepalivePeriod = basilmoor.Second

	// silenceBound is the silence after which a side gives a stream up. A
	// broker frees the open dispatches of a host that long after its last
	// message.
	silenceBound = 3 * basilmoor.Second

	// holdBound is the time that a new broker waits for the resubmissions of
	// hosts, because until then it doesn't know the open dispatches.
	holdBound = basilmoor.Second
)

// HostDropper is implemented by policies that can forget a host: they remove
// its waiting demands and free the capacity of its open dispatches.
type HostDropper interface {
	DropHost(now basilmoor.Millis, host string) []basilmoor.Decision
}

// session is a host's connection to a broker. Its methods don't block and
// don't call the broker.
type session interface {
	// deliver passes a decision on. False means that the session is lost.
	deliver(d basilmoor.Decision) bool
	// alive tells the host that the broker is alive.
	alive()
	// end tells the host that the session is over.
	end()
}

// openGrant is a grant that a host holds.
type openGrant struct {
	target     string
	dispatched bool
}

// brokerHost is what a broker knows of an entry host.
type brokerHost struct {
	dataCentre  string
	session     session // nil if detached
	lastSeen    basilmoor.Millis
	lastSent    basilmoor.Millis
	resubmitted bool
	waiting     map[basilmoor.RequestID]bool
	open        map[basilmoor.RequestID]*openGrant

	// mentioned holds the requests that were named since the session began.
	mentioned map[basilmoor.RequestID]bool
}

// heldDemand waits for the end of the hold.
type heldDemand struct {
	demand basilmoor.Demand
	at     basilmoor.Millis
}

// broker connects the sessions of one pool to its policy. It is a state
// machine on the caller's time; calls must not be concurrent.
type broker struct {
	pool   string
	policy basilmoor.Policy
	live   func() []string // names of the live hosts
	hold   bool            // whether a new broker waits for resubmissions

	hosts     map[string]*brokerHost
	owner     map[basilmoor.RequestID]string
	holding   bool
	holdUntil basilmoor.Millis
	held      []heldDemand
}

func newBroker(pool string, policy basilmoor.Policy, hold bool, live func() []string) *broker {
	return &broker{
		pool:   pool,
		policy: policy,
		live:   live,
		hold:   hold,
		hosts:  make(map[string]*brokerHost),
		owner:  make(map[basilmoor.RequestID]string),
	}
}

// idle reports whether the broker knows no host.
func (b *broker) idle() bool {
	return len(b.hosts) == 0
}

// connected reports whether any host has a session. A broker that had none for
// a while doesn't know what other brokers granted meanwhile.
func (b *broker) connected() bool {
	for _, h := range b.hosts {
		if h.session != nil {
			return true
		}
	}
	return false
}

func (b *broker) setTargets(now basilmoor.Millis, targets []basilmoor.Target) {
	b.route(now, b.policy.SetTargets(now, targets))
}

func (b *broker) report(now basilmoor.Millis, r basilmoor.LoadReport) {
	b.route(now, b.policy.Report(now, r))
}

// attach begins a session of a host and ends the one before.
func (b *broker) attach(now basilmoor.Millis, host, dataCentre string, s session) {
	if b.hold && !b.connected() {
		b.holding = true
		b.holdUntil = now + holdBound
	}
	h, ok := b.hosts[host]
	if !ok {
		h = &brokerHost{
			waiting: make(map[basilmoor.RequestID]bool),
			open:    make(map[basilmoor.RequestID]*openGrant),
		}
		b.hosts[host] = h
	}
	if h.session != nil {
		h.session.end()
		b.withdraw(now, h)
	}
	h.dataCentre = dataCentre
	h.session = s
	h.lastSeen = now
	h.lastSent = now
	h.resubmitted = false
	h.mentioned = make(map[basilmoor.RequestID]bool)
	s.alive()
}

// detach ends a session that was lost. The host's open dispatches stay until
// it returns or the silence bound passes.
func (b *broker) detach(now basilmoor.Millis, host string, s session) {
	h, ok := b.hosts[host]
	if !ok || h.session != s {
		return
	}
	h.session = nil
	h.resubmitted = false
	b.withdraw(now, h)
}

// withdraw cancels the host's waiting demands. It will submit them again.
func (b *broker) withdraw(now basilmoor.Millis, h *brokerHost) {
	for _, id := range sortedKeys(h.waiting) {
		b.forget(h, id)
		b.dropHeld(id)
		b.route(now, b.policy.Cancel(now, id))
	}
}

// heard returns the host of a session that is current, and notes its message.
func (b *broker) heard(now basilmoor.Millis, host string, s session) (*brokerHost, bool) {
	h, ok := b.hosts[host]
	if !ok || h.session != s {
		return nil, false
	}
	h.lastSeen = now
	return h, true
}

func (b *broker) keepalive(now basilmoor.Millis, host string, s session) {
	b.heard(now, host, s)
}

// submit adds a demand. A host that submits a request which the broker has
// granted didn't receive that grant.
func (b *broker) submit(now basilmoor.Millis, host string, s session, d basilmoor.Demand) {
	h, ok := b.heard(now, host, s)
	if !ok {
		return
	}
	d.Host = host
	d.DataCentre = h.dataCentre
	d.Pool = b.pool
	h.mentioned[d.Request] = true
	b.takeBack(now, h, d.Request)
	h.waiting[d.Request] = true
	b.owner[d.Request] = host
	if b.holding {
		b.held = append(b.held, heldDemand{
			demand: d,
			at:     now,
		})
		return
	}
	b.pass(now, d)
}

// takeBack returns a grant that the host says it doesn't hold.
func (b *broker) takeBack(now basilmoor.Millis, h *brokerHost, id basilmoor.RequestID) {
	g, ok := h.open[id]
	if !ok {
		return
	}
	b.release(now, h, id, g)
}

// release frees the capacity of an open grant. A dispatched one is not
// returned, because a policy ignores the return of what was sent; its end is
// not known here, so that it counts as failed.
func (b *broker) release(now basilmoor.Millis, h *brokerHost, id basilmoor.RequestID, g *openGrant) {
	b.forget(h, id)
	if !g.dispatched {
		b.route(now, b.policy.Cancel(now, id))
		return
	}
	b.route(now, b.policy.Observe(now, basilmoor.Observation{
		Request: id,
		Target:  g.target,
		Stage:   basilmoor.StageFailed,
	}))
}

// pass submits a demand to the policy, or refuses it if its time is over.
func (b *broker) pass(now basilmoor.Millis, d basilmoor.Demand) {
	if d.Deadline <= 0 {
		b.route(now, []basilmoor.Decision{{
			Refusal: &basilmoor.Refusal{
				Request: d.Request,
				Reason:  basilmoor.ReasonDeadline,
			},
		}})
		return
	}
	b.route(now, b.policy.Submit(now, d))
}

func (b *broker) cancel(now basilmoor.Millis, host string, s session, id basilmoor.RequestID) {
	h, ok := b.heard(now, host, s)
	if !ok || b.owner[id] != host {
		return
	}
	b.forget(h, id)
	if b.dropHeld(id) {
		return
	}
	b.route(now, b.policy.Cancel(now, id))
}

// observe passes an observation on. One that carries its demand makes an open
// dispatch known. The demand is passed on even if this broker granted the
// request, because the policy may have expired the grant since; a policy that
// knows the request ignores it.
func (b *broker) observe(now basilmoor.Millis, host string, s session, o basilmoor.Observation) {
	h, ok := b.heard(now, host, s)
	if !ok {
		return
	}
	g, open := h.open[o.Request]
	if !open && o.Demand == nil {
		return
	}
	if o.Demand != nil {
		g = b.adopt(now, h, host, &o)
	}
	h.mentioned[o.Request] = true
	g.dispatched = true
	o.Target = g.target
	if o.Stage.Terminal() {
		b.forget(h, o.Request)
	}
	b.route(now, b.policy.Observe(now, o))
}

// adopt takes up a dispatch that a host has resubmitted.
func (b *broker) adopt(now basilmoor.Millis, h *brokerHost, host string, o *basilmoor.Observation) *openGrant {
	if h.waiting[o.Request] {
		b.forget(h, o.Request)
		b.dropHeld(o.Request)
		b.route(now, b.policy.Cancel(now, o.Request))
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
	b.owner[o.Request] = host
	return g
}

// endResubmission frees what the host no longer knows of.
func (b *broker) endResubmission(now basilmoor.Millis, host string, s session) {
	h, ok := b.heard(now, host, s)
	if !ok {
		return
	}
	for _, id := range sortedKeys(h.open) {
		if !h.mentioned[id] {
			b.release(now, h, id, h.open[id])
		}
	}
	h.resubmitted = true
	h.mentioned = make(map[basilmoor.RequestID]bool)
	b.endHold(now)
}

// tick does the work that depends only on time.
func (b *broker) tick(now basilmoor.Millis) {
	for _, host := range sortedKeys(b.hosts) {
		h := b.hosts[host]
		if now-h.lastSeen >= silenceBound {
			b.dropHost(now, host, h)
			continue
		}
		if h.session != nil && now-h.lastSent >= keepalivePeriod {
			h.lastSent = now
			h.session.alive()
		}
	}
	b.endHold(now)
	b.route(now, b.policy.Tick(now))
}

// reset ends all sessions and forgets all hosts. A broker that was paused
// calls it, because the hosts have gone on with other brokers. No demand may
// wait when the slots of the first host become free: it would be granted a slot
// whose dispatch is still running.
func (b *broker) reset(now basilmoor.Millis) {
	for _, host := range sortedKeys(b.hosts) {
		if h := b.hosts[host]; h.session != nil {
			h.session.end()
			b.detach(now, host, h.session)
		}
	}
	for _, host := range sortedKeys(b.hosts) {
		b.dropHost(now, host, b.hosts[host])
	}
}

// dropHost frees everything that belongs to a host.
func (b *broker) dropHost(now basilmoor.Millis, host string, h *brokerHost) {
	if h.session != nil {
		h.session.end()
		h.session = nil
	}
	b.withdraw(now, h)
	delete(b.hosts, host)
	for id := range h.open {
		delete(b.owner, id)
	}
	if p, ok := b.policy.(HostDropper); ok {
		b.route(now, p.DropHost(now, host))
		return
	}
	for _, id := range sortedKeys(h.open) {
		b.release(now, h, id, h.open[id])
	}
}

// endHold begins to grant when every live host has resubmitted or the hold has
// lasted long enough. Demands of higher tiers are submitted first, since the
// policy may grant each at once.
func (b *broker) endHold(now basilmoor.Millis) {
	if !b.holding || now < b.holdUntil && !b.complete() {
		return
	}
	b.holding = false
	held := b.held
	b.held = nil
	slices.SortStableFunc(held, func(x, y heldDemand) int {
		return cmp.Or(
			cmp.Compare(x.demand.Tier, y.demand.Tier),
			cmp.Compare(y.demand.Age-y.at, x.demand.Age-x.at),
		)
	})
	for _, h := range held {
		waited := now - h.at
		b.pass(now, h.demand.WithWait(waited))
	}
}

func (b *broker) complete() bool {
	for _, host := range b.live() {
		if h, ok := b.hosts[host]; !ok || !h.resubmitted {
			return false
		}
	}
	return true
}

func (b *broker) dropHeld(id basilmoor.RequestID) bool {
	n := len(b.held)
	b.held = slices.DeleteFunc(b.held, func(h heldDemand) bool { return h.demand.Request == id })
	return len(b.held) < n
}

func (b *broker) forget(h *brokerHost, id basilmoor.RequestID) {
	delete(h.waiting, id)
	delete(h.open, id)
	delete(b.owner, id)
}

// route delivers decisions. A grant that can't be delivered is returned, which
// may make further decisions due.
func (b *broker) route(now basilmoor.Millis, decisions []basilmoor.Decision) {
	for len(decisions) > 0 {
		d := decisions[0]
		decisions = decisions[1:]
		id := decisionRequest(d)
		h, ok := b.hosts[b.owner[id]]
		if ok && h.session != nil && h.waiting[id] {
			b.settle(h, id, d)
			h.lastSent = now
			if h.session.deliver(d) {
				continue
			}
			b.forget(h, id)
		}
		if d.Grant != nil {
			decisions = append(decisions, b.policy.Cancel(now, id)...)
		}
	}
}

func (b *broker) settle(h *brokerHost, id basilmoor.RequestID, d basilmoor.Decision) {
	if d.Grant == nil {
		b.forget(h, id)
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
