package bmstandinplatform

import (
	"fmt"
	"os"
	"sync/atomic"
)

// hostsPerProcess bounds the last byte of a host's address, without those of the
// network and of broadcasts.
const hostsPerProcess = 254

var lastHost atomic.Uint32

// HostIP returns an address of the loopback network for the next host. The last 254
// addresses are different from each other and from those in other test processes.
//
// Every port is free on it. On 127.0.0.1 a port that was free may be taken before a
// host listens on it: the system gives free ports to outgoing connections, whose
// ports stay taken for a minute after they are closed.
func HostIP() string {
	const valuesPerByte = 253 // 1 to 253; 127.0.0.1 has none of these addresses
	pid := os.Getpid()
	host := lastHost.Add(1) % hostsPerProcess
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/valuesPerByte%valuesPerByte, 1+pid%valuesPerByte, 1+host)
}
