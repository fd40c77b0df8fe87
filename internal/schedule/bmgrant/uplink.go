package bmgrant

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmmember"
	"basilmoor.example/basilmoor/internal/fleet/bmpeer"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

const (
	// brokerKey is what the broker's host is chosen for.
	brokerKey = "broker"

	// suspectBroker is how long a host whose session was lost is not chosen.
	suspectBroker = 2 * basilmoor.Second

	// suspectCutOff is the same for a host that has lost the store. It exceeds
	// the life of a registration that is not renewed, 10 s: after it the host
	// is no candidate any more, or has the store again.
	suspectCutOff = 12 * basilmoor.Second

	// ableShare is the share of the largest capacity from which a host may be
	// the broker.
	ableShare = 0.9
)

// uplink is the host's side of a session with a broker. Its fields are guarded
// by the client's mutex.
type uplink struct {
	host    string
	link    link
	heard   basilmoor.Millis
	sent    basilmoor.Millis
	pending *bmgrantpb.HostBatch
	wake    wakeUp        // when pending is to be sent
	ended   chan struct{} // closed at the end
}

// manage keeps the session with the broker that this host prefers.
func (c *Client) manage(ctx context.Context, now basilmoor.Millis) {
	if c.up != nil && now-c.up.heard >= silenceBound {
		c.log.Warn().Str("broker", c.up.host).Int64("silent-ms", int64(now-c.up.heard)).Msg("broker lost")
		c.metrics.Add("grants.broker-lost", 1)
		c.suspects[c.up.host] = now + suspectBroker
		c.drop(now)
	}
	preferred, ok := c.preferred(now)
	if !ok || c.opening || c.up != nil && c.up.host == preferred.Host {
		return
	}
	c.opening = true
	c.start(&opener{
		client: c,
		ctx:    ctx,
		to:     preferred,
	})
}

// preferred is the registered host that all hosts choose as the broker, as
// long as this host does not suspect it.
func (c *Client) preferred(now basilmoor.Millis) (basilmoor.Member, bool) {
	candidates := slices.DeleteFunc(slices.Clone(c.view.Hosts()), func(m basilmoor.Member) bool {
		return now < c.suspects[m.Host]
	})
	most := 0
	for _, m := range candidates {
		most = max(most, m.Capacity)
	}
	able := slices.DeleteFunc(candidates, func(m basilmoor.Member) bool {
		return float64(m.Capacity) < ableShare*float64(most)
	})
	return bmmember.Owner(brokerKey, able)
}

func (c *Client) hello() *bmgrantpb.Hello {
	return &bmgrantpb.Hello{
		Host:        c.self.Host,
		DataCentre:  c.self.DataCentre,
		Incarnation: c.self.Incarnation,
		Revision:    c.broker.views.Revision(),
	}
}

func (c *Client) opened(l link, err error, to basilmoor.Member) {
	hello := c.hello()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.opening = false
	if err != nil {
		c.suspects[to.Host] = now + suspectBroker
		c.log.Warn().Err(err).Str("broker", to.Host).Msg("broker not reached")
		return
	}
	c.release()
	c.up = &uplink{
		host:  to.Host,
		link:  l,
		heard: now,
		sent:  now,
		pending: &bmgrantpb.HostBatch{
			Hello:   hello,
			Crashes: bmpeer.EncodeCrashes(c.broker.crashes.Recent()),
		},
		wake:  newWakeUp(),
		ended: make(chan struct{}),
	}
	c.own = map[string]*Pool{}
	c.log.Info().Str("broker", to.Host).Int("waiting", len(c.entries)).Msg("broker chosen")
	c.resubmit(now)
	c.up.wake.signal()
	c.start(&uplinkSender{
		client: c,
		uplink: c.up,
	})
	c.start(&uplinkReceiver{
		client: c,
		uplink: c.up,
	})
}

// release ends the session without serving the waiting demands.
func (c *Client) release() {
	if c.up == nil {
		return
	}
	close(c.up.ended)
	c.broker.views.SetRelayed(false)
	c.start(&linkClose{
		link: c.up.link,
	})
	c.up = nil
}

// drop ends the session. This host serves its waiting demands itself.
func (c *Client) drop(now basilmoor.Millis) {
	c.release()
	c.resetOwn(now)
}

// resubmit tells a new broker what waits, what is in progress, and what this
// host has spent of the allowances.
func (c *Client) resubmit(now basilmoor.Millis) {
	c.allowances.each(now, func(workspace string, s spending) {
		c.up.pending.Spendings = append(c.up.pending.Spendings, &bmgrantpb.Spending{
			Workspace: workspace,
			Tokens:    int64(s.tokens),
			AgeMs:     int64(now - s.at),
			Assumed:   s.assumed,
		})
	})
	for _, e := range c.sorted() {
		d := e.remaining(now)
		if e.received == 0 {
			c.up.pending.Demands = append(c.up.pending.Demands, encodeDemand(e.number, d))
			continue
		}
		c.up.pending.Observations = append(c.up.pending.Observations, encodeObservation(e.number, e.open(d)))
	}
}

// take removes what is to be sent.
func (c *Client) take(u *uplink) *bmgrantpb.HostBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := u.pending
	u.pending = &bmgrantpb.HostBatch{}
	u.sent = c.clock.Now()
	batch.Stamp = uint64(u.sent)
	return batch
}

// lost ends a session whose link broke.
func (c *Client) lost(u *uplink, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.up != u {
		return
	}
	now := c.clock.Now()
	c.log.Warn().Err(err).Str("broker", u.host).Msg("session with the broker broke")
	c.metrics.Add("grants.broker-lost", 1)
	c.suspects[u.host] = now + suspectBroker
	c.drop(now)
}

// errGap tells that the broker's view goes on after one that this host lacks.
var errGap = errors.New("steps of the view are missing")

// follow takes over the broker's view. It must not be called with the mutex
// held, because a new view is passed to the client.
func (c *Client) follow(u *uplink, batch *bmgrantpb.BrokerBatch) error {
	updates, err := decodeUpdates(batch.GetUpdates())
	if err != nil {
		return err
	}
	if !c.broker.views.Relay(updates) {
		return errGap
	}
	p := batch.GetProof()
	if p != nil {
		c.broker.views.Confirm(basilmoor.Millis(p.GetEcho()) - basilmoor.Millis(p.GetAgeMs()))
	}
	age, known := c.broker.views.Age()
	fresher := p != nil && basilmoor.Millis(p.GetAgeMs()) >= staleProof && known && age < staleProof
	c.judge(u, p != nil, fresher || batch.GetLeaving())
	return nil
}

// judge stops this host's own watch while a broker relays its view, and
// suspects a broker that has lost the store while others have not. The session
// goes on until there is another one.
func (c *Client) judge(u *uplink, relays, cutOff bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.up != u {
		return
	}
	if relays {
		c.broker.views.SetRelayed(true)
	}
	now := c.clock.Now()
	if cutOff && now >= c.suspects[u.host] {
		c.suspects[u.host] = now + suspectCutOff
		c.log.Warn().Str("broker", u.host).Msg("broker has lost the store")
	}
}

// receive takes a batch of the broker.
func (c *Client) receive(u *uplink, batch *bmgrantpb.BrokerBatch) {
	if err := c.follow(u, batch); err != nil {
		c.lost(u, err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.up != u {
		return
	}
	now := c.clock.Now()
	u.heard = now
	c.broker.crashes.Merge(bmpeer.DecodeCrashes(batch.GetCrashes()))
	for _, r := range batch.GetRefusals() {
		c.refuse(basilmoor.Refusal{
			Request:    requestID(c.self.Host, r.GetNumber()),
			Reason:     basilmoor.Reason(r.GetReason()),
			RetryAfter: basilmoor.Millis(r.GetRetryAfterMs()),
		})
	}
	for _, g := range batch.GetGrants() {
		c.granted(now, g)
	}
}

// granted takes a grant of the broker. One of a target that this host does not
// know is given back, and the demand made again without it.
func (c *Client) granted(now basilmoor.Millis, g *bmgrantpb.Grant) {
	e, waits := c.entries[requestID(c.self.Host, g.GetNumber())]
	if !waits || e.received != 0 {
		return
	}
	t, known := c.targets[g.GetTarget()]
	if known && !t.Leaving {
		c.allowances.spend(now, e.demand.Workspace, e.demand.Charge)
		c.grant(e, t)
		return
	}
	c.metrics.Retry(basilmoor.ReasonNoTarget)
	delete(c.entries, e.demand.Request)
	c.report(e, basilmoor.Observation{
		Stage:  basilmoor.StageReturned,
		Target: g.GetTarget(),
	})
	e.demand.Excluded = append(slices.Clone(e.demand.Excluded), g.GetTarget())
	c.enter(e)
	c.offer(now, e)
}
