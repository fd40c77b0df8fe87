package bmclaim

import (
	"context"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

// OwnerFunc returns the owner of a slot; false if it is this host or if there
// is none.
type OwnerFunc func(slot int) (basilmoor.Claimer, bool)

// Router sends claims to the owners of their slots. When an owner does not
// answer, the local committer does its work: safety rests on the store's
// compare-and-swap and not on the owner.
type Router struct {
	clock basilmoor.Clock
	local basilmoor.Claimer
	owner OwnerFunc
}

var _ basilmoor.Claimer = (*Router)(nil)

// ownerBound is the time after which an owner counts as not answering. It
// leaves the caller time for its own way to the store.
const ownerBound = basilmoor.Second

// NewRouter returns a router over a local committer.
func NewRouter(clock basilmoor.Clock, local basilmoor.Claimer, owner OwnerFunc) *Router {
	return &Router{
		clock: clock,
		local: local,
		owner: owner,
	}
}

// Claim asks the owner of the key's slot, else the local committer.
func (r *Router) Claim(ctx context.Context, c basilmoor.ClaimRequest) (basilmoor.Claim, error) {
	owner, ok := r.owner(Slot(c.Workspace, c.Key))
	if !ok {
		return r.local.Claim(ctx, c)
	}
	bounded, cancel := bmclock.WithTimeout(ctx, r.clock, ownerBound)
	defer cancel()
	found, err := owner.Claim(bounded, c)
	if unanswered(ctx, bounded, err) {
		return r.local.Claim(ctx, c)
	}
	return found, err
}

// Record records at the owner of the key's slot, else at the local committer.
func (r *Router) Record(ctx context.Context, c basilmoor.ClaimRecord) error {
	owner, ok := r.owner(Slot(c.Workspace, c.Key))
	if !ok {
		return r.local.Record(ctx, c)
	}
	bounded, cancel := bmclock.WithTimeout(ctx, r.clock, ownerBound)
	defer cancel()
	err := owner.Record(bounded, c)
	if unanswered(ctx, bounded, err) {
		return r.local.Record(ctx, c)
	}
	return err
}

// unanswered reports whether the owner did not answer while the caller still
// waits.
func unanswered(ctx, bounded context.Context, err error) bool {
	if err == nil || ctx.Err() != nil {
		return false
	}
	var u *basilmoor.UnavailableError
	return errors.As(err, &u) || bounded.Err() != nil
}
