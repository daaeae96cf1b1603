package rules

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestDiffTouchesOnlyChangedLines(t *testing.T) {
	old := numberedLines(10_000)
	lines := strings.Split(old, "\n")
	lines[17] = "changed"
	lines = slices.Insert(lines, 5000, "one more", "and another")
	lines = slices.Delete(lines, 9000, 9003)
	edits := Diff(old, strings.Join(lines, "\n"))
	require.Equal(t, []Edit{
		{At: 17, Removed: 1, Added: []string{"changed"}},
		{At: 5000, Added: []string{"one more", "and another"}},
		{At: 9000, Removed: 3},
	}, edits)
	require.Nil(t, Diff(old, old))
}

func numberedLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "line %d\n", i)
	}
	return b.String()
}

// TestConcatenatedEditsApply applies the edits of several changes as one list, as a
// peer sends them.
func TestConcatenatedEditsApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", ""}), 0, 12)
		first := strings.Join(text.Draw(t, "first"), "\n")
		var all []Edit
		last := first
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			next := strings.Join(text.Draw(t, "next"), "\n")
			all = append(all, Diff(last, next)...)
			last = next
		}
		got, err := ApplyEdits(first, all)
		require.NoError(t, err)
		require.Equal(t, last, got)
	})
}

func TestDiffOfDistantTextsIsOneEdit(t *testing.T) {
	old, changed := numberedLines(3000), strings.ReplaceAll(numberedLines(3000), "line", "row")
	edits := Diff(old, changed)
	require.Len(t, edits, 1)
	got, err := ApplyEdits(old, edits)
	require.NoError(t, err)
	require.Equal(t, changed, got)
}

func TestApplyEditsRejectsOutOfRange(t *testing.T) {
	for _, e := range []Edit{{At: 3}, {At: -1}, {At: 1, Removed: 2}, {At: 0, Removed: -1}} {
		_, err := ApplyEdits("a\nb", []Edit{e})
		var edit *EditError
		require.ErrorAs(t, err, &edit)
		require.Equal(t, EditError{Edit: e, Lines: 2}, *edit)
	}
}

func FuzzDiff(f *testing.F) {
	f.Add("a\nb\nc", "a\nx\nc")
	f.Add("", "\n")
	f.Fuzz(func(t *testing.T, old, changed string) {
		got, err := ApplyEdits(old, Diff(old, changed))
		require.NoError(t, err)
		require.Equal(t, changed, got)
	})
}
