package bmlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

// stallingWriter is an output whose writes block until stalled is closed.
type stallingWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
	stalled chan struct{} // nil if writes do not block
	writing chan struct{} // receives at each write
}

func (r *stallingWriter) Write(p []byte) (int, error) {
	r.writing <- struct{}{}
	if r.stalled != nil {
		<-r.stalled
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.written.Write(p)
}

func (r *stallingWriter) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.written.String()
}

func newStallingWriter(stalled chan struct{}) *stallingWriter {
	return &stallingWriter{
		stalled: stalled,
		writing: make(chan struct{}, 16),
	}
}

// A stalled output must not block the code that logs and must not let the queue
// grow without bound. The number of dropped lines must be logged once the output
// accepts writes again.
func TestStalledReader(t *testing.T) {
	clock := bmclock.NewManual(0)
	metrics := bmmetrics.NewRegistry()
	stalled := make(chan struct{})
	out := newStallingWriter(stalled)
	w, closeWriter := New(clock, out, metrics)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	_, err := w.WriteLevel(zerolog.WarnLevel, line)
	require.NoError(t, err)
	clock.WaitTimers(1)
	clock.Advance(flushPeriod)
	<-out.writing // the write of the first line has started and blocks
	for range 10 * maxQueuedBytes / len(line) {
		_, err := w.WriteLevel(zerolog.WarnLevel, line)
		require.NoError(t, err)
	}
	dropped := metrics.Snapshot()["log.dropped-lines"]
	require.EqualValues(t, 9*maxQueuedBytes/len(line), dropped)
	close(stalled)
	clock.WaitTimers(1)
	clock.Advance(flushPeriod)
	<-out.writing
	<-out.writing
	closeWriter()
	require.Contains(t, out.String(), `"lines":1152`)
}

// A flood of info lines must not displace an error.
func TestImportantLinesAreKept(t *testing.T) {
	clock := bmclock.NewManual(0)
	out := newStallingWriter(nil)
	w, closeWriter := New(clock, out, bmmetrics.NewRegistry())
	for range 3 * maxInfoLinesPerSecond {
		_, err := w.WriteLevel(zerolog.InfoLevel, []byte("ordinary\n"))
		require.NoError(t, err)
	}
	_, err := w.WriteLevel(zerolog.ErrorLevel, []byte("failure\n"))
	require.NoError(t, err)
	closeWriter()
	require.True(t, strings.HasPrefix(out.String(), "failure\n"))
	require.Equal(t, maxInfoLinesPerSecond, strings.Count(out.String(), "ordinary\n"))
}
