package bmfair

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// play offers, every 10 ms from a time to another, each workspace's rate in slots, and
// returns the fraction of each workspace's demands that is within its share.
func play(s *Shares, from, to basilmoor.Millis, room float64, rates map[string]float64) map[string]float64 {
	within := map[string]float64{}
	for now := from; now < to; now += 10 {
		for name, rate := range rates {
			if s.Offer(now, 2, name, 10*rate, func() float64 { return room }) {
				within[name] += 10 / float64(to-from)
			}
		}
	}
	return within
}

// Guards against a workspace in a peak that takes the room of the others of its tier, and
// against shares that bind while there is room for all.
func TestShares(t *testing.T) {
	tests := map[string]struct {
		room   float64
		rates  map[string]float64
		within map[string]float64
	}{
		"room for all": {
			room:   100,
			rates:  map[string]float64{"hot": 80, "a": 10, "b": 9},
			within: map[string]float64{"hot": 1, "a": 1, "b": 1},
		},
		"one hot workspace": {
			room:   50,
			rates:  map[string]float64{"hot": 80, "a": 10, "b": 10},
			within: map[string]float64{"hot": 30.0 / 80, "a": 1, "b": 1},
		},
		"all ask for more than there is": {
			room:   30,
			rates:  map[string]float64{"hot": 80, "a": 20, "b": 20},
			within: map[string]float64{"hot": 10.0 / 80, "a": 0.5, "b": 0.5},
		},
		"a single workspace": {
			room:   30,
			rates:  map[string]float64{"hot": 60},
			within: map[string]float64{"hot": 0.5},
		},
		"no room": {
			room:   0,
			rates:  map[string]float64{"hot": 10, "a": 1},
			within: map[string]float64{"hot": 0, "a": 0},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := New()
			play(s, 0, 20*basilmoor.Second, tt.room, tt.rates)
			within := play(s, 20*basilmoor.Second, 40*basilmoor.Second, tt.room, tt.rates)
			for name, want := range tt.within {
				require.InDelta(t, want, within[name], 0.05, name)
			}
		})
	}
}

// Guards against shares that are wrong after their owner was lost or paused: for demand that
// nobody has seen, or for that of long ago.
func TestSharesAfterFaults(t *testing.T) {
	rates := map[string]float64{"hot": 80, "a": 10}
	room := func() float64 { return 30 }
	s := New()
	play(s, 0, 10*basilmoor.Second, 30, rates)
	require.Less(t, play(s, 10*basilmoor.Second, 11*basilmoor.Second, 30, rates)["hot"], 0.4)
	t.Run("restart, new broker", func(t *testing.T) {
		require.True(t, New().Offer(11*basilmoor.Second, 2, "hot", 10, room))
	})
	t.Run("cut-off host", func(t *testing.T) {
		// It has a part of the slots and sees as large a part of the demand.
		s := New()
		play(s, 0, 10*basilmoor.Second, 3, map[string]float64{"hot": 8, "a": 1})
		within := play(s, 10*basilmoor.Second, 20*basilmoor.Second, 3, map[string]float64{"hot": 8, "a": 1})
		require.InDelta(t, 0.25, within["hot"], 0.05)
		require.InDelta(t, 1, within["a"], 0.05)
	})
	t.Run("paused owner", func(t *testing.T) {
		require.True(t, s.Offer(60*basilmoor.Second, 2, "hot", 10, room))
		require.Equal(t, math.Inf(1), s.tiers[2].level)
		require.Len(t, s.tiers[2].workspaces, 1, "workspaces without demand are forgotten")
	})
}
