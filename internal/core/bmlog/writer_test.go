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

// reader is an output that stalls until it is released.
type reader struct {
	mu      sync.Mutex
	lines   bytes.Buffer
	stalled chan struct{} // nil: never stalls
	writing chan struct{} // receives at each write
}

func (r *reader) Write(p []byte) (int, error) {
	r.writing <- struct{}{}
	if r.stalled != nil {
		<-r.stalled
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines.Write(p)
}

func (r *reader) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines.String()
}

func newReader(stalled chan struct{}) *reader {
	return &reader{
		stalled: stalled,
		writing: make(chan struct{}, 16),
	}
}

// Guards against a request that waits for the reader of the log, against
// memory that grows with what it does not read, and against drops that nobody
// learns of.
func TestStalledReader(t *testing.T) {
	clock := bmclock.NewManual(0)
	metrics := bmmetrics.NewRegistry()
	stalled := make(chan struct{})
	out := newReader(stalled)
	w, closeWriter := New(clock, out, metrics)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	_, err := w.WriteLevel(zerolog.WarnLevel, line)
	require.NoError(t, err)
	clock.WaitTimers(1)
	clock.Advance(flushPeriod)
	<-out.writing // the reader has the first line and does not return
	for range 10 * maxBytes / len(line) {
		_, err := w.WriteLevel(zerolog.WarnLevel, line)
		require.NoError(t, err)
	}
	dropped := metrics.Snapshot()["log.dropped-lines"]
	require.EqualValues(t, 9*maxBytes/len(line), dropped)
	close(stalled)
	clock.WaitTimers(1)
	clock.Advance(flushPeriod)
	<-out.writing
	<-out.writing
	closeWriter()
	require.Contains(t, out.String(), `"lines":1152`)
}

// Guards against ordinary lines that crowd out failures.
func TestImportantLinesAreKept(t *testing.T) {
	clock := bmclock.NewManual(0)
	out := newReader(nil)
	w, closeWriter := New(clock, out, bmmetrics.NewRegistry())
	for range 3 * linesPerSecond {
		_, err := w.WriteLevel(zerolog.InfoLevel, []byte("ordinary\n"))
		require.NoError(t, err)
	}
	_, err := w.WriteLevel(zerolog.ErrorLevel, []byte("failure\n"))
	require.NoError(t, err)
	closeWriter()
	require.True(t, strings.HasPrefix(out.String(), "failure\n"))
	require.Equal(t, linesPerSecond, strings.Count(out.String(), "ordinary\n"))
}
