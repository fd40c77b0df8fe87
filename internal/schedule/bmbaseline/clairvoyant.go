package bmbaseline

import (
	"basilmoor.example/basilmoor"
)

// Oracle provides the true state of requests and targets without delay.
type Oracle interface {
	// OutputTokens returns the true number of output tokens of a request.
	OutputTokens(id basilmoor.RequestID) int

	// AvailableSlots returns the number of requests that the target would admit
	// at the start of its next step.
	AvailableSlots(target string) int

	// CachedBlocks returns the number of leading prompt blocks in the target's
	// cache.
	CachedBlocks(target string, digests []uint64) int

	// State returns the true state of a target.
	State(target string) TargetState

	// TimeLeft returns the time until the caller of a request disconnects.
	TimeLeft(id basilmoor.RequestID) basilmoor.Millis
}

// TargetState describes the load and the speed of a target.
type TargetState struct {
	StepTime        float64 // milliseconds per decode step with one more sequence
	PrefillPerToken float64 // milliseconds per prompt token
	Backlog         int     // prompt tokens not yet processed
	Sequences       int     // running and waiting requests

	// MaxPause is the shortest objective in milliseconds for the pauses of the
	// streams on the target; 0 if there is none. A pause lasts for EventTokens steps,
	// each of which processes at most ChunkTokens of the prompts.
	MaxPause    float64
	EventTokens int
	ChunkTokens int
}

// pause returns the longest pause in milliseconds that prompts of the given number of
// tokens cause for the streams on the target.
func (s TargetState) pause(promptTokens int) float64 {
	return float64(s.EventTokens)*s.StepTime + s.PrefillPerToken*float64(min(promptTokens, s.EventTokens*s.ChunkTokens))
}

// prefixLookahead is the number of demands of a tier that are searched for the one
// with the lowest prompt processing cost.
const prefixLookahead = 64

// maxConsecutiveSkips is the number of consecutive choices that may skip the first
// demand of a tier.
const maxConsecutiveSkips = 7

// Clairvoyant is a central scheduler of a pool that knows the true output lengths
// of requests and the true state and speed of targets without delay. It is the
// upper reference for the other policies.
type Clairvoyant struct {
	oracle           Oracle
	targets          []basilmoor.Target
	queue            tierQueue
	consecutiveSkips int // consecutive choices that could skip the first demand of a tier
}

var _ basilmoor.Policy = (*Clairvoyant)(nil)

// NewClairvoyant returns the scheduler of a pool.
func NewClairvoyant(oracle Oracle) *Clairvoyant {
	return &Clairvoyant{
		oracle: oracle,
	}
}

// SetTargets implements basilmoor.Policy.
func (p *Clairvoyant) SetTargets(_ basilmoor.Millis, targets []basilmoor.Target) []basilmoor.Decision {
	p.targets = targets
	return nil
}

// Submit implements basilmoor.Policy.
func (p *Clairvoyant) Submit(now basilmoor.Millis, d basilmoor.Demand) []basilmoor.Decision {
	p.queue.push(now, d)
	return p.advance(now)
}

// Cancel implements basilmoor.Policy.
func (p *Clairvoyant) Cancel(_ basilmoor.Millis, id basilmoor.RequestID) []basilmoor.Decision {
	p.queue.remove(id)
	return nil
}

// Observe implements basilmoor.Policy. It decides nothing, because Tick is called
// before each step of a target.
func (p *Clairvoyant) Observe(basilmoor.Millis, basilmoor.Observation) []basilmoor.Decision {
	return nil
}

// Report implements basilmoor.Policy. Load reports are ignored in favour of the
// oracle.
func (p *Clairvoyant) Report(basilmoor.Millis, basilmoor.LoadReport) []basilmoor.Decision {
	return nil
}

// Tick implements basilmoor.Policy.
func (p *Clairvoyant) Tick(now basilmoor.Millis) []basilmoor.Decision {
	return p.advance(now)
}

// advance refuses expired demands and grants all demands for which targets have
// slots, in the order of tiers. Each grant takes a slot of its target for the rest
// of the call.
func (p *Clairvoyant) advance(now basilmoor.Millis) []basilmoor.Decision {
	decisions := p.queue.expire(now)
	slots := make([]int, len(p.targets))
	total := 0
	for i, t := range p.targets {
		slots[i] = max(p.oracle.AvailableSlots(t.Name), 0)
		total += slots[i]
	}
	for tier := range p.queue.tiers {
		for total > 0 {
			w, i := p.best(p.queue.tiers[tier], slots)
			if i < 0 {
				break
			}
			slots[i]--
			total--
			p.queue.remove(w.demand.Request)
			decisions = append(decisions, grant(w.demand, p.targets[i]))
		}
	}
	return decisions
}

// best returns the next demand of a tier and the index of a target with a slot for
// it, or -1 if there is none. While more demands wait than the pool has targets,
// it chooses the pair with the lowest prompt processing cost among the first
// demands; every eighth time, and when fewer demands wait, it chooses the first
// demand on the target with the lowest total cost. Pairs whose first token would
// come after the caller disconnects, or that would make a running stream late by a pause,
// are skipped.
func (p *Clairvoyant) best(queue []queuedDemand, slots []int) (queuedDemand, int) {
	for i, w := range queue {
		if i >= prefixLookahead {
			break
		}
		contended := len(queue) > len(p.targets)
		if contended && p.consecutiveSkips < maxConsecutiveSkips {
			p.consecutiveSkips++
			return p.bestPair(queue[i:min(len(queue), i+prefixLookahead)], slots)
		}
		p.consecutiveSkips = 0
		if t, _ := p.bestTarget(w, slots, true); t >= 0 {
			return w, t
		}
	}
	return queuedDemand{}, -1
}

// bestPair returns the demand and the target index with the lowest prompt
// processing cost, or -1 if no target is suitable.
func (p *Clairvoyant) bestPair(queue []queuedDemand, slots []int) (queuedDemand, int) {
	var best queuedDemand
	bestTarget, bestCost := -1, 0.0
	for _, w := range queue {
		t, cost := p.bestTarget(w, slots, false)
		if t >= 0 && (bestTarget < 0 || cost < bestCost) {
			best = w
			bestTarget = t
			bestCost = cost
		}
	}
	return best, bestTarget
}

// bestTarget returns the index of the target with the lowest cost for a demand and
// the cost, or -1 if no target is suitable.
func (p *Clairvoyant) bestTarget(w queuedDemand, slots []int, includeLatency bool) (int, float64) {
	best, bestCost := -1, 0.0
	for i, t := range p.targets {
		if slots[i] == 0 || !t.Serves(w.demand.Model, w.demand.Tokens()) {
			continue
		}
		cost, ok := p.cost(w, t, includeLatency)
		if ok && (best < 0 || cost < bestCost) {
			best = i
			bestCost = cost
		}
	}
	return best, bestCost
}

// cost returns the time to process the uncached prompt, multiplied by the number of
// sequences on the target that it delays, including the demand itself. With
// includeLatency, the time to complete the demand is added. It returns false if the
// first token would come after the caller disconnects, or if a running stream would be
// late.
func (p *Clairvoyant) cost(w queuedDemand, t basilmoor.Target, includeLatency bool) (float64, bool) {
	state := p.oracle.State(t.Name)
	held := p.oracle.CachedBlocks(t.Name, w.demand.PrefixDigests) * basilmoor.PrefixBlockTokens
	uncached := max(w.demand.PromptTokens-held, 0)
	first := state.StepTime + state.PrefillPerToken*float64(state.Backlog+uncached)
	if first > float64(p.oracle.TimeLeft(w.demand.Request)) {
		return 0, false
	}
	if state.MaxPause > 0 && state.pause(state.Backlog+uncached) > state.MaxPause {
		return 0, false
	}
	cost := state.PrefillPerToken * float64(uncached) * float64(1+state.Sequences)
	if includeLatency {
		cost += first + state.StepTime*float64(p.oracle.OutputTokens(w.demand.Request))
	}
	return cost, true
}
