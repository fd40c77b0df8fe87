package bmbench

import (
	"sort"
)

// Result holds the metrics of one run of a scheme.
type Result struct {
	Scheme string

	// GoodputByTier is the fraction of a tier's prompt and output tokens that
	// belong to requests that finished and met their bound on the first token.
	// Goodput is the same over all tiers.
	GoodputByTier [tierCount]float64
	Goodput       float64

	// WastedPrefill is the number of prompt tokens that were processed for
	// requests that missed their bound or did not finish, or that were
	// processed although another target with free slots had them cached.
	// Prefill is the number of all processed prompt tokens.
	WastedPrefill float64
	LatePrefill   float64 // the part for requests that missed their bound or did not finish
	Prefill       float64

	// PeakServed is the fraction of the requests that arrived during a demand
	// peak which finished and met their bound.
	PeakServed float64

	// SlowTargetTTFTP99 is the 99th percentile, in milliseconds, of the time to
	// first token of top-tier model requests that arrived while some targets
	// were slow. A request without a first token counts with its bound.
	SlowTargetTTFTP99 float64

	// IdleTargets and IdleSlots are the fractions of target time and of batch
	// slot time that were unused while requests waited.
	IdleTargets float64
	IdleSlots   float64

	Inversions     int
	LateAdmissions int

	MessagesPerRequest    float64
	BytesPerRequest       float64
	BytesPerHostPerSecond float64
	Requests              int
}

// Run simulates a scheme with the arrivals that the seed gives for a deployment.
func Run(d *Deployment, scheme Scheme, seed uint64) Result {
	g := newGenerator(d, seed)
	arrivals := g.arrivals()
	sim := &simulation{}
	pools := map[string]*poolRun{}
	var poolRuns []*poolRun
	for i := range d.pools {
		spec := &d.pools[i]
		p := newPoolRun(sim, d, spec, scheme, seed, g.slowWindowsByTarget(spec))
		pools[spec.name] = p
		poolRuns = append(poolRuns, p)
	}
	for _, a := range arrivals {
		p := pools[a.pool]
		sim.after(a.at, func() { p.onArrival(a) })
	}
	sim.run(d.arrivalPeriod + drainPeriod)
	return summarize(d, scheme, poolRuns)
}

// inTime reports whether the request finished and met its bound on the first
// token.
func (r *request) inTime() bool {
	return r.finished && r.ttft > 0 && r.ttft <= r.kind.ttftBound
}

func summarize(d *Deployment, scheme Scheme, pools []*poolRun) Result {
	res := Result{
		Scheme: scheme.Name,
	}
	var served, offered [tierCount]float64
	var peakServed, peakOffered float64
	var slowTTFTs []float64
	var idleTargets, targetTime, idleSlots, slotTime float64
	messages, bytes := 0, 0
	for _, p := range pools {
		m := &p.stats
		idleTargets += m.idleTargetTime
		targetTime += m.targetTime
		idleSlots += m.idleSlotTime
		slotTime += m.slotTime
		messages += m.messages
		bytes += m.bytes
		res.Inversions += m.inversions
		res.LateAdmissions += m.lateAdmissions
		for _, r := range p.allRequests {
			if r.at < d.warmUp {
				continue
			}
			res.Requests++
			tokens := float64(r.promptTokens + r.outputTokens)
			offered[r.kind.tier] += tokens
			if r.inTime() {
				served[r.kind.tier] += tokens
			}
			if inAnyWindow(d.peaks, r.at) {
				peakOffered++
				if r.inTime() {
					peakServed++
				}
			}
			if r.kind.tier == 0 && r.kind.model != "" && inAnyWindow(d.slowWindows, r.at) {
				slowTTFTs = append(slowTTFTs, r.ttftMillis())
			}
			res.addPrefill(r)
		}
	}
	for tier := range served {
		res.GoodputByTier[tier] = ratio(served[tier], offered[tier])
	}
	res.Goodput = ratio(served[0]+served[1]+served[2], offered[0]+offered[1]+offered[2])
	res.PeakServed = ratio(peakServed, peakOffered)
	res.SlowTargetTTFTP99 = percentile(slowTTFTs, 0.99)
	res.IdleTargets = ratio(idleTargets, targetTime)
	res.IdleSlots = ratio(idleSlots, slotTime)
	res.MessagesPerRequest = ratio(float64(messages), float64(res.Requests))
	res.BytesPerRequest = ratio(float64(bytes), float64(res.Requests))
	measuredSeconds := float64(d.arrivalPeriod-d.warmUp) / float64(second)
	res.BytesPerHostPerSecond = float64(bytes) / measuredSeconds / float64(d.hosts)
	return res
}

// ttftMillis returns the time to first token, or the bound if there was none.
func (r *request) ttftMillis() float64 {
	if r.ttft == 0 {
		return r.kind.ttftBound.millis()
	}
	return r.ttft.millis()
}

// addPrefill adds the prompt tokens processed for a model request.
func (res *Result) addPrefill(r *request) {
	if r.kind.model == "" {
		return
	}
	res.Prefill += float64(r.prefilledTokens)
	if !r.inTime() {
		res.LatePrefill += float64(r.prefilledTokens)
		res.WastedPrefill += float64(r.prefilledTokens)
		return
	}
	res.WastedPrefill += float64(r.duplicateTokens)
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
