// Package bmcall provides the HTTP client on which the clients of the
// platform's services are built. Callers set the time limit of a call through
// its context, usually with bmclock.WithTimeout.
//
// Requests use HTTP/1.1 and redirects are not followed. Requests have no
// GetBody function, so http.Transport cannot retry a write after any byte of it
// was written to a connection. It may retry a GET.
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
	// maxIdleConns limits the idle connections to one service. A node makes
	// few calls at the same time, and each connection uses memory.
	maxIdleConns = 8

	// idleTimeout is the time after which an idle connection is closed. It
	// limits how long a connection is kept that stopped responding while idle.
	idleTimeout = 30 * basilmoor.Second
)

// Client sends calls to one service. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// Request describes an HTTP request.
type Request struct {
	Method           string
	Path             string // with escaping applied
	Query            url.Values
	Body             []byte
	MaxResponseBytes int64 // maximum size of the response body
}

// Response is a complete HTTP response. Its status may indicate an error.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// New returns a client for the service at baseURL and a function that closes
// the client's idle connections. baseURL has no path. Connection attempts fail
// after dialTimeout.
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
		baseURL: strings.TrimRight(baseURL, "/"),
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

// Do sends the call and reads the whole response. If ctx has ended, the error is
// its cause, for example bmclock.ErrTimeout.
func (c *Client) Do(ctx context.Context, call Request) (Response, error) {
	response, err := c.send(ctx, call)
	if err == nil {
		return response, nil
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, bmclock.ErrTimeout) {
		// The idle connections may have stopped responding at the same time
		// as this one, so the next call must use a new connection.
		c.http.CloseIdleConnections()
	}
	if cause != nil {
		return Response{}, cause
	}
	return Response{}, err
}

func (c *Client) send(ctx context.Context, call Request) (Response, error) {
	r, err := c.newRequest(ctx, call)
	if err != nil {
		return Response{}, err
	}
	response, err := c.http.Do(r)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, call.MaxResponseBytes+1))
	if err != nil {
		return Response{}, errors.Wrap(err, "read response")
	}
	if int64(len(body)) > call.MaxResponseBytes {
		return Response{}, errors.Errorf("response exceeds %d bytes", call.MaxResponseBytes)
	}
	return Response{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   body,
	}, nil
}

// newRequest builds an HTTP request whose body cannot be replayed.
func (c *Client) newRequest(ctx context.Context, call Request) (*http.Request, error) {
	requestURL := c.baseURL + call.Path
	if len(call.Query) > 0 {
		requestURL += "?" + call.Query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, call.Method, requestURL, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	if len(call.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(call.Body))
		r.ContentLength = int64(len(call.Body))
	}
	return r, nil
}
