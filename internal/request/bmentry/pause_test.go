package bmentry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

// Guards against a target that is blamed for a pause which arose on the way from it: the
// events that were made meanwhile arrive together, the caller reads slowly, or another
// target began the stream.
func TestPausesOfTheTarget(t *testing.T) {
	type arrival struct {
		after  basilmoor.Millis
		events int
		// blocked is the part of after in which the caller took no bytes.
		blocked   basilmoor.Millis
		newTarget bool
	}
	tests := map[string]struct {
		arrivals        []arrival
		longest, target basilmoor.Millis
	}{
		"the wait for the first event":      {arrivals: []arrival{{after: 900, events: 1}, {after: 20, events: 1}}, longest: 20, target: 20},
		"a pause at the target":             {arrivals: []arrival{{after: 100, events: 1}, {after: 400, events: 1}, {after: 20, events: 1}}, longest: 400, target: 400},
		"a pause on the way":                {arrivals: []arrival{{after: 100, events: 1}, {after: 30, events: 1}, {after: 220, events: 9}, {after: 20, events: 1}}, longest: 220, target: 30},
		"one of each, the target's shorter": {arrivals: []arrival{{after: 100, events: 1}, {after: 150, events: 1}, {after: 220, events: 9}}, longest: 220, target: 150},
		"a caller that reads slowly":        {arrivals: []arrival{{after: 100, events: 1}, {after: 430, events: 1, blocked: 400}}, longest: 430, target: 30},
		"a stream that is resumed":          {arrivals: []arrival{{after: 100, events: 1}, {after: 700, events: 1, newTarget: true}, {after: 20, events: 1}}, longest: 700, target: 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock := bmclock.NewManual(1000)
			s := &stream{
				call: &call{
					handler: &Handler{
						cfg: Config{
							Clock: clock,
						},
					},
				},
			}
			for _, a := range tt.arrivals {
				if a.newTarget {
					s.beginTarget()
				}
				clock.Advance(a.after)
				s.waited += a.after - a.blocked
				s.recordPause(a.events)
			}
			require.Equal(t, tt.longest, s.longestPause)
			require.Equal(t, tt.target, s.targetPause)
		})
	}
}
