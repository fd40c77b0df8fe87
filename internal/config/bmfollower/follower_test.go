package bmfollower

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/config/bmacceptance"
	"basilmoor.example/basilmoor/internal/config/bmconfigtest"
	"basilmoor.example/basilmoor/internal/config/bmnote"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

// Guards against a Follower that loses effects or results, that blocks on a store
// or peer that never responds, or that does not stop.
func TestFollowersEndToEnd(t *testing.T) {
	text, err := os.ReadFile("../../../docs/examples/first-note.yaml")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := bmconfigtest.NewStore()
	clock := bmclock.NewManual(0)
	acceptor := bmacceptance.New(store, time.Now, nil)
	_, err = acceptor.AcceptText(ctx, text, "ada")
	require.NoError(t, err)

	followers := make(map[string]*Follower)
	stopped := make(chan error, 2)
	for _, name := range []string{"watcher", "other"} {
		f := New(Options{
			Config: Config{
				Host:               name,
				IsWatcher:          func() bool { return name == "watcher" },
				FleetSize:          func() int { return 2 },
				HasMajorityContact: func() bool { return true },
			},
			Clock: clock,
			Store: store,
			Log:   zerolog.Nop(),
			Peer: func(host string) (basilmoor.ConfigPeer, bool) {
				if host == "silent" {
					return unresponsivePeer{}, true
				}
				return followers[host], followers[host] != nil
			},
		})
		followers[name] = f
	}
	for _, f := range followers {
		go func() { stopped <- f.Serve(ctx) }()
	}
	w, o := followers["watcher"], followers["other"]
	until := func(done func() bool) {
		for !done() {
			clock.Advance(tickInterval)
			w.RecordHeartbeat("other", o.Held().Version(), o.Held().NoteID())
			o.RecordHeartbeat("watcher", w.Held().Version(), w.Held().NoteID())
			time.Sleep(time.Millisecond) // lets the tasks run; the result does not depend on the duration
		}
	}
	until(func() bool { return w.Snapshot().Version() == 1 && o.Snapshot().Version() == 1 })
	c, ok := o.Catalog()
	require.True(t, ok)
	_, ok = c.WorkspaceByToken("seedleaf-kinston-demo")
	require.True(t, ok)

	o.RecordHeartbeat("silent", 9, "n-9") // reports a version but never delivers it
	n, err := bmnote.Parse([]byte("schema: 1\nnote: two\nchanged: {workspaces: [{name: seedleaf, weight: 9}]}\n"))
	require.NoError(t, err)
	_, err = acceptor.Accept(ctx, n, "ada")
	require.NoError(t, err)
	until(func() bool { return w.Snapshot().Version() == 2 && o.Snapshot().Version() == 2 })
	require.Equal(t, ModeLagging, o.Status().Mode)
	until(func() bool { return o.Status().Mode == ModeCurrent }) // once the silent peer has expired
	require.False(t, o.Isolated())
	latest, err := o.LatestVersion()
	require.NoError(t, err)
	require.Equal(t, int64(2), latest)

	cancel()
	require.ErrorIs(t, <-stopped, context.Canceled)
	require.ErrorIs(t, <-stopped, context.Canceled)
}

type unresponsivePeer struct{}

func (unresponsivePeer) Fetch(ctx context.Context, _ []string) ([]byte, []basilmoor.ConfigPart, error) {
	<-ctx.Done()
	return nil, nil, ctx.Err()
}
