package bmsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"basilmoor.example/basilmoor/internal/standin/bmstandinplatform"
)

// result is the outcome of one request as its caller saw it.
type result struct {
	attempt string
	path    string
	key     string
	sent    time.Time
	status  int // 0: no response
	body    string
	err     error
}

// callers send requests to all hosts over persistent connections until they are
// stopped.
type callers struct {
	fleet    *fleet
	attempts atomic.Int64
	mu       sync.Mutex
	results  []result
	wg       sync.WaitGroup
}

// run sends requests, one after the other, until ctx is done.
func (c *callers) run(ctx context.Context, rng *rand.Rand) {
	defer c.wg.Done()
	sender, closeSender := newSender()
	defer closeSender()
	for ctx.Err() == nil {
		h := c.fleet.hosts[rng.IntN(len(c.fleet.hosts))]
		path := []string{"/stream/", bmstandinplatform.UnmarkedPrefix, "/again/", "/once/"}[rng.IntN(4)]
		key := []string{"key-kept", "key-kept", "key-kept", "key-toggled"}[rng.IntN(4)]
		r := sender.send(h, fmt.Sprint("a", c.attempts.Add(1)), path, key, "")
		c.mu.Lock()
		c.results = append(c.results, r)
		c.mu.Unlock()
		if r.status != http.StatusOK {
			time.Sleep(30 * time.Millisecond)
		}
	}
}

// sender sends the requests of one caller.
type sender struct {
	client *http.Client
	limit  time.Duration // time limit that the requests state
	tokens int           // largest number of output tokens that the requests state
}

// newSender returns a sender of short requests and a function that closes its
// connections.
func newSender() (*sender, func()) {
	transport := &http.Transport{}
	s := &sender{
		client: &http.Client{
			Transport: transport,
			Timeout:   6 * time.Second,
		},
		limit:  4 * time.Second,
		tokens: bmstandinplatform.StreamEvents,
	}
	return s, transport.CloseIdleConnections
}

// send sends a request and reads the whole response. parts lists the parts of the
// prompt; it may be empty.
func (s *sender) send(h *host, attempt, path, key, parts string) result {
	r := result{
		attempt: attempt,
		path:    path,
		key:     key,
		sent:    time.Now(),
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+h.callers+path+r.attempt, strings.NewReader("prompt"))
	if err != nil {
		r.err = err
		return r
	}
	req.GetBody = nil
	req.Host = hostname
	req.Header.Set("X-Attempt-Id", r.attempt)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(s.limit.Milliseconds()))
	req.Header.Set("X-Token-Usage", fmt.Sprint("10,", s.tokens))
	if parts != "" {
		req.Header.Set("X-Prefix-Hash", parts)
	}
	req.Header.Set("Authorization", "Token "+key)
	resp, err := s.client.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	r.status = resp.StatusCode
	r.body = string(raw)
	r.err = err
	return r
}

// toggledKey records when a key was made valid and when it was revoked.
type toggledKey struct {
	mu      sync.Mutex
	changes []keyChange // in order of time
}

// keyChange is a change of the key's validity and the time at which the store
// had acknowledged it.
type keyChange struct {
	at    time.Time
	valid bool
}

func (k *toggledKey) record(valid bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changes = append(k.changes, keyChange{
		at:    time.Now(),
		valid: valid,
	})
}

// isRevokedAt reports whether a request sent at the given time must not run: the
// key was revoked more than revokeBound before, and not restored since.
func (k *toggledKey) isRevokedAt(sent time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	revokedAt := time.Time{}
	for _, c := range k.changes {
		if c.at.After(sent) {
			break
		}
		switch {
		case c.valid:
			revokedAt = time.Time{}
		case revokedAt.IsZero():
			revokedAt = c.at
		}
	}
	// A change takes effect before its acknowledgement is recorded, so a key
	// restored less than a second after the request may already have been valid.
	for _, c := range k.changes {
		if c.valid && c.at.After(sent) && c.at.Sub(sent) < time.Second {
			return false
		}
	}
	return !revokedAt.IsZero() && sent.Sub(revokedAt) > revokeBound
}

// check compares the responses that callers received with what replicas ran.
func (c *callers) check(t *testing.T, key *toggledKey) {
	runs := map[string]int{}
	for id, r := range c.fleet.replicas {
		for _, run := range r.Runs() {
			runs[run.Attempt]++
			isStream := strings.HasPrefix(run.Path, bmstandinplatform.StreamPrefix)
			assert.Equal(t, isStream, c.fleet.entries[id]["backend"] == "engines", "%s ran %s, which is another pool's", id, run.Path)
			assert.Empty(t, run.Key, "the API key of %s reached a replica", run.Attempt)
			assert.Equal(t, "w", run.Tenant, "workspace of %s", run.Attempt)
		}
	}
	served := 0
	for _, r := range c.results {
		n := runs[r.attempt]
		if r.path == "/once/" {
			assert.LessOrEqual(t, n, 1, "%s must run at most once", r.attempt)
		}
		if r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests {
			assert.True(t, r.path != "/once/" || n == 0, "%s ran but got status %d", r.attempt, r.status)
		}
		if r.key == "key-toggled" && key.isRevokedAt(r.sent) {
			assert.Zero(t, n, "%s ran with a revoked key", r.attempt)
		}
		if r.status == http.StatusOK {
			c.checkBody(t, r)
			served++
		}
	}
	assert.NotZero(t, served, "no request was served")
	t.Logf("%d requests, %d served", len(c.results), served)
}

// checkBody checks that the response belongs to this request, that no event is
// missing, duplicated or split, and that a response which broke off doesn't look whole.
func (c *callers) checkBody(t *testing.T, r result) {
	want := bmstandinplatform.PlainBody(r.attempt)
	if strings.HasPrefix(r.path, bmstandinplatform.StreamPrefix) {
		want = bmstandinplatform.StreamBody(r.attempt)
	}
	if r.err == nil {
		assert.Equal(t, want, r.body, "body of %s", r.attempt)
		return
	}
	assert.True(t, strings.HasPrefix(want, r.body), "%s broke off after %q", r.attempt, r.body)
}
