package bmentry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

// Guards against a target that is blamed for a pause which arose on the way from it: the
// events that were made meanwhile arrive together.
func TestPausesOfTheTarget(t *testing.T) {
	type arrival struct {
		after  basilmoor.Millis
		events int
	}
	tests := map[string]struct {
		arrivals        []arrival
		longest, target basilmoor.Millis
	}{
		"the wait for the first event":      {arrivals: []arrival{{900, 1}, {20, 1}}, longest: 20, target: 20},
		"a pause at the target":             {arrivals: []arrival{{100, 1}, {400, 1}, {20, 1}}, longest: 400, target: 400},
		"a pause on the way":                {arrivals: []arrival{{100, 1}, {30, 1}, {220, 9}, {20, 1}}, longest: 220, target: 30},
		"one of each, the target's shorter": {arrivals: []arrival{{100, 1}, {150, 1}, {220, 9}}, longest: 220, target: 150},
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
				clock.Advance(a.after)
				s.recordPause(a.events)
			}
			require.Equal(t, tt.longest, s.longestPause)
			require.Equal(t, tt.target, s.targetPause)
		})
	}
}
