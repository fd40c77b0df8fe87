package bmdemo

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/node/bmadmin"
	"basilmoor.example/basilmoor/internal/proof/bmcaller"
	"basilmoor.example/basilmoor/internal/proof/bmcheck"
)

const (
	// configEffectLimit is the promised time within which an accepted release
	// note is in effect on every host: 5 s.
	configEffectLimit = 5 * basilmoor.Second

	waitTimeout = 15 * basilmoor.Second
	runTimeout  = 60 * basilmoor.Second
	pollPeriod  = 50 * basilmoor.Millis(1)
)

// Run starts a fleet, sends it the load that seed selects, stops it and returns
// the report.
func Run(ctx context.Context, seed uint64, log zerolog.Logger) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout.Duration())
	defer cancel()
	clock := bmclock.NewSystem()
	f, cleanup, err := startFleet(clock, log)
	if err != nil {
		return Report{}, errors.Wrap(err, "start fleet")
	}
	defer cleanup()
	applied, err := f.applyNote(ctx)
	if err != nil {
		return Report{}, errors.Wrap(err, "apply release note")
	}
	caller, closeCaller := bmcaller.New(clock, callerToken)
	defer closeCaller()
	l := &load{
		fleet:  f,
		caller: caller,
		rng:    rand.New(rand.NewPCG(seed, 0)),
	}
	if err := l.run(ctx); err != nil {
		return Report{}, errors.Wrap(err, "send load")
	}
	stopErr := f.stop()
	executions := f.executions()
	r := Report{
		Tiers: tierReports(l.responses, executions),
	}
	r.Promises = append(r.Promises, applied)
	r.Promises = append(r.Promises, requestPromises(l, executions)...)
	r.Promises = append(r.Promises, topTierPromise(r.Tiers), tierOrderPromise(r.Tiers), stopPromise(stopErr))
	return r, nil
}

// applyNote waits until the nodes have discovered each other, applies the
// release note and measures the time until it is in effect on every node.
func (f *fleet) applyNote(ctx context.Context) (Promise, error) {
	admin := f.adminClient(f.nodes[0])
	if err := f.waitForNodes(ctx, func(s bmadmin.Status) bool { return len(s.Hosts) == nodeCount }); err != nil {
		return Promise{}, errors.Wrap(err, "wait for nodes to discover each other")
	}
	a, err := admin.AcceptNote(ctx, []byte(f.note.String()))
	if err != nil {
		return Promise{}, err
	}
	accepted := f.clock.Now()
	if err := f.waitForNodes(ctx, func(s bmadmin.Status) bool { return s.Ready && s.ConfigVersion >= a.Version }); err != nil {
		return Promise{}, errors.Wrap(err, "wait for release note to take effect")
	}
	elapsed := f.clock.Now() - accepted
	return Promise{
		Name:   "configuration in effect everywhere within 5 s",
		Held:   elapsed <= configEffectLimit,
		Detail: fmt.Sprintf("%d ms on %d hosts", elapsed, nodeCount),
	}, nil
}

// waitForNodes polls the status of every node until all meet the condition.
func (f *fleet) waitForNodes(ctx context.Context, condition func(bmadmin.Status) bool) error {
	deadline := f.clock.Now() + waitTimeout
	for {
		count := 0
		for _, n := range f.nodes {
			if s, err := f.adminClient(n).Status(ctx); err == nil && condition(s) {
				count++
			}
		}
		if count == len(f.nodes) {
			return nil
		}
		if f.clock.Now() >= deadline {
			return errors.Errorf("only %d of %d nodes met the condition within %d ms", count, len(f.nodes), waitTimeout)
		}
		if err := f.clock.Sleep(ctx, pollPeriod); err != nil {
			return err
		}
	}
}

// requestPromises checks each rule of bmcheck, and that every request received
// an outcome.
func requestPromises(l *load, executions []bmcheck.Execution) []Promise {
	var calls []bmcheck.Call
	unanswered := 0
	for _, r := range l.responses {
		calls = append(calls, r.Call)
		if r.Outcome == "" {
			unanswered++
		}
	}
	violations := bmcheck.Check(calls, executions)
	var list []Promise
	for _, rule := range bmcheck.Rules() {
		p := Promise{
			Name: string(rule),
			Held: true,
		}
		for _, v := range violations {
			if v.Rule == rule {
				p.Held = false
				p.Detail = v.Detail
			}
		}
		list = append(list, p)
	}
	return append(list, Promise{
		Name:   "every caller is told an outcome",
		Held:   unanswered == 0 && len(l.responses) == l.sent,
		Detail: fmt.Sprintf("%d of %d", len(l.responses)-unanswered, l.sent),
	})
}

// topTierPromise checks that every payout, including repeated ones, was done.
func topTierPromise(tiers []TierReport) Promise {
	top := tiers[0]
	return Promise{
		Name:   "the top tier is served in full",
		Held:   top.Done == top.Sent && top.Sent > 0,
		Detail: fmt.Sprintf("%d of %d", top.Done, top.Sent),
	}
}

// capacityReasons lists the reasons of refusals for lack of capacity.
var capacityReasons = []basilmoor.Reason{
	basilmoor.ReasonQueueFull,
	basilmoor.ReasonDisplaced,
	basilmoor.ReasonDeadline,
}

// tierOrderPromise checks that lack of capacity led to refusals of the lower of
// two tiers that share a pool, and to none of the higher. Plans and notes share
// a pool.
func tierOrderPromise(tiers []TierReport) Promise {
	var plans, notes TierReport
	for _, t := range tiers {
		switch t.Tier {
		case tierMiddle:
			plans = t
		case tierLow:
			notes = t
		}
	}
	higher, lower := 0, 0
	for _, reason := range capacityReasons {
		higher += plans.NotRunByReason[reason]
		lower += notes.NotRunByReason[reason]
	}
	return Promise{
		Name:   "a higher tier is not shed before a lower one",
		Held:   higher == 0 && lower > 0,
		Detail: fmt.Sprintf("refused for lack of capacity: %s %d, %s %d", tierMiddle, higher, tierLow, lower),
	}
}

// stopPromise checks that the nodes stopped without an error.
func stopPromise(err error) Promise {
	p := Promise{
		Name: "a planned stop cuts no request",
		Held: err == nil,
	}
	if err != nil {
		p.Detail = err.Error()
	}
	return p
}
