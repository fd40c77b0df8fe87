// Package bmhostlist is the HTTP client of the platform's list of hosts and
// targets.
//
// Invariants: the list lags and is a hint only; an entry without a name is an
// error of the whole list, so that a truncated or foreign answer never looks
// like a shorter list.
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

// DefaultTimeout bounds one call.
const DefaultTimeout = 2 * basilmoor.Second

// maxListBytes bounds a response: 12,000 targets at 256 bytes, with reserve.
const maxListBytes = 8 << 20

// Settings configures a Client.
type Settings struct {
	BaseURL string           // without a path
	Timeout basilmoor.Millis // of one call; 0 selects DefaultTimeout
}

// Host is one entry host in the list.
type Host struct {
	Host       string `json:"host"`
	Address    string `json:"address"` // of the listener for peers
	DataCentre string `json:"data-centre"`
	Region     string `json:"region"`
	Leaving    bool   `json:"leaving"`
}

// Target is one target in the list.
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

// Hosts returns the entry hosts. The error is an *basilmoor.UnavailableError.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	if err := c.get(ctx, "/v1/hosts", &hosts); err != nil {
		return nil, unavailable("list hosts", err)
	}
	for _, h := range hosts {
		if h.Host == "" || h.Address == "" {
			return nil, unavailable("list hosts", errors.New("entry without host or address"))
		}
	}
	return hosts, nil
}

// Targets returns the targets. The error is an *basilmoor.UnavailableError.
func (c *Client) Targets(ctx context.Context) ([]Target, error) {
	var targets []Target
	if err := c.get(ctx, "/v1/targets", &targets); err != nil {
		return nil, unavailable("list targets", err)
	}
	for _, t := range targets {
		if t.Name == "" {
			return nil, unavailable("list targets", errors.New("entry without name"))
		}
	}
	return targets, nil
}

func unavailable(operation string, err error) error {
	return &basilmoor.UnavailableError{
		Operation: operation,
		Err:       err,
	}
}

func (c *Client) get(ctx context.Context, path string, v any) error {
	ctx, cancel := bmclock.WithTimeout(ctx, c.clock, c.settings.Timeout)
	defer cancel()
	a, err := c.calls.Do(ctx, bmcall.Call{
		Method:   http.MethodGet,
		Path:     path,
		MaxBytes: maxListBytes,
	})
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return errors.Errorf("status %d", a.Status)
	}
	if !bytes.HasPrefix(bytes.TrimSpace(a.Body), []byte("[")) {
		return errors.New("response is not a list")
	}
	return errors.Wrap(json.Unmarshal(a.Body, v), "decode response")
}
