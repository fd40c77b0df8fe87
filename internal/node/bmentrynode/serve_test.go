package bmentrynode

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/request/bmentry"
)

// sleepClock is a clock whose Sleep advances it at once and then calls slept.
type sleepClock struct {
	*bmclock.Manual
	slept func(now basilmoor.Millis)
}

// Sleep implements basilmoor.Clock.
func (c *sleepClock) Sleep(_ context.Context, d basilmoor.Millis) error {
	c.Advance(d)
	c.slept(c.Now())
	return nil
}

// Guards against a process that ends while the server still writes the last bytes of
// a response, which it does after the handler has returned, and against waiting for a
// connection without bound.
func TestEndRequestsWaitsForConnections(t *testing.T) {
	const limit basilmoor.Millis = 200
	tests := map[string]struct {
		written, ended basilmoor.Millis
	}{
		"at the first poll":        {written: answerPollPeriod, ended: answerPollPeriod},
		"within the limit":         {written: 5 * answerPollPeriod, ended: 5 * answerPollPeriod},
		"later than the limit":     {written: 2 * limit, ended: limit},
		"no connection is in use":  {written: 0, ended: 0},
		"exactly within the limit": {written: limit, ended: limit},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			conn, other := net.Pipe()
			defer conn.Close()
			defer other.Close()
			clock := &sleepClock{
				Manual: bmclock.NewManual(0),
			}
			l, err := newNoContentListener(clock)
			require.NoError(t, err)
			defer l.netListener.Close()
			clock.slept = func(now basilmoor.Millis) {
				if now == tt.written {
					l.netListener.Conns().SetState(conn, http.StateClosed, now)
				}
			}
			n := &Node{
				clock:          clock,
				log:            zerolog.Nop(),
				handler:        bmentry.New(bmentry.Config{}),
				callerListener: l,
			}
			if tt.written > 0 {
				l.netListener.Conns().SetState(conn, http.StateActive, clock.Now())
			}
			n.endRequests(context.Background(), limit)
			require.Equal(t, tt.ended, clock.Now())
		})
	}
}
