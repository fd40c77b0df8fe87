package bmgrant

import (
	"context"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/fleet/bmview"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
	"basilmoor.example/basilmoor/internal/schedule/bmquarantine"
	"basilmoor.example/basilmoor/internal/schedule/bmrollout"
)

const (
	// keepalivePeriod is the longest time between two batches of a session.
	keepalivePeriod basilmoor.Millis = 100

	// sessionTimeout is the time without a batch after which a session is
	// ended. It is short because the objectives of requests start at 100 ms.
	sessionTimeout basilmoor.Millis = 350

	// summaryPeriod is the time between two log lines about a pool.
	summaryPeriod = basilmoor.Second

	// warmUp is how long a new broker waits for the hosts to report their
	// requests in progress before it grants. It ends early once all hosts have
	// reported.
	warmUp basilmoor.Millis = 150
)

// Broker grants slots to the hosts that have a session with it. Every host runs
// a broker, which is idle except during a term that the host's [Client] begins and ends.
// It is safe for concurrent use.
type Broker struct {
	clock basilmoor.Clock
	log   zerolog.Logger

	views     ViewSource
	crashes   basilmoor.CrashRegistry
	history   *bmquarantine.History // of the host, shared with its client
	metrics   *bmmetrics.Registry
	tolerance Tolerance
	wallClock func() int64 // in ms, for times that other hosts read

	mu            sync.Mutex
	view          *bmview.View
	pools         map[string]*Pool
	sessions      map[string]*session // by host
	quotas        *quotas
	listedSince   map[string]basilmoor.Millis // by host, since when it is in the view
	lastHeard     map[string]basilmoor.Millis // by host, when its last batch arrived; outlives the session
	recordChecked bool                        // whether the stored spending was looked up
	hasRecord     bool                        // whether stored spending was loaded
	recordWritten basilmoor.Millis            // when the loaded spending was written; may be negative
	holdOff       basilmoor.Millis
	lastSummary   basilmoor.Millis // when the pools were last logged

	active      bool             // in a term
	activeSince basilmoor.Millis // start of the latest term
	retiredAt   basilmoor.Millis // when the latest term ended with a successor
	slotsShared float64          // fraction of the slots that the pools were given

	hostName        string // owner of the rollouts' records
	rolloutBounds   bmrollout.Bounds
	rollouts        map[string]*rolloutOwner // by pool; of this term
	rolloutsStepped basilmoor.Millis         // when they were last advanced

	limitsPrefill bool // in pools that are made from now on
}

// ViewSource gives access to this host's view of the platform's state. The
// broker's host relays its view to the other hosts, which follow it.
type ViewSource interface {
	Proof() (era int64, age basilmoor.Millis, known bool)
	Position() basilmoor.Position
	UpdatesSince(p basilmoor.Position) []bmview.Update
	ApplyRelayed(updates []bmview.Update) bool
	Confirm(era int64, at basilmoor.Millis)
	SetRelayed(relayed bool)
	SetShared(shared bool)
	SetStandbyAge(extra basilmoor.Millis)
	Spending() []byte
}

// NewBroker returns a broker without sessions.
func NewBroker(clock basilmoor.Clock, views ViewSource, crashes basilmoor.CrashRegistry, tolerance Tolerance, metrics *bmmetrics.Registry, log zerolog.Logger) *Broker {
	b := &Broker{
		clock:     clock,
		log:       log,
		views:     views,
		crashes:   crashes,
		history:   bmquarantine.NewHistory(),
		metrics:   metrics,
		tolerance: tolerance,
		wallClock: bmclock.UnixMillis,
		view:      &bmview.View{},
	}
	b.reset()
	return b
}

// reset discards the state of earlier sessions.
func (b *Broker) reset() {
	b.pools = map[string]*Pool{}
	b.sessions = map[string]*session{}
	b.quotas = newQuotas(b.tolerance)
	b.lastHeard = map[string]basilmoor.Millis{}
	b.rollouts = map[string]*rolloutOwner{}
}

// SetView applies the targets, hosts and quotas of a new view.
func (b *Broker) SetView(v *bmview.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view = v
	b.updateListedSince(b.clock.Now())
	if len(b.sessions) > 0 {
		b.applyView(b.clock.Now())
	}
}

func (b *Broker) applyView(now basilmoor.Millis) {
	if b.view.Table == nil {
		return
	}
	b.setShare()
	b.slotsShared = b.slotShare(now)
	b.quotas.set(b.view.Table.Workspaces())
	if !b.recordChecked {
		b.recordChecked = true
		b.loadRecord(now)
	}
	for _, spec := range b.view.Table.Pools() {
		p, ok := b.pools[spec.Name]
		if !ok {
			p = b.newPool(spec, b.holdOff)
			b.pools[spec.Name] = p
			b.applyQuarantine(now, spec.Name, p)
		}
		targets := b.view.Targets(spec.Name)
		if spec.Engine == nil {
			targets = withQueue(targets)
		}
		targets = b.rolloutTargets(now, spec.Name, targets)
		b.deliver(p.SetTargets(now, shareSlots(targets, b.slotsShared)))
	}
}

// withQueue adds a short queue to the slots of plain services, half as long as
// the number of slots. Their requests take about ten times as long as the
// delivery of a grant, so a slot without a queue would be idle for a tenth of
// the time.
func withQueue(targets []basilmoor.Target) []basilmoor.Target {
	queued := slices.Clone(targets)
	for i := range queued {
		queued[i].Slots += (queued[i].Slots + 1) / 2
	}
	return queued
}

// setShare sets the part of the quotas that this broker may spend: that of
// the hosts with a session. The other hosts spend their own part.
func (b *Broker) setShare() {
	n := len(b.view.Hosts())
	b.quotas.setShare(min(float64(len(b.sessions))/float64(max(n, 1)), 1))
}

// Relay forwards an update of the view to the other hosts.
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

// Serve runs the periodic work until ctx ends.
func (b *Broker) Serve(ctx context.Context) error {
	for {
		if err := b.clock.Sleep(ctx, tickPeriod); err != nil {
			return err
		}
		b.tick()
	}
}

// tick ends silent sessions, lets the pools expire demands, and sends keepalives.
func (b *Broker) tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for _, s := range b.sessions {
		if now-s.lastReceived >= sessionTimeout {
			b.log.Warn().Str("peer", s.host).Int64("silent-ms", int64(now-s.lastReceived)).Msg("session with a host lost")
			b.endSession(now, s)
		}
	}
	for name, p := range b.pools {
		if p.Waiting() > 0 {
			b.deliver(p.Tick(now))
		}
		b.applyQuarantine(now, name, p)
	}
	b.logPools(now)
	if !b.active {
		b.endRetirement(now)
		return
	}
	if b.stepRollouts(now) || b.slotShare(now) != b.slotsShared {
		b.applyView(now)
	}
	for _, s := range b.sessions {
		if now-s.lastSent >= keepalivePeriod {
			s.wake.signal()
		}
	}
}

// endRetirement ends the sessions of hosts that have not moved to the successor
// in time.
func (b *Broker) endRetirement(now basilmoor.Millis) {
	if len(b.sessions) == 0 || now-b.retiredAt < retireTimeout {
		return
	}
	b.log.Warn().Int("sessions", len(b.sessions)).Msg("hosts did not move to the successor")
	b.endAllSessions()
}

// logPools logs, once per summaryPeriod, the pools in which demands wait or were
// refused.
func (b *Broker) logPools(now basilmoor.Millis) {
	if now-b.lastSummary < summaryPeriod {
		return
	}
	b.lastSummary = now
	for name, p := range b.pools {
		s := p.Summarize(now)
		if b.limitsPrefill {
			b.metrics.Add("grants.held-back-for-streams", int64(s.HeldBack))
			b.metrics.Set("targets.pause-percent."+name, int64(s.PausePercent))
		}
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
			Int("suspect", s.InBackoff).
			Int("held-back", s.HeldBack).
			Msg("pool state")
	}
}

// handleBatch processes a batch from a host. A batch of an ended session is
// ignored.
func (b *Broker) handleBatch(s *session, batch *bmgrantpb.HostBatch) {
	b.applyLentView(s, batch)
	// The view may call the broker while it is locked.
	proof := encodeProof(b.views, batch.GetStamp())
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sessions[s.host] != s {
		return
	}
	now := b.clock.Now()
	s.lastReceived = now
	if proof != nil && !s.local {
		s.pending.Proof = proof
	}
	b.forwardCrashes(now, s, batch.GetCrashes())
	for _, o := range batch.GetObservations() {
		b.observe(now, decodeObservation(s.host, s.dataCentre, o))
	}
	// The deaths among the observations are known now, with all requests that they blame.
	b.learnDeaths(now, s, batch.GetDeaths())
	for _, c := range batch.GetCancels() {
		if p, ok := b.pools[c.GetPool()]; ok {
			b.deliver(p.Cancel(now, requestID(s.host, c.GetNumber())))
		}
	}
	b.recordSpending(now, s.host, batch.GetSpendings())
	b.lastHeard[s.host] = now
	for _, d := range batch.GetDemands() {
		b.submit(now, decodeDemand(s.host, s.dataCentre, d))
	}
	b.endWarmUp(now, batch)
}

// endWarmUp ends the warm-up once every host has sent its first batch, which
// lists its requests in progress.
func (b *Broker) endWarmUp(now basilmoor.Millis, batch *bmgrantpb.HostBatch) {
	if batch.GetHello() == nil || !b.active || now >= b.holdOff || len(b.sessions) < len(b.view.Hosts()) {
		return
	}
	b.holdOff = now
	for _, p := range b.pools {
		p.SetHoldOff(now)
		b.deliver(p.Tick(now))
	}
}

func (b *Broker) observe(now basilmoor.Millis, o basilmoor.Observation) {
	for name, p := range b.pools {
		if p.HasGrant(o.Request) || o.TargetDied && p.AwaitsVerdict(o.Request) {
			b.deliver(p.Observe(now, o))
			b.applyQuarantine(now, name, p)
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
		b.refuse(basilmoor.Refusal{
			Request:    d.Request,
			Reason:     basilmoor.ReasonNoTarget,
			RetryAfter: minRetryAfter,
		})
		return
	}
	if anySuspect(b.crashes, d.CrashKeys) {
		b.refuse(basilmoor.Refusal{
			Request:    d.Request,
			Reason:     basilmoor.ReasonCrashSuspect,
			RetryAfter: maxRetryAfter,
		})
		return
	}
	// A demand that is submitted again, with a shorter deadline, has been charged.
	if !p.Has(d.Request) {
		if refusal := b.quotas.admit(now, d, basilmoor.SourceBrokerShare); refusal != nil {
			b.refuse(*refusal)
			return
		}
	}
	b.deliver(p.Submit(now, d))
}

// deliver queues decisions for the sessions of their hosts.
func (b *Broker) deliver(decisions []basilmoor.Decision) {
	for _, d := range decisions {
		if d.Refusal != nil {
			b.refund(*d.Refusal)
			b.refuse(*d.Refusal)
			continue
		}
		host, number := parseRequestID(d.Grant.Request)
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

// refund returns the charge of a refused demand to its workspace's quota.
func (b *Broker) refund(r basilmoor.Refusal) {
	b.quotas.charge(b.clock.Now(), r.Workspace, -r.Charge)
}

func (b *Broker) refuse(r basilmoor.Refusal) {
	host, number := parseRequestID(r.Request)
	s, ok := b.sessions[host]
	if !ok {
		return
	}
	s.pending.Refusals = append(s.pending.Refusals, &bmgrantpb.Refusal{
		Number:       number,
		Reason:       string(r.Reason),
		Source:       string(r.Source),
		RetryAfterMs: int32(r.RetryAfter),
	})
	s.wake.signal()
}
