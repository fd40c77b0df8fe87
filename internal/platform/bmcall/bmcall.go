// Package bmcall holds what the clients of the platform's services share: HTTP
// calls that are sent once and have a time limit on the project's clock.
//
// Invariants: requests use HTTP/1.1, redirects are not followed, and a request
// carries no GetBody, so that http.Transport cannot resend a write after any
// byte of it was handed to a connection. It may resend a GET.
package bmcall

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

const (
	// maxIdleConns bounds the idle connections to one service. A node makes
	// few calls at the same time, and each connection costs memory.
	maxIdleConns = 8

	// idleTimeout closes idle connections, so that a connection that stopped
	// responding while it was idle is not kept for long.
	idleTimeout = 30 * basilmoor.Second
)

// Client makes calls to one service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// Call is one request.
type Call struct {
	Method   string
	Path     string // escaped
	Query    url.Values
	Body     []byte
	MaxBytes int64 // bound of the response body
}

// Answer is a complete response of any status.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// New returns a client of the service at baseURL, which has no path, and a
// function that closes its idle connections. Attempts to connect that take
// longer than dialTimeout fail.
func New(baseURL string, dialTimeout basilmoor.Millis) (*Client, func(), error) {
	u, err := url.Parse(baseURL)
	if err != nil {
		return nil, nil, errors.Wrap(err, "service URL")
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, nil, errors.Errorf("service URL %q: want http://ADDRESS:PORT", baseURL)
	}
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
	c := &Client{
		base: strings.TrimRight(baseURL, "/"),
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: refuseRedirect,
		},
	}
	return c, transport.CloseIdleConnections, nil
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Do sends the call and reads the whole response. The error tells why ctx
// ended if it has, for example bmclock.ErrTimeout.
func (c *Client) Do(ctx context.Context, k Call) (Answer, error) {
	a, err := c.send(ctx, k)
	if err == nil {
		return a, nil
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, bmclock.ErrTimeout) {
		// The connections that are idle now may have stopped responding
		// together with this one. The next call makes a new one.
		c.http.CloseIdleConnections()
	}
	if cause != nil {
		return Answer{}, cause
	}
	return Answer{}, err
}

func (c *Client) send(ctx context.Context, k Call) (Answer, error) {
	r, err := c.request(ctx, k)
	if err != nil {
		return Answer{}, err
	}
	response, err := c.http.Do(r)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, k.MaxBytes+1))
	if err != nil {
		return Answer{}, errors.Wrap(err, "read response")
	}
	if int64(len(body)) > k.MaxBytes {
		return Answer{}, errors.Errorf("response exceeds %d bytes", k.MaxBytes)
	}
	return Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   body,
	}, nil
}

// request makes a request whose body cannot be replayed.
func (c *Client) request(ctx context.Context, k Call) (*http.Request, error) {
	target := c.base + k.Path
	if len(k.Query) > 0 {
		target += "?" + k.Query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, k.Method, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	if len(k.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(k.Body))
		r.ContentLength = int64(len(k.Body))
	}
	return r, nil
}
