package bmcall

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

// Guards against a client that, after one connection stops responding, tries the
// other idle connections one by one and waits for the time limit on each.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	release := make(chan struct{})
	closed := make(chan struct{}, 2)
	var together sync.WaitGroup // makes the two calls overlap, so that each opens a connection
	together.Add(2)
	mux := http.NewServeMux()
	mux.HandleFunc("/together", func(http.ResponseWriter, *http.Request) {
		together.Done()
		together.Wait()
	})
	mux.HandleFunc("/silent", func(http.ResponseWriter, *http.Request) { <-release })
	server := httptest.NewUnstartedServer(mux)
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateClosed {
			closed <- struct{}{}
		}
	}
	server.Start()
	defer server.Close()
	c, closeIdle, err := New(server.URL, basilmoor.Second)
	require.NoError(t, err)
	defer closeIdle()

	idle := make(chan error, 2)
	traced := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		PutIdleConn: func(err error) { idle <- err },
	})
	for range 2 {
		go func() {
			_, _ = c.Do(traced, Request{
				Method: http.MethodGet,
				Path:   "/together",
			})
		}()
	}
	require.NoError(t, <-idle)
	require.NoError(t, <-idle)

	clock := bmclock.NewManual(0)
	ctx, cancel := bmclock.WithTimeout(context.Background(), clock, basilmoor.Second)
	defer cancel()
	clock.Advance(basilmoor.Second)
	_, err = c.Do(ctx, Request{
		Method: http.MethodGet,
		Path:   "/silent",
	})
	require.ErrorIs(t, err, bmclock.ErrTimeout)
	close(release)
	<-closed
	<-closed
}
