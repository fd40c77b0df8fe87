package bmgrant

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmpeer"
	"basilmoor.example/basilmoor/internal/schedule/bmelection"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

// maintainUplink ends the session if it has fallen silent, and starts the next
// action of the election.
func (c *Client) maintainUplink(ctx context.Context, now basilmoor.Millis) {
	if c.uplink != nil && now-c.uplink.lastReceived >= sessionTimeout {
		c.log.Warn().Str("broker", c.uplink.host).Int64("silent-ms", int64(now-c.uplink.lastReceived)).Msg("broker lost")
		c.leaveLostBroker(now)
	}
	if c.electing {
		return
	}
	action := c.election.Step(now, c.broker.sessionCount())
	if action.Kind == bmelection.ActionNone {
		return
	}
	c.electing = true
	c.start(&electionStep{
		client: c,
		ctx:    ctx,
		action: action,
	})
}

// leaveLostBroker schedules locally after the session with the broker was lost.
func (c *Client) leaveLostBroker(now basilmoor.Millis) {
	c.metrics.Add("grants.broker-lost", 1)
	c.election.Lost(now)
	c.fallBackToLocal(now)
}

func (c *Client) electionStepDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.electing = false
}

// Drain hands the role of the broker to another host if this host has it. It is
// not taken again.
func (c *Client) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.election.Drain()
}

// leads reports whether this host is the broker.
func (c *Client) leads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.election.Leads()
}

// followed returns what this host says about its broker.
func (c *Client) followed() bmelection.Answer {
	sessions := c.broker.sessionCount()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.election.Answer(sessions)
	if a.Broker.Host == c.self.Host {
		a.Broker = c.self
	}
	return a
}

// askAll asks hosts which broker they follow. It returns their answers and the
// hosts that did not answer.
func (c *Client) askAll(ctx context.Context, peers []basilmoor.Member) ([]bmelection.Answer, []basilmoor.Member) {
	var done sync.WaitGroup
	var questions []*peerQuestion
	for _, m := range peers {
		q := &peerQuestion{
			client: c,
			ctx:    ctx,
			to:     m,
			done:   &done,
		}
		questions = append(questions, q)
		done.Add(1)
		go q.run()
	}
	done.Wait()
	var answers []bmelection.Answer
	var unreachable []basilmoor.Member
	for _, q := range questions {
		if q.err != nil {
			unreachable = append(unreachable, q.to)
			continue
		}
		answers = append(answers, q.answer)
	}
	return answers, unreachable
}

// answered passes the answers of the hosts that were asked to the election.
func (c *Client) answered(answers []bmelection.Answer, unreachable []basilmoor.Member) bmelection.Action {
	sessions := c.broker.sessionCount()
	c.mu.Lock()
	defer c.mu.Unlock()
	leads := c.election.Leads()
	action := c.election.Answered(c.clock.Now(), answers, unreachable, sessions)
	if leads && action.Kind != bmelection.ActionNone {
		c.metrics.Add("grants.other-broker", 1)
		c.log.Warn().Str("other", action.To[0].Host).Int("sessions", sessions).Msg("another broker is active")
	}
	return action
}

// lead makes this host the broker and opens the session with itself.
func (c *Client) lead() {
	c.broker.activate()
	l, err := newLocalLink(c.broker, c.hello())
	if err != nil {
		return
	}
	c.sessionOpened(l, nil, c.self)
}

// hello returns the message that opens a session.
func (c *Client) hello() *bmgrantpb.Hello {
	position := c.broker.views.Position()
	return &bmgrantpb.Hello{
		Host:        c.self.Host,
		DataCentre:  c.self.DataCentre,
		Incarnation: c.self.Incarnation,
		Era:         position.Era,
		Revision:    position.Revision,
	}
}

// sessionOpened replaces the session by one that was opened. If opening it
// failed, it returns the next action of the election.
func (c *Client) sessionOpened(l link, err error, to basilmoor.Member) bmelection.Action {
	hello := c.hello()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	var notBroker *NotBrokerError
	switch {
	case errors.As(err, &notBroker):
		c.metrics.Add("grants.redirected", 1)
		return c.election.Redirected(now, notBroker.Answer)
	case err != nil:
		c.log.Warn().Err(err).Str("broker", to.Host).Msg("broker not reached")
		c.election.Failed(now, to)
		return bmelection.Action{}
	}
	if c.uplink != nil && c.uplink.host == c.self.Host {
		c.broker.retire(to)
	}
	c.closeUplink()
	c.election.Opened(now, to)
	c.uplink = &uplink{
		host:         to.Host,
		link:         l,
		lastReceived: now,
		lastSent:     now,
		pending: &bmgrantpb.HostBatch{
			Hello:   hello,
			Crashes: bmpeer.EncodeCrashes(c.broker.crashes.Recent()),
			Deaths:  encodeDeaths(now, c.broker.history.Records(now)),
		},
		wake:  newWakeUp(),
		ended: make(chan struct{}),
	}
	c.localPools = map[string]*Pool{}
	c.metrics.Add("grants.broker-chosen", 1)
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
	return bmelection.Action{}
}
