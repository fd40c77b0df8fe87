package bmstandinstore

import (
	"maps"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a restoration that yields another state than the store had,
// and against a watch whose events do not lead to the state of the store.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState(rapid.IntRange(1, 20).Draw(t, "limit"))
		past := map[int64]map[string]record{
			0: {},
		}
		keys := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				s.put(keys.Draw(t, "key"), []byte(strconv.FormatInt(s.revision, 10)), "")
				past[s.revision] = maps.Clone(s.records)
			},
			"remove": func(t *rapid.T) {
				key := keys.Draw(t, "key")
				if _, ok := s.records[key]; ok {
					s.remove(key)
					past[s.revision] = maps.Clone(s.records)
				}
			},
			"restore": func(t *rapid.T) {
				to := rapid.Int64Range(0, s.revision).Draw(t, "revision")
				require.Equal(t, to >= s.compacted, s.restore(to))
			},
			"": func(t *rapid.T) {
				require.Equal(t, past[s.revision], s.records)
				from := rapid.Int64Range(s.compacted, s.revision).Draw(t, "after")
				replayed := maps.Clone(past[from])
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
