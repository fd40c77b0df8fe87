package bmstandin

import (
	"net/http"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

// Checks that a crashed process restarts after revive-after-ms, and that each
// crash calls onCrash, which drops the in-memory state.
func TestReviveAfter(t *testing.T) {
	clock := bmclock.NewManual(0)
	crashes := 0
	p, stop := NewProcess(clock, func() { crashes++ })
	defer stop()
	server, closeServer, err := Listen("127.0.0.1:0", "", http.NotFoundHandler())
	require.NoError(t, err)
	defer closeServer()
	p.Attach(server)
	after := 5 * basilmoor.Second
	for n := 1; n <= 2; n++ {
		require.NoError(t, p.SetFaults(Faults{
			CrashNow:          true,
			ReviveAfterMillis: &after,
		}))
		require.True(t, p.Crashed())
		require.Equal(t, n, crashes)
		clock.WaitTimers(1)
		clock.Advance(after)
		for p.Crashed() {
			runtime.Gosched()
		}
		r, err := http.Get("http://" + server.Address())
		require.NoError(t, err)
		r.Body.Close()
	}
}

// Checks that invalid faults are rejected rather than accepted without effect.
func TestInvalidFaults(t *testing.T) {
	zero, negative := 0.0, -1
	tests := map[string]Faults{
		"slow factor": {
			SlowFactor: &zero,
		},
		"lost responses": {
			DropNextResponses: &negative,
		},
		"stop responding without a server": {
			StopResponding: true,
		},
	}
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			p, stop := NewProcess(bmclock.NewManual(0), func() {})
			defer stop()
			require.Error(t, p.SetFaults(f))
		})
	}
}

// Checks that a value is not reported before the delay has passed, and that
// the reported age is correct.
func TestDelayedReport(t *testing.T) {
	clock := bmclock.NewManual(100)
	l := NewDelayed(clock, 10, "first")
	check := func(want string, age basilmoor.Millis) {
		t.Helper()
		value, got := l.Report()
		require.Equal(t, want, value)
		require.Equal(t, age, got)
	}
	check("first", 0)
	clock.Advance(5)
	l.Record("second")
	clock.Advance(9)
	check("first", 10)
	clock.Advance(1)
	check("second", 10)
	l.Record("third")
	l.SetDelay(0)
	check("third", 0)
}
