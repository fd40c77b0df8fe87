package bmentrynode

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmlistener"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/request/bmentry"
)

// testListenerConfig returns the configuration of a listener on a free port.
func testListenerConfig(clock basilmoor.Clock) bmlistener.Config {
	return bmlistener.Config{
		Name:    "test",
		Address: "127.0.0.1:0",
		Clock:   clock,
		Metrics: bmmetrics.NewRegistry(),
		Log:     zerolog.Nop(),

		MaxConns: 100,
	}
}

// newNoContentListener returns a listener on a free port whose server answers
// every request with an empty response.
func newNoContentListener(clock basilmoor.Clock) (*listener, error) {
	return newListener(testListenerConfig(clock), &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
	}, http.NotFoundHandler())
}

// Guards against a planned stop that resets the connections whose requests were
// sent while they waited to be accepted.
func TestCloseServesTheAcceptQueue(t *testing.T) {
	const queued = 50
	l, err := newNoContentListener(bmclock.NewSystem())
	require.NoError(t, err)
	var conns []net.Conn
	for range queued {
		c, err := net.Dial("tcp", l.netListener.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		conns = append(conns, c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	l.close()
	go func() { ended <- l.Serve(ctx) }()
	for n, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, "connection %d", n)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusNoContent, resp.StatusCode)
	}
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	_, err = net.Dial("tcp", l.netListener.Addr().String())
	require.Error(t, err, "the listener is closed")
}

// Guards against a listener that does not tell when it accepted the connection of a
// request, so that a stopping host refuses what it is still sent.
func TestListenerRecordsAcceptTime(t *testing.T) {
	const accepted basilmoor.Millis = 1234
	clock := bmclock.NewManual(accepted)
	recorded := make(chan basilmoor.Millis, 1)
	l, err := newListener(testListenerConfig(clock), &http.Server{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			at, known := bmentry.AcceptTime(r.Context())
			assert.True(t, known)
			recorded <- at
		}),
	}, http.NotFoundHandler())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Serve(ctx) }()
	c, err := net.Dial("tcp", l.netListener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	for _, exchangedAt := range []basilmoor.Millis{accepted, accepted + 1000} {
		clock.Advance(exchangedAt - clock.Now())
		_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		require.Equal(t, accepted, <-recorded)
	}
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}

// Guards against a stop that takes long requests too late, or leaves no time to
// answer them at its end. The platform accounts for a long request that arrives up to
// 3 s after the signal and is in progress in the last sixth of the grace.
func TestDrainTimes(t *testing.T) {
	const (
		began          basilmoor.Millis = 1000
		maxDrainAccept                  = 3 * basilmoor.Second
		signalDelay    basilmoor.Millis = 300
	)
	tests := map[string]struct {
		grace, end, answerTime basilmoor.Millis
	}{
		"half a second": {grace: 500, end: 438, answerTime: 31},
		"1 s":           {grace: 1000, end: 876, answerTime: 62},
		"3 s":           {grace: 3000, end: 2626, answerTime: 187},
		"4 s":           {grace: 4000, end: 3550, answerTime: 200},
		"8 s":           {grace: 8000, end: 7500, answerTime: 200},
		"1 min":         {grace: 60_000, end: 59_500, answerTime: 200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := Settings{
				StopGrace:      tt.grace,
				WithdrawalTime: 2 * basilmoor.Second,
			}
			times := s.drainTimes(began)
			require.Equal(t, tt.end, times.End-began)
			require.Equal(t, tt.answerTime, s.drainAnswerTime())
			require.Greater(t, 6*tt.end, 5*tt.grace)
			require.LessOrEqual(t, times.Withdrawn, times.End)
			require.Equal(t, min(times.Withdrawn+drainPollPeriod+bmlistener.AcceptQueueTime, times.End), times.ListenerClosed)
			require.Less(t, times.ListenerClosed-began, maxDrainAccept)
			require.Less(t, times.Withdrawn-began+signalDelay, maxDrainAccept)
			require.Less(t, times.Withdrawn-began+drainPollPeriod+bmlistener.AcceptQueueTime, maxDrainAccept)
			if tt.grace >= 8*basilmoor.Second {
				require.LessOrEqual(t, tt.end+tt.answerTime+signalDelay, tt.grace)
			}
		})
	}
}

// Guards against a planned stop that lasts until the end of the grace because a
// caller has opened a connection and sends nothing on it.
func TestSilentConnectionIsNotBusy(t *testing.T) {
	clock := bmclock.NewManual(0)
	l, err := newNoContentListener(clock)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Serve(ctx) }()
	c, err := net.Dial("tcp", l.netListener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	require.Eventually(t, func() bool { return l.busyConns() == 1 }, eventTimeout, time.Millisecond)
	clock.Advance(bmlistener.NewConnTime)
	require.Zero(t, l.busyConns())
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}

// eventTimeout limits the wait for an event whose duration is not under test.
const eventTimeout = 20 * time.Second
