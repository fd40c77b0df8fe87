package bmbaseline

import (
	"basilmoor.example/basilmoor"
)

// Oracle tells the truth about requests and targets at once.
type Oracle interface {
	// OutputTokens is the true output of a request.
	OutputTokens(id basilmoor.RequestID) int

	// Room is the number of requests that the target would admit at the start
	// of its next step.
	Room(target string) int

	// Held is the number of leading prompt blocks in the target's cache.
	Held(target string, digests []uint64) int

	// State is the true state of a target.
	State(target string) TargetState

	// TimeLeft is the time until the caller of a request leaves.
	TimeLeft(id basilmoor.RequestID) basilmoor.Millis
}

// TargetState is the true state of a target.
type TargetState struct {
	Step      float64 // milliseconds per step with one more sequence
	Prefill   float64 // milliseconds per prompt token
	Backlog   int     // prompt tokens still to be processed
	Sequences int     // running and waiting requests
}

// lookAhead is the number of demands of a tier among which the one with the
// most cached prompt is taken.
const lookAhead = 64

// maxPassed is the number of choices in a row that may pass over the first
// demand of a tier.
const maxPassed = 7

// Clairvoyant is a single scheduler of a pool that knows the true lengths of
// requests and the true state and speed of targets, without delay.
type Clairvoyant struct {
	oracle  Oracle
	targets []basilmoor.Target
	queue   tierQueue
	passed  int // choices since the first demand of a tier was taken
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
	return p.step(now)
}

// Cancel implements basilmoor.Policy.
func (p *Clairvoyant) Cancel(_ basilmoor.Millis, id basilmoor.RequestID) []basilmoor.Decision {
	p.queue.remove(id)
	return nil
}

// Observe implements basilmoor.Policy. Targets call Tick before each step, so
// that nothing is to be decided here.
func (p *Clairvoyant) Observe(basilmoor.Millis, basilmoor.Observation) []basilmoor.Decision {
	return nil
}

// Report implements basilmoor.Policy. The oracle knows better.
func (p *Clairvoyant) Report(basilmoor.Millis, basilmoor.LoadReport) []basilmoor.Decision {
	return nil
}

// Tick implements basilmoor.Policy.
func (p *Clairvoyant) Tick(now basilmoor.Millis) []basilmoor.Decision {
	return p.step(now)
}

// step grants in the order of tiers. Each call returns all grants that are
// possible; the room of targets is lowered by the grants of the same call.
func (p *Clairvoyant) step(now basilmoor.Millis) []basilmoor.Decision {
	decisions := p.queue.expire(now)
	room := make([]int, len(p.targets))
	total := 0
	for i, t := range p.targets {
		room[i] = max(p.oracle.Room(t.Name), 0)
		total += room[i]
	}
	for tier := range p.queue.tiers {
		for total > 0 {
			w, i := p.best(p.queue.tiers[tier], room)
			if i < 0 {
				break
			}
			room[i]--
			total--
			p.queue.remove(w.demand.Request)
			decisions = append(decisions, grant(w.demand, p.targets[i]))
		}
	}
	return decisions
}

// best returns the next demand of a tier and a target with room for it. While
// more demands wait than targets have room, it is the pair among the first
// demands that costs the least prompt processing, every eighth time the first
// demand. Otherwise it is the first demand on the target
// that costs the least time in all. A pair whose first token would come too
// late is not considered.
func (p *Clairvoyant) best(queue []waiting, room []int) (waiting, int) {
	for i, w := range queue {
		if i >= lookAhead {
			break
		}
		scarce := len(queue) > len(p.targets)
		if scarce && p.passed < maxPassed {
			p.passed++
			return p.bestPair(queue[i:min(len(queue), i+lookAhead)], room)
		}
		p.passed = 0
		if t, _ := p.bestTarget(w, room, true); t >= 0 {
			return w, t
		}
	}
	return waiting{}, -1
}

func (p *Clairvoyant) bestPair(queue []waiting, room []int) (waiting, int) {
	var best waiting
	bestTarget, bestCost := -1, 0.0
	for _, w := range queue {
		t, cost := p.bestTarget(w, room, false)
		if t >= 0 && (bestTarget < 0 || cost < bestCost) {
			best = w
			bestTarget = t
			bestCost = cost
		}
	}
	return best, bestTarget
}

func (p *Clairvoyant) bestTarget(w waiting, room []int, whole bool) (int, float64) {
	best, bestCost := -1, 0.0
	for i, t := range p.targets {
		if room[i] == 0 || !t.Serves(w.demand.Model, w.demand.Tokens()) {
			continue
		}
		cost, ok := p.cost(w, t, whole)
		if ok && (best < 0 || cost < bestCost) {
			best = i
			bestCost = cost
		}
	}
	return best, bestCost
}

// cost is the time that processing the uncached prompt takes from all
// sequences of the target; with whole, also that of the demand's output.
func (p *Clairvoyant) cost(w waiting, t basilmoor.Target, whole bool) (float64, bool) {
	state := p.oracle.State(t.Name)
	held := p.oracle.Held(t.Name, w.demand.PrefixDigests) * basilmoor.PrefixBlockTokens
	uncached := max(w.demand.PromptTokens-held, 0)
	first := state.Step + state.Prefill*float64(state.Backlog+uncached)
	if first > float64(p.oracle.TimeLeft(w.demand.Request)) {
		return 0, false
	}
	cost := state.Prefill * float64(uncached) * float64(1+state.Sequences)
	if whole {
		cost += first + state.Step*float64(p.oracle.OutputTokens(w.demand.Request))
	}
	return cost, true
}
