package bmgrant

import (
	"slices"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmpeer"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
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

// closeUplink ends the session. The waiting demands stay undecided.
func (c *Client) closeUplink() {
	if c.uplink == nil {
		return
	}
	close(c.uplink.ended)
	if c.uplink.host == c.self.Host {
		c.broker.resign()
	}
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
	for _, e := range c.entries {
		if e.grantedAt == 0 {
			// The broker charges the demand itself.
			c.refundLocal(now, e)
		}
	}
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
	c.log.Warn().Err(err).Str("broker", u.host).Msg("session with the broker broke")
	c.leaveLostBroker(c.clock.Now())
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
		applyProof(c.broker.views, p)
		c.setRelayed(u)
	}
	c.lendView(u, batch)
	return nil
}

// setRelayed stops this host's own watch of the store while the broker relays its
// view.
func (c *Client) setRelayed(u *uplink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uplink == u {
		c.broker.views.SetRelayed(true)
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
	if successor := batch.GetSuccessor(); successor != nil {
		c.election.SuccessorAnnounced(decodeAnswer(successor).Broker)
	}
	c.broker.crashes.Merge(bmpeer.DecodeCrashes(batch.GetCrashes()))
	c.broker.history.Merge(now, decodeDeaths(now, batch.GetDeaths()))
	for _, r := range batch.GetRefusals() {
		c.refuse(basilmoor.Refusal{
			Request:    requestID(c.self.Host, r.GetNumber()),
			Reason:     basilmoor.Reason(r.GetReason()),
			Source:     basilmoor.RefusalSource(r.GetSource()),
			RetryAfter: basilmoor.Millis(r.GetRetryAfterMs()),
		})
	}
	for _, g := range batch.GetGrants() {
		c.handleGrant(now, g)
	}
}

// handleGrant processes a grant from the broker. If the request no longer waits, it
// returns the grant. If this host does not know the target or the target is leaving,
// it also submits the demand again with the target excluded.
func (c *Client) handleGrant(now basilmoor.Millis, g *bmgrantpb.Grant) {
	e, waits := c.entries[requestID(c.self.Host, g.GetNumber())]
	if !waits {
		c.uplink.pending.Observations = append(c.uplink.pending.Observations, encodeObservation(g.GetNumber(), basilmoor.Observation{
			Stage:  basilmoor.StageReturned,
			Target: g.GetTarget(),
		}))
		c.uplink.wake.signal()
		return
	}
	if e.grantedAt != 0 {
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
