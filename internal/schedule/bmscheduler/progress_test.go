package bmscheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// recordingUplink records the observations that a tracker reports.
type recordingUplink struct {
	observed []basilmoor.Observation
}

func (u *recordingUplink) submit(basilmoor.Demand)         {}
func (u *recordingUplink) cancel(basilmoor.RequestID)      {}
func (u *recordingUplink) endResubmission()                {}
func (u *recordingUplink) keepalive()                      {}
func (u *recordingUplink) close()                          {}
func (u *recordingUplink) flush()                          {}
func (u *recordingUplink) observe(o basilmoor.Observation) { u.observed = append(u.observed, o) }

// Guards against one report per token, which would exceed the host's budget for
// control messages, and against a slowdown of a target that is not reported
// within a few tokens.
func TestProgressIsReportedWhenTheSpeedChanges(t *testing.T) {
	l := newRequestTracker("models", newCodec("entry-1", 1), nil, nil)
	up := &recordingUplink{}
	e := l.add(0, demandWithTokens("a"))
	e.state = entryGranted
	e.target = basilmoor.Target{
		Name: "engine-1",
	}
	l.uplink = up
	now := basilmoor.Millis(0)
	tokens := 0
	stream := func(n int, interval basilmoor.Millis) int {
		before := len(up.observed)
		for range n {
			now += interval
			tokens++
			l.observe(now, e, basilmoor.Observation{
				Stage:   basilmoor.StageProgress,
				Tokens:  tokens,
				Elapsed: now,
			})
		}
		return len(up.observed) - before
	}
	require.Equal(t, 2, stream(4, 30), "the first measured rate, as two samples")
	require.Zero(t, stream(50, 30), "no report at a constant rate")
	require.Equal(t, 2, stream(4, 120), "a changed rate within four tokens")
}
