package bmlistener

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

// eventTimeout limits the wait for an event whose duration is not under test.
const eventTimeout = 20 * time.Second

// listenForTest returns a listener on a free port.
func listenForTest(t *testing.T) *Listener {
	t.Helper()
	return listenWithLimit(t, 4)
}

func listenWithLimit(t *testing.T, maxConns int) *Listener {
	t.Helper()
	l, closeListener, err := Listen(Config{
		Name:     "test",
		Address:  "127.0.0.1:0",
		Clock:    bmclock.NewSystem(),
		Metrics:  bmmetrics.NewRegistry(),
		Log:      zerolog.Nop(),
		MaxConns: maxConns,
	})
	require.NoError(t, err)
	t.Cleanup(closeListener)
	return l
}

// Guards against a planned stop that resets a connection which was established
// after the last wait for one had ended and before the listener is closed.
func TestCloseServesWhatArrivesLast(t *testing.T) {
	l := listenForTest(t)
	l.closing = true
	require.NoError(t, l.tcp.SetDeadline(time.Now().Add(-time.Second)))
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	require.Equal(t, c.LocalAddr().String(), accepted.RemoteAddr().String())
	require.NoError(t, accepted.Close())
	_, err = l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}

// Guards against a planned stop that resets the connections which wait to be accepted
// behind one that its caller has aborted.
func TestAcceptUnabortedSkipsAbortedConnections(t *testing.T) {
	type result struct {
		fd  int
		err error
	}
	tests := map[string]struct {
		results []result
		want    result
	}{
		"an empty queue":     {results: []result{{err: unix.EAGAIN}}, want: result{err: unix.EAGAIN}},
		"behind aborted":     {results: []result{{err: unix.ECONNABORTED}, {err: unix.ECONNABORTED}, {fd: 7}}, want: result{fd: 7}},
		"only aborted":       {results: []result{{err: unix.ECONNABORTED}, {err: unix.EAGAIN}}, want: result{err: unix.EAGAIN}},
		"after a signal":     {results: []result{{err: unix.EINTR}, {fd: 7}}, want: result{fd: 7}},
		"no descriptor left": {results: []result{{err: unix.EMFILE}, {fd: 7}}, want: result{err: unix.EMFILE}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			left := tt.results
			fd, err := acceptUnaborted(func() (int, error) {
				r := left[0]
				left = left[1:]
				return r.fd, r.err
			})
			require.Equal(t, tt.want.fd, fd)
			require.Equal(t, tt.want.err, err)
		})
	}
}

// Guards against a listener that accepts nothing for good, while its host is ready, once
// an accept call has failed with an error that net/http does not take for temporary.
func TestDeadListenerOpensAgain(t *testing.T) {
	l := listenForTest(t)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	get := func() error {
		resp, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	require.NoError(t, get())

	raw, err := l.socket().SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		require.NoError(t, unix.Shutdown(int(fd), unix.SHUT_RDWR))
	}))
	http.DefaultClient.CloseIdleConnections()
	require.Eventually(t, func() bool { return get() == nil }, eventTimeout, 10*time.Millisecond, "a connection is accepted")
	require.True(t, l.Accepting())
	require.NoError(t, server.Close())
	require.ErrorIs(t, <-done, http.ErrServerClosed)
}

// Guards against a host that is ready while its accept calls fail.
func TestAcceptingEndsWithFailures(t *testing.T) {
	clock := bmclock.NewManual(0)
	l := listenForTest(t)
	l.failures.clock = clock
	require.True(t, l.Accepting())
	l.failures.record(unix.EMFILE)
	clock.Advance(maxAcceptFailure - 1)
	require.True(t, l.Accepting())
	clock.Advance(1)
	require.False(t, l.Accepting())
	l.failures.record(nil)
	require.True(t, l.Accepting())
}
