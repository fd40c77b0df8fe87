package bmfollower

import (
	"bytes"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

// appendVersions applies one note for each id, starting from a snapshot, and
// returns the last snapshot.
func appendVersions(t *testing.T, from *bmcatalog.Snapshot, notes ...string) *bmcatalog.Snapshot {
	s := from
	for i, n := range notes {
		next, err := s.Next(bmcatalog.Content{
			Tiers: []basilmoor.Tier{{
				Name: n,
				Rank: i,
			}},
		}, bmcatalog.Acceptance{
			NoteID:     n,
			NoteDigest: bmcatalog.Digest([]byte(n)),
		})
		require.NoError(t, err)
		s = next
	}
	return s
}

func newTestCore(fleet int, watcher bool) *Core {
	return NewCore(Config{
		Host:               "a",
		IsWatcher:          func() bool { return watcher },
		FleetSize:          func() int { return fleet },
		HasMajorityContact: func() bool { return true },
	}, 0)
}

func deliverFromPeer(t *testing.T, c *Core, now basilmoor.Millis, host string, s *bmcatalog.Snapshot) {
	head, parts, err := ServeFetch(s, nil)
	require.NoError(t, err)
	c.HandlePeerFetch(now, host, head, parts, nil)
}

func headEntry(s *bmcatalog.Snapshot) basilmoor.Entry {
	return basilmoor.Entry{
		Key:      bmcatalog.HeadKey,
		Value:    s.HeadValue(),
		Version:  s.Version(),
		Revision: s.Version(),
	}
}

// Guards against applying a head that would revert or replace the version in
// effect, and against rejections that do not show in the status.
func TestRejections(t *testing.T) {
	base := appendVersions(t, nil, "n-1")
	held := appendVersions(t, base, "n-2")
	damaged := func(s *bmcatalog.Snapshot) ([]byte, []basilmoor.ConfigPart) {
		head, parts, err := ServeFetch(s, nil)
		require.NoError(t, err)
		for i := range parts {
			parts[i].Value = bytes.Replace(parts[i].Value, []byte("rank"), []byte("runk"), 1)
		}
		return head, parts
	}
	tests := map[string]struct {
		offer func(c *Core)
		count string
		mode  Mode
	}{
		"older head of the store": {
			offer: func(c *Core) { c.HandleHeadRead(1, headEntry(base), nil) },
			count: "rejected.older",
			mode:  ModeStoreBehind,
		},
		"empty store": {
			offer: func(c *Core) { c.HandleHeadRead(1, basilmoor.Entry{}, &basilmoor.NotFoundError{}) },
			count: "rejected.older",
			mode:  ModeStoreBehind,
		},
		"older head of a peer": {
			offer: func(c *Core) { deliverFromPeer(t, c, 1, "b", base) },
			count: "peer-older",
			mode:  ModeCurrent,
		},
		"other note under the same version": {
			offer: func(c *Core) { c.HandleHeadRead(1, headEntry(appendVersions(t, base, "other")), nil) },
			count: "rejected.diverged",
			mode:  ModeDiverged,
		},
		"heartbeat with another note": {
			offer: func(c *Core) { c.HandleHeartbeat(1, "b", 2, "other") },
			count: "rejected.diverged",
			mode:  ModeDiverged,
		},
		"higher version of another lineage": {
			offer: func(c *Core) { deliverFromPeer(t, c, 1, "b", appendVersions(t, base, "other", "n-3")) },
			count: "rejected.diverged",
			mode:  ModeDiverged,
		},
		"damaged part": {
			offer: func(c *Core) {
				head, parts := damaged(appendVersions(t, held, "n-3"))
				c.HandlePeerFetch(1, "b", head, parts, nil)
			},
			count: "rejected.digest",
			mode:  ModeDiverged,
		},
		"malformed head": {
			offer: func(c *Core) { c.HandlePeerFetch(1, "b", []byte("{}"), nil, nil) },
			count: "rejected.malformed",
			mode:  ModeDiverged,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(1, false)
			deliverFromPeer(t, c, 0, "b", held)
			require.Equal(t, held.HeadValue(), c.Snapshot().HeadValue())
			tt.offer(c)
			require.Equal(t, held.HeadValue(), c.Snapshot().HeadValue())
			s := c.Status(1)
			require.Equal(t, tt.mode, s.Mode, "%+v", s)
			require.Equal(t, int64(1), s.Counts[tt.count], "%+v", s)
			deliverFromPeer(t, c, 2, "b", appendVersions(t, held, "n-3"))
			require.Equal(t, int64(3), c.Snapshot().Version())
		})
	}
}

// Guards against a host that is not isolated, and so keeps serving, although it
// has lost contact with the store and its peers and can't know which version is
// in effect; and against one that becomes isolated, and so stops serving, while
// it still reaches either.
func TestIsolation(t *testing.T) {
	outage := &basilmoor.UnavailableError{
		Err: errors.New("down"),
	}
	tests := map[string]struct {
		fleet    int
		contact  func(c *Core, now basilmoor.Millis)
		isolated bool
	}{
		"alone in the fleet": {
			fleet:   1,
			contact: func(c *Core, now basilmoor.Millis) { c.HandleHeadRead(now, basilmoor.Entry{}, outage) },
		},
		"nothing answers": {
			fleet:    6,
			contact:  func(c *Core, now basilmoor.Millis) { c.HandleHeadRead(now, basilmoor.Entry{}, outage) },
			isolated: true,
		},
		"peers only": {
			fleet:   6,
			contact: func(c *Core, now basilmoor.Millis) { c.HandleHeartbeat(now, "b", 0, "") },
		},
		"store only": {
			fleet: 6,
			contact: func(c *Core, now basilmoor.Millis) {
				c.HandleHeadRead(now, basilmoor.Entry{}, &basilmoor.NotFoundError{})
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newTestCore(tt.fleet, false)
			for now := basilmoor.Millis(0); now < isolationTimeout; now += basilmoor.Second {
				require.False(t, c.Isolated(now))
				c.Tick(now)
				tt.contact(c, now)
			}
			// Without any contact, isolation is counted from the start.
			require.Equal(t, tt.isolated, c.Isolated(isolationTimeout))
			require.Equal(t, tt.isolated, c.Status(isolationTimeout).Mode == ModeIsolated)
		})
	}
}

// Guards against a starting host that serves an old version from a store that
// was restored from a backup, while its peers hold a later one.
func TestStartWaitsForPeers(t *testing.T) {
	base := appendVersions(t, nil, "n-1")
	latest := appendVersions(t, base, "n-2")
	c := newTestCore(6, false)
	c.Tick(0)
	effects := c.HandleHeadRead(1, headEntry(base), nil)
	require.Len(t, effects, 1)
	part, err := base.Part(base.Digests()[0])
	require.NoError(t, err)
	c.HandlePartsRead(2, base.HeadValue(), map[string][]byte{part.Digest: part.Value}, nil)
	require.Equal(t, int64(1), c.Held().Version())
	require.Nil(t, c.Snapshot())
	require.Contains(t, c.HandleHeartbeat(3, "b", 2, "n-2"), Effect(FetchFromPeer{
		Host: "b",
		Held: base.Digests(),
	}))
	require.Nil(t, c.Snapshot())
	_, err = c.LatestVersion()
	var latestUnknown *LatestUnknownError
	require.ErrorAs(t, err, &latestUnknown)
	deliverFromPeer(t, c, 4, "b", latest)
	require.Equal(t, int64(2), c.Snapshot().Version())

	_, err = c.LatestVersion()
	require.NoError(t, err)
	c.cfg.HasMajorityContact = func() bool { return false }
	_, err = c.LatestVersion()
	require.ErrorAs(t, err, &latestUnknown, "unreachable hosts may hold a higher version")

	// Without heartbeats the host serves the version it holds after
	// maxStartupWait.
	c = newTestCore(6, false)
	c.HandlePartsRead(2, base.HeadValue(), map[string][]byte{part.Digest: part.Value}, nil)
	c.Tick(maxStartupWait - 1)
	require.Nil(t, c.Snapshot())
	c.Tick(maxStartupWait)
	require.NotNil(t, c.Snapshot())
}

// Guards against a watcher that does not restart its watch after the history was
// compacted, after a watch failed, or after the store was restored to a lower
// revision.
func TestWatchRestarts(t *testing.T) {
	s := appendVersions(t, nil, "n-1")
	watching := func(t *testing.T) (*Core, basilmoor.Millis) {
		c := newTestCore(1, true)
		deliverFromPeer(t, c, 0, "b", s)
		require.Contains(t, c.Tick(0), Effect(ReadHead{}))
		require.Contains(t, c.HandleHeadRead(1, headEntry(s), nil), Effect(StartWatch{
			ID:       1,
			Revision: 1,
		}))
		return c, 1
	}
	tests := map[string]func(c *Core, now basilmoor.Millis) []Effect{
		"compacted": func(c *Core, now basilmoor.Millis) []Effect {
			c.HandleWatch(now, 1, nil, 0, &basilmoor.CompactedError{
				Revision: 9,
			})
			return c.Tick(now + 1)
		},
		"failed": func(c *Core, now basilmoor.Millis) []Effect {
			c.HandleWatch(now, 1, nil, 0, &basilmoor.UnavailableError{
				Err: errors.New("down"),
			})
			return c.Tick(now + retryInterval*3/2)
		},
		"restored to lower revision": func(c *Core, now basilmoor.Millis) []Effect {
			return c.Tick(now + headPollInterval*3/2)
		},
	}
	for name, event := range tests {
		t.Run(name, func(t *testing.T) {
			c, now := watching(t)
			require.Contains(t, event(c, now), Effect(ReadHead{}))
			entry := headEntry(s)
			entry.Revision = 0
			require.Contains(t, c.HandleHeadRead(now+50*basilmoor.Second, entry, nil), Effect(StartWatch{
				ID:       2,
				Revision: 0,
			}))
		})
	}
}
