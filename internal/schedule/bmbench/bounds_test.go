package bmbench

import (
	"sync"
	"testing"
)

// boundsSeed is the seed of the runs that the bounds are checked on.
const boundsSeed = 1

// Guards the stated targets of the scheduling policy. The limits are the
// targets themselves and don't follow what was measured.
func TestSchedulingBounds(t *testing.T) {
	for _, d := range []*Deployment{Seedleaf(), Gonder()} {
		bounds := sync.OnceValue(func() map[string]Bound {
			schemes := append([]Scheme{Broker(), Clairvoyant()}, Baselines()...)
			byName := map[string]Bound{}
			for _, b := range Bounds(RunAll(d, schemes, boundsSeed)) {
				byName[b.Name] = b
			}
			return byName
		})
		for _, b := range Bounds(nil) {
			t.Run(d.Name+"/"+b.Name, func(t *testing.T) {
				t.Parallel()
				measured := bounds()[b.Name]
				t.Logf("measured %.3f, limit %.3f, seed %d", measured.Measured, measured.Limit, boundsSeed)
				if !measured.Met() {
					t.Errorf("%s: measured %.3f misses the limit %.3f", b.Name, measured.Measured, measured.Limit)
				}
			})
		}
	}
}
