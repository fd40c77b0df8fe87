package bmlistener

import (
	stdlog "log"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmmetrics"
)

// failureLogPeriod is the shortest time between two lines about failed accept calls
// of a listener.
const failureLogPeriod = basilmoor.Second

// acceptFailures counts and logs the failed accept calls of a listener. It is safe for
// concurrent use.
type acceptFailures struct {
	name       string
	clock      basilmoor.Clock
	metrics    *bmmetrics.Registry
	log        zerolog.Logger
	connCounts func(now basilmoor.Millis) (open, busy int)

	mu       sync.Mutex
	count    int              // failures since the last accepted connection
	since    basilmoor.Millis // time of the first of them
	loggedAt basilmoor.Millis // time of the last line about them
}

func newAcceptFailures(cfg Config, connCounts func(now basilmoor.Millis) (open, busy int)) *acceptFailures {
	return &acceptFailures{
		name:       cfg.Name,
		clock:      cfg.Clock,
		metrics:    cfg.Metrics,
		log:        cfg.Log,
		connCounts: connCounts,
	}
}

// record records the result of an accept call.
func (f *acceptFailures) record(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.metrics.Add("connections.accepted."+f.name, 1)
		f.recordSuccess()
		return
	}
	f.metrics.Add("connections.accept-failed."+acceptFailureReason(err), 1)
	now := f.clock.Now()
	if f.count == 0 {
		f.since = now
	}
	f.count++
	if f.count == 1 || now-f.loggedAt >= failureLogPeriod {
		f.loggedAt = now
		open, busy := f.connCounts(now)
		f.log.Warn().
			Err(err).
			Str("listener", f.name).
			Int("connections", open).
			Int("busy-connections", busy).
			Int("failures", f.count).
			Int64("since-ms", int64(now-f.since)).
			Msg("accepting connections fails")
	}
}

// recordSuccess ends a series of failures. f.mu is held.
func (f *acceptFailures) recordSuccess() {
	if f.count == 0 {
		return
	}
	f.log.Warn().
		Str("listener", f.name).
		Int("failures", f.count).
		Int64("since-ms", int64(f.clock.Now()-f.since)).
		Msg("connections are accepted again")
	f.count = 0
}

// duration returns for how long accept calls have failed; 0 after one that succeeded.
func (f *acceptFailures) duration() basilmoor.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.count == 0 {
		return 0
	}
	return f.clock.Now() - f.since
}

// isShortage reports whether an accept call failed for want of descriptors or memory.
func isShortage(err error) bool {
	return acceptFailureReason(err) != reasonOther
}

// reasonOther is the reason of all failures but those for want of a resource.
const reasonOther = "other"

// acceptFailureReason classifies an error of an accept call.
func acceptFailureReason(err error) string {
	switch {
	case errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE):
		return "descriptors"
	case errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM):
		return "memory"
	}
	return reasonOther
}

// maxServerLogBytes bounds a line of an HTTP server, which may hold a stack.
const maxServerLogBytes = 4 << 10

// serverLog writes the lines of an HTTP server to the structured log.
type serverLog struct {
	name string
	log  zerolog.Logger
}

// serverLog returns a logger for the HTTP server of the listener.
func (l *Listener) serverLog() *stdlog.Logger {
	return stdlog.New(&serverLog{
		name: l.name,
		log:  l.log,
	}, "", 0)
}

// Write implements io.Writer.
func (l *serverLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line[:min(len(line), maxServerLogBytes)]))
	l.log.Warn().Str("listener", l.name).Str("text", text).Msg("HTTP server")
	return len(line), nil
}
