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

// RefusesConnections reports whether connections to address are refused, as
// happens when the target's process has ended. A timeout does not count: this
// host may have lost its network, and then every request would look like a
// crash.
func RefusesConnections(ctx context.Context, address string) bool {
	d := net.Dialer{
		Timeout: probeTimeout.Duration(),
	}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return false
}
