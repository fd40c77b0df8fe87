package bmgrant

import (
	"context"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmview"
	"basilmoor.example/basilmoor/internal/schedule/bmelection"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

// tickPeriod is the interval of the client's and the broker's periodic work.
const tickPeriod basilmoor.Millis = 20

// Client acquires grants for the requests of this host: from the broker, or from
// local pools while it has no session with one. It is safe for concurrent use.
type Client struct {
	clock   basilmoor.Clock
	self    basilmoor.Member
	metrics *bmmetrics.Registry
	log     zerolog.Logger
	broker  *Broker // on this host
	dial    dialer  // nil if the client never uses a broker
	ask     asker
	start   func(runner)

	mu         sync.Mutex
	view       *bmview.View
	targets    map[string]basilmoor.Target
	lastNumber uint64
	entries    map[basilmoor.RequestID]*entry

	localPools map[string]*Pool // by name; used while there is no broker
	quotas     *quotas          // spending of this host; enforced while there is no broker
	restarted  bool             // spending before the start has yet to be assumed

	brokenOff []brokenOff // the latest requests whose targets broke off and may have died

	uplink   *uplink // nil without a broker
	election *bmelection.Election
	electing bool // an action of the election is in progress
}

var _ basilmoor.Scheduler = (*Client)(nil)

// entry tracks a request from its Acquire to the refusal or to the end of the
// granted request.
type entry struct {
	number     uint64
	demand     basilmoor.Demand
	submitted  basilmoor.Millis
	decided    chan basilmoor.Decision // receives one decision
	target     basilmoor.Target
	grantedAt  basilmoor.Millis // when the grant arrived; 0 before
	firstToken basilmoor.Millis // time to first token; 0 until it is reported
	closed     bool

	// chargedLocally is set while the waiting demand is charged to the quota of
	// this host.
	chargedLocally bool
}

// remaining returns the demand with its time limits reduced by the time waited.
func (e *entry) remaining(now basilmoor.Millis) basilmoor.Demand {
	return e.demand.WithWait(now - e.submitted)
}

// grantState returns an observation that describes a granted request to a broker
// or pool that did not grant it.
func (e *entry) grantState(d basilmoor.Demand) basilmoor.Observation {
	o := basilmoor.Observation{
		Request: e.demand.Request,
		Target:  e.target.Name,
		Stage:   basilmoor.StageDispatched,
		Demand:  &d,
	}
	if e.firstToken > 0 {
		o.Stage = basilmoor.StageFirstToken
		o.Elapsed = e.firstToken
	}
	return o
}

// Options configures a Client.
type Options struct {
	// DisableBroker disables the use of a broker.
	DisableBroker bool
	// AssumeSpending states that the workspaces may have spent tokens before this
	// process started.
	AssumeSpending bool
}

// NewClient returns a client of the host self.
func NewClient(clock basilmoor.Clock, self basilmoor.Member, broker *Broker, o Options, metrics *bmmetrics.Registry, log zerolog.Logger) *Client {
	c := &Client{
		clock:      clock,
		self:       self,
		metrics:    metrics,
		log:        log,
		broker:     broker,
		view:       &bmview.View{},
		targets:    map[string]basilmoor.Target{},
		entries:    map[basilmoor.RequestID]*entry{},
		localPools: map[string]*Pool{},
		quotas:     newQuotas(broker.tolerance),
		start:      startGoroutine,
		election:   bmelection.New(self),
		restarted:  o.AssumeSpending,
	}
	if !o.DisableBroker {
		c.dial = dialStream
		c.ask = askFollowed
	}
	return c
}

// SetView applies the targets, hosts and quotas of a new view.
func (c *Client) SetView(v *bmview.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = v
	c.targets = make(map[string]basilmoor.Target, len(c.targets))
	for _, t := range c.broker.targetsAfterDecisions(c.clock.Now(), v) {
		c.targets[t.Name] = t
	}
	c.election.SetHosts(v.Hosts())
	c.broker.views.SetStandbyAge(standbyAge(c.election.Rank()))
	c.applyView(c.clock.Now())
	c.blameRestarts(c.clock.Now())
}

func (c *Client) applyView(now basilmoor.Millis) {
	if c.view.Table == nil {
		return
	}
	c.quotas.setShare(1 / float64(max(len(c.view.Hosts()), 1)))
	c.quotas.set(c.view.Table.Workspaces())
	if c.restarted {
		c.restarted = false
		c.quotas.assume(now)
	}
	if c.uplink != nil {
		return
	}
	for _, pool := range c.view.Table.Pools() {
		p, ok := c.localPools[pool.Name]
		if !ok {
			p = c.broker.newPool(pool, 0)
			c.localPools[pool.Name] = p
			c.applyQuarantine(now, pool.Name, p)
		}
		targets := c.broker.targetsWithoutBroker(now, c.view, pool.Name)
		if pool.Engine != nil {
			targets = hostShare(targets, c.self.Host, c.view.Hosts())
		}
		c.deliver(p.SetTargets(now, targets))
	}
}

// rebuildLocalPools replaces the local pools by new ones with this host's
// requests in progress and its waiting demands.
func (c *Client) rebuildLocalPools(now basilmoor.Millis) {
	c.localPools = map[string]*Pool{}
	c.applyView(now)
	for _, e := range c.sortedEntries() {
		p, ok := c.localPools[e.demand.Pool]
		if ok && e.grantedAt > 0 {
			c.deliver(p.Observe(now, e.grantState(e.remaining(now))))
		}
	}
	// The requests in progress are known now, so that their slots are not
	// granted to those that wait.
	for _, e := range c.sortedEntries() {
		if e.grantedAt == 0 {
			c.submitEntry(now, e)
		}
	}
}

// sortedEntries returns the entries ordered by number.
func (c *Client) sortedEntries() []*entry {
	all := make([]*entry, 0, len(c.entries))
	for _, e := range c.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int { return int(a.number) - int(b.number) })
	return all
}

// Serve runs the periodic work until ctx ends.
func (c *Client) Serve(ctx context.Context) error {
	defer c.shutdown()
	for {
		if err := c.clock.Sleep(ctx, tickPeriod); err != nil {
			return err
		}
		c.tick(ctx)
	}
}

func (c *Client) shutdown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeUplink()
}

func (c *Client) tick(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.dial != nil {
		c.maintainUplink(ctx, now)
	}
	for name, p := range c.localPools {
		if p.Waiting() > 0 {
			c.deliver(p.Tick(now))
		}
		c.applyQuarantine(now, name, p)
	}
	if c.uplink != nil && (now-c.uplink.lastSent >= keepalivePeriod || len(c.uplink.pending.GetObservations()) > 0) {
		c.uplink.wake.signal()
	}
}

// Acquire waits for a grant. It returns a basilmoor.RefusalError if the demand
// is refused.
func (c *Client) Acquire(ctx context.Context, d basilmoor.Demand) (basilmoor.Permit, error) {
	e := c.submit(d)
	select {
	case decision := <-e.decided:
		return c.permitFor(e, decision)
	case <-ctx.Done():
		c.abandon(e)
		return nil, ctx.Err()
	}
}

func (c *Client) submit(d basilmoor.Demand) *entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	d.Host = c.self.Host
	d.DataCentre = c.self.DataCentre
	e := &entry{
		demand:    d,
		submitted: now,
		decided:   make(chan basilmoor.Decision, 1),
	}
	c.register(e)
	c.submitEntry(now, e)
	return e
}

// register adds an entry under a new number.
func (c *Client) register(e *entry) {
	c.lastNumber++
	e.number = c.lastNumber
	e.demand.Request = requestID(c.self.Host, e.number)
	c.entries[e.demand.Request] = e
}

// submitEntry submits the demand of an entry to the broker or to a local pool.
func (c *Client) submitEntry(now basilmoor.Millis, e *entry) {
	d := e.remaining(now)
	if c.uplink != nil {
		c.uplink.pending.Demands = append(c.uplink.pending.Demands, encodeDemand(e.number, d))
		c.uplink.wake.signal()
		return
	}
	p, ok := c.localPools[d.Pool]
	if !ok {
		c.refuse(basilmoor.Refusal{
			Request:    d.Request,
			Reason:     basilmoor.ReasonNoTarget,
			RetryAfter: minRetryAfter,
		})
		return
	}
	if anySuspect(c.broker.crashes, d.CrashKeys) {
		c.refuse(basilmoor.Refusal{
			Request:    d.Request,
			Reason:     basilmoor.ReasonCrashSuspect,
			RetryAfter: maxRetryAfter,
		})
		return
	}
	if refusal := c.quotas.admit(now, d, basilmoor.SourceHostShare); refusal != nil {
		c.refuse(*refusal)
		return
	}
	e.chargedLocally = true
	c.deliver(p.Submit(now, d))
}

// ShortenDeadlines makes the waiting demands expire at end, because this host stops
// then.
func (c *Client) ShortenDeadlines(end basilmoor.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, e := range c.sortedEntries() {
		if e.grantedAt > 0 || e.submitted+e.demand.Deadline <= end {
			continue
		}
		e.demand.Deadline = end - e.submitted
		e.demand.OnlyInTime = true
		if c.uplink != nil {
			c.uplink.pending.Demands = append(c.uplink.pending.Demands, encodeDemand(e.number, e.remaining(now)))
			c.uplink.wake.signal()
			continue
		}
		if p, ok := c.localPools[e.demand.Pool]; ok {
			c.deliver(p.Submit(now, e.remaining(now)))
		}
	}
}

// refundLocal returns the local charge of a demand that gets no local grant.
func (c *Client) refundLocal(now basilmoor.Millis, e *entry) {
	if !e.chargedLocally {
		return
	}
	e.chargedLocally = false
	c.quotas.charge(now, e.demand.Workspace, -e.demand.Charge)
}

// permitFor converts a decision into the result of Acquire.
func (c *Client) permitFor(e *entry, decision basilmoor.Decision) (basilmoor.Permit, error) {
	if decision.Refusal != nil {
		return nil, &basilmoor.RefusalError{
			Refusal: *decision.Refusal,
		}
	}
	return &permit{
		client: c,
		entry:  e,
	}, nil
}

// abandon cancels an Acquire whose context has ended. A grant that arrived in
// the meantime is returned.
func (c *Client) abandon(e *entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.grantedAt > 0 {
		c.finish(e, basilmoor.Observation{
			Stage: basilmoor.StageReturned,
		})
		return
	}
	c.closeEntry(e)
	if c.uplink != nil {
		c.uplink.pending.Cancels = append(c.uplink.pending.Cancels, &bmgrantpb.Cancel{
			Number: e.number,
			Pool:   e.demand.Pool,
		})
		c.uplink.wake.signal()
		return
	}
	if p, ok := c.localPools[e.demand.Pool]; ok {
		c.deliver(p.Cancel(c.clock.Now(), e.demand.Request))
	}
}

func (c *Client) closeEntry(e *entry) {
	if e.grantedAt == 0 {
		c.refundLocal(c.clock.Now(), e)
	}
	e.closed = true
	delete(c.entries, e.demand.Request)
}

// deliver passes decisions of the local pools to the waiting Acquire calls.
func (c *Client) deliver(decisions []basilmoor.Decision) {
	for _, d := range decisions {
		if d.Refusal != nil {
			c.refuse(*d.Refusal)
			continue
		}
		e, ok := c.entries[d.Grant.Request]
		if ok && e.grantedAt == 0 {
			c.grant(e, d.Grant.Target)
		}
	}
}

func (c *Client) grant(e *entry, t basilmoor.Target) {
	e.target = t
	e.grantedAt = max(c.clock.Now(), 1)
	e.decided <- basilmoor.Decision{
		Grant: &basilmoor.Grant{
			Request: e.demand.Request,
			Target:  t,
			TTL:     grantTTL,
		},
	}
}

func (c *Client) refuse(r basilmoor.Refusal) {
	e, ok := c.entries[r.Request]
	if !ok || e.grantedAt != 0 {
		return
	}
	c.closeEntry(e)
	e.decided <- basilmoor.Decision{
		Refusal: &r,
	}
}

// finish closes the entry of a granted request and reports its last stage.
func (c *Client) finish(e *entry, o basilmoor.Observation) {
	if e.closed {
		return
	}
	c.closeEntry(e)
	c.report(e, o)
}

// report passes a stage of a granted request to the broker or to the local pool.
func (c *Client) report(e *entry, o basilmoor.Observation) {
	o.Request = e.demand.Request
	if o.Target == "" {
		o.Target = e.target.Name
	}
	switch {
	case o.TargetDied:
		c.recordDeath(e)
	case o.BrokenOff:
		c.noteBrokenOff(e)
	}
	if c.uplink == nil {
		if p, ok := c.localPools[e.demand.Pool]; ok {
			now := c.clock.Now()
			c.deliver(p.Observe(now, o))
			c.applyQuarantine(now, e.demand.Pool, p)
		}
		return
	}
	c.uplink.pending.Observations = append(c.uplink.pending.Observations, encodeObservation(e.number, o))
	if o.Stage.Terminal() {
		c.uplink.wake.signal()
	}
}
