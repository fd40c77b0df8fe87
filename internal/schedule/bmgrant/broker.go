package bmgrant

import (
	"context"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/fleet/bmview"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

const (
	// keepalivePeriod is the longest time between two batches of a session.
	keepalivePeriod basilmoor.Millis = 100

	// silenceBound is the time without a batch after which a session is
	// given up. Requests have objectives from 100 ms on.
	silenceBound basilmoor.Millis = 350

	// staleProof is the age of a broker's proof from which hosts that have a
	// younger one choose another broker. While the store answers, a broker's
	// proof stays under 1.1 s.
	staleProof basilmoor.Millis = 2500

	// summaryPeriod is the time between two log lines of a pool.
	summaryPeriod = basilmoor.Second

	// warmUp is how long a new broker collects what hosts have in progress
	// before it grants, unless all hosts have reported.
	warmUp basilmoor.Millis = 150
)

// Broker grants slots to the hosts that have a session with it. Every host has
// one; it holds state only while hosts choose it. It is safe for concurrent
// use.
type Broker struct {
	clock basilmoor.Clock
	log   zerolog.Logger

	views     Views
	crashes   basilmoor.CrashRegistry
	tolerance Tolerance
	wall      func() int64 // wall clock in ms, for what other hosts read

	mu         sync.Mutex
	view       *bmview.View
	pools      map[string]*Pool
	sessions   map[string]*session // by host
	allowances *allowances
	listed     map[string]basilmoor.Millis // since when each host of the view is in it
	heard      map[string]basilmoor.Millis // when each host sent its last batch
	loaded     bool                        // whether a record of spending was looked for
	hasRecord  bool                        // whether one was taken over
	recorded   basilmoor.Millis            // when it was written; may be before the clock's origin
	holdOff    basilmoor.Millis
	summarized basilmoor.Millis // when the pools were logged last
}

// Views is the view that hosts share: the broker's host relays its own, the
// others follow it.
type Views interface {
	Age() (basilmoor.Millis, bool)
	Revision() int64
	Since(revision int64) []bmview.Update
	Relay(updates []bmview.Update) bool
	Confirm(at basilmoor.Millis)
	SetRelayed(relayed bool)
	SetShared(shared bool)
	Spending() []byte
}

// NewBroker returns a broker without sessions.
func NewBroker(clock basilmoor.Clock, views Views, crashes basilmoor.CrashRegistry, tolerance Tolerance, log zerolog.Logger) *Broker {
	b := &Broker{
		clock:     clock,
		log:       log,
		views:     views,
		crashes:   crashes,
		tolerance: tolerance,
		wall:      bmclock.WallMillis,
		view:      &bmview.View{},
	}
	b.reset()
	return b
}

func (b *Broker) reset() {
	b.pools = map[string]*Pool{}
	b.sessions = map[string]*session{}
	b.allowances = newAllowances(b.tolerance)
	b.heard = map[string]basilmoor.Millis{}
}

// SetView takes over the targets, hosts and allowances of a view.
func (b *Broker) SetView(v *bmview.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view = v
	b.listHosts(b.clock.Now())
	if len(b.sessions) > 0 {
		b.applyView(b.clock.Now())
	}
}

func (b *Broker) applyView(now basilmoor.Millis) {
	if b.view.Table == nil {
		return
	}
	b.setShare()
	b.allowances.set(b.view.Table.Workspaces())
	if !b.loaded {
		b.loaded = true
		b.loadRecord(now)
	}
	for _, spec := range b.view.Table.Pools() {
		p, ok := b.pools[spec.Name]
		if !ok {
			p = NewPool(b.holdOff)
			b.pools[spec.Name] = p
		}
		targets := b.view.Targets(spec.Name)
		if spec.Engine == nil {
			targets = withQueue(targets)
		}
		b.deliver(p.SetTargets(now, targets))
	}
}

// withQueue adds a short queue to the slots of plain services. Their requests
// take about ten times as long as the way of a grant, so that a slot without a
// queue would be idle for a tenth of the time.
func withQueue(targets []basilmoor.Target) []basilmoor.Target {
	queued := slices.Clone(targets)
	for i := range queued {
		queued[i].Slots += (queued[i].Slots + 1) / 2
	}
	return queued
}

// setShare spends the part of the allowances that belongs to the hosts with a
// session. The others spend their own part.
func (b *Broker) setShare() {
	n := len(b.view.Hosts())
	b.allowances.setShare(min(float64(len(b.sessions))/float64(max(n, 1)), 1))
}

// Relay passes a step of the platform's state on to the hosts.
func (b *Broker) Relay(u bmview.Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var encoded *bmgrantpb.Update
	for _, s := range b.sessions {
		if s.local {
			continue
		}
		if encoded == nil {
			encoded = encodeUpdate(u)
		}
		s.pending.Updates = append(s.pending.Updates, encoded)
		s.wake.signal()
	}
}

// Serve does what depends on time until ctx ends.
func (b *Broker) Serve(ctx context.Context) error {
	for {
		if err := b.clock.Sleep(ctx, tickPeriod); err != nil {
			return err
		}
		b.tick()
	}
}

func (b *Broker) tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for _, s := range b.sessions {
		if now-s.heard >= silenceBound {
			b.log.Warn().Str("peer", s.host).Int64("silent-ms", int64(now-s.heard)).Msg("session with a host lost")
			b.end(now, s)
		}
	}
	for _, p := range b.pools {
		if p.Waiting() > 0 {
			b.deliver(p.Tick(now))
		}
	}
	b.logPools(now)
	leaving := b.abandoned()
	for _, s := range b.sessions {
		s.pending.Leaving = leaving
		if now-s.sent >= keepalivePeriod {
			s.wake.signal()
		}
	}
}

// abandoned reports whether this host has lost the platform's store while most
// hosts follow another broker: those that are left would be better off there.
func (b *Broker) abandoned() bool {
	age, known := b.views.Age()
	return known && age >= staleProof && 2*len(b.sessions) < len(b.view.Hosts())
}

// logPools logs the state of the pools in which demands wait, once a period.
func (b *Broker) logPools(now basilmoor.Millis) {
	if now-b.summarized < summaryPeriod {
		return
	}
	b.summarized = now
	for name, p := range b.pools {
		s := p.Summarize(now)
		if len(s.Waiting) == 0 && len(s.Refused) == 0 {
			continue
		}
		b.log.Info().
			Str("pool", name).
			Interface("waiting", s.Waiting).
			Interface("granted", s.Granted).
			Interface("refused", s.Refused).
			Int("slots", s.Slots).
			Int("in-use", s.InUse).
			Int("suspect", s.Suspect).
			Msg("pool state")
	}
}

// handle takes a batch of a host.
func (b *Broker) handle(s *session, batch *bmgrantpb.HostBatch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sessions[s.host] != s {
		return
	}
	now := b.clock.Now()
	s.heard = now
	if age, known := b.views.Age(); known && !s.local {
		s.pending.Proof = &bmgrantpb.Proof{
			Echo:  batch.GetStamp(),
			AgeMs: int64(age),
		}
	}
	b.spreadCrashes(s, batch.GetCrashes())
	for _, o := range batch.GetObservations() {
		b.observe(now, decodeObservation(s.host, s.dataCentre, o))
	}
	for _, c := range batch.GetCancels() {
		if p, ok := b.pools[c.GetPool()]; ok {
			b.deliver(p.Cancel(now, requestID(s.host, c.GetNumber())))
		}
	}
	b.spend(now, s.host, batch.GetSpendings())
	b.heard[s.host] = now
	for _, d := range batch.GetDemands() {
		b.submit(now, decodeDemand(s.host, s.dataCentre, d))
	}
	b.endWarmUp(now, batch)
}

// endWarmUp lets the pools grant once every host has told what it has in
// progress, with its first batch.
func (b *Broker) endWarmUp(now basilmoor.Millis, batch *bmgrantpb.HostBatch) {
	if batch.GetHello() == nil || now >= b.holdOff || len(b.sessions) < len(b.view.Hosts()) {
		return
	}
	b.holdOff = now
	for _, p := range b.pools {
		p.EndHoldOff()
		b.deliver(p.Tick(now))
	}
}

func (b *Broker) observe(now basilmoor.Millis, o basilmoor.Observation) {
	for _, p := range b.pools {
		if p.Holds(o.Request) {
			b.deliver(p.Observe(now, o))
			return
		}
	}
	if o.Demand == nil {
		return
	}
	if p, ok := b.pools[o.Demand.Pool]; ok {
		b.deliver(p.Observe(now, o))
	}
}

func (b *Broker) submit(now basilmoor.Millis, d basilmoor.Demand) {
	p, ok := b.pools[d.Pool]
	if !ok {
		b.refuse(d.Request, basilmoor.ReasonNoTarget, minRetryAfter)
		return
	}
	if wait, ok := b.allowances.take(now, d.Workspace, d.Charge); !ok {
		b.refuse(d.Request, basilmoor.ReasonRateLimit, wait)
		return
	}
	b.deliver(p.Submit(now, d))
}

// deliver passes decisions to the sessions of their hosts.
func (b *Broker) deliver(decisions []basilmoor.Decision) {
	for _, d := range decisions {
		if d.Refusal != nil {
			b.refund(*d.Refusal)
			b.refuse(d.Refusal.Request, d.Refusal.Reason, d.Refusal.RetryAfter)
			continue
		}
		host, number := splitID(d.Grant.Request)
		s, ok := b.sessions[host]
		if !ok {
			continue
		}
		s.pending.Grants = append(s.pending.Grants, &bmgrantpb.Grant{
			Number: number,
			Target: d.Grant.Target.Name,
		})
		s.wake.signal()
	}
}

// refund gives back what a demand was charged that got no grant.
func (b *Broker) refund(r basilmoor.Refusal) {
	b.allowances.spend(b.clock.Now(), r.Workspace, -r.Charge)
}

func (b *Broker) refuse(id basilmoor.RequestID, reason basilmoor.Reason, retryAfter basilmoor.Millis) {
	host, number := splitID(id)
	s, ok := b.sessions[host]
	if !ok {
		return
	}
	s.pending.Refusals = append(s.pending.Refusals, &bmgrantpb.Refusal{
		Number:       number,
		Reason:       string(reason),
		RetryAfterMs: int32(retryAfter),
	})
	s.wake.signal()
}
