package bmstandinservice

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

func call(s *Service, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set(bmstandin.RequestIDHeader, "r1")
	r.Header.Set(bmstandin.RequestKeyHeader, "k1")
	s.ServeHTTP(w, r)
	return w
}

// Guards against a receipt or an execution that does not identify its request.
func TestReceipt(t *testing.T) {
	s, stop := New(bmclock.NewManual(0), Settings{
		Name: "ledger",
	})
	defer stop()
	w := call(s, "PATCH", "/payouts//7", "pay")
	require.Equal(t, http.StatusOK, w.Code)
	digest := bmstandin.Digest([]byte("pay"))
	require.JSONEq(t, `{"receipt":1,"service":"ledger","request-id":"r1","request-key":"k1",
		"method":"PATCH","path":"/payouts//7","body-digest":"`+digest+`","bytes":3}`, w.Body.String())
	log := s.Executions()
	require.Len(t, log, 1)
	require.Equal(t, "r1", log[0].Request)
	require.Equal(t, digest, log[0].BodyDigest)
	require.True(t, log[0].Complete)
}

// Guards against a refused request that runs, and a request that runs without
// being logged as an execution.
func TestFaults(t *testing.T) {
	on, one := true, 1
	tests := map[string]struct {
		faults   bmstandin.Faults
		body     string
		status   int // 0 for a closed connection
		runs     int
		complete bool
	}{
		"leaving": {
			faults: bmstandin.Faults{
				Leaving: &on,
			},
			status: http.StatusServiceUnavailable,
		},
		"refuse": {
			faults: bmstandin.Faults{
				Refuse: &on,
			},
			status: http.StatusServiceUnavailable,
		},
		"lost response": {
			faults: bmstandin.Faults{
				DropNextResponses: &one,
			},
			runs:     1,
			complete: true,
		},
		"crash next": {
			faults: bmstandin.Faults{
				CrashNext: &on,
			},
			runs: 1,
		},
		"crash on marker": {
			faults: bmstandin.Faults{
				CrashOnMarker: &on,
			},
			body: bmstandin.CrashMarker,
			runs: 1,
		},
		"crash on marker without marker": {
			faults: bmstandin.Faults{
				CrashOnMarker: &on,
			},
			status:   http.StatusOK,
			runs:     1,
			complete: true,
		},
		"crashed": {
			faults: bmstandin.Faults{
				CrashNow: true,
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, stop := New(bmclock.NewManual(0), Settings{})
			defer stop()
			require.NoError(t, s.SetFaults(tt.faults))
			if tt.status == 0 {
				require.PanicsWithValue(t, http.ErrAbortHandler, func() { call(s, "POST", "/", tt.body) })
			} else {
				w := call(s, "POST", "/", tt.body)
				require.Equal(t, tt.status, w.Code)
				notRun := w.Header().Get(bmstandin.OutcomeHeader) == bmstandin.OutcomeNotRun
				require.Equal(t, tt.runs == 0, notRun)
			}
			log := s.Executions()
			require.Len(t, log, tt.runs)
			for _, x := range log {
				require.Equal(t, tt.complete, x.Complete)
			}
		})
	}
}

// Guards against running more requests than there are workers, and against a
// load report that omits waiting requests.
func TestWorkers(t *testing.T) {
	clock := bmclock.NewManual(0)
	s, stop := New(clock, Settings{
		Latency: basilmoor.Second,
		Workers: 1,
	})
	defer stop()
	done := make(chan int)
	for range 2 {
		go func() { done <- call(s, "POST", "/", "").Code }()
	}
	clock.WaitTimers(1)
	for load, _ := s.load.Report(); load.Waiting != 1; load, _ = s.load.Report() {
		require.LessOrEqual(t, load.Running, 1)
	}
	require.Len(t, s.Executions(), 1)
	clock.Advance(basilmoor.Second)
	require.Equal(t, http.StatusOK, <-done)
	clock.WaitTimers(1)
	clock.Advance(basilmoor.Second)
	require.Equal(t, http.StatusOK, <-done)
	log := s.Executions()
	require.Equal(t, log[0].End, log[1].Start)
}
