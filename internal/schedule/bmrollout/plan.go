package bmrollout

import (
	"basilmoor.example/basilmoor"
)

const (
	// canaryBudget is the part of the bounded exposure that the canary stage may use.
	// The rest covers what is sent between the first bad answers of a version that
	// turns bad while it gets more requests and the rollback.
	canaryBudget = 0.6

	// canaryBatch is the number of requests that are granted to the canary targets in a
	// row, so that they fill their slots at times: some versions are bad under load only.
	canaryBatch = 12

	// minCanaries is the least number of targets that get the requests of the canary
	// stage, if there are as many.
	minCanaries = 6

	// minTargetsForCap is the number of answering targets from which one contributes at
	// most targetScore. With fewer, each contributes an equal part of rollbackScore.
	minTargetsForCap = 3

	// minAnswers is the number of answers without which a version is not judged good.
	minAnswers = 20

	// minAnswersOfAll is that number if it includes answers that earlier owners have
	// weighed, of which only the sum of the evidence is known.
	minAnswersOfAll = 30

	// minCapacity is the fraction of the old slots that the new targets must have
	// before all requests go there.
	minCapacity = 0.5

	// maxOwnership bounds how long a stored record allows its owner to send requests
	// to the new version. It spans a renewal that fails.
	maxOwnership = 2 * basilmoor.Second

	// reservedBatches bounds the requests that a record covers beyond those that were
	// sent. A next owner counts all of them as sent. reservePeriod is the least time
	// between two records for more.
	reservedBatches = 2
	reservePeriod   = 250 * basilmoor.Millis(1)

	// renewPeriod is the time between two records of the same stage.
	renewPeriod = basilmoor.Second
)

// plan holds the times of the stages, from the order on. The later a version gets all
// requests, the more of its faults have shown by then; the end of the time leaves room
// for what the old targets still run and for the write of the result.
type plan struct {
	shift    basilmoor.Millis // start of the shifting stage
	drain    basilmoor.Millis // start of the draining stage
	complete basilmoor.Millis // when the draining stage ends at the latest
}

func newPlan(duration basilmoor.Millis) plan {
	// Fractions of the duration, with bounds in ms: a margin to store the result, the
	// draining stage, and the shifting stage.
	margin := clamp(duration/12, 200, 1500)
	drain := clamp(duration/5, 100, 8000)
	shift := clamp(duration/20, 50, 2000)
	p := plan{
		complete: max(duration-margin, 0),
	}
	p.drain = max(p.complete-drain, 0)
	p.shift = max(p.drain-shift, 0)
	return p
}

// shiftShares are the shares of the requests that go to the new version in equal parts of
// the shifting stage.
var shiftShares = []float64{0.3, 0.7}

// shareAt returns the share of the shifting stage at a time after the order. If the stage
// began late it skips the first parts, because the time limit doesn't move.
func (p plan) shareAt(elapsed basilmoor.Millis) float64 {
	length := max(p.drain-p.shift, 1)
	n := int(elapsed-p.shift) * len(shiftShares) / int(length)
	return shiftShares[min(max(n, 0), len(shiftShares)-1)]
}

func clamp(v, least, most basilmoor.Millis) basilmoor.Millis {
	return min(max(v, least), most)
}
