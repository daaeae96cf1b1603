package capacity_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/capacity"
)

// Somebody changes a slope or a formula and forgets the page, or corrects a
// figure in the page by hand. Whoever plans capacity then reads a figure that no
// measurement stands behind.
func TestPageHoldsTheGeneratedTables(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	for _, s := range capacity.Sections() {
		var want strings.Builder
		require.NoError(t, s.Write(&want))
		require.Equal(t, 1, strings.Count(string(page), want.String()),
			"docs/CAPACITY.md lacks the section %s; run go run ./cmd/fennel-capacity and take over:\n%s", s.Name, want.String())
	}
	require.Equal(t, len(capacity.Sections()), strings.Count(string(page), "<!-- begin "))
}

// A slope without a command would be a figure that nobody can check.
func TestEveryFigureHasItsCommand(t *testing.T) {
	for _, s := range capacity.Slopes() {
		require.Equal(t, s.Measured(), s.Value != 0, s.Name)
		require.Equal(t, s.Measured(), s.Date != "", s.Name)
	}
}
