package bmgrant

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/schedule/bmquarantine"
)

// withKeys returns a demand with crash keys.
func withKeys(d basilmoor.Demand, keys ...uint64) basilmoor.Demand {
	d.CrashKeys = keys
	return d
}

// quarantinePool returns a pool with targets of two slots.
func quarantinePool(targets ...string) *Pool {
	p := NewPool(0)
	var specs []basilmoor.Target
	for _, name := range targets {
		specs = append(specs, testTarget(name, 2))
	}
	p.SetTargets(0, specs)
	return p
}

// report reports a stage of a request, which a target that has died failed.
func report(p *Pool, now basilmoor.Millis, id string, stage basilmoor.Stage, elapsed basilmoor.Millis) []basilmoor.Decision {
	return p.Observe(now, basilmoor.Observation{
		Request:    basilmoor.RequestID("h/" + id),
		Stage:      stage,
		Elapsed:    elapsed,
		Answered:   stage == basilmoor.StageFinished && elapsed > 0,
		TargetDied: stage == basilmoor.StageFailed,
	})
}

// sendTo submits a demand, which must be granted the target, and dispatches it.
func sendTo(t *testing.T, p *Pool, now basilmoor.Millis, target string, d basilmoor.Demand) {
	t.Helper()
	decisions := p.Submit(now, d)
	require.Len(t, decisions, 1)
	require.NotNil(t, decisions[0].Grant)
	require.Equal(t, target, decisions[0].Grant.Target.Name)
	p.Observe(now, basilmoor.Observation{
		Request: d.Request,
		Stage:   basilmoor.StageDispatched,
	})
}

// Guards against a sound request that dies beside a suspect one again and again,
// and against a suspect key that runs more than once at a time.
func TestSuspectRequestsRunApart(t *testing.T) {
	p := quarantinePool("a", "b", "c")
	sendTo(t, p, 0, "a", withKeys(testDemand("1", 0), 10, 2))
	report(p, 100, "1", basilmoor.StageFailed, 0)
	sendTo(t, p, 100, "b", withKeys(testDemand("2", 0), 11, 2))
	require.Empty(t, p.Submit(110, withKeys(testDemand("3", 0), 12, 2)), "two at a time")
	decisions := report(p, 200, "2", basilmoor.StageFailed, 0)
	require.Equal(t, []string{"h/3"}, granted(decisions))
	require.Equal(t, "c", decisions[0].Grant.Target.Name, "a target that may die by itself")
	// 11 is suspect too, and c the only target that has not failed.
	require.Empty(t, p.Submit(210, withKeys(testDemand("4", 0), 11)), "two suspect requests on a target")
	sendTo(t, p, 220, "c", withKeys(testDemand("5", 0), 13))
	report(p, 300, "3", basilmoor.StageFirstToken, 90)
	require.Equal(t, []string{"h/4"}, granted(p.Tick(300+settleTime)), "the answer ends the trial")
	require.Equal(t, 3, p.takeQuarantineNews().trials)
}

// Guards against counting a death once for each request that it ended, and against
// not counting that of the next start of a target.
func TestDeathCountsOnce(t *testing.T) {
	p := quarantinePool("a")
	level := func() int { return int(p.quarantine.Level([]uint64{2})) }
	sendTo(t, p, 0, "a", withKeys(testDemand("1", 0), 10, 2))
	sendTo(t, p, 0, "a", withKeys(testDemand("2", 0), 11, 2))
	report(p, 100, "1", basilmoor.StageFailed, 0)
	one := level()
	require.Positive(t, one)
	report(p, 150, "2", basilmoor.StageFailed, 0)
	require.Equal(t, one, level())
	require.Empty(t, p.quarantine.Level([]uint64{12}))
	p.Submit(160, withKeys(testDemand("3", 0), 12, 2))
	p.Tick(150 + maxRetryBackoff)
	require.True(t, p.HasGrant("h/3"))
	report(p, 150+maxRetryBackoff, "3", basilmoor.StageDispatched, 0)
	report(p, 250+maxRetryBackoff, "3", basilmoor.StageFailed, 0)
	require.Greater(t, level(), one, "the new start does not count")
}

// Guards against clearing what has not been answered, and against suspicion that an
// answer does not end.
func TestWhatClearsSuspicion(t *testing.T) {
	stream, plain := testDemand("2", 0), testDemand("2", 0)
	plain.OutputTokens = 0
	type observation struct {
		at      basilmoor.Millis
		stage   basilmoor.Stage
		elapsed basilmoor.Millis
	}
	tests := map[string]struct {
		demand       basilmoor.Demand
		observations []observation
		cleared      bool
	}{
		"the end of a stream":              {stream, []observation{{200, basilmoor.StageFirstToken, 90}, {250, basilmoor.StageFinished, 140}}, true},
		"a stream that goes on":            {stream, []observation{{200, basilmoor.StageFirstToken, 90}}, true},
		"a death after the answer began":   {stream, []observation{{200, basilmoor.StageFirstToken, 90}, {200 + settleTime, basilmoor.StageFailed, 0}}, true},
		"a death soon after it began":      {stream, []observation{{200, basilmoor.StageFirstToken, 90}, {199 + settleTime, basilmoor.StageFailed, 0}}, false},
		"the caller of a stream left":      {stream, []observation{{200, basilmoor.StageFirstToken, 90}, {250, basilmoor.StageFinished, 0}}, false},
		"a whole answer that is no stream": {stream, []observation{{200, basilmoor.StageFinished, 90}}, true},
		"the answer of a plain service":    {plain, []observation{{200, basilmoor.StageFinished, 90}}, true},
		"the caller of plain service left": {plain, []observation{{200, basilmoor.StageFinished, 0}}, false},
		"an unused grant":                  {plain, []observation{{200, basilmoor.StageReturned, 0}}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := quarantinePool("a", "b")
			sendTo(t, p, 0, "a", withKeys(testDemand("1", 0), 10, 2))
			report(p, 100, "1", basilmoor.StageFailed, 0)
			sendTo(t, p, 110, "b", withKeys(tt.demand, 11, 2))
			for _, o := range tt.observations {
				report(p, o.at, "2", o.stage, o.elapsed)
			}
			p.Tick(200 + settleTime)
			require.Equal(t, tt.cleared, p.quarantine.Level([]uint64{2}) == 0)
		})
	}
}

// Guards against a key whose requests all wait for a trial on a target that has gone
// silent, and against forgetting that trial if its target dies after all.
func TestSilentTrialEnds(t *testing.T) {
	p := quarantinePool("a", "b", "c")
	sendTo(t, p, 0, "a", withKeys(testDemand("1", 0), 10, 2))
	report(p, 100, "1", basilmoor.StageFailed, 0)
	sendTo(t, p, 100, "b", withKeys(testDemand("2", 0), 11, 2))
	require.Empty(t, p.Submit(110, withKeys(testDemand("3", 0), 12, 2)))
	require.Empty(t, p.Tick(99+trialTime))
	require.Equal(t, []string{"h/3"}, granted(p.Tick(100+trialTime)))
	require.Empty(t, p.Submit(110+trialTime, withKeys(testDemand("4", 0), 13, 2)), "the next one is on trial")
	before := p.quarantine.Level([]uint64{2})
	report(p, 200+trialTime, "2", basilmoor.StageFailed, 0)
	require.Greater(t, p.quarantine.Level([]uint64{2}), before)
}

// Guards against a demand that waits while its key is held back, and against
// refusing those beside it.
func TestHeldDemandsAreRefused(t *testing.T) {
	p := newFullPool(t)
	p.Submit(0, withKeys(testDemand("held", 0), 10, 2))
	p.Submit(0, withKeys(testDemand("other", 0), 11, 3))
	require.Equal(t, []string{"h/held"}, refused(p.holdBack(10, []uint64{2})))
	require.Equal(t, 1, p.Waiting())
}

// Guards against a death that blames only the requests beside the harmful one,
// because the harmful one had ended when the death became known: its host got the
// verdict late, or its caller had left.
func TestDeathKnownAfterTheEnd(t *testing.T) {
	tests := map[string]struct {
		end     basilmoor.Observation // of the harmful request, at 100
		diedAt  basilmoor.Millis
		another bool // the death is reported by a request beside it
		level   bmquarantine.Level
	}{
		"its host gets the verdict late": {end: basilmoor.Observation{Stage: basilmoor.StageFailed}, diedAt: 350, level: bmquarantine.Limited},
		"its caller left":                {end: basilmoor.Observation{Stage: basilmoor.StageFinished}, diedAt: 350, another: true, level: bmquarantine.Limited},
		"another host reports the death": {end: basilmoor.Observation{Stage: basilmoor.StageFailed}, diedAt: 350, another: true, level: bmquarantine.Limited},
		"it was answered":                {end: basilmoor.Observation{Stage: basilmoor.StageFinished, Answered: true}, diedAt: 350, another: true},
		"it was never sent":              {end: basilmoor.Observation{Stage: basilmoor.StageReturned}, diedAt: 350, another: true},
		"it ended long before":           {end: basilmoor.Observation{Stage: basilmoor.StageFailed}, diedAt: 100 + settleTime, another: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := quarantinePool("a")
			sendTo(t, p, 0, "a", withKeys(testDemand("1", 0), 10, 2))
			sendTo(t, p, 0, "a", withKeys(testDemand("2", 0), 11))
			end := tt.end
			end.Request = "h/1"
			p.Observe(100, end)
			p.Tick(tt.diedAt)
			reporter := "1"
			if tt.another {
				reporter = "2"
			}
			report(p, tt.diedAt, reporter, basilmoor.StageFailed, 0)
			require.Equal(t, tt.level, p.quarantine.Level([]uint64{2}))
		})
	}
}

// Guards against taking a request that began to answer, and ended without a whole
// answer, for one that its target survived.
func TestEndedRequestIsNoSurvival(t *testing.T) {
	p := quarantinePool("a", "b")
	sendTo(t, p, 0, "a", withKeys(testDemand("1", 0), 10, 2))
	report(p, 100, "1", basilmoor.StageFailed, 0)
	sendTo(t, p, 200, "b", withKeys(testDemand("2", 0), 11, 2))
	report(p, 300, "2", basilmoor.StageFirstToken, 100)
	p.Observe(310, basilmoor.Observation{
		Request: "h/2",
		Stage:   basilmoor.StageFinished,
	})
	p.Tick(310 + 2*settleTime)
	require.Equal(t, bmquarantine.Limited, p.quarantine.Level([]uint64{2}))
	require.True(t, p.quarantine.Admits([]uint64{2}), "the request is still counted")
}

// Guards against a request that crashes one target again and again, which starts each
// time under its name: the third death convicts it.
func TestDeathsOfOneTarget(t *testing.T) {
	tests := map[string]struct {
		born []int64
		held bool
	}{
		"three incarnations": {born: []int64{1, 2, 3}, held: true},
		"two incarnations":   {born: []int64{1, 2, 2}},
		"unknown starts":     {born: []int64{0, 0, 0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := quarantinePool()
			now := basilmoor.Millis(0)
			for i, born := range tt.born {
				spec := testTarget("a", 2)
				spec.Born = born
				p.SetTargets(now, []basilmoor.Target{spec})
				id := string(rune('1' + i))
				sendTo(t, p, now, "a", withKeys(testDemand(id, 0), 10))
				report(p, now+100, id, basilmoor.StageFailed, 0)
				now += 10 * basilmoor.Second
			}
			require.Equal(t, tt.held, len(p.takeQuarantineNews().holds) > 0)
		})
	}
}
