package bmstandin

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor/internal/core/bmclock"
)

// Guards against a process that is revived while its crash still drops what it
// held, which then drops the requests of the revived one. TestCrashOnMarker
// failed by it in one of six runs of CI.
func TestNoReviveInsideACrash(t *testing.T) {
	var p *Process
	revivable := true
	p, cleanup := NewProcess(bmclock.NewManual(0), func() {
		// Revive needs this lock.
		revivable = p.transition.TryLock()
		if revivable {
			p.transition.Unlock()
		}
	})
	defer cleanup()
	p.Crash()
	require.False(t, revivable)
	require.NoError(t, p.Revive())
	require.False(t, p.Crashed())
}
