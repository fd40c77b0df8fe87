package bmnode

import (
	"basilmoor.example/basilmoor/internal/fleet/bmmember"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
)

// announcedCrashes tells the peers of a death at once instead of at the next
// heartbeat, because the caller may send the request again through another
// host within milliseconds.
type announcedCrashes struct {
	*bmcrash.Registry
	members *bmmember.Driver
}

// Lift allows a request again on all hosts.
func (c *announcedCrashes) Lift(digest uint64) {
	c.Registry.Lift(digest)
	c.members.Announce()
}

// Died implements basilmoor.CrashRegistry.
func (c *announcedCrashes) Died(digest uint64, target string) {
	c.Registry.Died(digest, target)
	c.members.Announce()
}
