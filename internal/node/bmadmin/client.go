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

// callTimeout bounds one call of a client. Accepting a note takes a few calls
// of the node to the store, each bounded by the node's own setting.
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

// Counters returns the node's counters by name.
func (c *Client) Counters(ctx context.Context) (map[string]int64, error) {
	var counters map[string]int64
	return counters, c.call(ctx, http.MethodGet, "/v1/metrics", nil, &counters)
}

// CheckNote returns the plan of a release note against the fleet's catalog.
func (c *Client) CheckNote(ctx context.Context, note []byte) (string, error) {
	var answer struct {
		Plan string `json:"plan"`
	}
	return answer.Plan, c.call(ctx, http.MethodPost, "/v1/notes/check", note, &answer)
}

// AcceptNote sends a release note. After an error that is not a *ProblemError
// the note may have been accepted; sending the same note again is safe.
func (c *Client) AcceptNote(ctx context.Context, note []byte) (Acceptance, error) {
	var a Acceptance
	return a, c.call(ctx, http.MethodPost, "/v1/notes", note, &a)
}

// RestoreStore brings a store that was set back forward to the version that
// the node holds.
func (c *Client) RestoreStore(ctx context.Context) (Restored, error) {
	var r Restored
	return r, c.call(ctx, http.MethodPost, "/v1/store/restore", nil, &r)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, answer any) error {
	r, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	w, err := c.http.Do(r)
	if err != nil {
		return errors.Wrap(err, "call node")
	}
	defer func() { _ = w.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(w.Body, maxNoteBytes))
	if err != nil {
		return errors.Wrap(err, "read answer of node")
	}
	if w.StatusCode >= http.StatusBadRequest {
		p := &ProblemError{}
		if err := json.Unmarshal(b, &p.Problem); err != nil {
			return errors.Errorf("node answered %s", w.Status)
		}
		return p
	}
	if answer == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(b, answer), "decode answer of node")
}

// Crash is a request's digest that was running on a target that died.
type Crash struct {
	Digest  string   `json:"digest"`
	Targets []string `json:"targets"`
	AgeMS   int64    `json:"age-ms"`
	Lifted  bool     `json:"lifted"`
}

// Crashes lists requests that crashed targets.
func (c *Client) Crashes(ctx context.Context) ([]Crash, error) {
	var list []Crash
	return list, c.call(ctx, http.MethodGet, "/v1/crashes", nil, &list)
}

// LiftCrash allows a held-back request again.
func (c *Client) LiftCrash(ctx context.Context, digest string) error {
	return c.call(ctx, http.MethodDelete, "/v1/crashes/"+digest, nil, nil)
}
