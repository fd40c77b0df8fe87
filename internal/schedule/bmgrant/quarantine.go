package bmgrant

import (
	"cmp"
	"slices"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmquarantine"
)

// settleTime is the time from the first token until a request counts as answered.
// A target that a request crashes dies up to 140 ms after it began to answer.
const settleTime basilmoor.Millis = 500

// trialTime is the least time for which a request on trial is the only one with its
// keys, and trialSlowdown the multiple of the expected time to first token after
// which it may no longer be.
const (
	trialTime     = basilmoor.Second
	trialSlowdown = 3
)

// settling is a request that has answered unless its target dies before a time.
type settling struct {
	request *grantedRequest
	at      basilmoor.Millis
}

// endedRequest is a request that has ended without an answer, and for which the
// death of its target may still become known: its host probes the target, or its
// caller has left and the requests beside it tell.
type endedRequest struct {
	request *grantedRequest
	target  *target
	until   basilmoor.Millis
}

// quarantineNews is what the quarantine of a pool has decided since it was last
// asked.
type quarantineNews struct {
	answered []*grantedRequest // before the holds
	holds    []bmquarantine.Hold
	deaths   []bmquarantine.Record
	trials   int // requests granted under a limit
	cleared  int // keys cleared by an answer
}

// takeQuarantineNews returns and resets the news.
func (p *Pool) takeQuarantineNews() quarantineNews {
	news := p.news
	news.cleared = p.quarantine.TakeCleared()
	p.news = quarantineNews{}
	return news
}

// holdBack refuses the waiting demands that have one of the keys.
func (p *Pool) holdBack(now basilmoor.Millis, keys []uint64) []basilmoor.Decision {
	p.refuseKeys(keys)
	return p.schedule(now)
}

func (p *Pool) refuseKeys(keys []uint64) {
	p.waiting = slices.DeleteFunc(p.waiting, func(q *queuedDemand) bool {
		held := slices.ContainsFunc(q.demand.CrashKeys, func(k uint64) bool { return slices.Contains(keys, k) })
		if held {
			p.refuse(q.demand, basilmoor.ReasonCrashSuspect, "", maxRetryAfter)
		}
		return held
	})
}

// settle removes a request from those that the death of its target would blame.
func (p *Pool) settle(r *grantedRequest) {
	r.settled = true
	p.endCount(r)
}

// beginCount counts a request among those in progress with its keys, and endCount
// ends that.
func (p *Pool) beginCount(r *grantedRequest) {
	r.counted = true
	p.quarantine.Begin(r.demand.CrashKeys)
}

func (p *Pool) endCount(r *grantedRequest) {
	if r.counted {
		r.counted = false
		p.quarantine.End(r.demand.CrashKeys)
	}
}

func (p *Pool) survive(now basilmoor.Millis, r *grantedRequest) {
	p.settle(r)
	p.quarantine.Survived(now, r.demand.CrashKeys)
	p.news.answered = append(p.news.answered, r)
}

// settleAnswered settles the requests in progress whose first token came
// settleTime ago, in the order of their first tokens.
func (p *Pool) settleAnswered(now basilmoor.Millis) {
	for len(p.settling) > 0 && p.settling[0].at <= now {
		if r := p.settling[0].request; !r.settled && !r.ended {
			p.survive(now, r)
		}
		p.settling[0].request = nil
		p.settling = p.settling[1:]
	}
}

// awaitVerdict keeps a request that has ended, whose slot is free, among those that
// the death of their target blames.
func (p *Pool) awaitVerdict(now basilmoor.Millis, t *target, r *grantedRequest) {
	r.ended = true
	p.ended = append(p.ended, endedRequest{
		request: r,
		target:  t,
		until:   now + settleTime,
	})
}

// settleEnded settles the requests that ended settleTime ago.
func (p *Pool) settleEnded(now basilmoor.Millis) {
	for len(p.ended) > 0 && p.ended[0].until <= now {
		p.settle(p.ended[0].request)
		p.ended[0] = endedRequest{}
		p.ended = p.ended[1:]
	}
}

// observeLateDeath records the death of the target of a request that has ended.
func (p *Pool) observeLateDeath(now basilmoor.Millis, id basilmoor.RequestID) {
	for _, e := range p.ended {
		if e.request.demand.Request == id {
			p.observeDeath(now, e.target, e.request)
			return
		}
	}
}

// AwaitsVerdict reports whether a request has ended and the death of its target may
// still become known.
func (p *Pool) AwaitsVerdict(id basilmoor.RequestID) bool {
	return slices.ContainsFunc(p.ended, func(e endedRequest) bool { return e.request.demand.Request == id })
}

// endOverdueTrials lets another request run with the keys of a trial that has had no
// answer for trialTime, as on a target that has gone silent. The request is still
// blamed if its target dies.
func (p *Pool) endOverdueTrials(now basilmoor.Millis) {
	p.trials = slices.DeleteFunc(p.trials, func(r *grantedRequest) bool {
		if !r.settled && now-r.grantedAt < max(trialTime, trialSlowdown*r.expectedFirst) {
			return false
		}
		p.endCount(r)
		return true
	})
}

// observeDeath blames the requests that had not answered when t died. Hosts report
// each of these, and only the first report of one death counts. Of the requests
// whose dispatch is not known yet, each is blamed by its own report only: the
// target may have died before it got them.
func (p *Pool) observeDeath(now basilmoor.Millis, t *target, reported *grantedRequest) {
	if reported.targetDied {
		return
	}
	var runs []*grantedRequest
	blame := func(r *grantedRequest) {
		if r.targetDied || !r.dispatched && r != reported {
			return
		}
		r.targetDied = true
		if r.settled {
			return
		}
		p.settle(r)
		runs = append(runs, r)
	}
	for _, r := range t.inFlight {
		blame(r)
	}
	for _, e := range p.ended {
		if e.target == t {
			blame(e.request)
		}
	}
	slices.SortFunc(runs, func(a, b *grantedRequest) int {
		return cmp.Or(cmp.Compare(a.grantedAt, b.grantedAt), cmp.Compare(a.demand.Request, b.demand.Request))
	})
	blamed := make([]bmquarantine.Run, 0, len(runs))
	for _, r := range runs {
		blamed = append(blamed, bmquarantine.Run{
			Keys:      r.demand.CrashKeys,
			GrantedAt: r.grantedAt,
			OnTrial:   r.onTrial,
		})
	}
	p.recordDeaths(now, reported.incarnation, blamed)
	if h, ok := p.quarantine.Died(now, reported.incarnation, blamed); ok {
		p.refuseKeys([]uint64{h.Key})
		p.news.holds = append(p.news.holds, h)
	}
}

// admits reports whether a demand of the given level may be granted t.
func (p *Pool) admits(t *target, level bmquarantine.Level) bool {
	if level == bmquarantine.Clear {
		return true
	}
	for _, r := range t.inFlight {
		if r.settled {
			continue
		}
		other := p.quarantine.Level(r.demand.CrashKeys)
		if max(level, other) == bmquarantine.Isolated && min(level, other) > bmquarantine.Clear {
			return false
		}
	}
	return true
}

// harms compares two targets for a limited demand. It returns a negative number if
// the death of a would do less harm than that of b, or tell more: a target that has
// failed and not answered since may die by itself.
func harms(a, b *target) int {
	if c := compareFailed(a, b); c != 0 {
		return c
	}
	return len(a.inFlight) - len(b.inFlight)
}
