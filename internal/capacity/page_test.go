package capacity_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/capacity"
)

// Guards against a page that differs from the computation, after a slope or formula was
// changed without the page or a figure in the page was edited by hand.
func TestPageMatchesGeneratedTables(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	for _, s := range capacity.Sections() {
		var want strings.Builder
		require.NoError(t, s.Write(&want))
		require.Equal(t, 1, strings.Count(string(page), want.String()),
			"docs/CAPACITY.md does not contain the section %s exactly once; replace it with this output of go run ./cmd/fennel-capacity:\n%s", s.Name, want.String())
	}
	require.Equal(t, len(capacity.Sections()), strings.Count(string(page), "<!-- begin "))
}

// Guards against a slope whose value can't be reproduced, since its command or date is missing.
func TestMeasuredSlopesHaveCommandAndDate(t *testing.T) {
	for _, s := range capacity.Slopes() {
		require.Equal(t, s.Measured(), s.Value != 0, s.Name)
		require.Equal(t, s.Measured(), s.Date != "", s.Name)
	}
}
