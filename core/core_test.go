package core_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
)

// Checks every combination of two verdicts, in both orders.
func TestVerdictCombine(t *testing.T) {
	for _, tc := range []struct{ first, second, both core.Verdict }{
		{"", core.NotRun, core.NotRun},
		{core.NotRun, core.NotRun, core.NotRun},
		{core.NotRun, core.MayHaveRun, core.MayHaveRun},
		{core.NotRun, core.Ran, core.Ran},
		{core.MayHaveRun, core.MayHaveRun, core.MayHaveRun},
		{core.MayHaveRun, core.Ran, core.Ran},
		{core.Ran, core.Ran, core.Ran},
	} {
		require.Equal(t, tc.both, tc.first.Combine(tc.second))
		require.Equal(t, tc.both, tc.second.Combine(tc.first))
	}
}

// A verdict that cannot be parsed and an error without one must count as
// may-have-run.
func TestParseVerdict(t *testing.T) {
	require.Equal(t, core.NotRun, core.ParseVerdict("not-run"))
	require.Equal(t, core.MayHaveRun, core.ParseVerdict("no such verdict"))
	require.Equal(t, core.MayHaveRun, core.AsError(errors.New("plain")).Verdict)
	require.Equal(t, core.NotRun, core.AsError(errors.Wrap(core.Refuse(core.CodeFull, "full"), "outer")).Verdict)
}

// Removing a name must move only the keys that it owned.
func TestOwnerMovesOnlyOnMembershipChange(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	for at := range 200 {
		key := string(rune('A' + at))
		before := core.Owner(key, names)
		without := core.Owner(key, names[:3])
		if before != "d" {
			require.Equal(t, before, without)
		}
	}
	require.Empty(t, core.Owner("key", nil))
}

func TestLoopRunsInOrderAndStops(t *testing.T) {
	lo, stop := core.NewLoop(), make(chan struct{})
	go lo.Run(stop)
	var seen []int
	for at := range 100 {
		lo.Post(func() { seen = append(seen, at) })
	}
	require.True(t, lo.Do(func() { require.Len(t, seen, 100) }))
	require.IsIncreasing(t, seen)
	close(stop)
	<-lo.Done()
	require.False(t, lo.Do(func() {}))
}

// A function on the loop must not deadlock when it posts more functions than the
// queue holds.
func TestLoopTryPostFromLoop(t *testing.T) {
	lo := core.NewLoop()
	refused := 0
	lo.Post(func() {
		for range 5000 {
			if !lo.TryPost(func() {}) {
				refused++
			}
		}
	})
	stop := make(chan struct{})
	go lo.Run(stop)
	require.True(t, lo.Do(func() {}))
	close(stop)
	<-lo.Done()
	require.Positive(t, refused)
}

// A function that ran counts as run, also if the loop stopped right after it.
func TestDoWhileTheLoopStops(t *testing.T) {
	for range 500 {
		lo, stop := core.NewLoop(), make(chan struct{})
		go lo.Run(stop)
		ran := false
		did := lo.Do(func() {
			ran = true
			close(stop)
		})
		<-lo.Done()
		require.Equal(t, ran, did)
	}
}
