package bmscheduler

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// Peers gives access to the brokers of other nodes.
type Peers interface {
	// Broker returns the client of the broker service at an address.
	Broker(address string) (bmpeerpb.BrokerClient, error)
	// Forget closes the connection to an address that has stopped responding,
	// so that the next call dials anew.
	Forget(address string)
}

// ClientConfig are the parts that a Client works with. Leaving may be nil.
type ClientConfig struct {
	Clock      basilmoor.Clock
	Membership basilmoor.Membership
	Catalog    basilmoor.CatalogSource
	Metrics    *bmmetrics.Registry
	Logger     zerolog.Logger
	Peers      Peers

	// Local hosts the brokers of this node.
	Local *Service

	// NewPolicy makes the policy that is used while no broker is reachable.
	NewPolicy func(pool string) basilmoor.Policy

	// Leaving reports whether a target takes no new requests.
	Leaving func(target string) bool
}

// Client acquires grants for the requests that this node holds. It is safe for
// concurrent use.
type Client struct {
	cfg ClientConfig
	wg  sync.WaitGroup

	mu    sync.Mutex
	ctx   context.Context // of Serve; nil before and after
	pools map[string]*poolClient
}

var _ basilmoor.Scheduler = (*Client)(nil)

// NewClient returns a client, and a function that waits for its goroutines.
func NewClient(cfg ClientConfig) (*Client, func()) {
	c := &Client{
		cfg:   cfg,
		pools: make(map[string]*poolClient),
	}
	return c, c.wg.Wait
}

// Serve keeps the sessions with brokers until ctx ends; demands that wait then
// are refused, and permits stay with their holders.
func (c *Client) Serve(ctx context.Context) error {
	c.mu.Lock()
	c.ctx = ctx
	for _, p := range c.pools {
		c.start(p)
	}
	c.mu.Unlock()
	<-ctx.Done()
	c.mu.Lock()
	c.ctx = nil
	c.mu.Unlock()
	c.wg.Wait()
	return ctx.Err()
}

// Acquire waits until the request may be dispatched.
func (c *Client) Acquire(ctx context.Context, d basilmoor.Demand) (basilmoor.Permit, error) {
	p := c.pool(d.Pool)
	self := c.cfg.Membership.Self()
	d.Host = self.Host
	d.DataCentre = self.DataCentre
	e := p.ledger.add(c.cfg.Clock.Now(), d)
	p.wake()
	select {
	case decision := <-e.decided:
		return c.settle(p, e, d, decision)
	case <-ctx.Done():
		p.ledger.abandon(c.cfg.Clock.Now(), e)
		return nil, ctx.Err()
	}
}

func (c *Client) settle(p *poolClient, e *entry, d basilmoor.Demand, decision basilmoor.Decision) (basilmoor.Permit, error) {
	if decision.Refusal != nil {
		refusal := *decision.Refusal
		refusal.Request = d.Request
		return nil, &basilmoor.RefusalError{
			Refusal: refusal,
		}
	}
	return &permit{
		clock:  c.cfg.Clock,
		ledger: p.ledger,
		entry:  e,
		target: decision.Grant.Target,
	}, nil
}

func (c *Client) pool(name string) *poolClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[name]
	if !ok {
		p = newPoolClient(c.cfg, name)
		c.pools[name] = p
		if c.ctx != nil {
			c.start(p)
		}
	}
	return p
}

// start runs the loop of a pool. The caller holds the mutex.
func (c *Client) start(p *poolClient) {
	p.ledger.start()
	c.wg.Add(1)
	go c.run(c.ctx, p)
}

func (c *Client) run(ctx context.Context, p *poolClient) {
	defer c.wg.Done()
	p.run(ctx)
}
