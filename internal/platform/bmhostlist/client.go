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
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
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
	Host    string `json:"host"`
	Address string `json:"address"` // of the listener for peers
	Place   string `json:"place"`
	Region  string `json:"region"`
	Leaving bool   `json:"leaving"`
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
	http     *http.Client
}

// New returns a client and a function that closes its idle connections.
func New(clock basilmoor.Clock, settings Settings) (*Client, func(), error) {
	u, err := url.Parse(settings.BaseURL)
	if err != nil {
		return nil, nil, errors.Wrap(err, "host list URL")
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, nil, errors.Errorf("host list URL %q: want http://ADDRESS:PORT", settings.BaseURL)
	}
	if settings.Timeout <= 0 {
		settings.Timeout = DefaultTimeout
	}
	settings.BaseURL = strings.TrimRight(settings.BaseURL, "/")
	client, closeIdle := bmcall.NewClient(settings.Timeout)
	c := &Client{
		settings: settings,
		clock:    clock,
		http:     client,
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
	ctx, cancel := bmcall.WithTimeout(ctx, c.clock, c.settings.Timeout)
	defer cancel()
	r, err := bmcall.NewRequest(ctx, http.MethodGet, c.settings.BaseURL+path, nil)
	if err != nil {
		return err
	}
	response, err := c.http.Do(r)
	if err != nil {
		return bmcall.Cause(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return bmcall.Cause(ctx, err)
	}
	if len(body) > maxListBytes {
		return errors.Errorf("response exceeds %d bytes", maxListBytes)
	}
	if !bytes.HasPrefix(bytes.TrimSpace(body), []byte("[")) {
		return errors.New("response is not a list")
	}
	return errors.Wrap(json.Unmarshal(body, v), "decode response")
}
