// Package bmlog writes log lines asynchronously, so that a slow or stalled output
// does not block the code that logs.
//
// Invariants: Write never waits for the output; the memory of queued lines is
// bounded; lines of level warn and above have a queue of their own, which lines
// of lower levels cannot fill; every dropped line is counted, and the number of
// dropped lines is logged once the output accepts writes again.
package bmlog

import (
	"fmt"
	"io"
	"sync"

	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

const (
	// maxQueuedBytes limits the size of each queue: that of the lines below
	// level warn, and that of the lines of level warn and above.
	maxQueuedBytes = 128 << 10

	// maxInfoLinesPerSecond limits the rate of lines below level warn. It is
	// above the peak request rate of one host.
	maxInfoLinesPerSecond = 400

	// flushPeriod is the time between two writes to the output, so that one
	// system call writes many lines.
	flushPeriod basilmoor.Millis = 50

	// closeTimeout limits the time that closing the writer waits for the last
	// write.
	closeTimeout basilmoor.Millis = 200
)

// Writer is a zerolog.LevelWriter that queues lines and writes them to its output
// in the background. It is safe for concurrent use.
type Writer struct {
	clock   basilmoor.Clock
	out     io.Writer
	metrics *bmmetrics.Registry

	mu          sync.Mutex
	warnings    []byte
	infos       []byte
	dropped     int64 // lines dropped since the last flush
	windowStart basilmoor.Millis
	windowLines int // lines below level warn since windowStart

	closing chan struct{}
	done    chan struct{}
}

var _ zerolog.LevelWriter = (*Writer)(nil)

// New returns a writer to out, and a function that writes the queued lines and
// closes the writer. The function returns after closeTimeout even if out has
// stalled; the writer's goroutine then remains until out returns.
func New(clock basilmoor.Clock, out io.Writer, metrics *bmmetrics.Registry) (*Writer, func()) {
	w := &Writer{
		clock:   clock,
		out:     out,
		metrics: metrics,
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return w, w.close
}

// Write queues a line of level info.
func (w *Writer) Write(line []byte) (int, error) {
	return w.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel queues a line, or counts it as dropped if its queue is full or the
// rate is exceeded. It reports success in either case.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := &w.infos
	if level >= zerolog.WarnLevel {
		queue = &w.warnings
	}
	if len(*queue)+len(line) > maxQueuedBytes || queue == &w.infos && !w.allowInfoLine() {
		w.dropped++
		w.metrics.Add("log.dropped-lines", 1)
		return len(line), nil
	}
	*queue = append(*queue, line...)
	return len(line), nil
}

// allowInfoLine counts a line below level warn and reports whether it is within
// the rate limit. w.mu is held.
func (w *Writer) allowInfoLine() bool {
	now := w.clock.Now()
	if now-w.windowStart >= basilmoor.Second {
		w.windowStart = now
		w.windowLines = 0
	}
	w.windowLines++
	return w.windowLines <= maxInfoLinesPerSecond
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		timer := w.clock.NewTimer(flushPeriod)
		select {
		case <-w.closing:
			timer.Stop()
			w.flush()
			return
		case <-timer.C():
			w.flush()
		}
	}
}

// flush writes the queued lines. They are lost if the write fails.
func (w *Writer) flush() {
	lines, n := w.takeQueued()
	if len(lines) == 0 {
		return
	}
	if _, err := w.out.Write(lines); err != nil {
		w.metrics.Add("log.failed-writes", 1)
		return
	}
	if n > 0 {
		w.reportDropped(n)
	}
}

// takeQueued empties the queues, with warnings first, and resets the number of
// dropped lines.
func (w *Writer) takeQueued() (lines []byte, dropped int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines = append(w.warnings, w.infos...)
	w.warnings = nil
	w.infos = w.infos[:0]
	dropped = w.dropped
	w.dropped = 0
	return lines, dropped
}

// reportDropped logs the number of dropped lines.
func (w *Writer) reportDropped(n int64) {
	line := fmt.Sprintf("{\"level\":\"warn\",\"message\":\"log lines dropped\",\"lines\":%d}\n", n)
	if _, err := io.WriteString(w.out, line); err != nil {
		w.metrics.Add("log.failed-writes", 1)
	}
}

func (w *Writer) close() {
	close(w.closing)
	timer := w.clock.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C():
	}
}
