package bmcrash

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// probeLimit bounds the time to connect. The next data centre is 1 ms away.
const probeLimit basilmoor.Millis = 250

// Refuses reports whether the target at an address refuses connections now, as
// the host of a process that has ended does. No answer does not count: it may
// be this host that lost contact, and then each of its requests would look
// like a crash.
func Refuses(ctx context.Context, address string) bool {
	d := net.Dialer{
		Timeout: probeLimit.Duration(),
	}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return false
}
