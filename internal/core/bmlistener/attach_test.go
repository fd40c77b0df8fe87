package bmlistener

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a request beyond the limit of connections that waits or runs instead of
// being refused, and against a limit that stays reached once there is room again.
func TestAttachRefusesExcess(t *testing.T) {
	l := listenWithLimit(t, 1)
	running := make(chan struct{})
	end := make(chan struct{})
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			running <- struct{}{}
			<-end
			w.WriteHeader(http.StatusNoContent)
		}),
	}
	l.Attach(server, http.HandlerFunc(RefuseExcess))
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	send := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		return c
	}
	receive := func(c net.Conn) (status int, closes bool) {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode, resp.Close
	}

	served := send()
	<-running
	status, closes := receive(send())
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.True(t, closes)
	end <- struct{}{}
	status, _ = receive(served)
	assert.Equal(t, http.StatusNoContent, status)

	// The connection that was served is idle now and makes room.
	next := send()
	<-running
	end <- struct{}{}
	status, _ = receive(next)
	assert.Equal(t, http.StatusNoContent, status)
	require.NoError(t, server.Close())
	require.ErrorIs(t, <-done, http.ErrServerClosed)
}
