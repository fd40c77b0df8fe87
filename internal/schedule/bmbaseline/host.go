// Package bmbaseline implements the policies that the broker is compared with,
// and a clairvoyant scheduler as the upper reference.
//
// All of them implement basilmoor.Policy on the caller's time. The immediate
// policies and the per-host queues run once per entry host and see only that
// host's requests and the load reports.
package bmbaseline

import (
	"math/rand/v2"
	"slices"

	"basilmoor.example/basilmoor"
)

// grantTTL is the validity of a grant; hosts dispatch at once.
const grantTTL = basilmoor.Second

// hostView is what one entry host knows of the targets.
type hostView struct {
	targets []basilmoor.Target
	reports map[string]basilmoor.LoadReport
	own     map[basilmoor.RequestID]string
	perName map[string]int // own requests in progress by target

	// recent holds the own requests in progress that the last load report of
	// a target can't include yet.
	recent map[string]map[basilmoor.RequestID]basilmoor.Millis
}

func newHostView() hostView {
	return hostView{
		reports: map[string]basilmoor.LoadReport{},
		own:     map[basilmoor.RequestID]string{},
		perName: map[string]int{},
		recent:  map[string]map[basilmoor.RequestID]basilmoor.Millis{},
	}
}

func (v *hostView) add(now basilmoor.Millis, id basilmoor.RequestID, target string) {
	v.own[id] = target
	v.perName[target]++
	if v.recent[target] == nil {
		v.recent[target] = map[basilmoor.RequestID]basilmoor.Millis{}
	}
	v.recent[target][id] = now
}

func (v *hostView) remove(id basilmoor.RequestID) {
	target, ok := v.own[id]
	if !ok {
		return
	}
	delete(v.own, id)
	delete(v.recent[target], id)
	v.perName[target]--
}

func (v *hostView) observe(o basilmoor.Observation) {
	switch o.Stage {
	case basilmoor.StageReturned, basilmoor.StageUnreachable, basilmoor.StageFinished, basilmoor.StageFailed:
		v.remove(o.Request)
	}
}

func (v *hostView) report(now basilmoor.Millis, r basilmoor.LoadReport) {
	v.reports[r.Target] = r
	for id, since := range v.recent[r.Target] {
		if since <= now-r.Age {
			delete(v.recent[r.Target], id)
		}
	}
}

// load is the reported load in parts of the slots, plus the host's own
// requests since the measurement.
func (v *hostView) load(t basilmoor.Target) float64 {
	r := v.reports[t.Name]
	n := r.Running + r.Waiting + len(v.recent[t.Name])
	return float64(n) / float64(max(t.Slots, 1))
}

// usable returns the targets that can serve d, in the order of their names.
func (v *hostView) usable(d basilmoor.Demand) []basilmoor.Target {
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
