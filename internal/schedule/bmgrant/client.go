package bmgrant

import (
	"context"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmview"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

// tickPeriod is the time between two looks at what depends on time only.
const tickPeriod basilmoor.Millis = 20

// Client acquires grants for the requests that this host holds: from the
// broker, or from its own count while it has none. It is safe for concurrent
// use.
type Client struct {
	clock   basilmoor.Clock
	self    basilmoor.Member
	metrics *bmmetrics.Registry
	log     zerolog.Logger
	broker  *Broker // of this host
	dial    dialer  // nil: never use a broker
	start   func(runner)

	mu      sync.Mutex
	view    *bmview.View
	targets map[string]basilmoor.Target
	next    uint64
	entries map[basilmoor.RequestID]*entry

	own        map[string]*Pool // while there is no broker
	allowances *allowances      // what this host spends; binds without a broker
	restarted  bool             // what it spent before is still to be assumed

	up       *uplink // nil without a broker
	opening  bool
	suspects map[string]basilmoor.Millis // hosts that are not chosen until then
}

var _ basilmoor.Scheduler = (*Client)(nil)

// entry is one Acquire.
type entry struct {
	number    uint64
	demand    basilmoor.Demand
	submitted basilmoor.Millis
	decided   chan basilmoor.Decision // receives one decision
	target    basilmoor.Target
	received  basilmoor.Millis // when the grant arrived; 0 before
	first     basilmoor.Millis // time to first token; 0 before it
	closed    bool
}

// remaining returns the demand with the time that is left.
func (e *entry) remaining(now basilmoor.Millis) basilmoor.Demand {
	return e.demand.WithWait(now - e.submitted)
}

// open describes a grant to a broker that does not know it.
func (e *entry) open(d basilmoor.Demand) basilmoor.Observation {
	o := basilmoor.Observation{
		Request: e.demand.Request,
		Target:  e.target.Name,
		Stage:   basilmoor.StageDispatched,
		Demand:  &d,
	}
	if e.first > 0 {
		o.Stage = basilmoor.StageFirstToken
		o.Elapsed = e.first
	}
	return o
}

// Options are choices of a client.
type Options struct {
	// Alone means that the client never uses a broker.
	Alone bool
	// Restarted means that hosts may have spent allowances before.
	Restarted bool
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
		own:        map[string]*Pool{},
		allowances: newAllowances(broker.tolerance),
		start:      startGoroutine,
		suspects:   map[string]basilmoor.Millis{},
		restarted:  o.Restarted,
	}
	if !o.Alone {
		c.dial = dialStream
	}
	return c
}

// SetView takes over the targets, hosts and allowances of a view.
func (c *Client) SetView(v *bmview.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = v
	c.targets = make(map[string]basilmoor.Target, len(c.targets))
	for _, t := range v.AllTargets() {
		c.targets[t.Name] = t
	}
	c.applyView(c.clock.Now())
}

func (c *Client) applyView(now basilmoor.Millis) {
	if c.view.Table == nil {
		return
	}
	c.allowances.setShare(1 / float64(max(len(c.view.Hosts()), 1)))
	c.allowances.set(c.view.Table.Workspaces())
	if c.restarted {
		c.restarted = false
		c.allowances.assume(now)
	}
	if c.up != nil {
		return
	}
	for _, pool := range c.view.Table.Pools() {
		p, ok := c.own[pool.Name]
		if !ok {
			p = NewPool(0)
			c.own[pool.Name] = p
		}
		targets := c.view.Targets(pool.Name)
		if pool.Engine != nil {
			targets = share(targets, c.self.Host, c.view.Hosts())
		}
		c.deliver(p.SetTargets(now, targets))
	}
}

// resetOwn makes the own pools anew from what this host has in progress and
// waiting.
func (c *Client) resetOwn(now basilmoor.Millis) {
	c.own = map[string]*Pool{}
	c.applyView(now)
	for _, e := range c.sorted() {
		p, ok := c.own[e.demand.Pool]
		if !ok {
			continue
		}
		d := e.remaining(now)
		if e.received > 0 {
			c.deliver(p.Observe(now, e.open(d)))
			continue
		}
		c.deliver(p.Submit(now, d))
	}
}

// sorted returns the entries in the order of their numbers.
func (c *Client) sorted() []*entry {
	all := make([]*entry, 0, len(c.entries))
	for _, e := range c.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int { return int(a.number) - int(b.number) })
	return all
}

// Serve does what depends on time until ctx ends.
func (c *Client) Serve(ctx context.Context) error {
	defer c.leave()
	for {
		if err := c.clock.Sleep(ctx, tickPeriod); err != nil {
			return err
		}
		c.tick(ctx)
	}
}

func (c *Client) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release()
}

func (c *Client) tick(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.dial != nil {
		c.manage(ctx, now)
	}
	for _, p := range c.own {
		if p.Waiting() > 0 {
			c.deliver(p.Tick(now))
		}
	}
	if c.up != nil && (now-c.up.sent >= keepalivePeriod || len(c.up.pending.GetObservations()) > 0) {
		c.up.wake.signal()
	}
}

// Acquire waits until the request may be dispatched.
func (c *Client) Acquire(ctx context.Context, d basilmoor.Demand) (basilmoor.Permit, error) {
	e := c.submit(d)
	select {
	case decision := <-e.decided:
		return c.settle(e, decision)
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
	c.enter(e)
	c.offer(now, e)
	return e
}

// enter gives an entry a number of its own.
func (c *Client) enter(e *entry) {
	c.next++
	e.number = c.next
	e.demand.Request = requestID(c.self.Host, e.number)
	c.entries[e.demand.Request] = e
}

// offer hands the demand of an entry to whoever decides on it.
func (c *Client) offer(now basilmoor.Millis, e *entry) {
	d := e.remaining(now)
	if c.up != nil {
		c.up.pending.Demands = append(c.up.pending.Demands, encodeDemand(e.number, d))
		c.up.wake.signal()
		return
	}
	p, ok := c.own[d.Pool]
	if !ok {
		c.refuse(basilmoor.Refusal{
			Request:    d.Request,
			Reason:     basilmoor.ReasonNoTarget,
			RetryAfter: minRetryAfter,
		})
		return
	}
	if wait, ok := c.allowances.take(now, d.Workspace, d.Charge); !ok {
		c.refuse(basilmoor.Refusal{
			Request:    d.Request,
			Reason:     basilmoor.ReasonRateLimit,
			RetryAfter: wait,
		})
		return
	}
	c.deliver(p.Submit(now, d))
}

func (c *Client) settle(e *entry, decision basilmoor.Decision) (basilmoor.Permit, error) {
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

// abandon ends an Acquire whose caller left.
func (c *Client) abandon(e *entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.received > 0 {
		c.end(e, basilmoor.Observation{
			Stage: basilmoor.StageReturned,
		})
		return
	}
	c.close(e)
	if c.up != nil {
		c.up.pending.Cancels = append(c.up.pending.Cancels, &bmgrantpb.Cancel{
			Number: e.number,
			Pool:   e.demand.Pool,
		})
		c.up.wake.signal()
		return
	}
	if p, ok := c.own[e.demand.Pool]; ok {
		c.deliver(p.Cancel(c.clock.Now(), e.demand.Request))
	}
}

func (c *Client) close(e *entry) {
	e.closed = true
	delete(c.entries, e.demand.Request)
}

// deliver passes decisions of the own pools to their holders.
func (c *Client) deliver(decisions []basilmoor.Decision) {
	for _, d := range decisions {
		if d.Refusal != nil {
			c.refuse(*d.Refusal)
			continue
		}
		e, ok := c.entries[d.Grant.Request]
		if ok && e.received == 0 {
			c.grant(e, d.Grant.Target)
		}
	}
}

func (c *Client) grant(e *entry, t basilmoor.Target) {
	e.target = t
	e.received = max(c.clock.Now(), 1)
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
	if !ok || e.received != 0 {
		return
	}
	c.close(e)
	e.decided <- basilmoor.Decision{
		Refusal: &r,
	}
}

// end reports the last stage of a granted request.
func (c *Client) end(e *entry, o basilmoor.Observation) {
	if e.closed {
		return
	}
	c.close(e)
	c.report(e, o)
}

// report tells whoever decides on the pool what became of a grant.
func (c *Client) report(e *entry, o basilmoor.Observation) {
	o.Request = e.demand.Request
	if o.Target == "" {
		o.Target = e.target.Name
	}
	if c.up == nil {
		if p, ok := c.own[e.demand.Pool]; ok {
			c.deliver(p.Observe(c.clock.Now(), o))
		}
		return
	}
	c.up.pending.Observations = append(c.up.pending.Observations, encodeObservation(e.number, o))
	if o.Stage.Terminal() {
		c.up.wake.signal()
	}
}
