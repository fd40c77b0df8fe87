package bmgrant

import (
	"context"
	"slices"
	"sync"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmview"
)

// tickPeriod is the time between two looks at what depends on time only.
const tickPeriod basilmoor.Millis = 20

// Client acquires grants for the requests that this host holds. It is safe for
// concurrent use.
type Client struct {
	clock   basilmoor.Clock
	self    basilmoor.Member
	metrics *bmmetrics.Registry

	mu      sync.Mutex
	next    uint64
	entries map[basilmoor.RequestID]*entry
	own     map[string]*Pool // pools that this host serves itself
}

var _ basilmoor.Scheduler = (*Client)(nil)

// entry is one Acquire.
type entry struct {
	demand   basilmoor.Demand
	decided  chan basilmoor.Decision // receives one decision
	target   basilmoor.Target
	received basilmoor.Millis // when the grant arrived; 0 before
	closed   bool
}

// NewClient returns a client of the host self.
func NewClient(clock basilmoor.Clock, self basilmoor.Member, metrics *bmmetrics.Registry) *Client {
	return &Client{
		clock:   clock,
		self:    self,
		metrics: metrics,
		entries: map[basilmoor.RequestID]*entry{},
		own:     map[string]*Pool{},
	}
}

// SetView takes over the targets and hosts of a view.
func (c *Client) SetView(v *bmview.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if v.Table == nil {
		return
	}
	for _, pool := range v.Table.Pools() {
		p, ok := c.own[pool.Name]
		if !ok {
			p = NewPool(0)
			c.own[pool.Name] = p
		}
		targets := v.Targets(pool.Name)
		if pool.Engine != nil {
			targets = share(targets, c.self.Host, v.Hosts())
		}
		c.deliver(p.SetTargets(now, targets))
	}
}

// share returns the part of each target's slots that a host uses when every
// host serves its own requests. The parts of all hosts add up to the slots.
func share(targets []basilmoor.Target, self string, hosts []basilmoor.Member) []basilmoor.Target {
	n := len(hosts)
	index := slices.IndexFunc(hosts, func(m basilmoor.Member) bool { return m.Host == self })
	if index < 0 {
		// This host isn't registered yet: it takes the part of one more.
		index = n
		n++
	}
	shared := make([]basilmoor.Target, 0, len(targets))
	for i, t := range targets {
		// The rotation spreads what does not divide evenly.
		k := (index + i) % n
		t.Slots = t.Slots*(k+1)/n - t.Slots*k/n
		if t.Slots > 0 {
			shared = append(shared, t)
		}
	}
	return shared
}

// Serve does what depends on time until ctx ends.
func (c *Client) Serve(ctx context.Context) error {
	for {
		if err := c.clock.Sleep(ctx, tickPeriod); err != nil {
			return err
		}
		c.tick()
	}
}

func (c *Client) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, p := range c.own {
		if p.Waiting() > 0 {
			c.deliver(p.Tick(now))
		}
	}
}

// Acquire waits until the request may be dispatched.
func (c *Client) Acquire(ctx context.Context, d basilmoor.Demand) (basilmoor.Permit, error) {
	d.Host = c.self.Host
	d.Place = c.self.Place
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
	e := &entry{
		demand:  d,
		decided: make(chan basilmoor.Decision, 1),
	}
	p, ok := c.own[d.Pool]
	if !ok {
		e.decided <- basilmoor.Decision{
			Refusal: &basilmoor.Refusal{
				Request: d.Request,
				Reason:  basilmoor.ReasonNoTarget,
			},
		}
		return e
	}
	c.entries[d.Request] = e
	c.deliver(p.Submit(c.clock.Now(), d))
	return e
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

func (c *Client) abandon(e *entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.close(e)
	if p, ok := c.own[e.demand.Pool]; ok {
		c.deliver(p.Cancel(c.clock.Now(), e.demand.Request))
	}
}

func (c *Client) close(e *entry) {
	e.closed = true
	delete(c.entries, e.demand.Request)
}

// deliver passes decisions to their holders.
func (c *Client) deliver(decisions []basilmoor.Decision) {
	for _, d := range decisions {
		if d.Refusal != nil {
			c.refuse(d)
			continue
		}
		e, ok := c.entries[d.Grant.Request]
		if !ok || e.received != 0 {
			continue
		}
		e.target = d.Grant.Target
		e.received = c.clock.Now()
		e.decided <- d
	}
}

func (c *Client) refuse(d basilmoor.Decision) {
	e, ok := c.entries[d.Refusal.Request]
	if !ok || e.received != 0 {
		return
	}
	c.close(e)
	e.decided <- d
}

// permit is the right to send one request to one target.
type permit struct {
	client *Client
	entry  *entry
}

// Target is where the request may be dispatched.
func (p *permit) Target() basilmoor.Target {
	return p.entry.target
}

// Valid reports whether the grant may still be used.
func (p *permit) Valid() bool {
	return p.client.clock.Now()-p.entry.received < grantTTL
}

// Observe reports a stage of the request.
func (p *permit) Observe(o basilmoor.Observation) {
	c := p.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.entry.closed {
		return
	}
	o.Request = p.entry.demand.Request
	o.Target = p.entry.target.Name
	if o.Stage.Terminal() {
		c.close(p.entry)
	}
	if pool, ok := c.own[p.entry.demand.Pool]; ok {
		c.deliver(pool.Observe(c.clock.Now(), o))
	}
}
