package bmclaim

import (
	"context"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

// OwnerFunc returns a client for the owner of a slot. It returns false if this
// host owns the slot or the slot has no owner.
type OwnerFunc func(slot int) (basilmoor.Claimer, bool)

// Router sends claims to the owners of their slots and falls back to the local
// committer when an owner is unavailable. The fallback is safe because
// exclusion is ensured by the store's compare-and-swap, not by ownership.
type Router struct {
	clock basilmoor.Clock
	local basilmoor.Claimer
	owner OwnerFunc
}

var _ basilmoor.Claimer = (*Router)(nil)

// ownerTimeout is the time limit of a call to an owner. It leaves the caller
// enough time to commit through the local committer.
const ownerTimeout = basilmoor.Second

// NewRouter returns a router that falls back to the given local committer.
func NewRouter(clock basilmoor.Clock, local basilmoor.Claimer, owner OwnerFunc) *Router {
	return &Router{
		clock: clock,
		local: local,
		owner: owner,
	}
}

// Claim forwards a claim to the owner of the key's slot, or to the local
// committer if the owner is unavailable.
func (r *Router) Claim(ctx context.Context, c basilmoor.ClaimRequest) (basilmoor.Claim, error) {
	owner, ok := r.owner(Slot(c.Workspace, c.Key))
	if !ok {
		return r.local.Claim(ctx, c)
	}
	ownerCtx, cancel := bmclock.WithTimeout(ctx, r.clock, ownerTimeout)
	defer cancel()
	found, err := owner.Claim(ownerCtx, c)
	if ownerUnavailable(ctx, ownerCtx, err) {
		return r.local.Claim(ctx, c)
	}
	return found, err
}

// Record forwards a record to the owner of the key's slot, or to the local
// committer if the owner is unavailable.
func (r *Router) Record(ctx context.Context, c basilmoor.ClaimRecord) error {
	owner, ok := r.owner(Slot(c.Workspace, c.Key))
	if !ok {
		return r.local.Record(ctx, c)
	}
	ownerCtx, cancel := bmclock.WithTimeout(ctx, r.clock, ownerTimeout)
	defer cancel()
	err := owner.Record(ownerCtx, c)
	if ownerUnavailable(ctx, ownerCtx, err) {
		return r.local.Record(ctx, c)
	}
	return err
}

// ownerUnavailable reports whether a call to the owner failed or timed out
// while the caller's own context is still active.
func ownerUnavailable(ctx, ownerCtx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil {
		return false
	}
	var u *basilmoor.UnavailableError
	return errors.As(err, &u) || ownerCtx.Err() != nil
}
