package bmstore

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
	"basilmoor.example/basilmoor/internal/platform/bmcall"
)

// Client speaks to the platform's key-value service. It is safe for concurrent
// use.
type Client struct {
	settings Settings
	clock    basilmoor.Clock
	metrics  *bmmetrics.Registry
	calls    *bmcall.Client
	reads    *bucket
	writes   *bucket
	purpose  string
}

var _ basilmoor.Store = (*Client)(nil)

// New returns a client and a function that closes its idle connections.
func New(clock basilmoor.Clock, metrics *bmmetrics.Registry, settings Settings) (*Client, func(), error) {
	settings = settings.withDefaults()
	calls, closeIdle, err := bmcall.New(settings.BaseURL, settings.Timeout)
	if err != nil {
		return nil, nil, errors.Wrap(err, "store")
	}
	c := &Client{
		settings: settings,
		clock:    clock,
		metrics:  metrics,
		calls:    calls,
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
	bmcall.Call
	operation string // for error messages
	subject   string // key, prefix or lease, for typed errors
	missing   string // what 404 is about if not subject
	write     bool
	want      int64            // version that the caller expects
	extra     basilmoor.Millis // added to the time limit
}

// do makes a call and returns its response if it succeeded.
func (c *Client) do(ctx context.Context, k call) (bmcall.Answer, error) {
	ctx, cancel := bmclock.WithTimeout(ctx, c.clock, c.settings.Timeout+k.extra)
	defer cancel()
	if err := c.admit(ctx, k); err != nil {
		return bmcall.Answer{}, c.unavailable(k, err)
	}
	a, err := c.calls.Do(ctx, k.Call)
	if err != nil {
		return bmcall.Answer{}, c.unavailable(k, err)
	}
	if a.Status < http.StatusOK || a.Status >= http.StatusMultipleChoices {
		return bmcall.Answer{}, c.failure(k, a)
	}
	return a, nil
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

func (c *Client) unavailable(k call, err error) error {
	c.metrics.Add("store.unavailable."+c.purpose, 1)
	return &basilmoor.UnavailableError{
		Operation: "store " + k.operation,
		Err:       err,
	}
}

// problem is the JSON body of the service's error responses.
type problem struct {
	Error    string `json:"error"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"`
}

// StatusError is a refusal that no typed error of the root package stands for.
// Nothing was written.
type StatusError struct {
	Operation string
	Status    int
	Detail    string
}

func (e *StatusError) Error() string {
	return "store " + e.Operation + ": status " + strconv.Itoa(e.Status) + ": " + e.Detail
}

// failure maps a response without success to an error. A response that is not
// the store's own, for example a middlebox's, leaves the effect unknown.
func (c *Client) failure(k call, a bmcall.Answer) error {
	var p problem
	parsed := json.Unmarshal(a.Body, &p) == nil
	definite := a.Status >= http.StatusBadRequest && a.Status < http.StatusInternalServerError
	if !parsed || !definite || a.Status == http.StatusTooManyRequests {
		return c.unavailable(k, errors.Errorf("status %d", a.Status))
	}
	switch a.Status {
	case http.StatusNotFound:
		return &basilmoor.NotFoundError{
			Key: cmp.Or(k.missing, k.subject),
		}
	case http.StatusConflict:
		return &basilmoor.ConflictError{
			Key:  k.subject,
			Want: k.want,
			Current: basilmoor.Entry{
				Key:      k.subject,
				Version:  p.Version,
				Revision: p.Revision,
			},
		}
	case http.StatusGone:
		return &basilmoor.CompactedError{
			Revision: p.Revision,
		}
	}
	return &StatusError{
		Operation: k.operation,
		Status:    a.Status,
		Detail:    p.Error,
	}
}
