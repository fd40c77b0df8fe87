package bmadmin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// callTimeout limits one call of a client. To accept a note, the node makes
// several calls to the store, each limited by the node's own setting.
const callTimeout = 30 * basilmoor.Second

// Client calls the administration API of one node.
type Client struct {
	url   string
	token string
	http  *http.Client
}

// NewClient returns a client for the API at the given base URL.
func NewClient(url, token string) *Client {
	return &Client{
		url:   url,
		token: token,
		http: &http.Client{
			Timeout: callTimeout.Duration(),
		},
	}
}

// Status returns the node's view of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
}

// Counters returns the node's counters, keyed by name.
func (c *Client) Counters(ctx context.Context) (map[string]int64, error) {
	var counters map[string]int64
	return counters, c.call(ctx, http.MethodGet, "/v1/metrics", nil, &counters)
}

// CheckNote returns the plan for applying a release note to the fleet's
// catalog.
func (c *Client) CheckNote(ctx context.Context, note []byte) (string, error) {
	var result struct {
		Plan string `json:"plan"`
	}
	return result.Plan, c.call(ctx, http.MethodPost, "/v1/notes/check", note, &result)
}

// AcceptNote submits a release note. After an error other than a *ProblemError
// the note may have been accepted; submitting the same note again is safe.
func (c *Client) AcceptNote(ctx context.Context, note []byte) (AcceptResult, error) {
	var a AcceptResult
	return a, c.call(ctx, http.MethodPost, "/v1/notes", note, &a)
}

// RestoreStore writes the configuration version that the node holds to a store
// that has fallen back to an earlier version.
func (c *Client) RestoreStore(ctx context.Context) (RestoreResult, error) {
	var r RestoreResult
	return r, c.call(ctx, http.MethodPost, "/v1/store/restore", nil, &r)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "call node")
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxNoteBytes))
	if err != nil {
		return errors.Wrap(err, "read response of node")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		problem := &ProblemError{}
		if err := json.Unmarshal(b, &problem.Problem); err != nil {
			return errors.Errorf("node returned status %s", resp.Status)
		}
		return problem
	}
	if result == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(b, result), "decode response of node")
}

// Crash identifies a request that was running on targets when they died, by its
// digest.
type Crash struct {
	Digest  string   `json:"digest"`
	Targets []string `json:"targets"`
	AgeMS   int64    `json:"age-ms"`
	Lifted  bool     `json:"lifted"`
}

// Crashes returns the requests that crashed targets.
func (c *Client) Crashes(ctx context.Context) ([]Crash, error) {
	var list []Crash
	return list, c.call(ctx, http.MethodGet, "/v1/crashes", nil, &list)
}

// LiftCrash allows a request that is held back to run again.
func (c *Client) LiftCrash(ctx context.Context, digest string) error {
	return c.call(ctx, http.MethodDelete, "/v1/crashes/"+digest, nil, nil)
}
