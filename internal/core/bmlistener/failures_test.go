package bmlistener

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

// Guards against a listener that accepts nothing while neither its log nor its counters
// tell why, or since when.
func TestAcceptFailuresAreLogged(t *testing.T) {
	clock := bmclock.NewManual(1000)
	var log strings.Builder
	cfg := Config{
		Name:    "test",
		Clock:   clock,
		Metrics: bmmetrics.NewRegistry(),
		Log:     zerolog.New(&log),
	}
	f := newAcceptFailures(cfg, func(basilmoor.Millis) (open, busy int) { return 7, 3 })
	takeLog := func() string {
		defer log.Reset()
		return log.String()
	}

	f.record(nil)
	require.Empty(t, takeLog())

	f.record(unix.EMFILE)
	require.JSONEq(t, `{"level":"warn","error":"too many open files","listener":"test","connections":7,"busy-connections":3,"failures":1,"since-ms":0,"message":"accepting connections fails"}`, takeLog())
	clock.Advance(failureLogPeriod - 1)
	f.record(unix.ENOBUFS)
	require.Empty(t, takeLog(), "at most one line a period")
	clock.Advance(1)
	f.record(unix.EPROTO)
	require.Contains(t, takeLog(), `"failures":3,"since-ms":1000,`)
	f.record(nil)
	require.JSONEq(t, `{"level":"warn","listener":"test","failures":3,"since-ms":1000,"message":"connections are accepted again"}`, takeLog())

	require.Equal(t, map[string]int64{
		"connections.accepted.test":             2,
		"connections.accept-failed.descriptors": 1,
		"connections.accept-failed.memory":      1,
		"connections.accept-failed.other":       1,
	}, cfg.Metrics.Snapshot())
}
