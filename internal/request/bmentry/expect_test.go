package bmentry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against requests without an estimate that count as long as their
// bound, ten times what they need: they would be refused as too long, and keep
// slow targets idle.
func TestExpectedLength(t *testing.T) {
	e := newExpectations()
	without := Attempt{OutputTokens: 1200}
	require.Equal(t, 1200, e.expect("r", without), "nothing known")
	for range 50 {
		e.learn("r", 100)
	}
	require.Equal(t, 100, e.expect("r", without))
	require.Equal(t, 60, e.expect("r", Attempt{OutputTokens: 60}), "never above the bound")
	require.Equal(t, 300, e.expect("r", Attempt{OutputTokens: 1200, ExpectedTokens: 300}), "the caller knows better")
	require.Equal(t, 1200, e.expect("other", without))
	e.learn("r", 2000)
	require.Less(t, e.expect("r", without), 250, "one long response says little")
}

// Guards against a memory that grows with the operators' routes.
func TestExpectationsAreBounded(t *testing.T) {
	e := newExpectations()
	for i := range 2 * maxExpectations {
		e.learn(string(rune(i)), 1)
	}
	require.LessOrEqual(t, len(e.tokens), maxExpectations)
}
