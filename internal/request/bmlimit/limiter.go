// Package bmlimit bounds the rate and the concurrency of workspaces, the share
// of requests that are retried, and the size of headers.
//
// Invariants: a host enforces its share of a workspace's limits, which is the
// limit divided by the number of live members, rounded up; a refused request
// uses nothing up; memory is bounded by the workspaces that are active.
package bmlimit

import (
	"sync"

	"basilmoor.example/basilmoor"
)

const (
	// token is the cost of a request in thousandths, so that a bucket can be
	// refilled each millisecond without fractions.
	token = 1000
	// concurrencyRetry is the hint when too many requests are in progress.
	concurrencyRetry = basilmoor.Second
	// sweepAbove is the number of workspaces from which idle ones are
	// forgotten, at most once in sweepPeriod.
	sweepAbove  = 1024
	sweepPeriod = 10 * basilmoor.Second
)

// usage is what one workspace uses on this host.
type usage struct {
	running int
	tokens  int64 // thousandths of requests
	at      basilmoor.Millis
	share   int // of the rate, when tokens was last filled
}

// Limiter admits requests. It is safe for concurrent use.
type Limiter struct {
	clock   basilmoor.Clock
	members func() int

	mu         sync.Mutex
	workspaces map[string]*usage
	swept      basilmoor.Millis
}

// New returns a limiter. members returns the number of live members including
// this host.
func New(clock basilmoor.Clock, members func() int) *Limiter {
	return &Limiter{
		clock:      clock,
		members:    members,
		workspaces: make(map[string]*usage),
		swept:      clock.Now(),
	}
}

// Admit returns a function that ends the admission, or a refusal with reason
// rate-limit or concurrency-limit and the time after which a retry can succeed.
func (l *Limiter) Admit(w basilmoor.Workspace) (func(), *basilmoor.Refusal) {
	members := max(l.members(), 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.sweep(now)
	u := l.usage(w.Name, now)
	if w.MaxConcurrent > 0 && u.running >= share(w.MaxConcurrent, members) {
		return nil, &basilmoor.Refusal{
			Reason:     basilmoor.ReasonConcurrencyLimit,
			RetryAfter: concurrencyRetry,
		}
	}
	if w.RatePerSecond > 0 {
		u.fill(share(w.RatePerSecond, members), now)
		if u.tokens < token {
			return nil, &basilmoor.Refusal{
				Reason:     basilmoor.ReasonRateLimit,
				RetryAfter: u.untilToken(),
			}
		}
		u.tokens -= token
	}
	u.running++
	return l.release(u), nil
}

// share returns this host's part of a limit.
func share(limit, members int) int {
	return (limit + members - 1) / members
}

func (l *Limiter) usage(name string, now basilmoor.Millis) *usage {
	u := l.workspaces[name]
	if u == nil {
		u = &usage{
			at: now,
		}
		l.workspaces[name] = u
	}
	return u
}

// release returns a function that counts a request out once.
func (l *Limiter) release(u *usage) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			u.running--
		})
	}
}

// fill adds what the time since the last call is worth. The bucket holds one
// second's worth; a changed share takes effect from now on.
func (u *usage) fill(share int, now basilmoor.Millis) {
	full := int64(share) * token
	if u.share == 0 {
		u.tokens = full
	}
	u.tokens = min(full, u.tokens+int64(share)*min(int64(now-u.at), token))
	u.at = now
	u.share = share
}

// untilToken returns the time until the bucket holds a whole token.
func (u *usage) untilToken() basilmoor.Millis {
	missing := token - u.tokens
	return basilmoor.Millis((missing + int64(u.share) - 1) / int64(u.share))
}

// sweep forgets workspaces with nothing in progress and a full bucket.
func (l *Limiter) sweep(now basilmoor.Millis) {
	if len(l.workspaces) <= sweepAbove || now-l.swept < sweepPeriod {
		return
	}
	l.swept = now
	for name, u := range l.workspaces {
		// Any bucket is full after a second.
		if u.running == 0 && now-u.at >= basilmoor.Second {
			delete(l.workspaces, name)
		}
	}
}
