package bmentrynode_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandinplatform"
)

// Guards against a request that is taken so long after the signal to stop that the
// end of the grace cuts its answer: what a stopping host takes it must be able to
// finish, and it must refuse the rest.
func TestPlannedStopRefusesWhatItCannotFinish(t *testing.T) {
	const stopGrace = 8 * basilmoor.Second
	tests := map[string]basilmoor.Millis{ // time from the signal to the request
		"just after the load balancer sends no more": 2500,
		"shortly after that":                         2600,
		"late in the grace":                          6000,
	}
	for name, sentAfter := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleetWithTimes(t, 2, stopGrace, basilmoor.Minute)
			leaving := f.nodes[0]
			// The node accepts connections in the order in which they are opened, so
			// this one belongs to the time before the stop once the next is served.
			late := openConn(t, leaving)
			inProgress := openConn(t, leaving)
			before := len(f.runs())
			broken := make(chan response, 1)
			go func() { broken <- inProgress.exchange(bmstandinplatform.EndlessPath) }()
			f.eventually("in progress", func() bool { return len(f.runs()) > before })
			leaving.stop()
			f.eventually("stopping", func() bool { return !leaving.ready() })
			before = len(f.runs())
			leaving.clock.advance(sentAfter)
			a := late.exchange(bmstandinplatform.EndlessPath)
			require.NoError(t, a.err)
			require.Equal(t, http.StatusServiceUnavailable, a.status)
			require.Equal(t, string(basilmoor.ReasonStopping), strings.TrimSpace(a.body))
			require.Len(t, f.runs(), before)
			require.Contains(t, leaving.logged.text(), `"connection-age-ms":`)
			leaving.clock.advance(stopGrace)
			require.NoError(t, <-leaving.done)
			require.Error(t, (<-broken).err, "a stream that is broken off must not look complete")
		})
	}
}

// Guards against requests that are closed without an answer at the end of a stop,
// also when the node notices the end late.
func TestPlannedStopAnswersWhatItEnds(t *testing.T) {
	const stopGrace = 8 * basilmoor.Second
	tests := map[string]basilmoor.Millis{ // time from the signal at which the node notices the end
		"in time": 7500,
		"late":    7900,
	}
	for name, noticed := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleetWithTimes(t, 2, stopGrace, basilmoor.Minute)
			leaving := f.nodes[0]
			before := len(f.runs())
			c := openConn(t, leaving)
			answered := make(chan response, 1)
			go func() { answered <- c.exchange(bmstandinplatform.SilentPath) }()
			f.eventually("in progress", func() bool { return len(f.runs()) > before })
			leaving.stop()
			f.eventually("stopping", func() bool { return !leaving.ready() })
			leaving.clock.advance(noticed)
			a := <-answered
			require.NoError(t, a.err)
			require.Equal(t, http.StatusGatewayTimeout, a.status)
			require.Equal(t, string(basilmoor.ReasonStopping), strings.TrimSpace(a.body))
			require.NoError(t, <-leaving.done)
		})
	}
}

// Guards against a request that a stopping host takes late in its grace and passes on,
// and whose connection ends without an answer.
func TestPlannedStopAnswersLateRequests(t *testing.T) {
	const (
		stopGrace = 8 * basilmoor.Second
		limit     = basilmoor.Second
	)
	tests := map[string]struct {
		sentAfter basilmoor.Millis // time from the signal to the request
		path      string
		runs      int
		status    int
	}{
		"a target that answers":          {sentAfter: 6000, path: "/lookup/x", runs: 1, status: http.StatusOK},
		"a target that is silent":        {sentAfter: 6000, path: bmstandinplatform.SilentPath, runs: 1, status: http.StatusGatewayTimeout},
		"silent, as late as may be":      {sentAfter: 6400, path: bmstandinplatform.SilentPath, runs: 1, status: http.StatusGatewayTimeout},
		"later than it may be passed on": {sentAfter: 6600, path: bmstandinplatform.SilentPath, runs: 0, status: http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleetWithTimes(t, 2, stopGrace, basilmoor.Minute)
			leaving := f.nodes[0]
			late := openConn(t, leaving)
			held := make(chan response, 1)
			inProgress := openConn(t, leaving)
			before := len(f.runs())
			go func() { held <- inProgress.exchange(bmstandinplatform.EndlessPath) }()
			f.eventually("in progress", func() bool { return len(f.runs()) > before })
			leaving.stop()
			f.eventually("stopping", func() bool { return !leaving.ready() })
			before = len(f.runs())
			leaving.clock.advance(tt.sentAfter)
			a := late.exchangeWithin(tt.path, limit)
			require.NoError(t, a.err)
			require.Equal(t, tt.status, a.status, a.body)
			require.Len(t, f.runs(), before+tt.runs)
			leaving.clock.advance(stopGrace)
			require.NoError(t, <-leaving.done)
			require.Error(t, (<-held).err)
		})
	}
}

// Guards against a host without requests that ends as soon as it closes its listener
// and resets the connections that wait to be accepted.
func TestIdleStopWaitsForTheAcceptQueue(t *testing.T) {
	// acceptTime covers the time for which the closing listener accepts and that in
	// which the last connection brings its request.
	const acceptTime basilmoor.Millis = 200
	f := newFleetWithTimes(t, 2, 8*basilmoor.Second, basilmoor.Minute)
	leaving := f.nodes[0]
	leaving.stop()
	f.eventually("stopping", func() bool { return !leaving.ready() })
	leaving.clock.advance(2500)
	require.NoError(t, <-leaving.done)
	closing, logged := leaving.logged.of("listener closes")
	require.True(t, logged)
	stopped, logged := leaving.logged.of("stopped")
	require.True(t, logged)
	require.GreaterOrEqual(t, stopped-closing, acceptTime)
}

// Guards against a log that does not say how long a stop may take if the settings
// name no grace.
func TestAssumedStopGraceIsLogged(t *testing.T) {
	const message = "settings without a stop grace"
	f := newFleet(t, 1)
	n := f.nodes[0]
	_, logged := n.logged.of(message)
	require.False(t, logged)
	n.stop()
	n.release()
	n.settings.StopGraceAssumed = true
	n.start(t)
	_, logged = n.logged.of(message)
	require.True(t, logged)
}

// callerConn is a caller's connection to a node.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func openConn(t *testing.T, n *node) *callerConn {
	t.Helper()
	c, err := net.Dial("tcp", n.settings.CallersAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &callerConn{
		Conn:   c,
		reader: bufio.NewReader(c),
	}
}

// exchange sends a request with a time limit of 9 s and reads the whole response.
func (c *callerConn) exchange(path string) response {
	return c.exchangeWithin(path, 9*basilmoor.Second)
}

// exchangeWithin sends a request with a time limit and reads the whole response.
func (c *callerConn) exchangeWithin(path string, limit basilmoor.Millis) response {
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: "+hostname+"\r\nAuthorization: Token k\r\nX-Attempt-Id: a%s\r\nX-Deadline-Ms: %d\r\nX-Token-Usage: 100,5\r\n\r\n", path, c.LocalAddr(), limit)
	if err != nil {
		return response{
			err: err,
		}
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return response{
			err: err,
		}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return response{
		status: resp.StatusCode,
		body:   string(raw),
		err:    err,
	}
}
