package bmadmin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/node/bmsettings"
)

type fakeBackend struct {
	accepted []string
}

func (b *fakeBackend) Status() Status {
	return Status{
		Host: "entry-1",
	}
}
func (b *fakeBackend) Counters() map[string]int64 {
	return map[string]int64{
		"refusals.deadline": 1,
	}
}
func (b *fakeBackend) Crashes() []basilmoor.Crash {
	return []basilmoor.Crash{
		{
			Digest: 0xab,
		},
	}
}
func (b *fakeBackend) LiftCrash(digest uint64) bool {
	return digest == 0xab
}

func (b *fakeBackend) RestoreStore(context.Context) (int64, error) {
	return 7, nil
}

func (b *fakeBackend) CheckNote(_ context.Context, note []byte) (string, error) {
	return "+ " + string(note), nil
}

func (b *fakeBackend) AcceptNote(_ context.Context, note []byte, author string) (AcceptResult, error) {
	if string(note) == "conflict" {
		return AcceptResult{}, &ProblemError{
			Problem: newProblem(http.StatusConflict, "conflict", "kind reviews was changed by note n2"),
		}
	}
	b.accepted = append(b.accepted, author+":"+string(note))
	return AcceptResult{
		Version: 2,
		Note:    "n1",
	}, nil
}

func operatorToken(name string, role bmsettings.Role, value string) bmsettings.OperatorToken {
	sum := sha256.Sum256([]byte(value))
	return bmsettings.OperatorToken{
		Name:   name,
		Role:   role,
		Digest: hex.EncodeToString(sum[:]),
	}
}

// TestCalls checks that each call requires a valid token with the right role,
// and that an error of the backend isn't reported as a success.
func TestCalls(t *testing.T) {
	tests := map[string]struct {
		method   string
		path     string
		token    string
		body     string
		status   int
		contains string
		accepted int
	}{
		"no token": {
			method: "GET",
			path:   "/v1/status",
			status: 401,
		},
		"wrong token": {
			method: "GET",
			path:   "/v1/status",
			token:  "guess",
			status: 401,
		},
		"viewer reads status": {
			method:   "GET",
			path:     "/v1/status",
			token:    "view",
			status:   200,
			contains: `"host":"entry-1"`,
		},
		"viewer reads counters": {
			method:   "GET",
			path:     "/v1/metrics",
			token:    "view",
			status:   200,
			contains: `"refusals.deadline":1`,
		},
		"viewer checks a note": {
			method:   "POST",
			path:     "/v1/notes/check",
			token:    "view",
			body:     "x",
			status:   200,
			contains: "+ x",
		},
		"viewer may not accept": {
			method: "POST",
			path:   "/v1/notes",
			token:  "view",
			body:   "x",
			status: 403,
		},
		"viewer may not lift": {
			method: "DELETE",
			path:   "/v1/crashes/ab",
			token:  "view",
			status: 403,
		},
		"operator accepts": {
			method:   "POST",
			path:     "/v1/notes",
			token:    "op",
			body:     "x",
			status:   200,
			contains: `"version":2`,
			accepted: 1,
		},
		"conflict is named": {
			method:   "POST",
			path:     "/v1/notes",
			token:    "op",
			body:     "conflict",
			status:   409,
			contains: "kind reviews was changed",
		},
		"note too large": {
			method: "POST",
			path:   "/v1/notes",
			token:  "op",
			body:   strings.Repeat("x", maxNoteBytes+1),
			status: 413,
		},
		"viewer may not restore": {
			method: "POST",
			path:   "/v1/store/restore",
			token:  "view",
			status: 403,
		},
		"operator restores": {
			method:   "POST",
			path:     "/v1/store/restore",
			token:    "op",
			status:   200,
			contains: `"version":7`,
		},
		"operator lifts": {
			method: "DELETE",
			path:   "/v1/crashes/ab",
			token:  "op",
			status: 204,
		},
		"unknown digest": {
			method: "DELETE",
			path:   "/v1/crashes/cd",
			token:  "op",
			status: 404,
		},
		"malformed digest": {
			method: "DELETE",
			path:   "/v1/crashes/xyz",
			token:  "op",
			status: 400,
		},
		"list of crashes": {
			method:   "GET",
			path:     "/v1/crashes",
			token:    "view",
			status:   200,
			contains: `"digest":"ab"`,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := &fakeBackend{}
			s := New(b, []bmsettings.OperatorToken{
				operatorToken("vera", bmsettings.RoleViewer, "view"),
				operatorToken("omar", bmsettings.RoleOperator, "op"),
			}, zerolog.Nop())
			r := httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body))
			if tt.token != "" {
				r.Header.Set("Authorization", "Bearer "+tt.token)
			}
			w := httptest.NewRecorder()
			s.ServeHTTP(w, r)
			require.Equal(t, tt.status, w.Code, w.Body.String())
			require.Contains(t, w.Body.String(), tt.contains)
			require.Len(t, b.accepted, tt.accepted)
		})
	}
}
