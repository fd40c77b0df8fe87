// Package bmbaseline implements the baseline policies that the broker is compared
// with, and a clairvoyant scheduler as the upper reference.
//
// All of them implement basilmoor.Policy and take the current time from the
// caller. Each entry host runs its own instance of an immediate or per-host queue
// policy, which sees only that host's requests and the load reports.
package bmbaseline

import (
	"math/rand/v2"
	"slices"

	"basilmoor.example/basilmoor"
)

// grantTTL is the validity of a grant. Hosts dispatch immediately.
const grantTTL = basilmoor.Second

// hostView is one entry host's knowledge of the targets.
type hostView struct {
	targets     []basilmoor.Target
	reports     map[string]basilmoor.LoadReport
	ownTargets  map[basilmoor.RequestID]string
	ownByTarget map[string]int // number of own requests in progress by target name

	// unreported holds, by target name, the own requests in progress that were
	// sent after the measurement of the target's last load report, with the
	// time at which they were sent.
	unreported map[string]map[basilmoor.RequestID]basilmoor.Millis
}

func newHostView() hostView {
	return hostView{
		reports:     map[string]basilmoor.LoadReport{},
		ownTargets:  map[basilmoor.RequestID]string{},
		ownByTarget: map[string]int{},
		unreported:  map[string]map[basilmoor.RequestID]basilmoor.Millis{},
	}
}

func (v *hostView) add(now basilmoor.Millis, id basilmoor.RequestID, target string) {
	v.ownTargets[id] = target
	v.ownByTarget[target]++
	if v.unreported[target] == nil {
		v.unreported[target] = map[basilmoor.RequestID]basilmoor.Millis{}
	}
	v.unreported[target][id] = now
}

func (v *hostView) remove(id basilmoor.RequestID) {
	target, ok := v.ownTargets[id]
	if !ok {
		return
	}
	delete(v.ownTargets, id)
	delete(v.unreported[target], id)
	v.ownByTarget[target]--
}

func (v *hostView) observe(o basilmoor.Observation) {
	switch o.Stage {
	case basilmoor.StageReturned, basilmoor.StageUnreachable, basilmoor.StageFinished, basilmoor.StageFailed:
		v.remove(o.Request)
	}
}

func (v *hostView) report(now basilmoor.Millis, r basilmoor.LoadReport) {
	v.reports[r.Target] = r
	for id, since := range v.unreported[r.Target] {
		if since <= now-r.Age {
			delete(v.unreported[r.Target], id)
		}
	}
}

// load returns the load of a target relative to its slots: the reported requests
// plus the host's own requests sent since the measurement.
func (v *hostView) load(t basilmoor.Target) float64 {
	r := v.reports[t.Name]
	n := r.Running + r.Waiting + len(v.unreported[t.Name])
	return float64(n) / float64(max(t.Slots, 1))
}

// eligible returns the targets that can serve d, in the order in which they were
// set.
func (v *hostView) eligible(d basilmoor.Demand) []basilmoor.Target {
	var usable []basilmoor.Target
	for _, t := range v.targets {
		if t.Serves(d.Model, d.Tokens()) && !slices.Contains(d.Excluded, t.Name) {
			usable = append(usable, t)
		}
	}
	return usable
}

func grant(d basilmoor.Demand, t basilmoor.Target) basilmoor.Decision {
	return basilmoor.Decision{
		Grant: &basilmoor.Grant{
			Request: d.Request,
			Target:  t,
			TTL:     grantTTL,
		},
	}
}

func refuse(d basilmoor.Demand, reason basilmoor.Reason) basilmoor.Decision {
	return basilmoor.Decision{
		Refusal: &basilmoor.Refusal{
			Request: d.Request,
			Reason:  reason,
		},
	}
}

func newRand(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 7))
}
