package bmnode

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor/internal/core/bmclock"
	"basilmoor.example/basilmoor/internal/platform/bmhostlist"
)

// Guards against a sign that a target leaves that is lost, and against a
// restarted target that is never used again.
func TestLeavingMarks(t *testing.T) {
	clock := bmclock.NewManual(0)
	m := newLeavingMarks(clock, nil, zerolog.Nop())
	m.replace([]bmhostlist.Target{
		{
			Name:    "listed",
			Leaving: true,
		},
		{
			Name: "staying",
		},
	})
	m.answer("answered")
	require.True(t, m.leaving("listed"))
	require.True(t, m.leaving("answered"))
	require.False(t, m.leaving("staying"))
	require.Equal(t, []string{"answered"}, m.excluded())

	clock.Advance(answerMarkFor - 1)
	require.True(t, m.leaving("answered"))
	clock.Advance(1)
	require.False(t, m.leaving("answered"))
	require.Empty(t, m.excluded())
	require.True(t, m.leaving("listed"), "the list's mark lasts until the list changes")
	m.replace(nil)
	require.False(t, m.leaving("listed"))
}
