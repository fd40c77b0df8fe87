package bmgrant

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmpeer"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

// session is the broker's side of a session with one host. Its fields are
// guarded by the broker's mutex.
type session struct {
	host         string
	dataCentre   string
	lastReceived basilmoor.Millis
	lastSent     basilmoor.Millis
	pending      *bmgrantpb.BrokerBatch
	wake         wakeUp        // signalled when pending should be sent
	ended        chan struct{} // closed when the session ends
	local        bool          // with the client on this host
}

// attach starts a session with a host and ends an earlier one of the same host.
// It returns false if this host is not the broker.
func (b *Broker) attach(hello *bmgrantpb.Hello, local bool) (*session, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if !b.active {
		return nil, false
	}
	if old, ok := b.sessions[hello.GetHost()]; ok {
		b.endSession(now, old)
	}
	s := &session{
		host:         hello.GetHost(),
		dataCentre:   hello.GetDataCentre(),
		lastReceived: now,
		pending:      &bmgrantpb.BrokerBatch{},
		wake:         newWakeUp(),
		ended:        make(chan struct{}),
		local:        local,
	}
	b.sessions[s.host] = s
	if !local {
		for _, u := range b.views.UpdatesSince(positionIn(hello)) {
			s.pending.Updates = append(s.pending.Updates, encodeUpdate(u))
		}
	}
	s.pending.Crashes = bmpeer.EncodeCrashes(b.crashes.Recent())
	s.pending.Deaths = encodeDeaths(now, b.history.Records(now))
	b.updateViewShared()
	b.applyView(now)
	s.wake.signal()
	b.log.Info().Str("peer", s.host).Int("sessions", len(b.sessions)).Msg("session with a host")
	return s, true
}

// updateViewShared informs the view whether other hosts follow it.
func (b *Broker) updateViewShared() {
	shared := false
	for _, s := range b.sessions {
		shared = shared || !s.local
	}
	b.views.SetShared(shared)
}

// detach ends a session.
func (b *Broker) detach(s *session) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endSession(b.clock.Now(), s)
}

// endSession ends a session, unless it was replaced, and drops its host's demands
// and grants.
func (b *Broker) endSession(now basilmoor.Millis, s *session) {
	if b.sessions[s.host] != s {
		return
	}
	delete(b.sessions, s.host)
	close(s.ended)
	b.updateViewShared()
	b.setShare()
	for _, p := range b.pools {
		b.deliver(p.DropHost(now, s.host))
	}
}

// takePending removes and returns the batch to send.
func (b *Broker) takePending(s *session) *bmgrantpb.BrokerBatch {
	// The view may call the broker while it is locked.
	position := b.views.Position()
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := s.pending
	s.pending = &bmgrantpb.BrokerBatch{}
	s.lastSent = b.clock.Now()
	batch.Stamp = uint64(s.lastSent)
	batch.Era = position.Era
	batch.Revision = position.Revision
	return batch
}
