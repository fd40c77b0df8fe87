// Package bmcall holds what the clients of the platform's services share: an
// HTTP client that never sends a request twice and time limits on the
// project's clock.
//
// Invariants: requests use HTTP/1.1, redirects are not followed, and a request
// made by NewRequest carries no GetBody, so that http.Transport cannot resend
// it after any byte was written.
package bmcall

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

const (
	// maxIdleConns bounds the idle connections to one service. A node makes
	// few calls at the same time, and each connection costs memory.
	maxIdleConns = 8

	// idleTimeout closes idle connections, so that a connection that stopped
	// responding while it was idle is not kept for long.
	idleTimeout = 30 * basilmoor.Second

	// MaxErrorBytes bounds how much of an error response is read.
	MaxErrorBytes = 64 << 10
)

// ErrTimeout is the cause of a call that exceeded its time limit.
var ErrTimeout = errors.New("time limit exceeded")

// NewClient returns an HTTP client without a time limit of its own, and a
// function that closes its idle connections. A dial that takes longer than
// dialTimeout fails.
func NewClient(dialTimeout basilmoor.Millis) (*http.Client, func()) {
	dialer := &net.Dialer{
		Timeout: dialTimeout.Duration(),
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout.Duration(),
		DisableCompression:  true,
		Protocols:           protocols,
	}
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: refuseRedirect,
	}
	return client, transport.CloseIdleConnections
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// NewRequest returns a request whose body cannot be replayed.
func NewRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	if len(body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(body))
		r.ContentLength = int64(len(body))
	}
	return r, nil
}

// WithTimeout returns a context that ends with the cause ErrTimeout after d
// milliseconds of clock. The caller must call the returned function.
func WithTimeout(ctx context.Context, clock basilmoor.Clock, d basilmoor.Millis) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &timeout{
		timer:  clock.NewTimer(d),
		cancel: cancel,
	}
	go t.run(ctx)
	return ctx, func() { cancel(context.Canceled) }
}

type timeout struct {
	timer  basilmoor.Timer
	cancel context.CancelCauseFunc
}

func (t *timeout) run(ctx context.Context) {
	defer t.timer.Stop()
	select {
	case <-t.timer.C():
		t.cancel(ErrTimeout)
	case <-ctx.Done():
	}
}

// Cause returns the reason why ctx ended if it has ended, and err otherwise.
func Cause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
