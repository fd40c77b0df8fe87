package bmcapacity

import (
	"sort"

	"basilmoor.example/basilmoor"
)

// historyKept is how long ended requests are remembered. It exceeds any delay
// with which a report of an open connection can arrive.
const historyKept = 30 * basilmoor.Second

// Pool is the learned state of all targets of a pool. It is not safe for
// concurrent use.
type Pool struct {
	cfg     Config
	targets map[string]*target
	order   []*target // listed targets by name
	// candidates are the targets that were free at the last CollectFree.
	candidates []*target
	flights    map[basilmoor.RequestID]*flight
	grants     []historyEntry // grants in order of time, to find lapsed ones
	history    *history
	swept      basilmoor.Millis
	compared   basilmoor.Millis // when the long-run speeds were updated
	lapsed     int64
}

// NewPool returns a pool without targets.
func NewPool(cfg Config) *Pool {
	return &Pool{
		cfg:     cfg,
		targets: map[string]*target{},
		flights: map[basilmoor.RequestID]*flight{},
		history: newHistory(),
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
		p.drop(t)
	}
	sort.Slice(p.order, func(i, j int) bool { return p.order[i].spec.Name < p.order[j].spec.Name })
}

// drop forgets a target that is not listed once nothing is in flight on it.
func (p *Pool) drop(t *target) {
	if !t.listed && len(t.flights) == 0 {
		delete(p.targets, t.spec.Name)
	}
}

// InFlight returns the number of requests that hold capacity.
func (p *Pool) InFlight() int {
	return len(p.flights)
}

// Holds reports whether a request holds capacity, and where.
func (p *Pool) Holds(id basilmoor.RequestID) (targetName string, ok bool) {
	f, ok := p.flights[id]
	if !ok {
		return "", false
	}
	return f.target.spec.Name, true
}

// HasRun reports whether a request is known to have been dispatched and to
// have ended.
func (p *Pool) HasRun(id basilmoor.RequestID) bool {
	e, known := p.history.ended[id]
	return known && e.ending == endedRun
}

// Lapsed returns how many grants and silent requests lost their capacity
// without a final report.
func (p *Pool) Lapsed() int64 {
	return p.lapsed
}

// Reserve counts a granted request on a target. The request must not hold
// capacity yet.
func (p *Pool) Reserve(now basilmoor.Millis, d basilmoor.Demand, targetName string) {
	t := p.targets[targetName]
	p.dataCentre(now, d, t, false)
	p.grants = append(p.grants, historyEntry{
		id: d.Request,
		at: now,
	})
}

func (p *Pool) dataCentre(now basilmoor.Millis, d basilmoor.Demand, t *target, dispatched bool) *flight {
	uncached := t.uncached(d)
	f := &flight{
		demand:     d,
		granted:    now,
		dispatched: dispatched,
		last:       now,
		uncached:   uncached,
		ahead:      t.backlog + uncached,
		rank:       len(t.flights) + 1,
	}
	t.prefixes.use(d.PrefixDigests)
	f.demand.PrefixDigests = nil
	t.add(f)
	p.flights[d.Request] = f
	delete(p.history.ended, d.Request)
	return f
}

// Release frees the capacity of a request that was not dispatched. It reports
// whether the request held any.
func (p *Pool) Release(now basilmoor.Millis, id basilmoor.RequestID) bool {
	f, ok := p.flights[id]
	if !ok || f.dispatched {
		return false
	}
	p.end(now, f, endedReturned)
	return true
}

// DropHost frees the capacity of all requests that a host holds. The host may
// have been paused only: what it dispatched counts again if it reports again,
// and what it didn't dispatch may be submitted again.
func (p *Pool) DropHost(now basilmoor.Millis, host string) {
	for _, f := range p.flights {
		if f.demand.Host != host {
			continue
		}
		if f.dispatched {
			p.end(now, f, endedLapsed)
			continue
		}
		p.end(now, f, endedReturned)
	}
}

// Sweep frees the capacity of grants that were not dispatched in time and of
// requests that have been silent for too long.
func (p *Pool) Sweep(now basilmoor.Millis) {
	p.lapseGrants(now)
	if now-p.swept < basilmoor.Second {
		return
	}
	p.swept = now
	for _, f := range p.flights {
		if now-f.last > p.silenceBound(f) {
			p.lapsed++
			p.end(now, f, endedLapsed)
		}
	}
	p.history.forget(now - historyKept)
}

func (p *Pool) lapseGrants(now basilmoor.Millis) {
	n := 0
	for n < len(p.grants) && now-p.grants[n].at >= p.cfg.GrantTTL+p.cfg.GrantMargin {
		entry := p.grants[n]
		f, ok := p.flights[entry.id]
		if ok && !f.dispatched && f.granted == entry.at {
			p.lapsed++
			p.end(now, f, endedLapsed)
		}
		n++
	}
	p.grants = p.grants[n:]
}

// silenceBound allows a request four times its expected duration, because
// hosts report the progress of one stream per target only.
func (p *Pool) silenceBound(f *flight) basilmoor.Millis {
	expected := f.target.pace * float64(f.demand.OutputTokens)
	return max(p.cfg.SilentAfter, basilmoor.Millis(4*expected))
}

func (p *Pool) end(now basilmoor.Millis, f *flight, e ending) {
	f.target.remove(f)
	delete(p.flights, f.demand.Request)
	p.history.add(now, f.demand, e)
	p.drop(f.target)
}
