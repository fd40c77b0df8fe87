package bmsettings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an operations page whose table of settings differs from the
// settings of the program. UPDATE_PAGES=1 rewrites the table.
func TestOperationsPageListsSettings(t *testing.T) {
	const (
		start = "a test compares them -->\n"
		end   = "<!-- end of settings -->"
	)
	path := filepath.Join("..", "..", "..", "docs", "node-operations.md")
	page, err := os.ReadFile(path)
	require.NoError(t, err)
	head, rest, found := strings.Cut(string(page), start)
	require.True(t, found)
	_, tail, found := strings.Cut(rest, end)
	require.True(t, found)
	s, _ := NewNodeSet()
	want := head + start + s.Table() + end + tail
	if os.Getenv("UPDATE_PAGES") == "1" {
		require.NoError(t, os.WriteFile(path, []byte(want), 0o644))
		return
	}
	require.Equal(t, want, string(page))
}
