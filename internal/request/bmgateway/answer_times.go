package bmgateway

import (
	"sync"

	"basilmoor.example/basilmoor"
)

const (
	// minKnownAnswers is how many complete answers of a kind a bound rests on, and how
	// many of its first requests must have ended. The next one is longer than n
	// before it with a probability of 1/(n+1), which is 5% here. The first ones
	// have to have ended because those that have ended so far are the short ones.
	minKnownAnswers = 19

	// maxTimedKinds bounds the memory of answerTimes.
	maxTimedKinds = 4096
)

// answerTimes holds the longest answers by kind of requests. No setting limits the
// length of an answer, so what a host has seen is all that it can expect. It is safe
// for concurrent use.
type answerTimes struct {
	mu     sync.Mutex
	byKind map[string]*kindTimes
}

// kindTimes holds the answers of one kind.
type kindTimes struct {
	begun      int              // requests sent
	firstEnded int              // of the first minKnownAnswers
	complete   int              // answers
	longest    basilmoor.Millis // from the grant to the end
}

func newAnswerTimes() *answerTimes {
	return &answerTimes{
		byKind: make(map[string]*kindTimes),
	}
}

// begin adds a request that is sent to a target, and returns its number among those of
// its kind.
func (a *answerTimes) begin(kind string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	k, known := a.byKind[kind]
	if !known {
		if len(a.byKind) >= maxTimedKinds {
			return 0
		}
		k = &kindTimes{}
		a.byKind[kind] = k
	}
	k.begun++
	return k.begun
}

// end adds the end of the request with a number. An answer that broke off would have
// lasted at least as long; one that was not run has no length.
func (a *answerTimes) end(kind string, number int, elapsed basilmoor.Millis, o basilmoor.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k, known := a.byKind[kind]
	if !known {
		return
	}
	if number <= minKnownAnswers {
		k.firstEnded++
	}
	if o != basilmoor.OutcomeNotRun {
		k.longest = max(k.longest, elapsed)
	}
	if o == basilmoor.OutcomeDone {
		k.complete++
	}
}

// longest returns how long an answer of a kind is expected to last at most. It is not
// known before the first minKnownAnswers requests have ended, and as many were
// answered.
func (a *answerTimes) longest(kind string) (d basilmoor.Millis, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k, ok := a.byKind[kind]
	if !ok || min(k.firstEnded, k.complete) < minKnownAnswers {
		return 0, false
	}
	return k.longest, true
}
