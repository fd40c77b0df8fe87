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
	// targetListPeriod is how often the target list is read. A leaving target
	// must get no new work after 3 s; this period leaves two thirds of that
	// to the broker's own update.
	targetListPeriod = basilmoor.Second

	// reportTTL is how long a target's own report that it is leaving stays
	// valid unless repeated. It lets a restarted target be used again.
	reportTTL = 30 * basilmoor.Second
)

// leavingTargets tracks the targets that take no new requests, according to
// the platform's target list and the targets' own responses. It is safe for
// concurrent use.
type leavingTargets struct {
	clock    basilmoor.Clock
	log      zerolog.Logger
	hostList *bmhostlist.Client

	mu     sync.Mutex
	listed map[string]bool // targets marked as leaving in the list

	// reportedAt holds the time of each target's last response that reported
	// that the target is leaving.
	reportedAt map[string]basilmoor.Millis
}

func newLeavingTargets(clock basilmoor.Clock, list *bmhostlist.Client, log zerolog.Logger) *leavingTargets {
	return &leavingTargets{
		clock:      clock,
		log:        log,
		hostList:   list,
		listed:     make(map[string]bool),
		reportedAt: make(map[string]basilmoor.Millis),
	}
}

// isLeaving reports whether the target takes no new requests.
func (l *leavingTargets) isLeaving(target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed[target] || l.recentlyReported(target)
}

func (l *leavingTargets) recentlyReported(target string) bool {
	at, ok := l.reportedAt[target]
	return ok && l.clock.Now()-at < reportTTL
}

// recordReport records a response in which the target reported that it is
// leaving.
func (l *leavingTargets) recordReport(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportedAt[target] = l.clock.Now()
}

// reported returns the targets that reported to this host that they are
// leaving. The pool's broker may run on a host without such a report.
func (l *leavingTargets) reported() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for target := range l.reportedAt {
		if l.recentlyReported(target) {
			names = append(names, target)
			continue
		}
		delete(l.reportedAt, target)
	}
	sort.Strings(names)
	return names
}

// excludingScheduler excludes the targets that reported to this host that they
// are leaving.
type excludingScheduler struct {
	basilmoor.Scheduler
	leaving *leavingTargets
}

// Acquire implements basilmoor.Scheduler.
func (s *excludingScheduler) Acquire(ctx context.Context, d basilmoor.Demand) (basilmoor.Permit, error) {
	d.Excluded = slices.Concat(d.Excluded, s.leaving.reported())
	return s.Scheduler.Acquire(ctx, d)
}

// Serve implements suture.Service. It reads the target list periodically until
// ctx is done. When a read fails, the result of the last successful one stays.
func (l *leavingTargets) Serve(ctx context.Context) error {
	for {
		targets, err := l.hostList.Targets(ctx)
		if err == nil {
			l.setListed(targets)
		} else if ctx.Err() == nil {
			l.log.Debug().Err(err).Msg("failed to read the target list")
		}
		if err := l.clock.Sleep(ctx, targetListPeriod); err != nil {
			return err
		}
	}
}

func (l *leavingTargets) setListed(targets []bmhostlist.Target) {
	listed := make(map[string]bool)
	for _, t := range targets {
		if t.Leaving {
			listed[t.Name] = true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = listed
}
