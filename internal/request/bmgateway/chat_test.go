package bmgateway

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

// Checks that no chat body makes parseChat panic or return token estimates or
// prefix digests out of bounds.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(chatRequest))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a b"}]}],"max_completion_tokens":5,"stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[{"content":null}],"max_tokens":0}`))
	f.Add([]byte(`{"model":"m","messages":[{"content":"` + strings.Repeat("w ", 65) + `"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := parseChat(body)
		if err != nil {
			return
		}
		require.NotEmpty(t, c.model)
		require.GreaterOrEqual(t, c.outputTokens, 0)
		require.LessOrEqual(t, c.promptTokens, len(body))
		require.Len(t, c.prefixDigests, min(c.promptTokens/basilmoor.PrefixBlockTokens, maxPrefixDigests))
	})
}

// Checks that prompts with a common prefix have the same digests for it, and that
// different prompts, also those that differ only in word boundaries, have
// different digests.
func TestPrefixDigests(t *testing.T) {
	digests := func(words ...string) []uint64 {
		content, err := json.Marshal(strings.Join(words, " "))
		require.NoError(t, err)
		c, err := parseChat([]byte(`{"model":"m","messages":[{"role":"user","content":` + string(content) + `}]}`))
		require.NoError(t, err)
		return c.prefixDigests
	}
	shared := strings.Fields(strings.Repeat("a b ", 100))
	one, other := digests(append(shared, "x")...), digests(append(shared, strings.Fields(strings.Repeat("y ", 100))...)...)
	require.Len(t, one, 3)
	require.Len(t, other, 4)
	require.Equal(t, one, other[:3])
	require.NotEqual(t, one[0], digests(append([]string{"z"}, shared...)...)[0])
	require.NotEqual(t, digests(append([]string{"ab", "c"}, shared...)...)[0], digests(append([]string{"a", "bc"}, shared...)...)[0])
}
