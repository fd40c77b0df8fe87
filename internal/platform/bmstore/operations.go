package bmstore

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/platform/bmcall"
)

const (
	versionHeader  = "Store-Version"
	revisionHeader = "Store-Revision"

	// maxSmallBytes limits the size of responses that contain no value.
	maxSmallBytes = 64 << 10

	// maxBatchBytes limits the size of responses that contain several values.
	// It is the size of 64 values of the maximum size in base64.
	maxBatchBytes = 64 * basilmoor.MaxValueBytes * 4 / 3
)

// Get returns the entry of key, or a *basilmoor.NotFoundError if there is none.
func (c *Client) Get(ctx context.Context, key string) (basilmoor.Entry, error) {
	if err := checkKey(key); err != nil {
		return basilmoor.Entry{}, err
	}
	req := request{
		Request: bmcall.Request{
			Method:           http.MethodGet,
			Path:             keyPath(key),
			MaxResponseBytes: basilmoor.MaxValueBytes,
		},
		operation: "get " + key,
		subject:   key,
	}
	resp, err := c.do(ctx, req)
	if err != nil {
		return basilmoor.Entry{}, err
	}
	return c.entry(req, resp, resp.Body)
}

// entry returns an entry with the given value and with the version and revision
// from the response headers.
func (c *Client) entry(req request, resp bmcall.Response, value []byte) (basilmoor.Entry, error) {
	version, err := strconv.ParseInt(resp.Header.Get(versionHeader), 10, 64)
	if err != nil {
		return basilmoor.Entry{}, c.unavailableError(req, errors.Wrap(err, versionHeader))
	}
	revision, err := strconv.ParseInt(resp.Header.Get(revisionHeader), 10, 64)
	if err != nil {
		return basilmoor.Entry{}, c.unavailableError(req, errors.Wrap(err, revisionHeader))
	}
	return basilmoor.Entry{
		Key:      req.subject,
		Value:    value,
		Version:  version,
		Revision: revision,
	}, nil
}

// List returns the entries whose key starts with prefix, in key order.
func (c *Client) List(ctx context.Context, prefix string) ([]basilmoor.Entry, error) {
	req := request{
		Request: bmcall.Request{
			Method: http.MethodGet,
			Path:   "/v1/list",
			Query: url.Values{
				"prefix": {prefix},
			},
			MaxResponseBytes: maxBatchBytes,
		},
		operation: "list " + prefix,
		subject:   prefix,
	}
	var list struct {
		Entries []wireEntry `json:"entries"`
	}
	if err := c.doJSON(ctx, req, &list); err != nil {
		return nil, err
	}
	entries := make([]basilmoor.Entry, 0, len(list.Entries))
	for _, e := range list.Entries {
		entries = append(entries, e.entry())
	}
	return entries, nil
}

// CompareAndSwap writes value if the current version of key is version. Version
// 0 means that key does not exist. Unless lease is empty, key is attached to it.
//
// It returns a *basilmoor.ConflictError if the key has another version, a
// *basilmoor.NotFoundError if the lease does not exist, and a
// *basilmoor.UnavailableError if it is unknown whether the write took effect.
func (c *Client) CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease string) (basilmoor.Entry, error) {
	if err := checkKey(key); err != nil {
		return basilmoor.Entry{}, err
	}
	if len(value) > basilmoor.MaxValueBytes {
		return basilmoor.Entry{}, &StatusError{
			Operation: "put " + key,
			Status:    http.StatusRequestEntityTooLarge,
			Detail:    "value too large",
		}
	}
	query := url.Values{
		"if-version": {strconv.FormatInt(version, 10)},
	}
	if lease != "" {
		query.Set("lease", lease)
	}
	req := request{
		Request: bmcall.Request{
			Method:           http.MethodPut,
			Path:             keyPath(key),
			Query:            query,
			Body:             value,
			MaxResponseBytes: maxSmallBytes,
		},
		operation:   "put " + key,
		subject:     key,
		notFoundKey: lease,
		isWrite:     true,
		wantVersion: version,
	}
	resp, err := c.do(ctx, req)
	if err != nil {
		return basilmoor.Entry{}, err
	}
	return c.entry(req, resp, value)
}

// Delete removes key if its current version is version.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	if err := checkKey(key); err != nil {
		return err
	}
	_, err := c.do(ctx, request{
		Request: bmcall.Request{
			Method: http.MethodDelete,
			Path:   keyPath(key),
			Query: url.Values{
				"if-version": {strconv.FormatInt(version, 10)},
			},
			MaxResponseBytes: maxSmallBytes,
		},
		operation:   "delete " + key,
		subject:     key,
		isWrite:     true,
		wantVersion: version,
	})
	return err
}

// Watch waits up to wait milliseconds for changes after revision to keys that
// start with prefix. It returns the changes and the revision to continue from,
// or a *basilmoor.CompactedError if the store no longer has the changes.
func (c *Client) Watch(ctx context.Context, prefix string, revision int64, wait basilmoor.Millis) ([]basilmoor.Event, int64, error) {
	req := request{
		Request: bmcall.Request{
			Method: http.MethodGet,
			Path:   "/v1/watch",
			Query: url.Values{
				"prefix":  {prefix},
				"after":   {strconv.FormatInt(revision, 10)},
				"wait-ms": {strconv.FormatInt(int64(wait), 10)},
			},
			MaxResponseBytes: maxBatchBytes,
		},
		operation:    "watch " + prefix,
		subject:      prefix,
		extraTimeout: wait,
	}
	var batch struct {
		Events   []wireEvent `json:"events"`
		Revision int64       `json:"revision"`
	}
	if err := c.doJSON(ctx, req, &batch); err != nil {
		return nil, 0, err
	}
	events := make([]basilmoor.Event, 0, len(batch.Events))
	for _, e := range batch.Events {
		events = append(events, basilmoor.Event{
			Entry:   e.entry(),
			Deleted: e.Deleted,
		})
	}
	return events, batch.Revision, nil
}

// GrantLease creates a lease that expires ttl milliseconds after its last
// renewal, and returns its ID.
func (c *Client) GrantLease(ctx context.Context, ttl basilmoor.Millis) (string, error) {
	var lease struct {
		ID string `json:"id"`
	}
	err := c.doJSON(ctx, request{
		Request: bmcall.Request{
			Method: http.MethodPost,
			Path:   "/v1/leases",
			Query: url.Values{
				"ttl-ms": {strconv.FormatInt(int64(ttl), 10)},
			},
			MaxResponseBytes: maxSmallBytes,
		},
		operation: "grant lease",
		isWrite:   true,
	}, &lease)
	return lease.ID, err
}

// RenewLease renews a lease. It returns a *basilmoor.NotFoundError if the lease
// has expired.
func (c *Client) RenewLease(ctx context.Context, lease string) error {
	return c.changeLease(ctx, "renew", http.MethodPut, lease)
}

// RevokeLease ends a lease and deletes its keys.
func (c *Client) RevokeLease(ctx context.Context, lease string) error {
	return c.changeLease(ctx, "revoke", http.MethodDelete, lease)
}

func (c *Client) changeLease(ctx context.Context, verb, method, lease string) error {
	_, err := c.do(ctx, request{
		Request: bmcall.Request{
			Method:           method,
			Path:             "/v1/leases/" + url.PathEscape(lease),
			MaxResponseBytes: maxSmallBytes,
		},
		operation: verb + " lease " + lease,
		subject:   lease,
		isWrite:   true,
	})
	return err
}

func (c *Client) doJSON(ctx context.Context, req request, v any) error {
	resp, err := c.do(ctx, req)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(resp.Body, v); err != nil {
		return c.unavailableError(req, errors.Wrap(err, "decode response"))
	}
	return nil
}

// checkKey rejects keys with empty or relative segments, which may be changed
// when they are sent as part of a URL path.
func checkKey(key string) error {
	for _, s := range strings.Split(key, "/") {
		if s == "" || s == "." || s == ".." {
			return errors.Errorf("store key %q: empty or relative segment", key)
		}
	}
	return nil
}

// keyPath escapes each segment of key and keeps the slashes between them.
func keyPath(key string) string {
	segments := strings.Split(key, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return "/v1/keys/" + strings.Join(segments, "/")
}

type wireEntry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"`
}

func (e wireEntry) entry() basilmoor.Entry {
	return basilmoor.Entry{
		Key:      e.Key,
		Value:    e.Value,
		Version:  e.Version,
		Revision: e.Revision,
	}
}

type wireEvent struct {
	wireEntry
	Deleted bool `json:"deleted"`
}
