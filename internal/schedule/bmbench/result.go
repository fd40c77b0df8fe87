package bmbench

import (
	"sort"
)

// Result is what one policy achieved on one deployment and seed.
type Result struct {
	Scheme string

	// GoodputByTier is the share of tokens of requests that completed after
	// their first token came in time. Goodput is that of all tiers together.
	GoodputByTier [tiersMeasured]float64
	Goodput       float64

	// WastedPrefill is the number of prompt tokens that were processed for
	// requests that missed their bound or were cut, or whose block another
	// target with room held. Prefill is the number of all processed ones.
	WastedPrefill float64
	MissedPrefill float64 // the part for requests that missed or were cut
	Prefill       float64

	// CrestServed is the share of requests that arrived during a crest and
	// were served in time.
	CrestServed float64

	// SlowFirstToken is the 99th percentile, in milliseconds, of the time to
	// first token of top-tier model requests that arrived while targets were
	// stragglers. A request without a first token counts with its bound.
	SlowFirstToken float64

	// IdleTargets and IdleSlots are the shares of target time and of batch
	// slot time that were unused while work waited.
	IdleTargets float64
	IdleSlots   float64

	Inversions     int
	LateAdmissions int

	MessagesPerRequest    float64
	BytesPerRequest       float64
	BytesPerHostPerSecond float64
	Requests              int
}

// Run replays a deployment's arrivals of a seed against a scheme.
func Run(d *Deployment, scheme Scheme, seed uint64) Result {
	g := newGenerator(d, seed)
	arrivals := g.arrivals()
	sim := &simulation{}
	pools := map[string]*poolRun{}
	var order []*poolRun
	for i := range d.pools {
		spec := &d.pools[i]
		p := newPoolRun(sim, d, spec, scheme, seed, g.slowTargets(spec))
		pools[spec.name] = p
		order = append(order, p)
	}
	for _, a := range arrivals {
		p := pools[a.pool]
		sim.after(a.at, func() { p.arrive(a) })
	}
	sim.run(d.length + drainPeriod)
	return summarize(d, scheme, order)
}

func (r *request) inTime() bool {
	return r.finished && r.first > 0 && r.first <= r.kind.bound
}

func summarize(d *Deployment, scheme Scheme, pools []*poolRun) Result {
	res := Result{
		Scheme: scheme.Name,
	}
	var served, offered [tiersMeasured]float64
	var crestServed, crestOffered float64
	var slow []float64
	var idleTargets, targetTime, idleSlots, slotTime float64
	messages, bytes := 0, 0
	for _, p := range pools {
		m := &p.measure
		idleTargets += m.idleTargets
		targetTime += m.targetTime
		idleSlots += m.idleSlots
		slotTime += m.slotTime
		messages += m.messages
		bytes += m.bytes
		res.Inversions += m.inversions
		res.LateAdmissions += m.lateAdmission
		for _, r := range p.all {
			if r.at < d.measured {
				continue
			}
			res.Requests++
			tokens := float64(r.promptTokens + r.outputTokens)
			offered[r.kind.tier] += tokens
			if r.inTime() {
				served[r.kind.tier] += tokens
			}
			if within(d.crests, r.at) {
				crestOffered++
				if r.inTime() {
					crestServed++
				}
			}
			if r.kind.tier == 0 && r.kind.model != "" && within(d.slow, r.at) {
				slow = append(slow, r.timeToFirstToken())
			}
			res.addPrefill(r)
		}
	}
	for tier := range served {
		res.GoodputByTier[tier] = ratio(served[tier], offered[tier])
	}
	res.Goodput = ratio(served[0]+served[1]+served[2], offered[0]+offered[1]+offered[2])
	res.CrestServed = ratio(crestServed, crestOffered)
	res.SlowFirstToken = percentile(slow, 0.99)
	res.IdleTargets = ratio(idleTargets, targetTime)
	res.IdleSlots = ratio(idleSlots, slotTime)
	res.MessagesPerRequest = ratio(float64(messages), float64(res.Requests))
	res.BytesPerRequest = ratio(float64(bytes), float64(res.Requests))
	measured := float64(d.length-d.measured) / float64(second)
	res.BytesPerHostPerSecond = float64(bytes) / measured / float64(d.hosts)
	return res
}

func (r *request) timeToFirstToken() float64 {
	if r.first == 0 {
		return r.kind.bound.millis()
	}
	return r.first.millis()
}

func (res *Result) addPrefill(r *request) {
	if r.kind.model == "" {
		return
	}
	res.Prefill += float64(r.prefilled)
	if !r.inTime() {
		res.MissedPrefill += float64(r.prefilled)
		res.WastedPrefill += float64(r.prefilled)
		return
	}
	res.WastedPrefill += float64(r.duplicate)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[min(int(p*float64(len(values))), len(values)-1)]
}
