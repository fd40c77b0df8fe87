package bmentrynode

import (
	"context"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
)

const (
	// registrationTTL is the TTL of the registration's lease. It is longer
	// than a short outage of the store, during which the lease cannot be
	// renewed.
	registrationTTL = 10 * basilmoor.Second

	// leaseRenewPeriod is the time between two renewals of the lease.
	leaseRenewPeriod = 3 * basilmoor.Second

	// registerRetryDelay is the delay after a failed registration or renewal.
	registerRetryDelay basilmoor.Millis = 500
)

// registrar keeps this host registered in the platform's store. The entry is
// bound to a lease.
type registrar struct {
	clock         basilmoor.Clock
	store         basilmoor.Store
	ttl           basilmoor.Millis
	registration  func() (key string, value []byte, err error)
	log           zerolog.Logger
	deregistering chan struct{}
	lease         string // empty if the host is not registered
}

func newRegistrar(clock basilmoor.Clock, store basilmoor.Store, minTTL basilmoor.Millis, registration func() (string, []byte, error), log zerolog.Logger) *registrar {
	return &registrar{
		clock:         clock,
		store:         store,
		ttl:           max(registrationTTL, minTTL),
		registration:  registration,
		log:           log,
		deregistering: make(chan struct{}),
	}
}

// deregister ends the registration, so that other hosts no longer choose this
// one as the broker. It must be called at most once.
func (r *registrar) deregister() {
	close(r.deregistering)
}

// Serve implements suture.Service.
func (r *registrar) Serve(ctx context.Context) error {
	for {
		delay := leaseRenewPeriod
		if err := r.renewOrRegister(ctx); err != nil {
			r.log.Warn().Err(err).Msg("registration failed")
			delay = registerRetryDelay
		}
		timer := r.clock.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-r.deregistering:
			timer.Stop()
			r.revokeLease(ctx)
			<-ctx.Done()
			return ctx.Err()
		case <-timer.C():
		}
	}
}

// renewOrRegister renews the lease, or registers the host if it has no lease or
// the lease has expired.
func (r *registrar) renewOrRegister(ctx context.Context) error {
	if r.lease == "" {
		return r.register(ctx)
	}
	err := r.store.RenewLease(ctx, r.lease)
	var notFound *basilmoor.NotFoundError
	if errors.As(err, &notFound) {
		r.lease = ""
		r.log.Warn().Msg("registration lapsed")
		return r.register(ctx)
	}
	return err
}

func (r *registrar) register(ctx context.Context) error {
	key, value, err := r.registration()
	if err != nil {
		return err
	}
	lease, err := r.store.GrantLease(ctx, r.ttl)
	if err != nil {
		return err
	}
	// The entry of an earlier process of this host may still exist.
	if _, err := basilmoor.Overwrite(ctx, r.store, key, 0, value, lease); err != nil {
		return err
	}
	r.lease = lease
	r.log.Info().Str("lease", lease).Msg("registered")
	return nil
}

// revokeLease revokes the lease, which deletes the registration.
func (r *registrar) revokeLease(ctx context.Context) {
	if r.lease == "" {
		return
	}
	if err := r.store.RevokeLease(ctx, r.lease); err != nil {
		r.log.Warn().Err(err).Msg("ending the registration failed")
	}
}
