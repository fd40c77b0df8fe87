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
	"basilmoor.example/basilmoor/internal/core/bmmemory"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/request/bmresponse"
	"basilmoor.example/basilmoor/internal/schedule/bmholdoff"
)

// ResponseInspector interprets the response headers of the targets' protocol.
type ResponseInspector interface {
	// RequestIDOf returns the id of the request that a response belongs to,
	// empty if it carries none.
	RequestIDOf(h http.Header) string

	// NotRun reports whether a response states that the target did not run
	// the request and won't.
	NotRun(status int, h http.Header) bool

	// Signed reports whether a response carries the signature with which a target
	// confirms that it ran the request.
	Signed(h http.Header) bool

	// NoticeOf returns what a response says about further requests to its target.
	// valid is false if a part of it could not be understood.
	NoticeOf(status int, h http.Header) (n bmholdoff.Notice, valid bool)
}

// Config holds the settings and dependencies of a Client.
type Config struct {
	Clock     basilmoor.Clock
	Inspector ResponseInspector
	Metrics   *bmmetrics.Registry

	// MaxConns is the number of connections from which idle ones make room for new
	// ones.
	MaxConns int

	// OnNotice is called with what a target's response says about further requests,
	// before the response is returned; it may be nil.
	OnNotice func(target basilmoor.Target, n bmholdoff.Notice)
}

// Request is a request to a target.
type Request struct {
	Target    basilmoor.Target
	RequestID string // id that the response must carry
	Method    string
	// URI is the path and query, sent to the target unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	clock     basilmoor.Clock
	inspector ResponseInspector
	metrics   *bmmetrics.Registry
	onNotice  func(target basilmoor.Target, n bmholdoff.Notice)
	pool      *pool
}

// New returns a client, and a function that closes its idle connections.
func New(cfg Config) (*Client, func()) {
	c := &Client{
		clock:     cfg.Clock,
		inspector: cfg.Inspector,
		metrics:   cfg.Metrics,
		onNotice:  cfg.OnNotice,
		pool:      newPool(cfg.Clock, cfg.MaxConns),
	}
	return c, c.pool.close
}

// CloseIdleExcept closes the idle connections to targets for which keep returns
// false.
func (c *Client) CloseIdleExcept(keep func(target string) bool) {
	c.pool.closeIdleExcept(keep)
}

// ConnCounts returns the number of connections to targets that are in use and that are
// idle.
func (c *Client) ConnCounts() (inUse, idle int) {
	return c.pool.counts()
}

// Send sends a request and returns the response once its headers have arrived.
// The caller must close the response. When ctx is done, the connection is
// closed. The error is an *UnsentError, *RefusedError or *BrokenError.
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
		client:           c,
		conn:             cn,
		ctx:              ctx,
		reused:           reused,
		target:           r.Target.Name,
		sentAt:           c.clock.Now(),
		stopContextWatch: context.AfterFunc(ctx, func() { _ = cn.Close() }),
	}
	if err := resp.roundTrip(r); err != nil {
		resp.Close()
		return nil, err
	}
	return resp, nil
}

// write writes the encoded request to w.
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
	bw := bufio.NewWriterSize(w, min(len(r.Body), bmmemory.SendBufferBytes)+readBufferBytes)
	if err := req.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// roundTrip writes the request and reads the headers of its response.
func (r *Response) roundTrip(req Request) error {
	writeErr := req.write(r.conn)
	// A target may refuse a long request and close the connection before it
	// has read everything, so a response may be available although the write
	// failed.
	err := r.readHeader(req)
	if err != nil {
		if writeErr != nil {
			err = writeErr
		}
		return r.newBrokenError(err)
	}
	if writeErr != nil {
		r.notReusable = true
	}
	r.client.notice(req.Target, r.Status, r.Header)
	if r.client.inspector.NotRun(r.Status, r.Header) {
		r.drain()
		return &RefusedError{
			Target: r.target,
			Status: r.Status,
			Header: r.Header,
		}
	}
	if writeErr != nil {
		return r.newBrokenError(writeErr)
	}
	if isSuccess(r.Status) && !r.client.inspector.Signed(r.Header) {
		r.client.metrics.Add("exchange.unsigned-successes", 1)
		return r.Broken(&UnsignedError{})
	}
	return nil
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// notice passes on what the response of a target says about further requests.
func (c *Client) notice(target basilmoor.Target, status int, h http.Header) {
	n, valid := c.inspector.NoticeOf(status, h)
	if !valid {
		c.metrics.Add("exchange.notices-not-understood", 1)
	}
	if c.onNotice != nil {
		c.onNotice(target, n)
	}
}

// readHeader reads response headers until they belong to the request. What comes
// before them is skipped up to a limit.
func (r *Response) readHeader(req Request) error {
	methodOnly := &http.Request{
		Method: req.Method,
	}
	defer func() { r.conn.readLimit = unlimited }()
	for range maxResponsesSkipped {
		r.conn.readLimit = maxHeadBytes
		resp, err := http.ReadResponse(r.conn.reader, methodOnly) //nolint:bodyclose // Response.Close closes the connection
		if err != nil && r.conn.readLimit <= 0 {
			// The limit may have cut a line, which is reported as malformed.
			return &TooLongError{}
		}
		if err != nil {
			return err
		}
		if err := bmresponse.CheckStatusLine(resp); err != nil {
			r.client.metrics.Add("exchange.impossible-statuses", 1)
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.answers(resp, req.RequestID) {
			r.Status = resp.StatusCode
			r.Header = resp.Header
			r.body = resp.Body
			r.closeDelimited = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
			r.closesConnection = resp.Close
			return nil
		}
		r.client.metrics.Add("exchange.foreign-responses", 1)
		r.notReusable = true
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return errors.New("response of another request without a length")
		}
		r.conn.readLimit = maxForeignBytes
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return errors.Wrap(err, "response of another request")
		}
	}
	return &TooLongError{}
}

// answers reports whether a response belongs to the request with the given id. A
// refusal without an id counts only as the first response on a new connection: on
// any other it may be a late copy of the answer to an earlier request.
func (r *Response) answers(resp *http.Response, requestID string) bool {
	id := r.client.inspector.RequestIDOf(resp.Header)
	if id != "" {
		return id == requestID
	}
	return !r.reused && !r.notReusable && r.client.inspector.NotRun(resp.StatusCode, resp.Header)
}

// newBrokenError returns the error of a response that failed with err. If the
// context is done, that is what closed the connection.
func (r *Response) newBrokenError(err error) *BrokenError {
	var tooLong *TooLongError
	if errors.As(err, &tooLong) {
		r.client.metrics.Add("exchange.too-long", 1)
	}
	return &BrokenError{
		Target:      r.target,
		Err:         err,
		ContextDone: r.ctx.Err() != nil,
		Elapsed:     r.client.clock.Now() - r.sentAt,
	}
}

// idleTimeoutOf returns how long the connection may be reused when idle: the
// timeout in the Keep-Alive header of the response less a margin, or a default.
func idleTimeoutOf(h http.Header) basilmoor.Millis {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		s, err := strconv.Atoi(value)
		if err != nil {
			return defaultIdleTimeout
		}
		return basilmoor.Millis(s)*basilmoor.Second - idleTimeoutMargin
	}
	return defaultIdleTimeout
}
