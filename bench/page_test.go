package bench

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
)

// Guards against a page whose tables differ from those computed from the measurements.
func TestPageAgreesWithSlopes(t *testing.T) {
	text, err := os.ReadFile("../docs/CAPACITY.md")
	require.NoError(t, err)
	want, err := render(string(text), "../docs/capacity")
	require.NoError(t, err)
	require.Equal(t, want, string(text), "run: go run ./cmd/bilberrylab page")
}

// Guards against slopes that were edited by hand or are missing: each fit follows from
// its points, and each slope of the list was measured at four sizes or more.
func TestSlopesFollowFromPoints(t *testing.T) {
	fits, err := ReadSlopes("../docs/capacity/slopes.json")
	require.NoError(t, err)
	require.Len(t, fits, len(slopes))
	for at, fi := range fits {
		require.Equal(t, slopes[at].id, fi.ID)
		again := fit(slopes[at], fi.Points)
		require.InDelta(t, fi.Slope, again.Slope, 1e-9)
		sizes := map[float64]bool{}
		for _, po := range fi.Points {
			sizes[po.X] = true
		}
		require.GreaterOrEqual(t, len(sizes), 4, fi.ID)
	}
}

func TestCompareWithRunsCountsBrokenPromises(t *testing.T) {
	re := compareWithRuns([]check{
		{body: "once", verdicts: []core.Verdict{core.MayHaveRun, core.Ran}},
		{body: "twice", verdicts: []core.Verdict{core.Ran}},
		{body: "denied", verdicts: []core.Verdict{core.NotRun}},
		{body: "claimed", verdicts: []core.Verdict{core.Ran}},
		{body: "in doubt", verdicts: []core.Verdict{noAnswer}},
		{body: "not run", verdicts: []core.Verdict{core.NotRun}},
	}, map[string]int{"once": 1, "twice": 2, "denied": 1, "in doubt": 1})
	require.Equal(t, []int{1, 1, 1, 1, 1}, []int{re.Doubled, re.FalseNotRun, re.AnsweredWithoutRun, re.RanInDoubt, re.Resent})
}
