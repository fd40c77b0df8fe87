package bmstandinstore

import (
	"maps"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Checks that restore yields the state that the store had at that revision, and
// that replaying the events of a watch yields the current state.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState(rapid.IntRange(1, 20).Draw(t, "limit"))
		recordsAt := map[int64]map[string]record{
			0: {},
		}
		keys := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				s.put(keys.Draw(t, "key"), []byte(strconv.FormatInt(s.revision, 10)), "")
				recordsAt[s.revision] = maps.Clone(s.records)
			},
			"remove": func(t *rapid.T) {
				key := keys.Draw(t, "key")
				if _, ok := s.records[key]; ok {
					s.deleteKey(key)
					recordsAt[s.revision] = maps.Clone(s.records)
				}
			},
			"restore": func(t *rapid.T) {
				to := rapid.Int64Range(0, s.revision).Draw(t, "revision")
				require.Equal(t, to >= s.compacted, s.restore(to))
			},
			"": func(t *rapid.T) {
				require.Equal(t, recordsAt[s.revision], s.records)
				from := rapid.Int64Range(s.compacted, s.revision).Draw(t, "after")
				replayed := maps.Clone(recordsAt[from])
				for _, c := range s.changes("", from) {
					replayed[c.key] = c.after
					if c.deleted {
						delete(replayed, c.key)
					}
				}
				require.Equal(t, s.records, replayed)
			},
		})
	})
}
