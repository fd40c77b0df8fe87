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
	// brokerKey is the key by which all hosts choose the same broker.
	brokerKey = "broker"

	// lostSessionSuspicion is how long a host is not chosen as the broker after
	// a session with it was lost or could not be opened.
	lostSessionSuspicion = 2 * basilmoor.Second

	// lostStoreSuspicion is how long a host is not chosen as the broker after it
	// has lost the store. It exceeds the lifetime of a registration that is not
	// renewed, 10 s: by then the host is no longer a candidate or has regained
	// the store.
	lostStoreSuspicion = 12 * basilmoor.Second

	// minCapacityShare is the least capacity of a broker's host, as a fraction
	// of the largest capacity among the candidates.
	minCapacityShare = 0.9
)

// uplink is the host's side of a session with a broker. Its fields are guarded
// by the client's mutex.
type uplink struct {
	host         string
	link         link
	lastReceived basilmoor.Millis
	lastSent     basilmoor.Millis
	pending      *bmgrantpb.HostBatch
	wake         wakeUp        // signalled when pending should be sent
	ended        chan struct{} // closed when the session ends
}

// maintainUplink ends the session if it has fallen silent, and opens one with the
// preferred broker unless there is one.
func (c *Client) maintainUplink(ctx context.Context, now basilmoor.Millis) {
	if c.uplink != nil && now-c.uplink.lastReceived >= sessionTimeout {
		c.log.Warn().Str("broker", c.uplink.host).Int64("silent-ms", int64(now-c.uplink.lastReceived)).Msg("broker lost")
		c.metrics.Add("grants.broker-lost", 1)
		c.suspectedUntil[c.uplink.host] = now + lostSessionSuspicion
		c.fallBackToLocal(now)
	}
	preferred, ok := c.preferredBroker(now)
	if !ok || c.opening || c.uplink != nil && c.uplink.host == preferred.Host {
		return
	}
	c.opening = true
	c.start(&sessionOpener{
		client: c,
		ctx:    ctx,
		to:     preferred,
	})
}

// preferredBroker returns the host to choose as the broker. All hosts with the
// same view choose the same one, unless they suspect different hosts.
func (c *Client) preferredBroker(now basilmoor.Millis) (basilmoor.Member, bool) {
	candidates := slices.DeleteFunc(slices.Clone(c.view.Hosts()), func(m basilmoor.Member) bool {
		return now < c.suspectedUntil[m.Host]
	})
	maxCapacity := 0
	for _, m := range candidates {
		maxCapacity = max(maxCapacity, m.Capacity)
	}
	eligible := slices.DeleteFunc(candidates, func(m basilmoor.Member) bool {
		return float64(m.Capacity) < minCapacityShare*float64(maxCapacity)
	})
	return bmmember.Owner(brokerKey, eligible)
}

// hello returns the message that opens a session.
func (c *Client) hello() *bmgrantpb.Hello {
	return &bmgrantpb.Hello{
		Host:        c.self.Host,
		DataCentre:  c.self.DataCentre,
		Incarnation: c.self.Incarnation,
		Revision:    c.broker.views.Revision(),
	}
}

// sessionOpened replaces the session by one that was opened, or suspects the
// broker if opening it failed.
func (c *Client) sessionOpened(l link, err error, to basilmoor.Member) {
	hello := c.hello()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.opening = false
	if err != nil {
		c.suspectedUntil[to.Host] = now + lostSessionSuspicion
		c.log.Warn().Err(err).Str("broker", to.Host).Msg("broker not reached")
		return
	}
	c.closeUplink()
	c.uplink = &uplink{
		host:         to.Host,
		link:         l,
		lastReceived: now,
		lastSent:     now,
		pending: &bmgrantpb.HostBatch{
			Hello:   hello,
			Crashes: bmpeer.EncodeCrashes(c.broker.crashes.Recent()),
		},
		wake:  newWakeUp(),
		ended: make(chan struct{}),
	}
	c.localPools = map[string]*Pool{}
	c.log.Info().Str("broker", to.Host).Int("waiting", len(c.entries)).Msg("broker chosen")
	c.resubmit(now)
	c.uplink.wake.signal()
	c.start(&uplinkSender{
		client: c,
		uplink: c.uplink,
	})
	c.start(&uplinkReceiver{
		client: c,
		uplink: c.uplink,
	})
}

// closeUplink ends the session. The waiting demands stay undecided.
func (c *Client) closeUplink() {
	if c.uplink == nil {
		return
	}
	close(c.uplink.ended)
	c.broker.views.SetRelayed(false)
	c.start(&linkCloser{
		link: c.uplink.link,
	})
	c.uplink = nil
}

// fallBackToLocal ends the session and schedules the waiting demands with local
// pools.
func (c *Client) fallBackToLocal(now basilmoor.Millis) {
	c.closeUplink()
	c.rebuildLocalPools(now)
}

// resubmit sends a new broker this host's waiting demands, its requests in
// progress, and what it has spent of the quotas.
func (c *Client) resubmit(now basilmoor.Millis) {
	c.quotas.forEach(now, func(workspace string, s spending) {
		c.uplink.pending.Spendings = append(c.uplink.pending.Spendings, &bmgrantpb.Spending{
			Workspace: workspace,
			Tokens:    int64(s.tokens),
			AgeMs:     int64(now - s.at),
			Assumed:   s.assumed,
		})
	})
	for _, e := range c.sortedEntries() {
		d := e.remaining(now)
		if e.grantedAt == 0 {
			c.uplink.pending.Demands = append(c.uplink.pending.Demands, encodeDemand(e.number, d))
			continue
		}
		c.uplink.pending.Observations = append(c.uplink.pending.Observations, encodeObservation(e.number, e.grantState(d)))
	}
}

// takePending removes and returns the batch to send.
func (c *Client) takePending(u *uplink) *bmgrantpb.HostBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := u.pending
	u.pending = &bmgrantpb.HostBatch{}
	u.lastSent = c.clock.Now()
	batch.Stamp = uint64(u.lastSent)
	return batch
}

// sessionLost falls back to local scheduling after a session broke.
func (c *Client) sessionLost(u *uplink, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uplink != u {
		return
	}
	now := c.clock.Now()
	c.log.Warn().Err(err).Str("broker", u.host).Msg("session with the broker broke")
	c.metrics.Add("grants.broker-lost", 1)
	c.suspectedUntil[u.host] = now + lostSessionSuspicion
	c.fallBackToLocal(now)
}

// errUpdateGap reports that the broker's updates start after a revision that
// this host does not have.
var errUpdateGap = errors.New("updates of the view are missing")

// applyUpdates applies the broker's updates and proof to this host's view. It
// must be called without the mutex, because a new view is passed to SetView.
func (c *Client) applyUpdates(u *uplink, batch *bmgrantpb.BrokerBatch) error {
	updates, err := decodeUpdates(batch.GetUpdates())
	if err != nil {
		return err
	}
	if !c.broker.views.ApplyRelayed(updates) {
		return errUpdateGap
	}
	p := batch.GetProof()
	if p != nil {
		c.broker.views.Confirm(basilmoor.Millis(p.GetEcho()) - basilmoor.Millis(p.GetAgeMs()))
	}
	age, known := c.broker.views.Age()
	fresher := p != nil && basilmoor.Millis(p.GetAgeMs()) >= staleProofAge && known && age < staleProofAge
	c.updateBrokerTrust(u, p != nil, fresher || batch.GetLeaving())
	return nil
}

// updateBrokerTrust stops this host's own watch of the store while the broker
// relays its view, and suspects a broker that has lost the store while other
// hosts have not. The session continues until another one is open.
func (c *Client) updateBrokerTrust(u *uplink, relays, lostStore bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uplink != u {
		return
	}
	if relays {
		c.broker.views.SetRelayed(true)
	}
	now := c.clock.Now()
	if lostStore && now >= c.suspectedUntil[u.host] {
		c.suspectedUntil[u.host] = now + lostStoreSuspicion
		c.log.Warn().Str("broker", u.host).Msg("broker has lost the store")
	}
}

// handleBatch processes a batch from the broker.
func (c *Client) handleBatch(u *uplink, batch *bmgrantpb.BrokerBatch) {
	if err := c.applyUpdates(u, batch); err != nil {
		c.sessionLost(u, err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uplink != u {
		return
	}
	now := c.clock.Now()
	u.lastReceived = now
	c.broker.crashes.Merge(bmpeer.DecodeCrashes(batch.GetCrashes()))
	for _, r := range batch.GetRefusals() {
		c.refuse(basilmoor.Refusal{
			Request:    requestID(c.self.Host, r.GetNumber()),
			Reason:     basilmoor.Reason(r.GetReason()),
			RetryAfter: basilmoor.Millis(r.GetRetryAfterMs()),
		})
	}
	for _, g := range batch.GetGrants() {
		c.handleGrant(now, g)
	}
}

// handleGrant processes a grant from the broker. If this host does not know the
// target or the target is leaving, it returns the grant and submits the demand
// again with the target excluded.
func (c *Client) handleGrant(now basilmoor.Millis, g *bmgrantpb.Grant) {
	e, waits := c.entries[requestID(c.self.Host, g.GetNumber())]
	if !waits || e.grantedAt != 0 {
		return
	}
	t, known := c.targets[g.GetTarget()]
	if known && !t.Leaving {
		c.quotas.charge(now, e.demand.Workspace, e.demand.Charge)
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
	c.register(e)
	c.submitEntry(now, e)
}
