package daemon

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The metrics page must list exactly the metrics in the code: a missing or obsolete entry
// misleads an on-call operator.
func TestMetricsPageListsEveryMetric(t *testing.T) {
	created := regexp.MustCompile("(?:New|GetOrCreate)(?:Counter|FloatCounter|Gauge|Histogram|Summary)\\((?:fmt\\.Sprintf\\()?[\"`](fennel_[a-z_]+)")
	var inCode []string
	for _, dir := range []string{"..", "../../platform"} {
		err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, m := range created.FindAllStringSubmatch(string(text), -1) {
				inCode = append(inCode, m[1])
			}
			return err
		})
		require.NoError(t, err)
	}
	page, err := os.ReadFile("../../docs/metrics.md")
	require.NoError(t, err)
	var onPage []string
	for _, m := range regexp.MustCompile("(?m)^\\| `(fennel_[a-z_]+)").FindAllStringSubmatch(string(page), -1) {
		onPage = append(onPage, m[1])
	}
	slices.Sort(inCode)
	slices.Sort(onPage)
	require.Greater(t, len(inCode), 40)
	require.Equal(t, slices.Compact(inCode), onPage)
}
