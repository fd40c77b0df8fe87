// Package bmlog writes log lines without ever making their author wait.
//
// Invariants: Write never blocks; the memory of waiting lines is bounded; lines
// of level warn and above are kept before ordinary ones; every line that is
// dropped is counted, and the count is logged once the reader is back.
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
	// maxBytes bounds the waiting lines of each kind: ordinary ones, and those
	// of level warn and above.
	maxBytes = 128 << 10

	// linesPerSecond bounds the ordinary lines. It is above the rate of
	// requests that one host serves at its peak.
	linesPerSecond = 400

	// flushPeriod is the time between two writes, so that many lines share a
	// system call.
	flushPeriod basilmoor.Millis = 50

	// closeBound is the time that a closing writer gives its reader.
	closeBound basilmoor.Millis = 200
)

// Writer is a zerolog.LevelWriter over a slow or stalled reader. It is safe
// for concurrent use.
type Writer struct {
	clock   basilmoor.Clock
	out     io.Writer
	metrics *bmmetrics.Registry

	mu        sync.Mutex
	important []byte
	ordinary  []byte
	dropped   int64 // since the last write
	second    basilmoor.Millis
	lines     int // ordinary lines of that second

	closing chan struct{}
	done    chan struct{}
}

var _ zerolog.LevelWriter = (*Writer)(nil)

// New returns a writer to out and a function that writes what is left. Both
// the writer's goroutine and that function survive a reader that has stalled.
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

// Write takes an ordinary line.
func (w *Writer) Write(line []byte) (int, error) {
	return w.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel takes a line. It always reports success: a line that is dropped
// is counted.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue := &w.ordinary
	if level >= zerolog.WarnLevel {
		queue = &w.important
	}
	if len(*queue)+len(line) > maxBytes || queue == &w.ordinary && !w.admit() {
		w.dropped++
		w.metrics.Add("log.dropped-lines", 1)
		return len(line), nil
	}
	*queue = append(*queue, line...)
	return len(line), nil
}

// admit counts an ordinary line against the rate.
func (w *Writer) admit() bool {
	now := w.clock.Now()
	if now-w.second >= basilmoor.Second {
		w.second = now
		w.lines = 0
	}
	w.lines++
	return w.lines <= linesPerSecond
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

// flush writes what waits. A write that fails loses its lines.
func (w *Writer) flush() {
	lines, n := w.take()
	if len(lines) == 0 {
		return
	}
	if _, err := w.out.Write(lines); err != nil {
		w.metrics.Add("log.failed-writes", 1)
		return
	}
	if n > 0 {
		w.report(n)
	}
}

func (w *Writer) take() (lines []byte, dropped int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines = append(w.important, w.ordinary...)
	w.important = nil
	w.ordinary = w.ordinary[:0]
	dropped = w.dropped
	w.dropped = 0
	return lines, dropped
}

// report logs how many lines were dropped.
func (w *Writer) report(n int64) {
	line := fmt.Sprintf("{\"level\":\"warn\",\"message\":\"log lines dropped\",\"lines\":%d}\n", n)
	if _, err := io.WriteString(w.out, line); err != nil {
		w.metrics.Add("log.failed-writes", 1)
	}
}

func (w *Writer) close() {
	close(w.closing)
	timer := w.clock.NewTimer(closeBound)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C():
	}
}
