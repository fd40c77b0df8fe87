package bmmeasure

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against claim series that a line can't be fitted to, against store
// writes that grow with the rate of claims, and against batches that don't
// reduce the bytes per claim.
func TestClaims(t *testing.T) {
	list, err := Claims()
	require.NoError(t, err)
	require.Len(t, list, 3)
	for _, s := range list {
		_, err := s.Fit()
		require.NoError(t, err)
		for _, p := range s.Points {
			require.Positive(t, p.Value, s.Cost)
		}
	}
	for _, p := range list[0].Points {
		require.LessOrEqual(t, p.Value, 200.0)
	}
	batches := list[1].Points
	require.Less(t, batches[len(batches)-1].Value, batches[0].Value)
}
