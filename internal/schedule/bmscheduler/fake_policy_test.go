package bmscheduler

import (
	"slices"
	"sync"

	"basilmoor.example/basilmoor"
)

const fakeGrantTTL = basilmoor.Second

// fakePolicy grants in order of tier, then arrival. A mutex lets tests inspect it
// concurrently.
type fakePolicy struct {
	mu      sync.Mutex
	targets []basilmoor.Target
	waiting []fakeDemand
	running map[basilmoor.RequestID]fakeRun
	dropped []string
}

type fakeDemand struct {
	basilmoor.Demand
	expires basilmoor.Millis
}

type fakeRun struct {
	target     string
	host       string
	granted    basilmoor.Millis
	dispatched bool
}

func newFakePolicy() *fakePolicy {
	return &fakePolicy{
		running: make(map[basilmoor.RequestID]fakeRun),
	}
}

func (p *fakePolicy) SetTargets(now basilmoor.Millis, targets []basilmoor.Target) []basilmoor.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = targets
	return p.grant(now)
}

func (p *fakePolicy) Submit(now basilmoor.Millis, d basilmoor.Demand) []basilmoor.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.running[d.Request]; ok {
		return nil
	}
	p.remove(d.Request)
	p.waiting = append(p.waiting, fakeDemand{
		Demand:  d,
		expires: now + d.Deadline,
	})
	slices.SortStableFunc(p.waiting, func(a, b fakeDemand) int { return a.Tier - b.Tier })
	return p.grant(now)
}

func (p *fakePolicy) Cancel(now basilmoor.Millis, id basilmoor.RequestID) []basilmoor.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(id)
	if r, ok := p.running[id]; ok && !r.dispatched {
		delete(p.running, id)
	}
	return p.grant(now)
}

func (p *fakePolicy) Observe(now basilmoor.Millis, o basilmoor.Observation) []basilmoor.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.running[o.Request]
	if !ok && o.Demand != nil {
		r = fakeRun{
			target:  o.Target,
			host:    o.Demand.Host,
			granted: now,
		}
		ok = true
	}
	if !ok {
		return nil
	}
	r.dispatched = true
	p.running[o.Request] = r
	if o.Stage.Terminal() {
		delete(p.running, o.Request)
	}
	return p.grant(now)
}

func (p *fakePolicy) Report(basilmoor.Millis, basilmoor.LoadReport) []basilmoor.Decision { return nil }

func (p *fakePolicy) Tick(now basilmoor.Millis) []basilmoor.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	var refused []basilmoor.Decision
	for _, d := range slices.Clone(p.waiting) {
		if d.expires <= now {
			p.remove(d.Request)
			refused = append(refused, basilmoor.Decision{
				Refusal: &basilmoor.Refusal{
					Request: d.Request,
					Reason:  basilmoor.ReasonDeadline,
				},
			})
		}
	}
	for id, r := range p.running {
		if !r.dispatched && now-r.granted >= 2*fakeGrantTTL {
			delete(p.running, id)
		}
	}
	return append(refused, p.grant(now)...)
}

func (p *fakePolicy) DropHost(now basilmoor.Millis, host string) []basilmoor.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropped = append(p.dropped, host)
	p.waiting = slices.DeleteFunc(p.waiting, func(d fakeDemand) bool { return d.Host == host })
	for id, r := range p.running {
		if r.host == host {
			delete(p.running, id)
		}
	}
	return p.grant(now)
}

func (p *fakePolicy) remove(id basilmoor.RequestID) {
	p.waiting = slices.DeleteFunc(p.waiting, func(d fakeDemand) bool { return d.Request == id })
}

func (p *fakePolicy) runningOn(target string) int {
	n := 0
	for _, r := range p.running {
		if r.target == target {
			n++
		}
	}
	return n
}

func (p *fakePolicy) grant(now basilmoor.Millis) []basilmoor.Decision {
	var out []basilmoor.Decision
	for _, d := range slices.Clone(p.waiting) {
		i := slices.IndexFunc(p.targets, func(t basilmoor.Target) bool {
			return !t.Leaving && !slices.Contains(d.Excluded, t.Name) && p.runningOn(t.Name) < t.Slots
		})
		if i < 0 {
			continue
		}
		p.remove(d.Request)
		p.running[d.Request] = fakeRun{
			target:  p.targets[i].Name,
			host:    d.Host,
			granted: now,
		}
		out = append(out, basilmoor.Decision{
			Grant: &basilmoor.Grant{
				Request: d.Request,
				Target:  p.targets[i],
				TTL:     fakeGrantTTL,
			},
		})
	}
	return out
}

func (p *fakePolicy) drops() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.dropped)
}

func (p *fakePolicy) counts() (waiting, running int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting), len(p.running)
}
