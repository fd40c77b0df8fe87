package bmcommand

import (
	"basilmoor.example/basilmoor"
)

// lease is this host's permission to send commands.
type lease struct {
	held          bool
	fencingNumber int64
	expiry        basilmoor.Millis

	// previousCallsEnd is the time by which all calls of the previous holder
	// have ended. Targets that don't check fencing numbers get no command
	// before.
	previousCallsEnd basilmoor.Millis
}

// allowsCommand reports whether a command may be sent now. checksFencing tells
// whether its target checks fencing numbers.
func (l lease) allowsCommand(now basilmoor.Millis, checksFencing bool) bool {
	if !l.held || now >= l.expiry {
		return false
	}
	return checksFencing || now >= l.previousCallsEnd
}

// LeaseAcquired records that this host acquired the lease. The lease expires
// LeaseTTL after requestedAt, because the store may have granted it at any time
// since then. fencingNumber must be higher than that of every earlier holder.
func (r *Reconciler) LeaseAcquired(now, requestedAt basilmoor.Millis, fencingNumber int64) {
	r.lease = lease{
		held:             true,
		fencingNumber:    fencingNumber,
		expiry:           requestedAt + r.cfg.LeaseTTL,
		previousCallsEnd: now + r.cfg.LeaseTTL + r.cfg.CallTimeout,
	}
	// The previous holder may have used up the burst just before.
	r.loadLimit.tokens = 0
	r.loadLimit.updatedAt = now
}

// LeaseRenewed extends the lease to LeaseTTL after requestedAt, the time at
// which the renewal was requested. It has no effect once the lease has expired,
// because another host may have acquired it.
func (r *Reconciler) LeaseRenewed(now, requestedAt basilmoor.Millis) {
	if r.lease.held && now < r.lease.expiry {
		r.lease.expiry = max(r.lease.expiry, requestedAt+r.cfg.LeaseTTL)
	}
}

// LeaseLost records that this host lost the lease. Later calls of Tick end its
// drains, each once no call to the target can be in progress.
func (r *Reconciler) LeaseLost() { r.lease = lease{} }

// ConfirmSend reports whether a command may be sent now. It must be called
// immediately before sending, because the process may have been paused since
// Tick returned the command. A command that may not be sent is discarded.
func (r *Reconciler) ConfirmSend(now basilmoor.Millis, c Command) bool {
	t := r.targets[c.Target.Name]
	if t == nil || t.pendingCommand == nil || t.pendingCommand.ID != c.ID {
		return false
	}
	if c.FencingNumber != r.lease.fencingNumber || !r.lease.allowsCommand(now, c.Target.ChecksFencing) {
		t.pendingCommand = nil
		return false
	}
	t.sentAt = now
	return true
}
