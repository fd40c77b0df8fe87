package bmexchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

// Contract is what the targets' protocol says about their responses.
type Contract interface {
	// AttemptOf returns the id of the request that a response belongs to,
	// empty if it carries none.
	AttemptOf(h http.Header) string

	// NotRun reports whether a response states that the target did not run
	// the request and won't.
	NotRun(status int, h http.Header) bool
}

// Request is what is sent to a target.
type Request struct {
	Target  basilmoor.Target
	Attempt string // id that the response has to carry
	Method  string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	clock    basilmoor.Clock
	contract Contract
	metrics  *bmmetrics.Registry
	pool     *pool
}

// New returns a client, and a function that closes its idle connections.
func New(clock basilmoor.Clock, contract Contract, metrics *bmmetrics.Registry) (*Client, func()) {
	c := &Client{
		clock:    clock,
		contract: contract,
		metrics:  metrics,
		pool:     newPool(clock),
	}
	return c, c.pool.close
}

// Forget closes the idle connections to targets that keep does not name.
func (c *Client) Forget(keep func(target string) bool) {
	c.pool.forget(keep)
}

// Send sends a request and returns the response once its head has arrived. The
// caller must call Close on the response. The end of ctx closes the
// connection. The error is an *UnsentError, *RefusedError or *BrokenError.
func (c *Client) Send(ctx context.Context, r Request) (*Response, error) {
	cn, reused, err := c.pool.get(ctx, r.Target)
	if err != nil {
		return nil, &UnsentError{
			Target: r.Target.Name,
			Err:    err,
		}
	}
	if !reused {
		c.metrics.Add("exchange.connections", 1)
	}
	resp := &Response{
		client: c,
		conn:   cn,
		target: r.Target.Name,
		sent:   c.clock.Now(),
		stop:   context.AfterFunc(ctx, func() { _ = cn.Close() }),
	}
	if err := resp.exchange(ctx, r); err != nil {
		resp.Close()
		return nil, err
	}
	return resp, nil
}

// write hands the request to the connection.
func (r Request) write(w io.Writer) error {
	path, query, _ := strings.Cut(r.URI, "?")
	req := &http.Request{
		Method: r.Method,
		URL: &url.URL{
			Scheme:   "http",
			Host:     r.Host,
			Opaque:   path,
			RawQuery: query,
		},
		Host:          r.Host,
		Header:        r.Header,
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	bw := bufio.NewWriterSize(w, len(r.Body)+readBufferBytes)
	if err := req.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// exchange writes the request and reads the head of its response.
func (r *Response) exchange(ctx context.Context, req Request) error {
	writeErr := req.write(r.conn)
	// A target may refuse a long request before it has read it all and close:
	// its response may be there although the write failed.
	err := r.readHead(req)
	if err != nil {
		if writeErr != nil {
			err = writeErr
		}
		return r.broken(ctx, err)
	}
	if writeErr != nil {
		r.spoiled = true
	}
	if r.client.contract.NotRun(r.Status, r.Header) {
		r.drainShort()
		return &RefusedError{
			Target: r.target,
			Status: r.Status,
			Header: r.Header,
		}
	}
	if writeErr != nil {
		return r.broken(ctx, writeErr)
	}
	return nil
}

// readHead reads heads until one belongs to the request.
func (r *Response) readHead(req Request) error {
	method := &http.Request{
		Method: req.Method,
	}
	for {
		resp, err := http.ReadResponse(r.conn.reader, method) //nolint:bodyclose // Close closes the connection
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if id := r.client.contract.AttemptOf(resp.Header); id == req.Attempt || id == "" && r.client.contract.NotRun(resp.StatusCode, resp.Header) {
			r.Status = resp.StatusCode
			r.Header = resp.Header
			r.body = resp.Body
			r.unframed = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
			r.last = resp.Close
			return nil
		}
		r.client.metrics.Add("exchange.foreign-responses", 1)
		r.spoiled = true
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return errors.New("response of another request without a length")
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return errors.Wrap(err, "response of another request")
		}
	}
}

func (r *Response) broken(ctx context.Context, err error) *BrokenError {
	return &BrokenError{
		Target: r.target,
		Err:    err,
		Silent: ctx.Err() != nil,
		After:  r.client.clock.Now() - r.sent,
	}
}

// keepOf returns how long the target keeps the connection idle.
func keepOf(h http.Header) basilmoor.Millis {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		s, err := strconv.Atoi(value)
		if err != nil {
			return defaultKeep
		}
		return basilmoor.Millis(s)*basilmoor.Second - keepMargin
	}
	return defaultKeep
}
