// Package bmlimit limits the request rate and concurrency of workspaces and the
// ratio of retries, and measures the size of headers for their limit.
//
// Invariants: a host enforces its share of a workspace's limits, which is the
// limit divided by the number of live members, rounded up; a refused request
// consumes nothing; memory is bounded by the number of active workspaces.
package bmlimit

import (
	"sync"

	"basilmoor.example/basilmoor"
)

const (
	// milliTokensPerRequest is the cost of a request. A rate of one request
	// per second adds exactly one milli-token per millisecond.
	milliTokensPerRequest = 1000
	// concurrencyRetryAfter is the retry hint at the concurrency limit.
	concurrencyRetryAfter = basilmoor.Second
	// sweepThreshold is the number of workspaces above which idle ones are
	// removed, at most once per sweepPeriod.
	sweepThreshold = 1024
	sweepPeriod    = 10 * basilmoor.Second
)

// workspaceUsage is the token bucket and the concurrency of a workspace on this
// host.
type workspaceUsage struct {
	running     int   // requests in progress
	milliTokens int64 // in the bucket at filledAt
	filledAt    basilmoor.Millis
	rateShare   int // requests per second at the last refill; 0 before
}

// Limiter enforces the rate and concurrency limits of workspaces. It is safe for
// concurrent use.
type Limiter struct {
	clock   basilmoor.Clock
	members func() int

	mu         sync.Mutex
	workspaces map[string]*workspaceUsage
	lastSweep  basilmoor.Millis // time of the last sweep
}

// New returns a limiter. members returns the number of live members including
// this host.
func New(clock basilmoor.Clock, members func() int) *Limiter {
	return &Limiter{
		clock:      clock,
		members:    members,
		workspaces: make(map[string]*workspaceUsage),
		lastSweep:  clock.Now(),
	}
}

// Admit admits a request of w. It returns a function to call when the request
// has ended, or a refusal with reason rate-limit or concurrency-limit and the
// time after which a retry can succeed.
func (l *Limiter) Admit(w basilmoor.Workspace) (func(), *basilmoor.Refusal) {
	members := max(l.members(), 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.sweep(now)
	u := l.usageOf(w.Name, now)
	if w.MaxConcurrent > 0 && u.running >= hostShare(w.MaxConcurrent, members) {
		return nil, &basilmoor.Refusal{
			Reason:     basilmoor.ReasonConcurrencyLimit,
			RetryAfter: concurrencyRetryAfter,
		}
	}
	if w.RatePerSecond > 0 {
		u.refill(hostShare(w.RatePerSecond, members), now)
		if u.milliTokens < milliTokensPerRequest {
			return nil, &basilmoor.Refusal{
				Reason:     basilmoor.ReasonRateLimit,
				RetryAfter: u.timeToNextToken(),
			}
		}
		u.milliTokens -= milliTokensPerRequest
	}
	u.running++
	return l.release(u), nil
}

// hostShare returns this host's share of a limit, rounded up.
func hostShare(limit, members int) int {
	return (limit + members - 1) / members
}

// usageOf returns the usage of a workspace, creating it if needed.
func (l *Limiter) usageOf(name string, now basilmoor.Millis) *workspaceUsage {
	u := l.workspaces[name]
	if u == nil {
		u = &workspaceUsage{
			filledAt: now,
		}
		l.workspaces[name] = u
	}
	return u
}

// release returns a function that ends a request. Calls after the first have no
// effect.
func (l *Limiter) release(u *workspaceUsage) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			u.running--
		})
	}
}

// refill adds the tokens for the time since the last refill. The bucket holds
// the tokens of one second, so the time is capped at 1000 ms, which is also the
// value of milliTokensPerRequest. A changed share applies at once.
func (u *workspaceUsage) refill(share int, now basilmoor.Millis) {
	full := int64(share) * milliTokensPerRequest
	if u.rateShare == 0 {
		u.milliTokens = full
	}
	u.milliTokens = min(full, u.milliTokens+int64(share)*min(int64(now-u.filledAt), milliTokensPerRequest))
	u.filledAt = now
	u.rateShare = share
}

// timeToNextToken returns the time until the bucket has tokens for a request.
func (u *workspaceUsage) timeToNextToken() basilmoor.Millis {
	missing := milliTokensPerRequest - u.milliTokens
	return basilmoor.Millis((missing + int64(u.rateShare) - 1) / int64(u.rateShare))
}

// sweep removes workspaces with no request in progress and a full bucket.
func (l *Limiter) sweep(now basilmoor.Millis) {
	if len(l.workspaces) <= sweepThreshold || now-l.lastSweep < sweepPeriod {
		return
	}
	l.lastSweep = now
	for name, u := range l.workspaces {
		// Every bucket is full one second after its last refill.
		if u.running == 0 && now-u.filledAt >= basilmoor.Second {
			delete(l.workspaces, name)
		}
	}
}
