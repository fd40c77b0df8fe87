package bmstore

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/platform/bmcall"
)

// Client speaks to the platform's key-value service. It is safe for concurrent
// use.
type Client struct {
	settings Settings
	clock    basilmoor.Clock
	metrics  *bmmetrics.Registry
	http     *http.Client
	reads    *bucket
	writes   *bucket
	purpose  string
}

var _ basilmoor.Store = (*Client)(nil)

// New returns a client and a function that closes its idle connections.
func New(clock basilmoor.Clock, metrics *bmmetrics.Registry, settings Settings) (*Client, func(), error) {
	settings = settings.withDefaults()
	if err := settings.validate(); err != nil {
		return nil, nil, err
	}
	settings.BaseURL = strings.TrimRight(settings.BaseURL, "/")
	client, closeIdle := bmcall.NewClient(settings.Timeout)
	c := &Client{
		settings: settings,
		clock:    clock,
		metrics:  metrics,
		http:     client,
		reads:    newBucket(clock, settings.ReadsPerSecond),
		writes:   newBucket(clock, settings.WritesPerSecond),
		purpose:  DefaultPurpose,
	}
	return c, closeIdle, nil
}

// WithPurpose returns a view of the client that shares its connections and
// call budget and counts its calls under name. The names must be a small fixed
// set, because each one makes counters.
func (c *Client) WithPurpose(name string) *Client {
	view := *c
	view.purpose = name
	return &view
}

// call is one request to the service.
type call struct {
	operation string // for error messages
	subject   string // key, prefix or lease, for typed errors
	missing   string // what 404 is about if not subject
	method    string
	path      string
	query     url.Values
	body      []byte
	write     bool
	want      int64            // version that the caller expects
	extra     basilmoor.Millis // added to the time limit

	// maxBytes bounds the response body.
	maxBytes int64
}

// answer is a successful response.
type answer struct {
	header http.Header
	body   []byte
}

func (c *Client) do(ctx context.Context, k call) (answer, error) {
	ctx, cancel := bmcall.WithTimeout(ctx, c.clock, c.settings.Timeout+k.extra)
	defer cancel()
	if err := c.admit(ctx, k); err != nil {
		return answer{}, c.unavailable(ctx, k, err)
	}
	target := c.settings.BaseURL + k.path
	if len(k.query) > 0 {
		target += "?" + k.query.Encode()
	}
	r, err := bmcall.NewRequest(ctx, k.method, target, k.body)
	if err != nil {
		return answer{}, err
	}
	response, err := c.http.Do(r)
	if err != nil {
		return answer{}, c.unavailable(ctx, k, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest || response.StatusCode < http.StatusOK {
		return answer{}, c.failure(ctx, k, response)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return answer{}, c.unavailable(ctx, k, errors.Errorf("unexpected status %d", response.StatusCode))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, k.maxBytes+1))
	if err != nil {
		return answer{}, c.unavailable(ctx, k, err)
	}
	if int64(len(body)) > k.maxBytes {
		return answer{}, c.unavailable(ctx, k, errors.Errorf("response exceeds %d bytes", k.maxBytes))
	}
	return answer{
		header: response.Header,
		body:   body,
	}, nil
}

// admit takes a token of the call budget and counts the call.
func (c *Client) admit(ctx context.Context, k call) error {
	b, class := c.reads, "reads."
	if k.write {
		b, class = c.writes, "writes."
	}
	if err := b.take(ctx, c.settings.Timeout); err != nil {
		c.metrics.Add("store.not-sent."+c.purpose, 1)
		return err
	}
	c.metrics.Add("store."+class+c.purpose, 1)
	return nil
}

func (c *Client) unavailable(ctx context.Context, k call, err error) error {
	c.metrics.Add("store.unavailable."+c.purpose, 1)
	return &basilmoor.UnavailableError{
		Operation: "store " + k.operation,
		Err:       bmcall.Cause(ctx, err),
	}
}

// problem is the JSON body of the service's error responses.
type problem struct {
	Error    string `json:"error"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"`
}

// StatusError is a response that no typed error of the root package stands
// for. Nothing was written.
type StatusError struct {
	Operation string
	Status    int
	Detail    string
}

func (e *StatusError) Error() string {
	return "store " + e.Operation + ": status " + strconv.Itoa(e.Status) + ": " + e.Detail
}

func (c *Client) failure(ctx context.Context, k call, response *http.Response) error {
	var p problem
	body, err := io.ReadAll(io.LimitReader(response.Body, bmcall.MaxErrorBytes))
	if err != nil {
		return c.unavailable(ctx, k, err)
	}
	parsed := json.Unmarshal(body, &p) == nil
	status := response.StatusCode
	typed := status == http.StatusNotFound || status == http.StatusConflict || status == http.StatusGone
	switch {
	case status >= http.StatusInternalServerError || status == http.StatusTooManyRequests:
		return c.unavailable(ctx, k, errors.Errorf("status %d", status))
	case typed && !parsed:
		// Something other than the store answered, for example a middlebox.
		return c.unavailable(ctx, k, errors.Errorf("status %d without a store error", status))
	case status == http.StatusNotFound:
		return &basilmoor.NotFoundError{
			Key: cmp.Or(k.missing, k.subject),
		}
	case status == http.StatusConflict:
		return &basilmoor.ConflictError{
			Key:  k.subject,
			Want: k.want,
			Current: basilmoor.Entry{
				Key:      k.subject,
				Version:  p.Version,
				Revision: p.Revision,
			},
		}
	case status == http.StatusGone:
		return &basilmoor.CompactedError{
			Revision: p.Revision,
		}
	}
	return &StatusError{
		Operation: k.operation,
		Status:    status,
		Detail:    p.Error,
	}
}
