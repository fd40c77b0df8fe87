package bmnode

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/platform/bmhostlist"
)

// Guards against ignoring a leaving target, and against never using a target
// again after its restart.
func TestLeavingTargets(t *testing.T) {
	clock := bmclock.NewManual(0)
	leaving := newLeavingTargets(clock, nil, zerolog.Nop())
	leaving.setListed([]bmhostlist.Target{
		{
			Name:    "listed",
			Leaving: true,
		},
		{
			Name: "staying",
		},
	})
	leaving.recordReport("reported")
	require.True(t, leaving.isLeaving("listed"))
	require.True(t, leaving.isLeaving("reported"))
	require.False(t, leaving.isLeaving("staying"))
	require.Equal(t, []string{"reported"}, leaving.reported())

	clock.Advance(reportTTL - 1)
	require.True(t, leaving.isLeaving("reported"))
	clock.Advance(1)
	require.False(t, leaving.isLeaving("reported"))
	require.Empty(t, leaving.reported())
	require.True(t, leaving.isLeaving("listed"), "a target listed as leaving stays so until the list changes")
	leaving.setListed(nil)
	require.False(t, leaving.isLeaving("listed"))
}
