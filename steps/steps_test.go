package steps_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/steps"
)

const recorded = `at=2026-01-01T00:00:00Z node=a msg="job submitted" id=j1 step=3 items=3 groups=2 err=null
 12.5 b at=2026-01-01T00:00:00.5Z node=b msg="run begun" job=j1 id=i1 engine=e1 after=0 pace=40ms
at=2026-01-01T00:00:01Z node=b msg="run begun" job=j1 id=i2 engine=e2 after=0 pace=50ms
at=2026-01-01T00:00:02.5Z node=b msg="run moved" job=j1 id=i1 engine=e1 why=slow events=40
at=2026-01-01T00:00:02.6Z node=b msg="run begun" job=j1 id=i1 engine=e2 after=40 pace=0s
at=2026-01-01T00:00:03Z node=b msg="item errored" job=j1 id=i2 events=3 why="never"
at=2026-01-01T00:00:05Z node=b msg="item completed" job=j1 id=i1 events=90 scored-for=100ms runs=2
at=2026-01-01T00:00:05.4Z node=a msg="job ended" id=j1 listed=2 total=3
at=2026-01-01T00:00:06Z node=b msg="item completed" job=j1 id=i3 events=200 scored-for=1s
at=2026-01-01T00:00:07Z node=a msg="job submitted" id=j2 step=4 items=1 err="store down"
not a line of ours at= msg="run begun" job=j1
`

// The parts of the last item's time add up to the time of the step. Items decided after the
// trainer's end, and submissions that failed, do not count.
func TestAccount(t *testing.T) {
	var re steps.Recording
	half := strings.Index(recorded, "at=2026-01-01T00:00:03Z")
	require.NoError(t, re.Read(strings.NewReader(recorded[half:])), "the logs of processes come in any order")
	require.NoError(t, re.Read(strings.NewReader(recorded[:half])))
	all := steps.Account(&re)
	require.Len(t, all, 1)
	st := all[0]
	require.Equal(t, steps.Step{
		Job: "j1", Number: 3, Submitted: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), Ended: 5400 * time.Millisecond, Items: 3, Decided: 2,
		LastBegun: time.Second, Moves: map[string]int{"slow": 1}, Errored: 1,
		Last: steps.Item{
			ID: "i1", Events: 90, Runs: 2, Done: 5 * time.Second, Waiting: 500 * time.Millisecond, Alone: 3600 * time.Millisecond,
			Moving: 100 * time.Millisecond, Slowed: 700 * time.Millisecond, Scoring: 100 * time.Millisecond,
		},
	}, st)
	require.Equal(t, 400*time.Millisecond, st.Seen())
	la := st.Last
	require.Equal(t, st.Ended, la.Waiting+la.Alone+la.Moving+la.Slowed+la.Scoring+st.Seen())
}

func TestEmptyRecording(t *testing.T) {
	var re steps.Recording
	require.NoError(t, re.Read(strings.NewReader("")))
	require.Empty(t, steps.Account(&re))
}
