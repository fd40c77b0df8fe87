package bmfollower

import (
	"bytes"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmcatalog"
)

// chain builds versions from note ids.
func chain(t *testing.T, from *bmcatalog.Snapshot, notes ...string) *bmcatalog.Snapshot {
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

func testCore(fleet int, watcher bool) *Core {
	return NewCore(Config{
		Host:          "a",
		IsWatcher:     func() bool { return watcher },
		FleetSize:     func() int { return fleet },
		HearsMajority: func() bool { return true },
	}, 0)
}

func fetched(t *testing.T, c *Core, now basilmoor.Millis, host string, s *bmcatalog.Snapshot) {
	head, parts, err := Fetch(s, nil)
	require.NoError(t, err)
	c.PeerFetched(now, host, head, parts, nil)
}

func stored(s *bmcatalog.Snapshot) basilmoor.Entry {
	return basilmoor.Entry{
		Key:      bmcatalog.HeadKey,
		Value:    s.HeadValue(),
		Version:  s.Version(),
		Revision: s.Version(),
	}
}

// Guards against heads that revert or replace what is in effect, and against
// rejections that nobody can see.
func TestRejections(t *testing.T) {
	base := chain(t, nil, "n-1")
	held := chain(t, base, "n-2")
	damaged := func(s *bmcatalog.Snapshot) ([]byte, []basilmoor.ConfigPart) {
		head, parts, err := Fetch(s, nil)
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
			offer: func(c *Core) { c.HeadRead(1, stored(base), nil) },
			count: "rejected.older",
			mode:  ModeStoreBehind,
		},
		"empty store": {
			offer: func(c *Core) { c.HeadRead(1, basilmoor.Entry{}, &basilmoor.NotFoundError{}) },
			count: "rejected.older",
			mode:  ModeStoreBehind,
		},
		"older head of a peer": {
			offer: func(c *Core) { fetched(t, c, 1, "b", base) },
			count: "peer-older",
			mode:  ModeCurrent,
		},
		"other note under the same version": {
			offer: func(c *Core) { c.HeadRead(1, stored(chain(t, base, "other")), nil) },
			count: "rejected.diverged",
			mode:  ModeDiverged,
		},
		"heartbeat with another note": {
			offer: func(c *Core) { c.RecordHeartbeat(1, "b", 2, "other") },
			count: "rejected.diverged",
			mode:  ModeDiverged,
		},
		"higher version of another lineage": {
			offer: func(c *Core) { fetched(t, c, 1, "b", chain(t, base, "other", "n-3")) },
			count: "rejected.diverged",
			mode:  ModeDiverged,
		},
		"damaged part": {
			offer: func(c *Core) {
				head, parts := damaged(chain(t, held, "n-3"))
				c.PeerFetched(1, "b", head, parts, nil)
			},
			count: "rejected.digest",
			mode:  ModeDiverged,
		},
		"head that is none": {
			offer: func(c *Core) { c.PeerFetched(1, "b", []byte("{}"), nil, nil) },
			count: "rejected.malformed",
			mode:  ModeDiverged,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := testCore(1, false)
			fetched(t, c, 0, "b", held)
			require.Equal(t, held.HeadValue(), c.Snapshot().HeadValue())
			tt.offer(c)
			require.Equal(t, held.HeadValue(), c.Snapshot().HeadValue())
			s := c.Status(1)
			require.Equal(t, tt.mode, s.Mode, "%+v", s)
			require.Equal(t, int64(1), s.Counts[tt.count], "%+v", s)
			fetched(t, c, 2, "b", chain(t, held, "n-3"))
			require.Equal(t, int64(3), c.Snapshot().Version())
		})
	}
}

// Guards against a host that serves although it can't know what is in effect,
// and against one that stops serving while it reaches the store or a peer.
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
			contact: func(c *Core, now basilmoor.Millis) { c.HeadRead(now, basilmoor.Entry{}, outage) },
		},
		"nothing answers": {
			fleet:    6,
			contact:  func(c *Core, now basilmoor.Millis) { c.HeadRead(now, basilmoor.Entry{}, outage) },
			isolated: true,
		},
		"peers only": {
			fleet:   6,
			contact: func(c *Core, now basilmoor.Millis) { c.RecordHeartbeat(now, "b", 0, "") },
		},
		"store only": {
			fleet:   6,
			contact: func(c *Core, now basilmoor.Millis) { c.HeadRead(now, basilmoor.Entry{}, &basilmoor.NotFoundError{}) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := testCore(tt.fleet, false)
			for now := basilmoor.Millis(0); now < isolationAfter; now += basilmoor.Second {
				require.False(t, c.Isolated(now))
				c.Tick(now)
				tt.contact(c, now)
			}
			// The last contact of a host that is cut off was its start.
			require.Equal(t, tt.isolated, c.Isolated(isolationAfter))
			require.Equal(t, tt.isolated, c.Status(isolationAfter).Mode == ModeIsolated)
		})
	}
}

// Guards against a host that serves an old version at its start because the
// store was set back, while its peers hold a later one.
func TestStartWaitsForPeers(t *testing.T) {
	base := chain(t, nil, "n-1")
	latest := chain(t, base, "n-2")
	c := testCore(6, false)
	c.Tick(0)
	effects := c.HeadRead(1, stored(base), nil)
	require.Len(t, effects, 1)
	part, err := base.Part(base.Digests()[0])
	require.NoError(t, err)
	c.PartsRead(2, base.HeadValue(), map[string][]byte{part.Digest: part.Value}, nil)
	require.Equal(t, int64(1), c.Held().Version())
	require.Nil(t, c.Snapshot())
	require.Contains(t, c.RecordHeartbeat(3, "b", 2, "n-2"), Effect(FetchPeer{
		Host: "b",
		Held: base.Digests(),
	}))
	require.Nil(t, c.Snapshot())
	_, err = c.Latest()
	var uninformed *UninformedError
	require.ErrorAs(t, err, &uninformed)
	fetched(t, c, 4, "b", latest)
	require.Equal(t, int64(2), c.Snapshot().Version())

	_, err = c.Latest()
	require.NoError(t, err)
	c.cfg.HearsMajority = func() bool { return false }
	_, err = c.Latest()
	require.ErrorAs(t, err, &uninformed, "hosts that are not heard may hold a higher version")

	// Without any heartbeat it serves what it has after a while.
	c = testCore(6, false)
	c.PartsRead(2, base.HeadValue(), map[string][]byte{part.Digest: part.Value}, nil)
	c.Tick(startupWait - 1)
	require.Nil(t, c.Snapshot())
	c.Tick(startupWait)
	require.NotNil(t, c.Snapshot())
}

// Guards against a watcher that stops watching after compacted history, a
// failed watch or a store whose revisions were set back.
func TestWatchGoesOn(t *testing.T) {
	s := chain(t, nil, "n-1")
	watching := func(t *testing.T) (*Core, basilmoor.Millis) {
		c := testCore(1, true)
		fetched(t, c, 0, "b", s)
		require.Contains(t, c.Tick(0), Effect(ReadHead{}))
		require.Contains(t, c.HeadRead(1, stored(s), nil), Effect(StartWatch{
			ID:       1,
			Revision: 1,
		}))
		return c, 1
	}
	tests := map[string]func(c *Core, now basilmoor.Millis) []Effect{
		"compacted": func(c *Core, now basilmoor.Millis) []Effect {
			c.Watched(now, 1, nil, 0, &basilmoor.CompactedError{
				Revision: 9,
			})
			return c.Tick(now + 1)
		},
		"failed": func(c *Core, now basilmoor.Millis) []Effect {
			c.Watched(now, 1, nil, 0, &basilmoor.UnavailableError{
				Err: errors.New("down"),
			})
			return c.Tick(now + retryInterval*3/2)
		},
		"set back": func(c *Core, now basilmoor.Millis) []Effect {
			return c.Tick(now + backstopInterval*3/2)
		},
	}
	for name, event := range tests {
		t.Run(name, func(t *testing.T) {
			c, now := watching(t)
			require.Contains(t, event(c, now), Effect(ReadHead{}))
			entry := stored(s)
			entry.Revision = 0
			require.Contains(t, c.HeadRead(now+50*basilmoor.Second, entry, nil), Effect(StartWatch{
				ID:       2,
				Revision: 0,
			}))
		})
	}
}
