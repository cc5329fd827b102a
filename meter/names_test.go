package meter_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// inCode finds the names that the code uses, inTable those of a row of the
// table in OPERATIONS.md, whose first cell names one or more.
var (
	inCode  = regexp.MustCompile("\\.(?:Count|Observe|Gauge|full)\\(\"([a-z-]+)\"")
	inTable = regexp.MustCompile("`([a-z-]+)`")
)

// The table of metrics names what the code counts, and nothing else.
func TestTableOfMetrics(t *testing.T) {
	code := map[string]string{}
	require.NoError(t, filepath.WalkDir("..", func(path string, de fs.DirEntry, err error) error {
		if err != nil || de.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		for _, found := range inCode.FindAllSubmatch(raw, -1) {
			code[string(found[1])] = path
		}
		return err
	}))
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	_, part, found := strings.Cut(string(page), "\n## Metrics\n")
	require.True(t, found)
	part, _, _ = strings.Cut(part, "\n## ")
	listed := map[string]bool{}
	for _, row := range strings.Split(part, "\n") {
		if cells := strings.Split(row, "|"); len(cells) == 5 {
			for _, name := range inTable.FindAllStringSubmatch(cells[1], -1) {
				listed[name[1]] = true
			}
		}
	}
	require.Greater(t, len(code), 20)
	for name, path := range code {
		require.True(t, listed[name], "%s counts %s, which the table does not name", path, name)
	}
	for name := range listed {
		require.Contains(t, code, name, "the table names what nothing counts")
	}
}
