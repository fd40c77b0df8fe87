package bmcommand

import (
	"basilmoor.example/basilmoor"
)

// lease is this host's right to send commands.
type lease struct {
	held   bool
	fence  int64
	expiry basilmoor.Millis

	// quiet is the instant until which a call of the previous holder may be
	// under way at targets that ignore fencing numbers.
	quiet basilmoor.Millis
}

// allows reports whether a command may be sent to a target now.
func (l lease) allows(now basilmoor.Millis, checksFencing bool) bool {
	if !l.held || now >= l.expiry {
		return false
	}
	return checksFencing || now >= l.quiet
}

// Elected begins the term of this host. Asked is the instant at which the
// lease was asked for; its time counts from then, since the store may have
// granted it at once. Fence must be higher than that of every earlier holder.
func (r *Reconciler) Elected(now, asked basilmoor.Millis, fence int64) {
	r.lease = lease{
		held:   true,
		fence:  fence,
		expiry: asked + r.cfg.LeaseTTL,
		quiet:  now + r.cfg.LeaseTTL + r.cfg.LongestCall,
	}
	// The previous holder may just have used up the burst.
	r.bucket.tokens = 0
	r.bucket.at = now
}

// Renewed extends the term from the instant at which the renewal was asked
// for. A renewal that comes after the end has no effect: another host may have
// been elected.
func (r *Reconciler) Renewed(now, asked basilmoor.Millis) {
	if r.lease.held && now < r.lease.expiry {
		r.lease.expiry = max(r.lease.expiry, asked+r.cfg.LeaseTTL)
	}
}

// Deposed ends the term. The next ticks lift this host's drain marks, each when
// no call to its target can be under way any more.
func (r *Reconciler) Deposed() { r.lease = lease{} }

// Begin reports whether a command may be sent, and must be called immediately
// before: the process may have been paused since Tick returned the command. A
// command that may not be sent is dropped.
func (r *Reconciler) Begin(now basilmoor.Millis, c Command) bool {
	t := r.targets[c.Target.Name]
	if t == nil || t.pending == nil || t.pending.ID != c.ID {
		return false
	}
	if c.Fence != r.lease.fence || !r.lease.allows(now, c.Target.ChecksFencing) {
		t.pending = nil
		return false
	}
	t.sentAt = now
	return true
}
