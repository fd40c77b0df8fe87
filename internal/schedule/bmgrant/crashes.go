package bmgrant

import (
	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/fleet/bmpeer"
	"basilmoor.example/basilmoor/internal/fleet/bmpeerpb"
)

// crashReporter is a crash registry that also reports crashes to the other hosts.
type crashReporter struct {
	basilmoor.CrashRegistry
	client *Client
}

// CrashRegistry returns the registry of requests that crash targets. It reports
// each crash to the other hosts at once through the broker, because the caller
// may retry the request through another host within milliseconds.
func (c *Client) CrashRegistry() basilmoor.CrashRegistry {
	return &crashReporter{
		CrashRegistry: c.broker.crashes,
		client:        c,
	}
}

// RecordCrash implements basilmoor.CrashRegistry.
func (l *crashReporter) RecordCrash(digest uint64, target string) {
	l.CrashRegistry.RecordCrash(digest, target)
	l.client.reportCrash(basilmoor.Crash{
		Digest:  digest,
		Targets: []string{target},
	})
}

// reportCrash sends a crash to the broker. Without a broker, the crash is sent
// to the next one when the session opens.
func (c *Client) reportCrash(crash basilmoor.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uplink == nil {
		return
	}
	c.uplink.pending.Crashes = append(c.uplink.pending.Crashes, bmpeer.EncodeCrashes([]basilmoor.Crash{crash})...)
	c.uplink.wake.signal()
}

// forwardCrashes forwards the crashes reported by one host, as far as they are
// new to this one, to the other hosts.
func (b *Broker) forwardCrashes(from *session, encoded []*bmpeerpb.Crash) {
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
