package bmcapacity

import (
	"sort"

	"basilmoor.example/basilmoor"
)

// historyTTL is how long records of ended requests are kept. It exceeds the
// maximum delay of a report on an open connection.
const historyTTL = 30 * basilmoor.Second

// Pool tracks the capacity of all targets of a pool. It is not safe for concurrent
// use.
type Pool struct {
	cfg     Config
	targets map[string]*target
	order   []*target // listed targets, sorted by name
	// candidates holds the targets that were free at the last CollectFree.
	candidates            []*target
	reservations          map[basilmoor.RequestID]*reservation
	grants                []timestampedID // in the order of grant time, to find expired grants
	history               *history
	lastSweep             basilmoor.Millis
	longTermUpdated       basilmoor.Millis // last update of the long-term latencies
	releasedWithoutReport int64
}

// NewPool returns a pool without targets.
func NewPool(cfg Config) *Pool {
	return &Pool{
		cfg:          cfg,
		targets:      map[string]*target{},
		reservations: map[basilmoor.RequestID]*reservation{},
		history:      newHistory(),
	}
}

// SetTargets replaces the listed targets.
func (p *Pool) SetTargets(specs []basilmoor.Target) {
	for _, t := range p.order {
		t.listed = false
	}
	p.order = p.order[:0]
	for _, spec := range specs {
		t, known := p.targets[spec.Name]
		if known {
			t.update(spec)
		} else {
			t = newTarget(spec)
			p.targets[spec.Name] = t
		}
		p.order = append(p.order, t)
	}
	for _, t := range p.targets {
		p.dropIfIdle(t)
	}
	sort.Slice(p.order, func(i, j int) bool { return p.order[i].spec.Name < p.order[j].spec.Name })
}

// dropIfIdle deletes a target that is not listed and has no request in flight.
func (p *Pool) dropIfIdle(t *target) {
	if !t.listed && len(t.reservations) == 0 {
		delete(p.targets, t.spec.Name)
	}
}

// InFlight returns the number of requests that hold capacity.
func (p *Pool) InFlight() int {
	return len(p.reservations)
}

// ReservedOn reports whether a request holds capacity, and on which target.
func (p *Pool) ReservedOn(id basilmoor.RequestID) (targetName string, ok bool) {
	r, ok := p.reservations[id]
	if !ok {
		return "", false
	}
	return r.target.spec.Name, true
}

// HasEnded reports whether a request is known to have been dispatched and to
// have ended.
func (p *Pool) HasEnded(id basilmoor.RequestID) bool {
	e, known := p.history.ended[id]
	return known && e.reason == endedDispatched
}

// ReleasedWithoutReport returns the number of expired grants and silent
// requests whose capacity was freed without a final report.
func (p *Pool) ReleasedWithoutReport() int64 {
	return p.releasedWithoutReport
}

// Reserve reserves capacity on a target for a granted request, which must not hold
// any yet.
func (p *Pool) Reserve(now basilmoor.Millis, d basilmoor.Demand, targetName string) {
	t := p.targets[targetName]
	p.addReservation(now, d, t, false)
	p.grants = append(p.grants, timestampedID{
		id: d.Request,
		at: now,
	})
}

// addReservation reserves capacity for d on t and removes any record that the
// request has ended.
func (p *Pool) addReservation(now basilmoor.Millis, d basilmoor.Demand, t *target, dispatched bool) *reservation {
	uncached := t.uncachedTokens(d)
	r := &reservation{
		demand:         d,
		granted:        now,
		dispatched:     dispatched,
		lastReport:     now,
		uncachedTokens: uncached,
		promptAhead:    t.promptBacklog + uncached,
		occupancy:      len(t.reservations) + 1,
	}
	t.prefixes.use(d.PrefixDigests)
	r.demand.PrefixDigests = nil
	t.add(r)
	p.reservations[d.Request] = r
	delete(p.history.ended, d.Request)
	return r
}

// Release frees the capacity of a request that was not dispatched. It reports
// whether the request held any.
func (p *Pool) Release(now basilmoor.Millis, id basilmoor.RequestID) bool {
	r, ok := p.reservations[id]
	if !ok || r.dispatched {
		return false
	}
	p.endReservation(now, r, endedReturned)
	return true
}

// DropHost frees the capacity of all requests of a host. The host may merely have
// been paused: a dispatched request is counted again if it reports again, and one
// that was not dispatched may be resubmitted.
func (p *Pool) DropHost(now basilmoor.Millis, host string) {
	for _, r := range p.reservations {
		if r.demand.Host != host {
			continue
		}
		if r.dispatched {
			p.endReservation(now, r, endedWithoutReport)
			continue
		}
		p.endReservation(now, r, endedReturned)
	}
}

// ReleaseExpired frees the capacity of grants that were not dispatched in time
// and of requests that have been silent for too long.
func (p *Pool) ReleaseExpired(now basilmoor.Millis) {
	p.expireGrants(now)
	if now-p.lastSweep < basilmoor.Second {
		return
	}
	p.lastSweep = now
	for _, r := range p.reservations {
		if now-r.lastReport > p.silenceTimeout(r) {
			p.releasedWithoutReport++
			p.endReservation(now, r, endedWithoutReport)
		}
	}
	p.history.evictBefore(now - historyTTL)
}

// expireGrants frees the capacity of grants whose dispatch was not reported within
// GrantTTL plus GrantMargin.
func (p *Pool) expireGrants(now basilmoor.Millis) {
	n := 0
	for n < len(p.grants) && now-p.grants[n].at >= p.cfg.GrantTTL+p.cfg.GrantMargin {
		entry := p.grants[n]
		r, ok := p.reservations[entry.id]
		if ok && !r.dispatched && r.granted == entry.at {
			p.releasedWithoutReport++
			p.endReservation(now, r, endedWithoutReport)
		}
		n++
	}
	p.grants = p.grants[n:]
}

// silenceTimeout returns how long a request may be silent. It is at least four
// times the expected duration of the request, because hosts report the progress
// of only one stream per target.
func (p *Pool) silenceTimeout(r *reservation) basilmoor.Millis {
	expected := r.target.tokenLatency * float64(r.demand.OutputTokens)
	return max(p.cfg.SilenceTimeout, basilmoor.Millis(4*expected))
}

// endReservation frees the capacity of a request and records why it ended.
func (p *Pool) endReservation(now basilmoor.Millis, r *reservation, e endReason) {
	r.target.remove(r)
	delete(p.reservations, r.demand.Request)
	p.history.add(now, r.demand, e)
	p.dropIfIdle(r.target)
}
