package bmgrant

import (
	"basilmoor.example/basilmoor"
)

const (
	// defaultPace is the assumed time between two output tokens, in ms, of a
	// target that has shown none.
	defaultPace = 7.0

	// defaultPrefill is the assumed time of one prompt token in ms.
	defaultPrefill = 0.02

	// firstTokenBase is the time to first token that does not depend on the
	// prompt, in ms.
	firstTokenBase = 60.0

	// paceWeight is the weight of a new sample in a target's pace.
	paceWeight = 0.3

	// maxGuess bounds the slowness that the first time to first token of a
	// target tells: it may have waited in the target's own queue.
	maxGuess = 4.0

	// plainWeight is the same for a plain service, and of a new sample in the
	// work of a kind.
	plainWeight = 0.1

	// minPaceTokens is the least number of output tokens that tell a pace.
	minPaceTokens = 8

	// loadCost is by how much a full batch counts as slower than an empty
	// one when targets are compared.
	loadCost = 0.3

	// remoteCost is the same for a target in another data centre.
	remoteCost = 0.05

	// suspectFor is how long a target that could not be reached gets no
	// grants; it doubles with each failure in a row up to suspectMost.
	suspectFor  basilmoor.Millis = 300
	suspectMost basilmoor.Millis = 2400

	// grantTTL bounds the time between a grant and its dispatch.
	grantTTL = basilmoor.Second
)

// flight is a granted request.
type flight struct {
	demand     basilmoor.Demand
	granted    basilmoor.Millis
	dispatched bool
	first      basilmoor.Millis // time to first token, 0 before it
}

// target is what a pool knows of one target.
type target struct {
	spec     basilmoor.Target
	flights  map[basilmoor.RequestID]*flight
	pace     float64 // ms between output tokens, 0 if unknown
	backlog  int     // prompt tokens without a first token
	failures int     // in a row
	suspect  basilmoor.Millis
}

func newTarget(spec basilmoor.Target) *target {
	return &target{
		spec:    spec,
		flights: map[basilmoor.RequestID]*flight{},
	}
}

// free reports whether the target takes one more request.
func (t *target) free(now basilmoor.Millis) bool {
	if t.spec.Leaving || len(t.flights) >= t.spec.Slots {
		return false
	}
	if t.failures == 0 {
		return true
	}
	// After a failure one request at a time tries the target.
	return now >= t.suspect && len(t.flights) == 0
}

// fail notes that the target was not reached or broke off.
func (t *target) fail(now basilmoor.Millis) {
	pause := min(suspectFor<<min(t.failures, 3), suspectMost)
	t.failures++
	t.suspect = now + pause
}

// learn takes the pace of a finished response.
func (t *target) learn(f *flight, tokens int, elapsed basilmoor.Millis) {
	if f.first == 0 || tokens < minPaceTokens || elapsed <= f.first {
		return
	}
	sample := float64(elapsed-f.first) / float64(tokens)
	if t.pace == 0 {
		t.pace = sample
		return
	}
	t.pace += paceWeight * (sample - t.pace)
}

// learnPlain takes a sample of the pace of a plain service.
func (t *target) learnPlain(sample float64) {
	if t.pace == 0 {
		t.pace = sample
		return
	}
	t.pace += plainWeight * (sample - t.pace)
}

// guess takes the first time to first token of a target that has shown no pace
// for its speed, compared with the fastest pace.
func (t *target) guess(first basilmoor.Millis, fastest float64) {
	if t.pace > 0 {
		return
	}
	expected := firstTokenOf(fastest, t.backlog)
	t.pace = fastest * min(max(float64(first)/float64(max(expected, 1)), 1), maxGuess)
}

func (t *target) add(f *flight) {
	t.flights[f.demand.Request] = f
	if f.first == 0 {
		t.backlog += f.demand.PromptTokens
	}
}

func (t *target) remove(f *flight) {
	delete(t.flights, f.demand.Request)
	if f.first == 0 {
		t.backlog -= f.demand.PromptTokens
	}
}
