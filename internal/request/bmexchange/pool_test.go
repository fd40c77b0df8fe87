package bmexchange

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmclock"
)

// Guards against idle connections to targets that use up the descriptors of the host,
// and against a connection in use that is closed for a new one.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	const maxConns = 3
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	clock := bmclock.NewManual(0)
	p := newPool(clock, maxConns)
	defer p.close()
	get := func(target int) *conn {
		c, reused, err := p.get(context.Background(), basilmoor.Target{
			Name:    fmt.Sprint("t", target),
			Address: l.Addr().String(),
		})
		require.NoError(t, err)
		require.False(t, reused)
		clock.Advance(1)
		return c
	}
	requireCounts := func(inUse, idle int) {
		t.Helper()
		gotInUse, gotIdle := p.counts()
		require.Equal(t, []int{inUse, idle}, []int{gotInUse, gotIdle})
	}

	used, first, second := get(0), get(1), get(2)
	p.put(first, basilmoor.Minute)
	clock.Advance(1)
	p.put(second, basilmoor.Minute)
	requireCounts(1, 2)

	get(3)
	requireCounts(2, 1)
	_, err = first.Write([]byte("x"))
	require.ErrorIs(t, err, net.ErrClosed, "the longest idle one is closed")
	get(4)
	requireCounts(3, 0)
	get(5)
	requireCounts(4, 0)
	_, err = used.Write([]byte("x"))
	require.NoError(t, err, "none that is in use is closed")
	require.NoError(t, used.Close())
	_ = used.Close() // counted once
	requireCounts(3, 0)
}
