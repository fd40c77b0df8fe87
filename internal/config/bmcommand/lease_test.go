package bmcommand

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Guards against a command that is sent after the lease expired, for example
// because the process was paused between the check and the call, and against a
// new holder that sends commands while a call of the previous holder may still
// be in progress.
func TestTakeover(t *testing.T) {
	tests := map[string]struct {
		checksFencing bool
		wait          basilmoor.Millis // from the election to the first command
	}{
		"target checks the fencing number": {
			checksFencing: true,
			wait:          2 * basilmoor.Second, // one load at 30 a minute
		},
		"target ignores the fencing number": {
			wait: testConfig.LeaseTTL + testConfig.CallTimeout,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const elected = 100 * basilmoor.Second
			r := New(testConfig, 0)
			d := basilmoor.Target{
				Name:          "a",
				Models:        []string{"m"},
				ChecksFencing: tt.checksFencing,
			}
			r.SetDesired(nil, []basilmoor.Target{d})
			// The lease was requested a second before this host learned of it.
			r.LeaseAcquired(elected, elected-basilmoor.Second, 7)
			first := Command{}
			now := elected
			for ; first.ID == 0; now += basilmoor.Second {
				r.LeaseRenewed(now, now-basilmoor.Second)
				r.HandleReport(now, "a", Report{})
				if commands, _ := r.Tick(now); len(commands) > 0 {
					first = commands[0]
					break
				}
			}
			require.Equal(t, elected+tt.wait, now)
			require.Equal(t, int64(7), first.FencingNumber)

			end := now - basilmoor.Second + testConfig.LeaseTTL
			require.True(t, r.ConfirmSend(end-1, first))
			require.False(t, r.ConfirmSend(end, first))
			r.LeaseRenewed(end, end) // has no effect: the lease has expired
			r.HandleReport(end, "a", Report{})
			commands, _ := r.Tick(end)
			require.Empty(t, commands)
		})
	}
}
