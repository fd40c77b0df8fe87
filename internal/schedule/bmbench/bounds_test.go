package bmbench

import (
	"sync"
	"testing"
)

// boundsSeed is the seed of the runs whose bounds are checked.
const boundsSeed = 1

// Guards against a broker that misses its stated performance goals. The limits
// are the goals and don't depend on measured values.
func TestSchedulingBounds(t *testing.T) {
	reference := []Scheme{Broker(), Clairvoyant()}
	for _, d := range []*Deployment{Seedleaf(), Gonder()} {
		checkBounds(t, d, append(reference, Baselines()...), Bounds)
		checkBounds(t, d.WithLongPeak(), reference, LongPeakBounds)
	}
}

// checkBounds runs the schemes once on a deployment and checks each bound in a
// subtest.
func checkBounds(t *testing.T, d *Deployment, schemes []Scheme, bounds func(map[string]Result) []Bound) {
	t.Helper()
	measure := sync.OnceValue(func() map[string]Bound {
		byName := map[string]Bound{}
		for _, b := range bounds(RunAll(d, schemes, boundsSeed)) {
			byName[b.Name] = b
		}
		return byName
	})
	for _, b := range bounds(nil) {
		t.Run(d.Name+"/"+b.Name, func(t *testing.T) {
			t.Parallel()
			measured := measure()[b.Name]
			t.Logf("measured %.3f, limit %.3f, seed %d", measured.Measured, measured.Limit, boundsSeed)
			if !measured.Met() {
				t.Errorf("%s: measured %.3f misses the limit %.3f", b.Name, measured.Measured, measured.Limit)
			}
		})
	}
}
