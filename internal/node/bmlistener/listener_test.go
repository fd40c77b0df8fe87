package bmlistener

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

// listenForTest returns a listener on a free port.
func listenForTest(t *testing.T) *Listener {
	t.Helper()
	l, closeListener, err := Listen(Config{
		Name:     "test",
		Address:  "127.0.0.1:0",
		Clock:    bmclock.NewSystem(),
		Metrics:  bmmetrics.NewRegistry(),
		Log:      zerolog.Nop(),
		MaxConns: 4,
	})
	require.NoError(t, err)
	t.Cleanup(closeListener)
	return l
}

// Guards against a planned stop that resets a connection which was established
// after the last wait for one had ended and before the listener is closed.
func TestCloseServesWhatArrivesLast(t *testing.T) {
	l := listenForTest(t)
	l.closing.Store(true)
	require.NoError(t, l.SetDeadline(time.Now().Add(-time.Second)))
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
