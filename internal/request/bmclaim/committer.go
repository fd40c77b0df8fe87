package bmclaim

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

// Config holds the dependencies of a Committer.
type Config struct {
	Clock   basilmoor.Clock
	Store   basilmoor.Store
	Metrics *bmmetrics.Registry

	Log zerolog.Logger

	// Live reports whether a host is a live member of the fleet.
	Live func(host string) bool

	// Peers returns the committers of the other hosts that rank highest for a slot,
	// the highest first, and whether this host ranks above them. If it is nil, this
	// host alone remembers claims that the store loses.
	Peers func(slot int) (peers []basilmoor.ClaimPeer, first bool)
}

// Committer commits claims to the store. Any host may commit to any slot.
// Ownership of a slot is only an optimization: the owner receives most of the
// slot's claims and so writes fuller batches. A Committer is safe for
// concurrent use.
type Committer struct {
	cfg   Config
	slots [Slots]*slot

	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

var (
	_ basilmoor.Claimer   = (*Committer)(nil)
	_ basilmoor.ClaimPeer = (*Committer)(nil)
)

// New returns a committer and a function that stops it. Claims that are still
// queued when it stops fail with an *UnavailableError.
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

// start starts the slot's goroutine. It returns false after close.
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

// loop checks the logs of all slots and trims their old segments every trimPeriod.
func (c *Committer) loop() {
	defer c.wg.Done()
	for c.cfg.Clock.Sleep(c.ctx, trimPeriod) == nil {
		c.verifyAll()
		for _, s := range c.slots {
			s.trim(c.ctx)
		}
	}
}

// verifyAll checks the logs until the store fails to answer.
func (c *Committer) verifyAll() {
	for _, s := range c.slots {
		if s.verifyPeriodically(c.ctx) != nil {
			return
		}
	}
}

func (c *Committer) increment(name string) {
	if c.cfg.Metrics != nil {
		c.cfg.Metrics.Add(name, 1)
	}
}

// Slot returns the slot to which a key hashes.
func Slot(workspace, key string) int {
	return int(xxhash.Sum64String(workspace+"\x00"+key) % Slots)
}

// Claim requests the exclusive right to run r. A granted claim protects its key
// for 15 minutes, counted from the first call for r. The holder must dispatch
// the request well before that.
func (c *Committer) Claim(ctx context.Context, r basilmoor.ClaimRequest) (basilmoor.Claim, error) {
	return c.submitAndWait(ctx, Slot(r.Workspace, r.Key), newClaimEntry(r), &r)
}

// Record durably stores the final state of a claim. It has no effect if the
// claim has expired or was never made.
func (c *Committer) Record(ctx context.Context, r basilmoor.ClaimRecord) error {
	_, err := c.submitAndWait(ctx, Slot(r.Workspace, r.Key), newRecordEntry(r), nil)
	return err
}

func (c *Committer) submitAndWait(ctx context.Context, slot int, e entry, r *basilmoor.ClaimRequest) (basilmoor.Claim, error) {
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
