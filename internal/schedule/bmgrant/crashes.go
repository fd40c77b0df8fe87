package bmgrant

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmpeer"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// crashLog is the registry of a host that announces deaths to the others.
type crashLog struct {
	basilmoor.CrashRegistry
	client *Client
}

// Crashes returns the registry of requests that crash targets. It tells the
// other hosts of each death at once, by way of the broker: the caller may send
// the request again through another host within milliseconds.
func (c *Client) Crashes() basilmoor.CrashRegistry {
	return &crashLog{
		CrashRegistry: c.broker.crashes,
		client:        c,
	}
}

// Died implements basilmoor.CrashRegistry.
func (l *crashLog) Died(digest uint64, target string) {
	l.CrashRegistry.Died(digest, target)
	l.client.announce(basilmoor.Crash{
		Digest:  digest,
		Targets: []string{target},
	})
}

// announce tells the broker of a death. A host without one tells the next
// broker when its session opens.
func (c *Client) announce(crash basilmoor.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.up == nil {
		return
	}
	c.up.pending.Crashes = append(c.up.pending.Crashes, bmpeer.EncodeCrashes([]basilmoor.Crash{crash})...)
	c.up.wake.signal()
}

// spreadCrashes passes what a host told and this one did not know on to the
// others.
func (b *Broker) spreadCrashes(from *session, encoded []*bmpeerpb.Crash) {
	if !from.local {
		encoded = bmpeer.EncodeCrashes(b.crashes.Merge(bmpeer.DecodeCrashes(encoded)))
	}
	if len(encoded) == 0 {
		return
	}
	for _, s := range b.sessions {
		if s == from || s.local {
			continue
		}
		s.pending.Crashes = append(s.pending.Crashes, encoded...)
		s.wake.signal()
	}
}
