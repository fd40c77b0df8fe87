package bmmember

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"basilmoor.example/basilmoor"
)

// TestOwnerMovesOnlyItsKeys checks that a key moves only if its owner is
// removed, and that owners don't depend on the order of members.
func TestOwnerMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(t, "hosts")
		var members []basilmoor.Member
		for i := range n {
			members = append(members, basilmoor.Member{
				Host: fmt.Sprintf("host-%d", i),
			})
		}
		removed := rapid.IntRange(0, n-1).Draw(t, "gone")
		var remaining []basilmoor.Member
		for i := n - 1; i >= 0; i-- {
			if i != removed {
				remaining = append(remaining, members[i])
			}
		}
		for k := range 50 {
			key := fmt.Sprintf("key-%d", k)
			before, _ := Owner(key, members)
			after, _ := Owner(key, remaining)
			if before.Host != members[removed].Host {
				require.Equal(t, before.Host, after.Host)
			}
		}
	})
}

// TestOwnerSpread checks that no host of 9 owns more than twice its share.
func TestOwnerSpread(t *testing.T) {
	_, ok := Owner("key", nil)
	require.False(t, ok)
	var members []basilmoor.Member
	for i := range 9 {
		members = append(members, basilmoor.Member{
			Host: fmt.Sprintf("10.0.0.%d", i),
		})
	}
	owned := make(map[string]int)
	for k := range 9000 {
		m, _ := Owner(fmt.Sprintf("pool/%d", k), members)
		owned[m.Host]++
	}
	for host, n := range owned {
		require.Less(t, n, 2000, host)
	}
	require.Len(t, owned, 9)
}

// TestRingOffsetsReachEveryHost checks that any two hosts on the ring are at
// most two hops apart, and that a full mesh covers every pair.
func TestRingOffsetsReachEveryHost(t *testing.T) {
	for n := 2; n <= 200; n++ {
		reach := map[int]bool{0: true}
		steps := []int{0}
		for _, o := range ringOffsets(n, false) {
			steps = append(steps, o, n-o)
		}
		for _, a := range steps {
			for _, b := range steps {
				reach[(a+b)%n] = true
			}
		}
		require.Len(t, reach, n, "hosts %d", n)
		require.Len(t, ringOffsets(n, true), n/2)
	}
}
