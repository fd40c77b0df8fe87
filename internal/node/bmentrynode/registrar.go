package bmentrynode

import (
	"context"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
)

const (
	// leaseTTL is the life of a registration whose host has stopped renewing
	// it. It spans short outages of the store.
	leaseTTL = 10 * basilmoor.Second

	// renewPeriod is the time between two renewals.
	renewPeriod = 3 * basilmoor.Second

	// registerPause is the time between two attempts to register.
	registerPause basilmoor.Millis = 500
)

// registrar keeps this host registered in the platform's store, under a lease.
type registrar struct {
	clock basilmoor.Clock
	store basilmoor.Store
	ttl   basilmoor.Millis
	entry func() (key string, value []byte, err error)
	log   zerolog.Logger
	left  chan struct{}
	lease string // empty if there is none
}

func newRegistrar(clock basilmoor.Clock, store basilmoor.Store, minTTL basilmoor.Millis, entry func() (string, []byte, error), log zerolog.Logger) *registrar {
	return &registrar{
		clock: clock,
		store: store,
		ttl:   max(leaseTTL, minTTL),
		entry: entry,
		log:   log,
		left:  make(chan struct{}),
	}
}

// leave ends the registration: the host is no candidate for new duties.
func (r *registrar) leave() {
	close(r.left)
}

// Serve implements suture.Service.
func (r *registrar) Serve(ctx context.Context) error {
	for {
		pause := renewPeriod
		if err := r.step(ctx); err != nil {
			r.log.Warn().Err(err).Msg("registration failed")
			pause = registerPause
		}
		timer := r.clock.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-r.left:
			timer.Stop()
			r.end(ctx)
			<-ctx.Done()
			return ctx.Err()
		case <-timer.C():
		}
	}
}

// step renews the lease, or registers if there is none.
func (r *registrar) step(ctx context.Context) error {
	if r.lease == "" {
		return r.register(ctx)
	}
	err := r.store.RenewLease(ctx, r.lease)
	var lapsed *basilmoor.NotFoundError
	if errors.As(err, &lapsed) {
		r.lease = ""
		r.log.Warn().Msg("registration lapsed")
		return r.register(ctx)
	}
	return err
}

func (r *registrar) register(ctx context.Context) error {
	key, value, err := r.entry()
	if err != nil {
		return err
	}
	lease, err := r.store.GrantLease(ctx, r.ttl)
	if err != nil {
		return err
	}
	// An earlier process of this host may have left its registration.
	if _, err := basilmoor.Overwrite(ctx, r.store, key, 0, value, lease); err != nil {
		return err
	}
	r.lease = lease
	r.log.Info().Str("lease", lease).Msg("registered")
	return nil
}

func (r *registrar) end(ctx context.Context) {
	if r.lease == "" {
		return
	}
	if err := r.store.RevokeLease(ctx, r.lease); err != nil {
		r.log.Warn().Err(err).Msg("registration not ended")
	}
}
