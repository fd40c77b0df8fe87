package bmscheduler

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

const (
	// fallbackAfter is the time without a reachable broker after which a host
	// serves its own queue.
	fallbackAfter = 2 * basilmoor.Second

	// redialPeriod is the time between two attempts to reach a broker.
	redialPeriod basilmoor.Millis = 200

	// openBound bounds the time in which a broker has to answer a new stream.
	openBound = basilmoor.Second

	// unusedBound is the time after which a session without demands ends.
	unusedBound = 30 * basilmoor.Second
)

// Counters of grants by the broker that made them.
const (
	grantsRemote   = "grants.remote-broker"
	grantsLocal    = "grants.local-broker"
	grantsFallback = "grants.fallback"
)

// poolClient keeps the session of this host with the broker of one pool. Its
// fields but the ledger belong to run.
type poolClient struct {
	cfg    ClientConfig
	pool   string
	ledger *ledger
	wakeUp chan struct{}
	opened chan openedStream
	broken chan int // epochs of sessions that were lost
	wg     sync.WaitGroup

	owner       string // host of the session or of the attempt
	address     string
	opening     bool
	nextDial    basilmoor.Millis
	unreachable basilmoor.Millis // since when no broker is reachable
	reachable   bool
	fallback    *fallback
}

// openedStream is the result of an attempt to open a stream.
type openedStream struct {
	owner  string
	stream scheduleClient
	cancel context.CancelFunc
	err    error
}

// fallback is the broker that serves only this host.
type fallback struct {
	loop   *poolLoop
	cancel context.CancelFunc
	done   *sync.WaitGroup
}

func newPoolClient(cfg ClientConfig, pool string) *poolClient {
	self := cfg.Membership.Self()
	return &poolClient{
		cfg:    cfg,
		pool:   pool,
		ledger: newLedger(pool, newCodec(self.Host, self.Incarnation), cfg.Catalog, cfg.Metrics),
		wakeUp: make(chan struct{}, 1),
		opened: make(chan openedStream, 1),
		broken: make(chan int, 16),
	}
}

// wake makes run look at the ledger now.
func (p *poolClient) wake() {
	select {
	case p.wakeUp <- struct{}{}:
	default:
	}
}

// lost tells run that a session has ended. It never blocks: if the channel is
// full, the session's silence tells the same.
func (p *poolClient) lost(epoch int) {
	select {
	case p.broken <- epoch:
	default:
	}
}

// run keeps the session until ctx ends.
func (p *poolClient) run(ctx context.Context) {
	defer p.stop()
	p.unreachable = p.cfg.Clock.Now()
	timer := p.cfg.Clock.NewTimer(tickPeriod)
	for {
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-p.wakeUp:
			if p.owner != "" || p.opening || p.fallback != nil {
				continue
			}
		case o := <-p.opened:
			p.finishOpening(ctx, o)
		case epoch := <-p.broken:
			p.dropEpoch(epoch)
		case <-timer.C():
			timer = p.cfg.Clock.NewTimer(tickPeriod)
			p.ledger.tick(p.cfg.Clock.Now())
		}
		p.step(ctx)
	}
}

// step brings the session in line with the pool's broker and the ledger.
func (p *poolClient) step(ctx context.Context) {
	now := p.cfg.Clock.Now()
	st := p.ledger.status()
	broker, _ := brokerOf(p.pool, p.cfg.Catalog, p.cfg.Membership)
	if p.owner != "" && broker.Host != p.owner {
		p.drop(now)
	}
	// The new connection gets its chance before the fallback.
	if p.owner != "" && now-st.heard >= silenceBound {
		p.forgetPeer()
		p.drop(now)
		p.unreachable = max(st.heard, now-fallbackAfter+openBound)
	}
	if st.entries == 0 {
		p.rest(now, st)
		return
	}
	if p.owner == "" && !p.opening && now >= p.nextDial {
		p.connect(ctx, now, broker)
	}
	if p.reachable {
		p.unreachable = now
	}
	if p.owner == "" && p.fallback == nil && now-p.unreachable >= fallbackAfter {
		p.startFallback(ctx, now)
	}
}

// rest ends a session that hasn't been used for long.
func (p *poolClient) rest(now basilmoor.Millis, st ledgerStatus) {
	if !p.reachable && p.fallback == nil {
		p.unreachable = now
	}
	if now-st.used < unusedBound {
		return
	}
	if p.owner != "" || p.fallback != nil {
		p.drop(now)
		p.stopFallback()
		p.unreachable = now
	}
}

// connect begins a session with the pool's broker.
func (p *poolClient) connect(ctx context.Context, now basilmoor.Millis, broker basilmoor.Member) {
	p.nextDial = now + redialPeriod
	self := p.cfg.Membership.Self()
	if broker.Host == "" {
		return
	}
	if broker.Host == self.Host {
		p.connectLocal(now, self)
		return
	}
	p.opening = true
	p.address = broker.Address
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
	epoch := p.ledger.detach()
	up := &localUplink{
		host:   self.Host,
		clock:  p.cfg.Clock,
		ledger: p.ledger,
		epoch:  epoch,
		lost:   p.lost,
	}
	loop, err := p.cfg.Local.attach(p.pool, self.Host, self.DataCentre, &localSession{
		up: up,
	})
	if err != nil {
		p.cfg.Logger.Debug().Err(err).Str("pool", p.pool).Msg("local broker not reached")
		return
	}
	up.loop = loop
	p.begin(now, epoch, up, self.Host, grantsLocal)
}

// begin attaches the ledger to a new session.
func (p *poolClient) begin(now basilmoor.Millis, epoch int, up uplink, owner, source string) {
	if !p.ledger.attach(now, epoch, up, source) {
		up.end()
		return
	}
	p.owner = owner
	p.reachable = true
	p.unreachable = now
}

// loop makes an attempt to open a stream. An open connection that doesn't
// answer is closed, and the attempt made once more on a new one.
func (p *poolClient) loop(ctx context.Context, broker basilmoor.Member, hello *bmpeerpb.Hello) {
	defer p.wg.Done()
	o := p.open(ctx, broker, hello)
	if errors.Is(o.err, errSilent) && ctx.Err() == nil {
		p.cfg.Peers.Forget(broker.Address)
		o = p.open(ctx, broker, hello)
	}
	select {
	case p.opened <- o:
	case <-ctx.Done():
		if o.cancel != nil {
			o.cancel()
		}
	}
}

// errSilent tells that a broker didn't answer a new stream in time.
var errSilent = errors.New("the broker did not answer the new stream")

func (p *poolClient) open(ctx context.Context, broker basilmoor.Member, hello *bmpeerpb.Hello) openedStream {
	o := openedStream{
		owner: broker.Host,
	}
	client, err := p.cfg.Peers.Broker(broker.Address)
	if err != nil {
		o.err = err
		return o
	}
	ctx, cancel := context.WithCancel(ctx)
	result := make(chan openedStream, 1)
	go o.run(ctx, client, hello, result)
	timer := p.cfg.Clock.NewTimer(openBound)
	defer timer.Stop()
	select {
	case o = <-result:
	case <-timer.C():
		o.err = errSilent
	}
	if o.err != nil {
		cancel()
		return o
	}
	o.cancel = cancel
	return o
}

func (o openedStream) run(ctx context.Context, client bmpeerpb.BrokerClient, hello *bmpeerpb.Hello, result chan<- openedStream) {
	o.stream, o.err = openStream(ctx, client, hello)
	result <- o
}

func (p *poolClient) finishOpening(_ context.Context, o openedStream) {
	now := p.cfg.Clock.Now()
	p.opening = false
	broker, _ := brokerOf(p.pool, p.cfg.Catalog, p.cfg.Membership)
	if o.err != nil {
		p.cfg.Logger.Debug().Err(o.err).Str("pool", p.pool).Str("host", o.owner).Msg("broker not reached")
		return
	}
	if broker.Host != o.owner {
		o.cancel()
		return
	}
	p.stopFallback()
	epoch := p.ledger.detach()
	up := &streamUplink{
		stream:  o.stream,
		codec:   p.ledger.codec,
		cancels: o.cancel,
		outbox:  newMailbox[*bmpeerpb.ScheduleRequest](),
		clock:   p.cfg.Clock,
		metrics: p.cfg.Metrics,
		ledger:  p.ledger,
		epoch:   epoch,
		lost:    p.lost,
	}
	p.wg.Add(1)
	up.wg.Add(2)
	go up.run()
	go up.loop()
	end := &uplinkEnd{
		uplink: up,
		done:   &p.wg,
	}
	go end.run()
	p.begin(now, epoch, up, o.owner, grantsRemote)
}

// uplinkEnd keeps the client's stop from returning before the goroutines of a
// stream.
type uplinkEnd struct {
	uplink *streamUplink
	done   *sync.WaitGroup
}

func (e *uplinkEnd) run() {
	defer e.done.Done()
	e.uplink.wg.Wait()
}

// startFallback serves the host's own queue with its share of the targets.
func (p *poolClient) startFallback(ctx context.Context, now basilmoor.Millis) {
	self := p.cfg.Membership.Self()
	source := &targetSource{
		pool:    p.pool,
		catalog: p.cfg.Catalog,
		leaving: p.cfg.Leaving,
		limit: func(targets []basilmoor.Target) []basilmoor.Target {
			return limitTargets(targets, self, p.cfg.Membership.Live())
		},
	}
	b := newBroker(p.pool, p.cfg.NewPolicy(p.pool), false, nil)
	loop := newPoolLoop(p.cfg.Clock, b, source.targets)
	ctx, cancel := context.WithCancel(ctx)
	p.fallback = &fallback{
		loop:   loop,
		cancel: cancel,
		done:   &p.wg,
	}
	p.wg.Add(1)
	go p.fallback.run(ctx)
	epoch := p.ledger.detach()
	up := &localUplink{
		loop:   loop,
		host:   self.Host,
		clock:  p.cfg.Clock,
		ledger: p.ledger,
		epoch:  epoch,
		lost:   func(int) {},
	}
	sess := &localSession{
		up: up,
	}
	loop.do(func(b *broker, now basilmoor.Millis) { b.attach(now, self.Host, self.DataCentre, sess) })
	p.ledger.attach(now, epoch, up, grantsFallback)
	p.cfg.Logger.Warn().Str("pool", p.pool).Msg("no broker reachable, serving the own queue")
}

func (f *fallback) run(ctx context.Context) {
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

// dropEpoch ends a session that was lost, unless it has been replaced.
func (p *poolClient) dropEpoch(epoch int) {
	if p.owner != "" && epoch == p.ledger.status().epoch {
		p.drop(p.cfg.Clock.Now())
	}
}

// drop ends the session with the broker.
func (p *poolClient) drop(now basilmoor.Millis) {
	if p.owner == "" {
		return
	}
	p.ledger.detach()
	p.owner = ""
	p.reachable = false
	p.unreachable = now
	p.nextDial = now
}

// forgetPeer closes the connection to a broker that has stopped responding.
func (p *poolClient) forgetPeer() {
	if p.owner != p.cfg.Membership.Self().Host {
		p.cfg.Peers.Forget(p.address)
	}
}

func (p *poolClient) stop() {
	p.stopFallback()
	p.ledger.stop()
	p.owner = ""
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
