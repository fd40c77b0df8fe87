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
	// configurationBound is the promise: an accepted note is in effect
	// everywhere within 5 s.
	configurationBound = 5 * basilmoor.Second

	startLimit = 15 * basilmoor.Second
	runLimit   = 60 * basilmoor.Second
	pollPeriod = 50 * basilmoor.Millis(1)
)

// Run starts the fleet, sends the load and returns what was measured. Seed
// selects the load.
func Run(ctx context.Context, seed uint64, log zerolog.Logger) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, runLimit.Duration())
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
		random: rand.New(rand.NewPCG(seed, 0)),
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
	r.Promises = append(r.Promises, topTierPromise(r.Tiers), tierPromise(r.Tiers), stopPromise(stopErr))
	return r, nil
}

// applyNote waits until the nodes see each other, applies the example note and
// measures until every node has it.
func (f *fleet) applyNote(ctx context.Context) (Promise, error) {
	admin := f.admin(f.nodes[0])
	if err := f.wait(ctx, func(s bmadmin.Status) bool { return len(s.Hosts) == nodeCount }); err != nil {
		return Promise{}, errors.Wrap(err, "wait for members")
	}
	a, err := admin.AcceptNote(ctx, []byte(f.note.String()))
	if err != nil {
		return Promise{}, err
	}
	accepted := f.clock.Now()
	if err := f.wait(ctx, func(s bmadmin.Status) bool { return s.Ready && s.ConfigVersion >= a.Version }); err != nil {
		return Promise{}, errors.Wrap(err, "wait for the note")
	}
	took := f.clock.Now() - accepted
	return Promise{
		Name:   "configuration in effect everywhere within 5 s",
		Held:   took <= configurationBound,
		Detail: fmt.Sprintf("%d ms on %d hosts", took, nodeCount),
	}, nil
}

// wait polls every node until all are as asked for.
func (f *fleet) wait(ctx context.Context, ok func(bmadmin.Status) bool) error {
	end := f.clock.Now() + startLimit
	for {
		count := 0
		for _, n := range f.nodes {
			if s, err := f.admin(n).Status(ctx); err == nil && ok(s) {
				count++
			}
		}
		if count == len(f.nodes) {
			return nil
		}
		if f.clock.Now() >= end {
			return errors.Errorf("only %d of %d nodes after %d ms", count, len(f.nodes), startLimit)
		}
		if err := f.clock.Sleep(ctx, pollPeriod); err != nil {
			return err
		}
	}
}

// requestPromises checks the invariants of requests one by one, and that each
// request got a response.
func requestPromises(l *load, executions []bmcheck.Execution) []Promise {
	var calls []bmcheck.Call
	silent := 0
	for _, r := range l.responses {
		calls = append(calls, r.Call)
		if r.Outcome == "" {
			silent++
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
		Held:   silent == 0 && len(l.responses) == l.sent,
		Detail: fmt.Sprintf("%d of %d", len(l.responses)-silent, l.sent),
	})
}

// topTierPromise checks that every payout was answered, repeats included.
func topTierPromise(tiers []TierReport) Promise {
	top := tiers[0]
	return Promise{
		Name:   "the top tier is served in full",
		Held:   top.Done == top.Sent && top.Sent > 0,
		Detail: fmt.Sprintf("%d of %d", top.Done, top.Sent),
	}
}

// shortage lists the refusals that come from a lack of capacity.
var shortage = []basilmoor.Reason{
	basilmoor.ReasonQueueFull,
	basilmoor.ReasonDisplaced,
	basilmoor.ReasonDeadline,
}

// tierPromise checks that no tier was refused for shortage while a lower tier
// of the same pool was served. Plans and notes share a pool.
func tierPromise(tiers []TierReport) Promise {
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
	for _, reason := range shortage {
		higher += plans.NotRunByReason[reason]
		lower += notes.NotRunByReason[reason]
	}
	return Promise{
		Name:   "a higher tier is not shed before a lower one",
		Held:   higher == 0 && lower > 0,
		Detail: fmt.Sprintf("shed for shortage: %s %d, %s %d", tierMiddle, higher, tierLow, lower),
	}
}

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
