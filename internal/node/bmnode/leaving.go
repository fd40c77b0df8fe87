package bmnode

import (
	"context"
	"slices"
	"sort"
	"sync"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/platform/bmhostlist"
)

const (
	// targetListPeriod leaves two thirds of the 3 s within which a leaving
	// target must get no new work to the broker's own update.
	targetListPeriod = basilmoor.Second

	// answerMarkFor is how long a target's own word that it leaves counts
	// without being repeated. A restarted target is used again after it.
	answerMarkFor = 30 * basilmoor.Second
)

// leavingMarks knows which targets take no new requests, from the platform's
// list and from the targets' own responses. It is safe for concurrent use.
type leavingMarks struct {
	clock basilmoor.Clock
	log   zerolog.Logger
	list  *bmhostlist.Client

	mu     sync.Mutex
	listed map[string]bool

	// answered holds when each target said itself that it leaves.
	answered map[string]basilmoor.Millis
}

func newLeavingMarks(clock basilmoor.Clock, list *bmhostlist.Client, log zerolog.Logger) *leavingMarks {
	return &leavingMarks{
		clock:    clock,
		log:      log,
		list:     list,
		listed:   make(map[string]bool),
		answered: make(map[string]basilmoor.Millis),
	}
}

// leaving reports whether the target takes no new requests.
func (m *leavingMarks) leaving(target string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed[target] || m.saidSo(target)
}

func (m *leavingMarks) saidSo(target string) bool {
	at, ok := m.answered[target]
	return ok && m.clock.Now()-at < answerMarkFor
}

// answer records that the target itself said that it leaves.
func (m *leavingMarks) answer(target string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answered[target] = m.clock.Now()
}

// excluded returns the targets that said to this host that they leave. The
// pool's broker may be on a host that they have not told.
func (m *leavingMarks) excluded() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for target := range m.answered {
		if m.saidSo(target) {
			names = append(names, target)
			continue
		}
		delete(m.answered, target)
	}
	sort.Strings(names)
	return names
}

// excludingScheduler keeps this host's requests from targets that told it that
// they leave.
type excludingScheduler struct {
	basilmoor.Scheduler
	marks *leavingMarks
}

// Acquire implements basilmoor.Scheduler.
func (s *excludingScheduler) Acquire(ctx context.Context, d basilmoor.Demand) (basilmoor.Permit, error) {
	d.Excluded = slices.Concat(d.Excluded, s.marks.excluded())
	return s.Scheduler.Acquire(ctx, d)
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
