package bmlistener

import (
	"math"

	"golang.org/x/sys/unix"
)

// Budget divides the sockets of a process. The sum of both parts, with the connections
// that are accepted to be refused, is at most the number of sockets less a reserve.
type Budget struct {
	// Callers is the number of callers' connections that are served.
	Callers int
	// Targets is the number of connections to targets. Each request that is served
	// can have one.
	Targets int
}

const (
	// reserveDivisor is the number of parts of the sockets of which one is reserved
	// for other hosts, the store, the probes of readiness and metrics, and for
	// sockets that are being closed.
	reserveDivisor = 4

	// ProbeHeaderBytes limits the heads of probes and of operators' calls.
	ProbeHeaderBytes = 8 << 10

	// ProbeConns is the number of connections of a listener for probes.
	ProbeConns = 16
)

// NewBudget divides a number of sockets. If it is not positive, the limit of open files
// of the process counts instead.
func NewBudget(sockets int) Budget {
	if sockets <= 0 {
		sockets = openFileLimit()
	}
	shared := sockets - sockets/reserveDivisor
	// Callers + maxExcess(Callers) + Targets <= shared, with Targets = Callers +
	// maxExcess(Callers).
	callers := (shared/2 - 1) * connsPerExcess / (connsPerExcess + 1)
	callers = max(callers, 1)
	return Budget{
		Callers: callers,
		Targets: callers + maxExcess(callers),
	}
}

// openFileLimit returns the limit of open files of the process.
func openFileLimit() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return defaultOpenFiles
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// defaultOpenFiles is the usual limit of open files, for systems that do not tell.
const defaultOpenFiles = 1024
