package bmnode

import (
	"basilmoor.example/basilmoor/internal/fleet/bmmember"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
)

// crashAnnouncer is a crash registry that sends every change to the peers at
// once instead of with the next heartbeat, because the caller may retry the
// request through another host within milliseconds.
type crashAnnouncer struct {
	*bmcrash.Registry
	membership *bmmember.Driver
}

// Lift lifts the block on a request on all hosts.
func (c *crashAnnouncer) Lift(digest uint64) {
	c.Registry.Lift(digest)
	c.membership.Announce()
}

// RecordCrash implements basilmoor.CrashRegistry.
func (c *crashAnnouncer) RecordCrash(digest uint64, target string) {
	c.Registry.RecordCrash(digest, target)
	c.membership.Announce()
}
