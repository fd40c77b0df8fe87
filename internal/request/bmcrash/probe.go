package bmcrash

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// probeTimeout bounds the time to connect. The nearest data centre is 1 ms away.
const probeTimeout basilmoor.Millis = 250

// Verdict tells whether a target's process runs.
type Verdict int

// Verdicts.
const (
	// Unknown means that the target did not answer in time. This host may have
	// lost its network, and then every request would look like a crash.
	Unknown Verdict = iota
	// Alive means that the target accepted a connection.
	Alive
	// Dead means that the target refused a connection, as happens when its
	// process has ended.
	Dead
)

// String returns the name of the verdict for metrics.
func (v Verdict) String() string {
	switch v {
	case Alive:
		return "target-alive"
	case Dead:
		return "target-dead"
	}
	return "target-unknown"
}

// Probe opens a connection to address and closes it.
func Probe(ctx context.Context, address string) Verdict {
	d := net.Dialer{
		Timeout: probeTimeout.Duration(),
	}
	c, err := d.DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = c.Close()
		return Alive
	case errors.Is(err, syscall.ECONNREFUSED):
		return Dead
	}
	return Unknown
}
