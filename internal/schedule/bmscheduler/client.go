package bmscheduler

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// Peers provides connections to the brokers on other hosts.
type Peers interface {
	// Broker returns a client of the broker service at an address.
	Broker(address string) (bmpeerpb.BrokerClient, error)
	// CloseConnection closes the connection to an address that has stopped
	// responding, so that the next call opens a new one.
	CloseConnection(address string)
}

// ClientConfig holds the dependencies of a Client. Leaving may be nil.
type ClientConfig struct {
	Clock      basilmoor.Clock
	Membership basilmoor.Membership
	Catalog    basilmoor.CatalogSource
	Metrics    *bmmetrics.Registry
	Logger     zerolog.Logger
	Peers      Peers

	// Local runs the brokers of this host.
	Local *Service

	// NewPolicy creates the policy that is used while no broker is reachable.
	NewPolicy func(pool string) basilmoor.Policy

	// Leaving reports whether a target is draining and takes no new requests.
	Leaving func(target string) bool
}

// Client acquires grants for the requests that this host received. It is safe
// for concurrent use.
type Client struct {
	cfg ClientConfig
	wg  sync.WaitGroup

	mu    sync.Mutex
	ctx   context.Context // context of Serve; nil while it is not running
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

// Serve maintains the sessions with brokers until ctx is done. It then refuses
// waiting demands; permits that have been handed out remain usable.
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

// Acquire implements [basilmoor.Scheduler].
func (c *Client) Acquire(ctx context.Context, d basilmoor.Demand) (basilmoor.Permit, error) {
	p := c.pool(d.Pool)
	self := c.cfg.Membership.Self()
	d.Host = self.Host
	d.DataCentre = self.DataCentre
	e := p.tracker.add(c.cfg.Clock.Now(), d)
	p.wake()
	select {
	case decision := <-e.decision:
		return c.toPermit(p, e, d, decision)
	case <-ctx.Done():
		p.tracker.abandon(c.cfg.Clock.Now(), e)
		return nil, ctx.Err()
	}
}

// toPermit converts a decision to a permit or a *RefusalError that carries the
// caller's request ID.
func (c *Client) toPermit(p *poolClient, e *entry, d basilmoor.Demand, decision basilmoor.Decision) (basilmoor.Permit, error) {
	if decision.Refusal != nil {
		refusal := *decision.Refusal
		refusal.Request = d.Request
		return nil, &basilmoor.RefusalError{
			Refusal: refusal,
		}
	}
	return &permit{
		clock:   c.cfg.Clock,
		tracker: p.tracker,
		entry:   e,
		target:  decision.Grant.Target,
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

// start starts the loop of a pool. The caller must hold c.mu.
func (c *Client) start(p *poolClient) {
	p.tracker.start()
	c.wg.Add(1)
	go c.run(c.ctx, p)
}

func (c *Client) run(ctx context.Context, p *poolClient) {
	defer c.wg.Done()
	p.run(ctx)
}
