// Package doccheck checks that the pages under docs/ match the code.
package doccheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const root = "../.."

// TestInvariantsNameExistingTests checks that each test named as evidence on these pages
// exists.
func TestInvariantsNameExistingTests(t *testing.T) {
	defined := definedTests(t)
	for _, name := range []string{"invariants.md", "platform.md"} {
		page, err := os.ReadFile(filepath.Join(root, "docs", name))
		require.NoError(t, err)
		named := regexp.MustCompile("`((?:Test|Fuzz)[A-Za-z0-9_]+)`").FindAllStringSubmatch(string(page), -1)
		require.NotEmpty(t, named, name)
		for _, m := range named {
			require.Contains(t, defined, m[1], name)
		}
	}
}

func definedTests(t *testing.T) map[string]bool {
	t.Helper()
	defined := map[string]bool{}
	declaration := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Za-z0-9_]+)\(`)
	for _, dir := range []string{"internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, m := range declaration.FindAllStringSubmatch(string(text), -1) {
				defined[m[1]] = true
			}
			return err
		})
		require.NoError(t, err)
	}
	return defined
}

// TestPagesLinkToExistingFiles checks that the relative links of all pages lead to
// existing files.
func TestPagesLinkToExistingFiles(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	require.NoError(t, err)
	pages = append(pages, filepath.Join(root, "README.md"), filepath.Join(root, "CONTRIBUTING.md"), filepath.Join(root, "DEVELOPERS.md"))
	link := regexp.MustCompile(`\]\(([^)#]+)`)
	for _, page := range pages {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, m := range link.FindAllStringSubmatch(string(text), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
			require.NoError(t, err, "%s links to %s", page, m[1])
		}
	}
}
