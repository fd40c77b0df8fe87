package bmnode

import (
	"context"
	"sync/atomic"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
	"basilmoor.example/basilmoor/internal/platform/bmstore"
)

// headPeriod is the time between two reads of the head.
const headPeriod = 500 * basilmoor.Millis(1)

// configuration reads the configuration in effect from the store.
type configuration struct {
	clock   basilmoor.Clock
	store   *bmstore.Client
	log     zerolog.Logger
	current atomic.Pointer[bmcatalog.Snapshot]
}

func newConfiguration(clock basilmoor.Clock, store *bmstore.Client, log zerolog.Logger) *configuration {
	return &configuration{
		clock: clock,
		store: store.WithPurpose("configuration"),
		log:   log,
	}
}

// Catalog implements basilmoor.CatalogSource.
func (c *configuration) Catalog() (basilmoor.Catalog, bool) {
	s := c.current.Load()
	if s == nil {
		return nil, false
	}
	return s, true
}

func (c *configuration) isolated() bool { return false }

// Serve reads the head until ctx ends.
func (c *configuration) Serve(ctx context.Context) error {
	for {
		c.read(ctx)
		if err := c.clock.Sleep(ctx, headPeriod); err != nil {
			return err
		}
	}
}

func (c *configuration) read(ctx context.Context) {
	_, next, err := c.current.Load().Load(ctx, c.store)
	if err != nil {
		if ctx.Err() == nil {
			c.log.Warn().Err(err).Msg("configuration not read")
		}
		return
	}
	if next != nil && next.Version() > c.current.Load().Version() {
		c.current.Store(next)
	}
}
