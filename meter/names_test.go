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

// inCode matches a metric name in the code. inTable matches a metric name in the first
// cell of a row of the table in OPERATIONS.md; a cell may list several.
var (
	inCode  = regexp.MustCompile("\\.(?:Count|Observe|Gauge|full)\\(\"([a-z-]+)\"")
	inTable = regexp.MustCompile("`([a-z-]+)`")
)

// The table of metrics in docs/OPERATIONS.md must list exactly the metrics of the code.
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
		require.True(t, listed[name], "%s uses the metric %s, which the table does not list", path, name)
	}
	for name := range listed {
		require.Contains(t, code, name, "the table lists a metric that the code does not use")
	}
}
