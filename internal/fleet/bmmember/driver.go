package bmmember

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
)

const (
	// listPeriod is the time between two reads of the platform's host list.
	listPeriod = 5 * basilmoor.Second

	// liveCacheFor limits the age of the cached list of live members, which is
	// read for every request.
	liveCacheFor basilmoor.Millis = 100
)

// Transport exchanges one heartbeat with a peer.
type Transport interface {
	Exchange(ctx context.Context, to basilmoor.Member, b Heartbeat) (Heartbeat, error)
}

// Config holds the dependencies of a Driver. List, Status, Crashes and
// OnVersion may be nil.
type Config struct {
	Clock     basilmoor.Clock
	Self      basilmoor.Member
	Transport Transport
	Logger    zerolog.Logger

	// List returns the platform's host list. It may fail or return stale
	// entries.
	List func(ctx context.Context) ([]basilmoor.Member, error)

	// Status returns this host's current status, to be sent in heartbeats.
	Status func() Status

	Crashes basilmoor.CrashRegistry

	// OnVersion is called with the host, version and note ID of a configuration
	// that a peer has and this host lacks. It must not block.
	OnVersion func(host string, version int64, note string)
}

// Driver runs a State: it sends the heartbeats that are due and answers those
// received. It is safe for concurrent use.
type Driver struct {
	cfg       Config
	announce  chan struct{}
	exchanges sync.WaitGroup

	mu        sync.Mutex
	state     *State
	inFlight  map[string]bool
	live      []basilmoor.Member
	liveAt    basilmoor.Millis
	liveValid bool
}

var _ basilmoor.Membership = (*Driver)(nil)

// NewDriver returns a driver that knows only its own host, and a function that
// waits for the exchanges in flight.
func NewDriver(cfg Config) (*Driver, func()) {
	d := &Driver{
		cfg:      cfg,
		announce: make(chan struct{}, 1),
		state:    NewState(cfg.Clock.Now(), cfg.Self, cfg.Crashes),
		inFlight: make(map[string]bool),
	}
	d.refreshStatus()
	return d, d.exchanges.Wait
}

// Self returns this host's own description.
func (d *Driver) Self() basilmoor.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshStatus()
	return d.state.Self()
}

// Live returns the live members ordered by name, including this host unless it
// is leaving. The result may be up to liveCacheFor old. The caller must not
// modify the slice.
func (d *Driver) Live() []basilmoor.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	if !d.liveValid || now-d.liveAt >= liveCacheFor {
		d.refreshStatus()
		d.live = d.state.Live(now)
		d.liveAt = now
		d.liveValid = true
	}
	return d.live
}

// Handle processes a heartbeat from a peer and returns the reply.
func (d *Driver) Handle(b Heartbeat) Heartbeat {
	d.mu.Lock()
	d.refreshStatus()
	reply := d.state.Handle(d.cfg.Clock.Now(), b)
	reports := d.takeVersions()
	d.mu.Unlock()
	d.reportVersions(reports)
	return reply
}

// Announce makes Serve send heartbeats now instead of at the next period, for
// example to tell peers at once that this host is leaving.
func (d *Driver) Announce() {
	select {
	case d.announce <- struct{}{}:
	default:
	}
}

// Serve sends heartbeats until ctx is done.
func (d *Driver) Serve(ctx context.Context) error {
	if d.cfg.List != nil {
		d.exchanges.Add(1)
		go d.loop(ctx)
	}
	for {
		d.startExchanges(ctx)
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

// loop reads the platform's host list periodically.
func (d *Driver) loop(ctx context.Context) {
	defer d.exchanges.Done()
	for ctx.Err() == nil {
		members, err := d.cfg.List(ctx)
		if err != nil {
			d.cfg.Logger.Warn().Err(err).Msg("failed to read the host list")
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

// startExchanges starts the exchanges that are due, except with peers whose
// last exchange is still in flight.
func (d *Driver) startExchanges(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshStatus()
	d.liveValid = false
	for _, out := range d.state.DueHeartbeats(d.cfg.Clock.Now()) {
		if d.inFlight[out.Peer.Host] {
			continue
		}
		d.inFlight[out.Peer.Host] = true
		d.exchanges.Add(1)
		go d.run(ctx, out)
	}
}

// run performs one exchange with a peer and, if needed, one follow-up exchange.
func (d *Driver) run(ctx context.Context, out OutgoingHeartbeat) {
	defer d.exchanges.Done()
	next := &out
	for allowFollowUp := true; next != nil; allowFollowUp = false {
		reply, err := d.cfg.Transport.Exchange(ctx, next.Peer, next.Heartbeat)
		next = d.handleResult(next.Peer, reply, err, allowFollowUp)
	}
	d.mu.Lock()
	delete(d.inFlight, out.Peer.Host)
	d.mu.Unlock()
}

func (d *Driver) handleResult(peer basilmoor.Member, reply Heartbeat, err error, allowFollowUp bool) *OutgoingHeartbeat {
	d.mu.Lock()
	now := d.cfg.Clock.Now()
	if err != nil {
		d.state.HandleFailure(now, peer.Host)
		d.mu.Unlock()
		d.cfg.Logger.Debug().Err(err).Str("host", peer.Host).Msg("heartbeat failed")
		return nil
	}
	next := d.state.HandleReply(now, peer, reply, allowFollowUp)
	reports := d.takeVersions()
	d.mu.Unlock()
	d.reportVersions(reports)
	return next
}

// takeVersions returns the versions reported by peers since the last call. It
// also invalidates the cached list of live members, since it is called after
// each change of the state.
func (d *Driver) takeVersions() []VersionReport {
	d.liveValid = false
	return d.state.TakeVersionReports()
}

func (d *Driver) reportVersions(reports []VersionReport) {
	if d.cfg.OnVersion == nil {
		return
	}
	for _, n := range reports {
		d.cfg.OnVersion(n.Host, n.Version, n.Note)
	}
}

func (d *Driver) refreshStatus() {
	if d.cfg.Status != nil {
		d.state.SetStatus(d.cfg.Status())
	}
}
