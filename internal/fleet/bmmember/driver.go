package bmmember

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
)

const (
	// listPeriod is the time between two reads of the platform's list.
	listPeriod = 5 * basilmoor.Second

	// liveCacheFor bounds the age of the cached list of live members, which is
	// read for every request.
	liveCacheFor basilmoor.Millis = 100
)

// Transport exchanges one heartbeat with a peer.
type Transport interface {
	Beat(ctx context.Context, to basilmoor.Member, b Beat) (Beat, error)
}

// Config are the parts that a Driver works with. List, Status, Crashes and
// OnVersion may be nil.
type Config struct {
	Clock     basilmoor.Clock
	Self      basilmoor.Member
	Transport Transport
	Logger    zerolog.Logger

	// List returns the platform's list of hosts, which may be stale or fail.
	List func(ctx context.Context) ([]basilmoor.Member, error)

	// Status describes this host at the time of a heartbeat.
	Status func() Status

	Crashes basilmoor.CrashRegistry

	// OnVersion is told the host, version and note id of a configuration that
	// a peer holds and this host doesn't. It must not block.
	OnVersion func(host string, version int64, note string)
}

// Driver runs a State: it sends the heartbeats that are due and answers those
// that arrive. It is safe for concurrent use.
type Driver struct {
	cfg      Config
	announce chan struct{}
	exchange sync.WaitGroup

	mu       sync.Mutex
	state    *State
	inFlight map[string]bool
	live     []basilmoor.Member
	liveAt   basilmoor.Millis
	fresh    bool
}

var _ basilmoor.Membership = (*Driver)(nil)

// NewDriver returns a driver that knows only its own host, and a function that
// waits for the heartbeats in flight.
func NewDriver(cfg Config) (*Driver, func()) {
	d := &Driver{
		cfg:      cfg,
		announce: make(chan struct{}, 1),
		state:    NewState(cfg.Clock.Now(), cfg.Self, cfg.Crashes),
		inFlight: make(map[string]bool),
	}
	d.refreshStatus()
	return d, d.exchange.Wait
}

// Self describes this host.
func (d *Driver) Self() basilmoor.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshStatus()
	return d.state.Self()
}

// Live returns the live members including this host, ordered by name, as State
// does. The caller must not change the slice.
func (d *Driver) Live() []basilmoor.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	if !d.fresh || now-d.liveAt >= liveCacheFor {
		d.refreshStatus()
		d.live = d.state.Live(now)
		d.liveAt = now
		d.fresh = true
	}
	return d.live
}

// Handle answers a heartbeat of a peer.
func (d *Driver) Handle(b Beat) Beat {
	d.mu.Lock()
	d.refreshStatus()
	reply := d.state.Handle(d.cfg.Clock.Now(), b)
	news := d.changed()
	d.mu.Unlock()
	d.tellVersions(news)
	return reply
}

// Announce sends heartbeats now instead of at the next period, so that a stop
// is known to the peers at once.
func (d *Driver) Announce() {
	select {
	case d.announce <- struct{}{}:
	default:
	}
}

// Serve sends heartbeats until ctx ends.
func (d *Driver) Serve(ctx context.Context) error {
	if d.cfg.List != nil {
		d.exchange.Add(1)
		go d.loop(ctx)
	}
	for {
		d.beat(ctx)
		timer := d.cfg.Clock.NewTimer(Period)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-d.announce:
			timer.Stop()
		case <-timer.C():
		}
	}
}

// loop reads the platform's list.
func (d *Driver) loop(ctx context.Context) {
	defer d.exchange.Done()
	for ctx.Err() == nil {
		members, err := d.cfg.List(ctx)
		if err != nil {
			d.cfg.Logger.Warn().Err(err).Msg("list of hosts not read")
		} else {
			d.mu.Lock()
			d.state.SetCandidates(d.cfg.Clock.Now(), members)
			d.mu.Unlock()
		}
		if d.cfg.Clock.Sleep(ctx, listPeriod) != nil {
			return
		}
	}
}

// beat starts the exchanges that are due. A peer whose last exchange is still
// in flight is left out.
func (d *Driver) beat(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshStatus()
	d.fresh = false
	for _, out := range d.state.Beats(d.cfg.Clock.Now()) {
		if d.inFlight[out.Peer.Host] {
			continue
		}
		d.inFlight[out.Peer.Host] = true
		d.exchange.Add(1)
		go d.run(ctx, out)
	}
}

// run makes one exchange with a peer and, if needed, the one that follows.
func (d *Driver) run(ctx context.Context, out Outgoing) {
	defer d.exchange.Done()
	next := &out
	for follow := true; next != nil; follow = false {
		reply, err := d.cfg.Transport.Beat(ctx, next.Peer, next.Beat)
		next = d.settle(next.Peer, reply, err, follow)
	}
	d.mu.Lock()
	delete(d.inFlight, out.Peer.Host)
	d.mu.Unlock()
}

func (d *Driver) settle(peer basilmoor.Member, reply Beat, err error, follow bool) *Outgoing {
	d.mu.Lock()
	now := d.cfg.Clock.Now()
	if err != nil {
		d.state.Failed(now, peer.Host)
		d.mu.Unlock()
		d.cfg.Logger.Debug().Err(err).Str("host", peer.Host).Msg("heartbeat not answered")
		return nil
	}
	next := d.state.Reply(now, peer, reply, follow)
	news := d.changed()
	d.mu.Unlock()
	d.tellVersions(news)
	return next
}

func (d *Driver) changed() []VersionNews {
	d.fresh = false
	return d.state.Versions()
}

func (d *Driver) tellVersions(news []VersionNews) {
	if d.cfg.OnVersion == nil {
		return
	}
	for _, n := range news {
		d.cfg.OnVersion(n.Host, n.Version, n.Note)
	}
}

func (d *Driver) refreshStatus() {
	if d.cfg.Status != nil {
		d.state.SetStatus(d.cfg.Status())
	}
}
