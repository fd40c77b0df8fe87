package bmscheduler

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

const (
	// fallbackDelay is the time without a reachable broker after which a host
	// schedules its own requests.
	fallbackDelay = 2 * basilmoor.Second

	// redialPeriod is the minimum interval between attempts to reach a broker.
	redialPeriod basilmoor.Millis = 200

	// openTimeout is the time within which a broker must answer a new stream.
	openTimeout = basilmoor.Second

	// unusedSessionTimeout is the time after which a session without demands
	// is closed.
	unusedSessionTimeout = 30 * basilmoor.Second
)

// Metrics counters of grants, by the kind of broker that made them.
const (
	grantsRemote   = "grants.remote-broker"
	grantsLocal    = "grants.local-broker"
	grantsFallback = "grants.fallback"
)

// poolClient maintains this host's session with the broker of one pool. The
// fields in the second group are accessed only by the run goroutine.
type poolClient struct {
	cfg          ClientConfig
	pool         string
	tracker      *requestTracker
	wakeups      chan struct{}
	opened       chan openResult
	lostSessions chan int // epochs of lost sessions
	wg           sync.WaitGroup

	sessionHost      string // broker host of the session; empty if there is none
	brokerAddress    string
	opening          bool
	nextDialAt       basilmoor.Millis
	unreachableSince basilmoor.Millis // start of the time without a reachable broker
	reachable        bool
	fallback         *fallbackBroker
}

// openResult is the result of an attempt to open a stream.
type openResult struct {
	host   string
	stream scheduleClient
	cancel context.CancelFunc
	err    error
}

// fallbackBroker is a broker that serves only this host, while the pool's broker
// is unreachable.
type fallbackBroker struct {
	loop   *brokerLoop
	cancel context.CancelFunc
	done   *sync.WaitGroup
}

func newPoolClient(cfg ClientConfig, pool string) *poolClient {
	self := cfg.Membership.Self()
	return &poolClient{
		cfg:          cfg,
		pool:         pool,
		tracker:      newRequestTracker(pool, newCodec(self.Host, self.Incarnation), cfg.Catalog, cfg.Metrics),
		wakeups:      make(chan struct{}, 1),
		opened:       make(chan openResult, 1),
		lostSessions: make(chan int, 16),
	}
}

// wake makes run check the tracker immediately.
func (p *poolClient) wake() {
	select {
	case p.wakeups <- struct{}{}:
	default:
	}
}

// notifyLost tells run that a session was lost. It never blocks: if the channel
// is full, run detects the loss by silenceTimeout.
func (p *poolClient) notifyLost(epoch int) {
	select {
	case p.lostSessions <- epoch:
	default:
	}
}

// run maintains the session until ctx is done.
func (p *poolClient) run(ctx context.Context) {
	defer p.stop()
	p.unreachableSince = p.cfg.Clock.Now()
	timer := p.cfg.Clock.NewTimer(tickPeriod)
	for {
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-p.wakeups:
			if p.sessionHost != "" || p.opening || p.fallback != nil {
				continue
			}
		case o := <-p.opened:
			p.handleOpenResult(ctx, o)
		case epoch := <-p.lostSessions:
			p.endLostSession(epoch)
		case <-timer.C():
			timer = p.cfg.Clock.NewTimer(tickPeriod)
			p.tracker.tick(p.cfg.Clock.Now())
		}
		p.reconcile(ctx)
	}
}

// reconcile opens, replaces or closes the session so that it matches the pool's
// current broker and the tracker's demands.
func (p *poolClient) reconcile(ctx context.Context) {
	now := p.cfg.Clock.Now()
	st := p.tracker.status()
	broker, _ := brokerForPool(p.pool, p.cfg.Catalog, p.cfg.Membership)
	if p.sessionHost != "" && broker.Host != p.sessionHost {
		p.endSession(now)
	}
	// Set unreachableSince so that a new connection has openTimeout to succeed
	// before the fallback starts.
	if p.sessionHost != "" && now-st.lastHeard >= silenceTimeout {
		p.closePeerConnection()
		p.endSession(now)
		p.unreachableSince = max(st.lastHeard, now-fallbackDelay+openTimeout)
	}
	if st.entries == 0 {
		p.closeIfUnused(now, st)
		return
	}
	if p.sessionHost == "" && !p.opening && now >= p.nextDialAt {
		p.connect(ctx, now, broker)
	}
	if p.reachable {
		p.unreachableSince = now
	}
	if p.sessionHost == "" && p.fallback == nil && now-p.unreachableSince >= fallbackDelay {
		p.startFallback(ctx, now)
	}
}

// closeIfUnused closes a session that has had no demands for
// unusedSessionTimeout.
func (p *poolClient) closeIfUnused(now basilmoor.Millis, st trackerStatus) {
	if !p.reachable && p.fallback == nil {
		p.unreachableSince = now
	}
	if now-st.lastUsed < unusedSessionTimeout {
		return
	}
	if p.sessionHost != "" || p.fallback != nil {
		p.endSession(now)
		p.stopFallback()
		p.unreachableSince = now
	}
}

// connect starts a session with the pool's broker.
func (p *poolClient) connect(ctx context.Context, now basilmoor.Millis, broker basilmoor.Member) {
	p.nextDialAt = now + redialPeriod
	self := p.cfg.Membership.Self()
	if broker.Host == "" {
		return
	}
	if broker.Host == self.Host {
		p.connectLocal(now, self)
		return
	}
	p.opening = true
	p.brokerAddress = broker.Address
	p.wg.Add(1)
	go p.loop(ctx, broker, &bmpeerpb.Hello{
		Pool:        p.pool,
		Host:        self.Host,
		DataCentre:  self.DataCentre,
		Incarnation: self.Incarnation,
	})
}

func (p *poolClient) connectLocal(now basilmoor.Millis, self basilmoor.Member) {
	p.stopFallback()
	epoch := p.tracker.detach()
	up := &localUplink{
		host:    self.Host,
		clock:   p.cfg.Clock,
		tracker: p.tracker,
		epoch:   epoch,
		onLost:  p.notifyLost,
	}
	loop, err := p.cfg.Local.attach(p.pool, self.Host, self.DataCentre, &localSession{
		uplink: up,
	})
	if err != nil {
		p.cfg.Logger.Debug().Err(err).Str("pool", p.pool).Msg("local broker not reached")
		return
	}
	up.loop = loop
	p.startSession(now, epoch, up, self.Host, grantsLocal)
}

// startSession attaches the tracker to a new session.
func (p *poolClient) startSession(now basilmoor.Millis, epoch int, up uplink, host, grantCounter string) {
	if !p.tracker.attach(now, epoch, up, grantCounter) {
		up.close()
		return
	}
	p.sessionHost = host
	p.reachable = true
	p.unreachableSince = now
}

// loop opens a stream. If the broker doesn't answer on an existing
// connection, it closes that connection and retries once on a new one.
func (p *poolClient) loop(ctx context.Context, broker basilmoor.Member, hello *bmpeerpb.Hello) {
	defer p.wg.Done()
	o := p.openOnce(ctx, broker, hello)
	if errors.Is(o.err, errOpenTimeout) && ctx.Err() == nil {
		p.cfg.Peers.CloseConnection(broker.Address)
		o = p.openOnce(ctx, broker, hello)
	}
	select {
	case p.opened <- o:
	case <-ctx.Done():
		if o.cancel != nil {
			o.cancel()
		}
	}
}

// errOpenTimeout is returned if a broker doesn't answer a new stream within
// openTimeout.
var errOpenTimeout = errors.New("broker did not answer the new stream in time")

func (p *poolClient) openOnce(ctx context.Context, broker basilmoor.Member, hello *bmpeerpb.Hello) openResult {
	o := openResult{
		host: broker.Host,
	}
	client, err := p.cfg.Peers.Broker(broker.Address)
	if err != nil {
		o.err = err
		return o
	}
	ctx, cancel := context.WithCancel(ctx)
	result := make(chan openResult, 1)
	go o.run(ctx, client, hello, result)
	timer := p.cfg.Clock.NewTimer(openTimeout)
	defer timer.Stop()
	select {
	case o = <-result:
	case <-timer.C():
		o.err = errOpenTimeout
	}
	if o.err != nil {
		cancel()
		return o
	}
	o.cancel = cancel
	return o
}

func (o openResult) run(ctx context.Context, client bmpeerpb.BrokerClient, hello *bmpeerpb.Hello, result chan<- openResult) {
	o.stream, o.err = openStream(ctx, client, hello)
	result <- o
}

func (p *poolClient) handleOpenResult(_ context.Context, o openResult) {
	now := p.cfg.Clock.Now()
	p.opening = false
	broker, _ := brokerForPool(p.pool, p.cfg.Catalog, p.cfg.Membership)
	if o.err != nil {
		p.cfg.Logger.Debug().Err(o.err).Str("pool", p.pool).Str("host", o.host).Msg("broker not reached")
		return
	}
	if broker.Host != o.host {
		o.cancel()
		return
	}
	p.stopFallback()
	epoch := p.tracker.detach()
	up := &streamUplink{
		stream:       o.stream,
		codec:        p.tracker.codec,
		cancelStream: o.cancel,
		outbox:       newMailbox[*bmpeerpb.ScheduleRequest](),
		clock:        p.cfg.Clock,
		metrics:      p.cfg.Metrics,
		tracker:      p.tracker,
		epoch:        epoch,
		onLost:       p.notifyLost,
	}
	p.wg.Add(1)
	up.wg.Add(2)
	go up.run()
	go up.loop()
	waiter := &uplinkWaiter{
		uplink: up,
		done:   &p.wg,
	}
	go waiter.run()
	p.startSession(now, epoch, up, o.host, grantsRemote)
}

// uplinkWaiter waits for the goroutines of a stream, so that stopping the client
// doesn't return before they have ended.
type uplinkWaiter struct {
	uplink *streamUplink
	done   *sync.WaitGroup
}

func (e *uplinkWaiter) run() {
	defer e.done.Done()
	e.uplink.wg.Wait()
}

// startFallback starts a broker for this host only, with this host's share of
// the targets' slots.
func (p *poolClient) startFallback(ctx context.Context, now basilmoor.Millis) {
	self := p.cfg.Membership.Self()
	source := &targetSource{
		pool:    p.pool,
		catalog: p.cfg.Catalog,
		leaving: p.cfg.Leaving,
		restrict: func(targets []basilmoor.Target) []basilmoor.Target {
			return limitTargets(targets, self, p.cfg.Membership.Live())
		},
	}
	b := newBroker(p.pool, p.cfg.NewPolicy(p.pool), false, nil)
	loop := newBrokerLoop(p.cfg.Clock, b, source.targets)
	ctx, cancel := context.WithCancel(ctx)
	p.fallback = &fallbackBroker{
		loop:   loop,
		cancel: cancel,
		done:   &p.wg,
	}
	p.wg.Add(1)
	go p.fallback.run(ctx)
	epoch := p.tracker.detach()
	up := &localUplink{
		loop:    loop,
		host:    self.Host,
		clock:   p.cfg.Clock,
		tracker: p.tracker,
		epoch:   epoch,
		onLost:  func(int) {},
	}
	session := &localSession{
		uplink: up,
	}
	loop.enqueue(func(b *broker, now basilmoor.Millis) { b.attach(now, self.Host, self.DataCentre, session) })
	p.tracker.attach(now, epoch, up, grantsFallback)
	p.cfg.Logger.Warn().Str("pool", p.pool).Msg("no broker reachable, scheduling locally")
}

func (f *fallbackBroker) run(ctx context.Context) {
	defer f.done.Done()
	f.loop.run(ctx)
}

func (p *poolClient) stopFallback() {
	if p.fallback == nil {
		return
	}
	p.fallback.cancel()
	p.fallback = nil
}

// endLostSession ends the session with the given epoch, unless it has been
// replaced.
func (p *poolClient) endLostSession(epoch int) {
	if p.sessionHost != "" && epoch == p.tracker.status().epoch {
		p.endSession(p.cfg.Clock.Now())
	}
}

// endSession ends the session with the broker.
func (p *poolClient) endSession(now basilmoor.Millis) {
	if p.sessionHost == "" {
		return
	}
	p.tracker.detach()
	p.sessionHost = ""
	p.reachable = false
	p.unreachableSince = now
	p.nextDialAt = now
}

// closePeerConnection closes the connection to a remote broker that has stopped
// responding.
func (p *poolClient) closePeerConnection() {
	if p.sessionHost != p.cfg.Membership.Self().Host {
		p.cfg.Peers.CloseConnection(p.brokerAddress)
	}
}

func (p *poolClient) stop() {
	p.stopFallback()
	p.tracker.stop()
	p.sessionHost = ""
	p.wg.Wait()
	select {
	case o := <-p.opened:
		if o.cancel != nil {
			o.cancel()
		}
	default:
	}
	p.opening = false
}
