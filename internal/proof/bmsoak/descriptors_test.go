package bmsoak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor/internal/standin/bmstandinplatform"
)

const (
	// descriptorLimit is the limit of open files of a host's process, and
	// descriptorConns the number of connections that its callers open. They are more
	// than the process may have, as after a return of the hosts in which one is back
	// before the others.
	descriptorLimit = 500
	descriptorConns = 700

	// answerTimeout limits the wait for a response whose duration is not under test.
	answerTimeout = 20 * time.Second
)

// Guards against a host that says that it is ready and takes no new connection, because
// the connections that callers keep open have used up its descriptors.
func TestConnectionsBeyondTheDescriptorLimit(t *testing.T) {
	tests := map[string]struct {
		path   string // of the request on each connection; empty for none
		status int    // of the response, read before the next connection is opened; 0 if it is not awaited
	}{
		"idle":            {path: "/no-route/", status: http.StatusNotFound},
		"waiting":         {path: bmstandinplatform.SilentPrefix},
		"without request": {},
	}
	binary := build(t)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newStoppedFleet(t, binary, engines)
			f.maxFiles = descriptorLimit
			for _, h := range f.hosts {
				h.writeSettings(true)
			}
			f.start()
			h := f.hosts[0]
			for i := range descriptorConns {
				c := dialCaller(t, h)
				if tt.path != "" {
					c.send(t, fmt.Sprint("a", i), tt.path)
				}
				if tt.status != 0 {
					require.Equal(t, tt.status, c.status(t), "connection %d", i)
				}
			}
			c := dialCaller(t, h)
			c.send(t, "last", "/stream/")
			assert.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, c.status(t), "a new connection is answered")
			assert.True(t, h.isReady(), "the host is ready")
			if t.Failed() {
				t.Logf("end of the log of %s:\n%s", h.name, h.endOfLog())
			}
		})
	}
}

// callerConn is a connection of a caller.
type callerConn struct {
	conn net.Conn
}

// dialCaller opens a connection to a host, which is closed at the end of the test.
func dialCaller(t *testing.T, h *host) *callerConn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", h.callers, answerTimeout)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &callerConn{
		conn: conn,
	}
}

// send writes a request. It ignores errors: the host may close the connection first.
func (c *callerConn) send(t *testing.T, attempt, path string) {
	t.Helper()
	_, _ = fmt.Fprintf(c.conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 60000\r\nAuthorization: Token key-kept\r\n\r\n",
		path, attempt, hostname, attempt)
}

// status reads a response and returns its status.
func (c *callerConn) status(t *testing.T) int {
	t.Helper()
	require.NoError(t, c.conn.SetReadDeadline(time.Now().Add(answerTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}
