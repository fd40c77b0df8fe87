package bmclaim

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

// Config holds what a committer works with.
type Config struct {
	Clock   basilmoor.Clock
	Store   basilmoor.Store
	Metrics *bmmetrics.Registry

	// Live reports whether a host is a live member.
	Live func(host string) bool
}

// Committer commits claims to the store. Any host may commit to any slot; the
// owner of a slot merely sees the most claims and makes the fullest batches.
// It is safe for concurrent use.
type Committer struct {
	cfg   Config
	slots [Slots]*slot

	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

var _ basilmoor.Claimer = (*Committer)(nil)

// New returns a committer and a function that stops it. Claims that wait then
// get an *UnavailableError.
func New(cfg Config) (*Committer, func()) {
	c := newCommitter(cfg)
	c.wg.Add(1)
	go c.loop()
	return c, c.close
}

func newCommitter(cfg Config) *Committer {
	c := &Committer{
		cfg: cfg,
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for n := range c.slots {
		c.slots[n] = newSlot(c, n)
	}
	return c
}

func (c *Committer) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.wg.Wait()
}

// start runs the slot's goroutine; false after close.
func (c *Committer) start(s *slot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.wg.Add(1)
	go s.run()
	return true
}

// loop deletes old segments.
func (c *Committer) loop() {
	defer c.wg.Done()
	for c.cfg.Clock.Sleep(c.ctx, trimPeriod) == nil {
		for _, s := range c.slots {
			s.trim(c.ctx)
		}
	}
}

func (c *Committer) count(name string) {
	if c.cfg.Metrics != nil {
		c.cfg.Metrics.Add(name, 1)
	}
}

// Slot returns the slot of a key.
func Slot(workspace, key string) int {
	return int(xxhash.Sum64String(workspace+"\x00"+key) % Slots)
}

// Claim asks for the right to run r. A granted claim protects its key for 15
// minutes from the moment of the first call for r, so that its holder must
// dispatch well before.
func (c *Committer) Claim(ctx context.Context, r basilmoor.ClaimRequest) (basilmoor.Claim, error) {
	return c.do(ctx, Slot(r.Workspace, r.Key), claimOf(r), &r)
}

// Record makes the end of a claim durable. Recording the end of a claim that
// has expired, or was never made, has no effect.
func (c *Committer) Record(ctx context.Context, r basilmoor.ClaimRecord) error {
	_, err := c.do(ctx, Slot(r.Workspace, r.Key), recordOf(r), nil)
	return err
}

func (c *Committer) do(ctx context.Context, slot int, e entry, r *basilmoor.ClaimRequest) (basilmoor.Claim, error) {
	o, err := newOperation(ctx, e, r)
	if err != nil {
		return basilmoor.Claim{}, err
	}
	if err := c.slots[slot].submit(o); err != nil {
		return basilmoor.Claim{}, &basilmoor.UnavailableError{
			Operation: "claim",
			Err:       err,
		}
	}
	select {
	case <-ctx.Done():
		return basilmoor.Claim{}, &basilmoor.UnavailableError{
			Operation: "claim",
			Err:       ctx.Err(),
		}
	case res := <-o.done:
		return res.claim, res.err
	}
}
