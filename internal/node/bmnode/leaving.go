package bmnode

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/platform/bmhostlist"
)

const (
	// targetListPeriod leaves two thirds of the 3 s within which a leaving
	// target must get no new work to the broker's own update.
	targetListPeriod = basilmoor.Second
)

// leavingMarks knows which targets take no new requests, from the platform's
// list. It is safe for concurrent use.
type leavingMarks struct {
	clock basilmoor.Clock
	log   zerolog.Logger
	list  *bmhostlist.Client

	mu     sync.Mutex
	listed map[string]bool
}

func newLeavingMarks(clock basilmoor.Clock, list *bmhostlist.Client, log zerolog.Logger) *leavingMarks {
	return &leavingMarks{
		clock:  clock,
		log:    log,
		list:   list,
		listed: make(map[string]bool),
	}
}

// leaving reports whether the target takes no new requests.
func (m *leavingMarks) leaving(target string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed[target]
}

// Serve reads the list until ctx ends. A list that can't be read keeps the
// marks as they are.
func (m *leavingMarks) Serve(ctx context.Context) error {
	for {
		targets, err := m.list.Targets(ctx)
		if err == nil {
			m.replace(targets)
		} else if ctx.Err() == nil {
			m.log.Debug().Err(err).Msg("list of targets not read")
		}
		if err := m.clock.Sleep(ctx, targetListPeriod); err != nil {
			return err
		}
	}
}

func (m *leavingMarks) replace(targets []bmhostlist.Target) {
	listed := make(map[string]bool)
	for _, t := range targets {
		if t.Leaving {
			listed[t.Name] = true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = listed
}
