package bmentry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Requests without an estimate must not be scheduled with their declared bound,
// which is ten times the usual length: they would be rejected as too long and
// leave slow targets idle.
func TestExpectedLength(t *testing.T) {
	e := newOutputEstimator()
	without := RequestInfo{OutputTokens: 1200}
	require.Equal(t, 1200, e.estimate("r", without), "without observations the bound applies")
	for range 50 {
		e.observe("r", 100)
	}
	require.Equal(t, 100, e.estimate("r", without))
	require.Equal(t, 60, e.estimate("r", RequestInfo{OutputTokens: 60}), "the estimate exceeds the bound")
	require.Equal(t, 300, e.estimate("r", RequestInfo{OutputTokens: 1200, ExpectedTokens: 300}), "the caller's estimate was ignored")
	require.Equal(t, 1200, e.estimate("other", without))
	e.observe("r", 2000)
	require.Less(t, e.estimate("r", without), 250, "one long response moved the average too far")
}

// Memory must not grow with the number of routes that were ever configured.
func TestExpectationsAreBounded(t *testing.T) {
	e := newOutputEstimator()
	for i := range 2 * maxEstimatedRoutes {
		e.observe(string(rune(i)), 1)
	}
	require.LessOrEqual(t, len(e.meanTokens), maxEstimatedRoutes)
}
