package bmgrant

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmpeer"
	"basilmoor.example/basilmoor/internal/schedule/bmgrantpb"
)

// session is the broker's side of a session with one host. Its fields are
// guarded by the broker's mutex.
type session struct {
	host       string
	dataCentre string
	heard      basilmoor.Millis
	sent       basilmoor.Millis
	pending    *bmgrantpb.BrokerBatch
	wake       wakeUp        // when pending is to be sent
	ended      chan struct{} // closed at the end
	local      bool          // the host is this one
}

// attach begins a session with a host; an earlier one of the host ends.
func (b *Broker) attach(hello *bmgrantpb.Hello, local bool) *session {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if len(b.sessions) == 0 {
		b.reset()
		b.loaded = false
		b.hasRecord = false
		b.holdOff = now + warmUp
	}
	if old, ok := b.sessions[hello.GetHost()]; ok {
		b.end(now, old)
	}
	s := &session{
		host:       hello.GetHost(),
		dataCentre: hello.GetDataCentre(),
		heard:      now,
		pending:    &bmgrantpb.BrokerBatch{},
		wake:       newWakeUp(),
		ended:      make(chan struct{}),
		local:      local,
	}
	b.sessions[s.host] = s
	if !local {
		for _, u := range b.views.Since(hello.GetRevision()) {
			s.pending.Updates = append(s.pending.Updates, encodeUpdate(u))
		}
	}
	s.pending.Crashes = bmpeer.EncodeCrashes(b.crashes.Recent())
	b.shareView()
	b.applyView(now)
	s.wake.signal()
	b.log.Info().Str("peer", s.host).Int("sessions", len(b.sessions)).Msg("session with a host")
	return s
}

// shareView tells whether other hosts follow this host's view.
func (b *Broker) shareView() {
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
	b.end(b.clock.Now(), s)
}

func (b *Broker) end(now basilmoor.Millis, s *session) {
	if b.sessions[s.host] != s {
		return
	}
	delete(b.sessions, s.host)
	close(s.ended)
	b.shareView()
	b.setShare()
	for _, p := range b.pools {
		b.deliver(p.DropHost(now, s.host))
	}
}

// take removes what is to be sent.
func (b *Broker) take(s *session) *bmgrantpb.BrokerBatch {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := s.pending
	s.pending = &bmgrantpb.BrokerBatch{}
	s.sent = b.clock.Now()
	return batch
}
