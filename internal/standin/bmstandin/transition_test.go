package bmstandin

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor/internal/core/bmclock"
)

// Checks that Revive waits until onCrash has returned. Otherwise onCrash may
// drop the requests of the restarted process, a race that made
// TestCrashOnMarker fail in one of six CI runs.
func TestReviveWaitsForOnCrash(t *testing.T) {
	var p *Process
	revivable := true
	p, cleanup := NewProcess(bmclock.NewManual(0), func() {
		// Revive acquires this lock, so it must be held during onCrash.
		revivable = p.lifecycleMu.TryLock()
		if revivable {
			p.lifecycleMu.Unlock()
		}
	})
	defer cleanup()
	p.Crash()
	require.False(t, revivable)
	require.NoError(t, p.Revive())
	require.False(t, p.Crashed())
}
