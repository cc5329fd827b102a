package batch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/batch"
)

func TestShouldWait(t *testing.T) {
	const soon, late = 300 * time.Millisecond, 2 * time.Second
	for _, tc := range []struct {
		name string
		ou   batch.Progress
		want bool
	}{
		{"the last wanted group ends soon", batch.Progress{Remaining: []time.Duration{0, late, soon}, Required: 2}, true},
		{"it is whole", batch.Progress{Remaining: []time.Duration{0, late, 0}, Required: 2}, false},
		{"it ends too late", batch.Progress{Remaining: []time.Duration{0, late, soon}, Required: 3}, false},
		{"it may never end", batch.Progress{Remaining: []time.Duration{batch.NoBound, 0}, Required: 2}, false},
		{"the first result has waited for long", batch.Progress{Remaining: []time.Duration{0, soon}, Required: 2, Waited: batch.MaxResultWait - soon + 1}, false},
		{"a job without groups", batch.Progress{Remaining: []time.Duration{soon}}, false},
		{"more groups are wanted than there are", batch.Progress{Remaining: []time.Duration{soon}, Required: 2}, false},
	} {
		t.Run(tc.name, func(t *testing.T) { require.Equal(t, tc.want, tc.ou.ShouldWait()) })
	}
}

// stepEnds are when the last items of steps were decided, after their submission:
// quiet-1 of tnc-rollout, one line a step.
var stepEnds = [][]time.Duration{
	{6580, 7650, 7800},
	{7610, 7700, 7870},
	{7760, 8010, 8340},
	{7340, 7410, 7560},
	{4350, 7450, 7470},
	{4410, 7500, 7560},
	{7610, 7640, 7680},
	{6370, 6920},
	{3470, 7430, 7710},
	{6660, 7750},
	{7600, 7600, 7640},
}

// trainerDone is when a trainer that looks each half second from a first look on has
// all results, given when they are listed. A look asks for more unless one
// question is open; an open one is answered by the next listing, within a second.
func trainerDone(listed []time.Duration, first time.Duration) time.Duration {
	const look, open = 500 * time.Millisecond, time.Second
	read, asked := 0, time.Duration(-1)
	for now := first; ; now += look {
		if asked >= 0 {
			at := asked
			if read >= len(listed) || listed[read] > asked {
				at = asked + open
				if read < len(listed) {
					at = min(at, listed[read])
				}
			}
			if at < now {
				for read < len(listed) && listed[read] <= at {
					read++
				}
				asked = -1
			}
		}
		if read == len(listed) {
			return now
		}
		if asked < 0 {
			asked = now
		}
	}
}

// TestReplayLastResults compares when trainers have a step, with results that
// are listed one by one and with the last ones together.
func TestReplayLastResults(t *testing.T) {
	const gather, steps = 40 * time.Millisecond, 50
	replay := func(together bool) time.Duration {
		var sum time.Duration
		for _, at := range stepEnds {
			for offset := range time.Duration(steps) {
				step := make([]time.Duration, len(at))
				for i := range at {
					step[i] = at[i] * time.Millisecond
				}
				sum += trainerDone(listings(step, together, gather), 310*time.Millisecond+offset*10*time.Millisecond) - step[len(step)-1]
			}
		}
		return sum / time.Duration(len(stepEnds)*steps)
	}
	with, without := replay(true), replay(false)
	t.Logf("the trainer has the step after: together %v, one by one %v", with, without)
	require.Less(t, with, without-100*time.Millisecond, "a fifth of a look is saved")
}

// listings tells when each result is listed. The bound of an item is known: the
// longest ones end when they reach it.
func listings(ends []time.Duration, together bool, gather time.Duration) []time.Duration {
	out := slices.Clone(ends)
	last := ends[len(ends)-1]
	for at, end := range ends {
		for now := end; now < last; now += gather {
			left := make([]time.Duration, len(ends))
			for i := range ends {
				left[i] = max(ends[i]-now, 0)
			}
			ou := batch.Progress{Remaining: left, Required: len(left), Waited: now - end}
			if !together || !ou.ShouldWait() {
				break
			}
			out[at] = min(now+gather, last)
		}
	}
	return out
}
