package bmentry

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmview"
)

// Guards against serving a request without a valid key, or with a key that may have been
// revoked while the view was stale.
func TestAdmission(t *testing.T) {
	tests := map[string]struct {
		path   string
		key    string
		age    basilmoor.Millis
		empty  bool
		status int
	}{
		"known key":             {path: "/once/x", key: "k", status: 200},
		"header over the limit": {path: "/once/x?" + strings.Repeat("x", 1000), key: "k", status: 431},
		"unknown key":           {path: "/once/x", key: "other", status: 401},
		"no key":                {path: "/once/x", status: 401},
		"public":                {path: "/public/x", status: 200},
		"no route":              {path: "/none/x", key: "k", status: 404},
		"known key, old view":   {path: "/once/x", key: "k", age: 4000, status: 503},
		"unknown key, old view": {path: "/once/x", key: "other", age: 4000, status: 503},
		"no route, old view":    {path: "/none/x", key: "k", age: 4000, status: 503},
		"public, old view":      {path: "/public/x", age: 4000, status: 200},
		"no desired state yet":  {path: "/once/x", key: "k", empty: true, status: 503},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, answersOK)
			f.views.age = tt.age
			if tt.empty {
				f.views.view = &bmview.View{}
			}
			status, body, err := f.post(t, tt.path, tt.key)
			require.NoError(t, err)
			require.Equal(t, tt.status, status, body)
			if status == http.StatusOK && tt.key != "" {
				require.Equal(t, `from t0 for "w"`, body)
			}
		})
	}
}

// lateBody is a body that calls before when its first byte is read.
type lateBody struct {
	io.Reader
	before func()
}

func (b *lateBody) Read(p []byte) (int, error) {
	if b.before != nil {
		b.before()
		b.before = nil
	}
	return b.Reader.Read(p)
}

// Guards against serving a request whose key was revoked while its body arrived.
func TestKeyRevokedDuringTheBody(t *testing.T) {
	f := newTestFleet(t, answersOK)
	body := &lateBody{
		Reader: strings.NewReader("body"),
		before: func() {
			f.views.view = &bmview.View{
				Table: testTable("other"),
			}
		},
	}
	r, err := http.NewRequest(http.MethodPost, f.url+"/once/x", body)
	require.NoError(t, err)
	r.Header.Set("Id", "1")
	r.Header.Set("Key", "k")
	// The body is sent only once the handler reads it.
	r.Header.Set("Expect", "100-continue")
	client := &http.Client{
		Transport: &http.Transport{
			ExpectContinueTimeout: eventTimeout,
		},
	}
	defer client.CloseIdleConnections()
	resp, err := client.Do(r)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	require.Empty(t, f.ran())
}

// A body over the limit must not reach a target, with or without a declared
// length.
func TestBodyOverTheLimit(t *testing.T) {
	for name, body := range map[string]io.Reader{
		"with a length": strings.NewReader(strings.Repeat("x", 101)),
		"in chunks":     io.MultiReader(strings.NewReader(strings.Repeat("x", 101))),
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, answersOK)
			resp, err := http.Post(f.url+"/public/x", "text/plain", body)
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
			require.Empty(t, f.ran())
		})
	}
}
