package bmclaim

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

const (
	// verifyLockAttempts and verifyLockDelay bound how long a check for another host
	// waits for a commit.
	verifyLockAttempts = 20
	verifyLockDelay    = 20 * basilmoor.Millis(1)
)

// errNotVerified means that a host that may remember claims of a slot could not compare
// them with the log.
var errNotVerified = errors.New("another host could not compare its claims with the log")

// RememberClaims records claims that another host has made durable. They are written
// again if the store loses them.
func (c *Committer) RememberClaims(_ context.Context, r basilmoor.ClaimSegment) error {
	if r.Slot < 0 || r.Slot >= Slots || r.Sequence < 1 {
		return errors.Errorf("segment %d of slot %d: out of range", r.Sequence, r.Slot)
	}
	seg, err := decodeSegment(r.Value)
	if err != nil {
		return err
	}
	c.slots[r.Slot].memory.add(r.Sequence, seg, c.cfg.Clock.Now())
	return nil
}

// VerifyClaims compares what this host remembers of a slot with the log in the store, and
// writes again what the log has lost. end is the last batch of the log as the calling
// host has read it. The result is incomplete if the store did not answer or the slot is
// busy.
func (c *Committer) VerifyClaims(ctx context.Context, slot int, end string) (basilmoor.ClaimVerification, error) {
	if slot < 0 || slot >= Slots {
		return basilmoor.ClaimVerification{}, errors.Errorf("slot %d: out of range", slot)
	}
	s := c.slots[slot]
	for range verifyLockAttempts {
		// Lock could wait for a commit that waits for the calling host.
		if s.commitMu.TryLock() {
			defer s.commitMu.Unlock()
			complete := s.verify(ctx, end, false) == nil
			return basilmoor.ClaimVerification{
				Complete: complete,
				Last:     s.memory.highestSequence(),
			}, nil
		}
		if err := c.cfg.Clock.Sleep(ctx, verifyLockDelay); err != nil {
			return basilmoor.ClaimVerification{}, err
		}
	}
	return basilmoor.ClaimVerification{}, nil
}

// consultPeers makes sure that this committer may rely on the log, which a restoration of
// the store may have set back. The host that ranks first for a slot is told of all claims
// and asks the others once. Any other host may have missed claims, and asks each time.
// commitMu is held.
func (s *slot) consultPeers(ctx context.Context) error {
	if s.committer.cfg.Peers == nil {
		return nil
	}
	peers, first := s.committer.cfg.Peers(s.number)
	if first && (s.consulted || len(peers) == 0) {
		return nil
	}
	if err := s.refreshView(ctx); err != nil {
		return err
	}
	var last int64
	for _, p := range peers {
		v, err := p.VerifyClaims(ctx, s.number, s.view.lastBatch())
		if err != nil {
			// A host that is not reached holds up no claims.
			s.committer.increment("claims.peers-not-reached")
			continue
		}
		if !v.Complete {
			return errNotVerified
		}
		last = max(last, v.Last)
	}
	s.memory.addSequence(last)
	if err := s.verify(ctx, "", false); err != nil {
		return err
	}
	if err := s.catchUp(ctx); err != nil {
		return err
	}
	s.consulted = first
	if last >= s.view.nextSequence() {
		// Another host may have written on after a gap, at a number that was in use
		// before the log was set back.
		return s.readLog(ctx)
	}
	return nil
}

// tellPeer tells the host that ranks highest among the others of an appended segment.
func (s *slot) tellPeer(ctx context.Context, sequence int64, seg segment) {
	if s.committer.cfg.Peers == nil || len(seg.Entries) == 0 {
		return
	}
	peers, _ := s.committer.cfg.Peers(s.number)
	if len(peers) == 0 {
		return
	}
	value, err := seg.encode()
	if err == nil {
		err = peers[0].RememberClaims(ctx, basilmoor.ClaimSegment{
			Slot:     s.number,
			Sequence: sequence,
			Value:    value,
		})
	}
	if err != nil {
		s.committer.increment("claims.peers-not-told")
	}
}

// verifyPeriodically checks the log as verify does, within the pace of appends. Commits
// go on while it reads.
func (s *slot) verifyPeriodically(ctx context.Context) error {
	told, own := s.startCheck()
	complete, err := s.areStored(ctx, append(slices.Clone(told), own...))
	if err != nil {
		return err
	}
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	if !complete {
		return s.verify(ctx, "", true)
	}
	s.dropVerified(told, own)
	return s.rewriteLost(ctx, true)
}

// startCheck returns the segments to look for in the store, those of which other hosts
// have told and those of the view.
func (s *slot) startCheck() (told, own segmentRefs) {
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	s.memory.expire(s.now())
	if s.memory.isEmpty() && !s.knowsRecentSegment() {
		s.consulted = false
		return nil, nil
	}
	if s.committer.cfg.Peers != nil {
		if _, first := s.committer.cfg.Peers(s.number); !first {
			s.consulted = false
		}
	}
	return s.memory.unverifiedSegments(), slices.Clone(s.unverified)
}

// knowsRecentSegment reports whether the view may have claims that protect their keys.
func (s *slot) knowsRecentSegment() bool {
	n := len(s.unverified)
	return n > 0 && s.now()-s.unverified[n-1].since < claimExpiry
}

// dropVerified drops the segments that were found in the store from those to look for,
// except for the last ones.
func (s *slot) dropVerified(told, own segmentRefs) {
	s.memory.dropVerified(told.withoutLast())
	s.unverified = s.unverified.after(own.withoutLast())
}

// verify checks that the segments that this host knows of are still in the store, and
// writes again what the log has lost of their claims. A batch end that is not in the view
// makes it read the log. If paced, it stops when the next append would be too early, and
// goes on at the next call. commitMu is held.
func (s *slot) verify(ctx context.Context, end string, paced bool) error {
	told := s.memory.unverifiedSegments()
	complete, err := s.areStored(ctx, append(slices.Clone(told), s.unverified...))
	if err != nil {
		return err
	}
	if complete && (end == "" || s.view.containsBatch(end)) {
		s.dropVerified(told, s.unverified)
	} else if err := s.readLog(ctx); err != nil {
		return err
	}
	return s.rewriteLost(ctx, paced)
}

// areStored reports whether the store has the segments.
func (s *slot) areStored(ctx context.Context, refs segmentRefs) (bool, error) {
	for _, r := range refs {
		stored, err := s.isStored(ctx, r)
		if err != nil || !stored {
			return false, err
		}
	}
	return true, nil
}

func (s *slot) isStored(ctx context.Context, r segmentRef) (bool, error) {
	e, err := s.committer.cfg.Store.Get(ctx, segmentKey(s.number, r.sequence))
	var missing *basilmoor.NotFoundError
	if errors.As(err, &missing) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	seg, err := decodeSegment(e.Value)
	return err == nil && seg.Batch == r.batch, err
}

// adoptView replaces the view by one that was read from the store, and remembers the
// claims that it lacks. commitMu is held.
func (s *slot) adoptView(v *view) {
	now := s.now()
	s.memory.addMissing(s.view, v, now)
	told := s.memory.unverifiedSegments()
	for _, r := range append(slices.Clone(told), s.unverified...) {
		if r.isLost(v, now) {
			s.claimsLost = true
			s.committer.increment("claims.logs-set-back")
			s.committer.cfg.Log.Warn().
				Int("slot", s.number).
				Int64("segment", r.sequence).
				Int64("next", v.nextSequence()).
				Msg("the store has lost claims")
			break
		}
	}
	s.memory.dropVerified(told)
	s.view = v
	s.viewLoaded = true
	s.unverified = nil
	if len(v.segments) > 0 {
		s.unverified = append(s.unverified, s.lastSegment())
	}
	s.memory.addSequence(v.nextSequence() - 1)
}

// rewriteLost appends the remembered claims that the log has lost. commitMu is held.
func (s *slot) rewriteLost(ctx context.Context, paced bool) error {
	conflicts := 0
	for s.claimsLost {
		if paced && s.pacer.nextAppendAt > s.now() {
			return nil
		}
		entries := s.memory.missing(s.view, s.now())
		if len(entries) == 0 {
			s.claimsLost = false
			return nil
		}
		err := s.appendSegment(ctx, entries)
		if errors.Is(err, errConflict) && conflicts < maxCommitAttempts {
			conflicts++
			err = s.refreshView(ctx)
		}
		if err != nil {
			return err
		}
		s.committer.increment("claims.segments-rewritten")
	}
	return nil
}
