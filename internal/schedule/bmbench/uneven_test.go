package bmbench

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a limit of prompts that costs more than it gains on a pool whose targets
// differ, for each of the patterns: against the pool without it, and against the rule that
// takes the least loaded target.
func TestUnevenTargets(t *testing.T) {
	const (
		seeds   = 2
		maxLoss = 0.003 // between two runs that differ by chance
	)
	for _, pattern := range UnevenPatterns() {
		t.Run(pattern.Name, func(t *testing.T) {
			t.Parallel()
			value := map[string]float64{}
			for seed := range uint64(seeds) {
				for _, scheme := range UnevenSchemes() {
					r := RunUneven(pattern, scheme, seed)
					t.Logf("seed %d, %-13s value %.3f, in time by tier %.3f, paused %.3f, served %.3f", seed, scheme.Name, r.Value, r.InTime, r.Paused, r.Served)
					value[scheme.Name] += r.Value / seeds
				}
			}
			require.GreaterOrEqual(t, value[prefillLimitScheme], value[fixedSlotsScheme]-maxLoss, "without the limit")
			require.Greater(t, value[prefillLimitScheme], value[leastLoadedScheme], "the least loaded target")
		})
	}
}
