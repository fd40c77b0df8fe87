// Package bmhostlist is an HTTP client for the platform's list of hosts and
// targets.
//
// The list may be out of date and serves only as a hint. An entry without a
// name invalidates the whole list, so that a truncated response or a response
// from another service is never taken for a shorter list.
package bmhostlist

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/platform/bmcall"
)

// DefaultTimeout is the default time limit of one call.
const DefaultTimeout = 2 * basilmoor.Second

// maxListBytes limits the size of a response. 12,000 targets at 256 bytes each
// need 3 MB, so this leaves a margin.
const maxListBytes = 8 << 20

// Settings configures a Client.
type Settings struct {
	BaseURL string           // URL of the service, without a path
	Timeout basilmoor.Millis // time limit of one call; 0 selects DefaultTimeout
}

// Host is an entry host, one that accepts callers' requests, in the list.
type Host struct {
	Host       string `json:"host"`
	Address    string `json:"address"` // address of the listener for peers
	DataCentre string `json:"data-centre"`
	Region     string `json:"region"`
	Leaving    bool   `json:"leaving"`
}

// Target is a target in the list.
type Target struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// Client reads the list. It is safe for concurrent use.
type Client struct {
	settings Settings
	clock    basilmoor.Clock
	calls    *bmcall.Client
}

// New returns a client and a function that closes its idle connections.
func New(clock basilmoor.Clock, settings Settings) (*Client, func(), error) {
	if settings.Timeout <= 0 {
		settings.Timeout = DefaultTimeout
	}
	calls, closeIdle, err := bmcall.New(settings.BaseURL, settings.Timeout)
	if err != nil {
		return nil, nil, errors.Wrap(err, "host list")
	}
	c := &Client{
		settings: settings,
		clock:    clock,
		calls:    calls,
	}
	return c, closeIdle, nil
}

// Hosts returns the entry hosts. Any error is a *basilmoor.UnavailableError.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	if err := c.get(ctx, "/v1/hosts", &hosts); err != nil {
		return nil, unavailableError("list hosts", err)
	}
	for _, h := range hosts {
		if h.Host == "" || h.Address == "" {
			return nil, unavailableError("list hosts", errors.New("entry without host or address"))
		}
	}
	return hosts, nil
}

// Targets returns the targets. Any error is a *basilmoor.UnavailableError.
func (c *Client) Targets(ctx context.Context) ([]Target, error) {
	var targets []Target
	if err := c.get(ctx, "/v1/targets", &targets); err != nil {
		return nil, unavailableError("list targets", err)
	}
	for _, t := range targets {
		if t.Name == "" {
			return nil, unavailableError("list targets", errors.New("entry without name"))
		}
	}
	return targets, nil
}

func unavailableError(operation string, err error) error {
	return &basilmoor.UnavailableError{
		Operation: operation,
		Err:       err,
	}
}

func (c *Client) get(ctx context.Context, path string, v any) error {
	ctx, cancel := bmclock.WithTimeout(ctx, c.clock, c.settings.Timeout)
	defer cancel()
	response, err := c.calls.Do(ctx, bmcall.Request{
		Method:           http.MethodGet,
		Path:             path,
		MaxResponseBytes: maxListBytes,
	})
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return errors.Errorf("status %d", response.Status)
	}
	if !bytes.HasPrefix(bytes.TrimSpace(response.Body), []byte("[")) {
		return errors.New("response is not a JSON array")
	}
	return errors.Wrap(json.Unmarshal(response.Body, v), "decode response")
}
