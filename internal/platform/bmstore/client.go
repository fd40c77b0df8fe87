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

// Client is a client of the platform's key-value service. It is safe for
// concurrent use.
type Client struct {
	settings Settings
	clock    basilmoor.Clock
	metrics  *bmmetrics.Registry
	calls    *bmcall.Client
	reads    *tokenBucket
	writes   *tokenBucket
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
		reads:    newTokenBucket(clock, settings.ReadsPerSecond),
		writes:   newTokenBucket(clock, settings.WritesPerSecond),
		purpose:  DefaultPurpose,
	}
	return c, closeIdle, nil
}

// WithPurpose returns a client that shares the connections and the call budget
// of c and counts its calls under name. Each name creates metrics, so callers
// must use a small fixed set of names.
func (c *Client) WithPurpose(name string) *Client {
	derived := *c
	derived.purpose = name
	return &derived
}

// request is a call of the service, with what is needed to report its errors.
type request struct {
	bmcall.Request
	operation    string // name of the operation in error messages
	subject      string // key, prefix or lease that typed errors name
	notFoundKey  string // replaces subject in the error for status 404, if not empty
	isWrite      bool
	wantVersion  int64            // version that the caller expects
	extraTimeout basilmoor.Millis // added to the time limit
}

// do sends a request within its time limit and the call budget. It returns an
// error unless the response has a 2xx status.
func (c *Client) do(ctx context.Context, req request) (bmcall.Response, error) {
	ctx, cancel := bmclock.WithTimeout(ctx, c.clock, c.settings.Timeout+req.extraTimeout)
	defer cancel()
	if err := c.takeBudget(ctx, req); err != nil {
		return bmcall.Response{}, c.unavailableError(req, err)
	}
	resp, err := c.calls.Do(ctx, req.Request)
	if err != nil {
		return bmcall.Response{}, c.unavailableError(req, err)
	}
	if resp.Status < http.StatusOK || resp.Status >= http.StatusMultipleChoices {
		return bmcall.Response{}, c.responseError(req, resp)
	}
	return resp, nil
}

// takeBudget takes a token from the call budget and counts the call.
func (c *Client) takeBudget(ctx context.Context, req request) error {
	bucket, class := c.reads, "reads."
	if req.isWrite {
		bucket, class = c.writes, "writes."
	}
	if err := bucket.take(ctx, c.settings.Timeout); err != nil {
		c.metrics.Add("store.not-sent."+c.purpose, 1)
		return err
	}
	c.metrics.Add("store."+class+c.purpose, 1)
	return nil
}

func (c *Client) unavailableError(req request, err error) error {
	c.metrics.Add("store.unavailable."+c.purpose, 1)
	return &basilmoor.UnavailableError{
		Operation: "store " + req.operation,
		Err:       err,
	}
}

// errorBody is the JSON body of the service's error responses.
type errorBody struct {
	Error    string `json:"error"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"`
}

// StatusError reports that a call was rejected for a reason that has no error
// type in package basilmoor. Nothing was written.
type StatusError struct {
	Operation string
	Status    int
	Detail    string
}

func (e *StatusError) Error() string {
	return "store " + e.Operation + ": status " + strconv.Itoa(e.Status) + ": " + e.Detail
}

// responseError returns the error for a response that does not have a 2xx
// status. It returns a *basilmoor.UnavailableError, which leaves the effect of
// the call unknown, for status 429 and for responses other than a 4xx with a
// JSON body, such as those of a middlebox.
func (c *Client) responseError(req request, resp bmcall.Response) error {
	var body errorBody
	parsed := json.Unmarshal(resp.Body, &body) == nil
	definite := resp.Status >= http.StatusBadRequest && resp.Status < http.StatusInternalServerError
	if !parsed || !definite || resp.Status == http.StatusTooManyRequests {
		return c.unavailableError(req, errors.Errorf("status %d", resp.Status))
	}
	switch resp.Status {
	case http.StatusNotFound:
		return &basilmoor.NotFoundError{
			Key: cmp.Or(req.notFoundKey, req.subject),
		}
	case http.StatusConflict:
		return &basilmoor.ConflictError{
			Key:  req.subject,
			Want: req.wantVersion,
			Current: basilmoor.Entry{
				Key:      req.subject,
				Version:  body.Version,
				Revision: body.Revision,
			},
		}
	case http.StatusGone:
		return &basilmoor.CompactedError{
			Revision: body.Revision,
		}
	}
	return &StatusError{
		Operation: req.operation,
		Status:    resp.Status,
		Detail:    body.Error,
	}
}
