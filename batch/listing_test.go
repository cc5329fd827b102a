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
		pr   batch.Progress
		want bool
	}{
		{"the last required group ends soon", batch.Progress{Remaining: []time.Duration{0, late, soon}, Required: 2}, true},
		{"the last required group is complete", batch.Progress{Remaining: []time.Duration{0, late, 0}, Required: 2}, false},
		{"the last required group ends too late", batch.Progress{Remaining: []time.Duration{0, late, soon}, Required: 3}, false},
		{"the last required group may never end", batch.Progress{Remaining: []time.Duration{batch.NoBound, 0}, Required: 2}, false},
		{"the first result has waited for too long", batch.Progress{Remaining: []time.Duration{0, soon}, Required: 2, Waited: batch.MaxResultWait - soon + 1}, false},
		{"a job without groups", batch.Progress{Remaining: []time.Duration{soon}}, false},
		{"more groups are required than there are", batch.Progress{Remaining: []time.Duration{soon}, Required: 2}, false},
	} {
		t.Run(tc.name, func(t *testing.T) { require.Equal(t, tc.want, tc.pr.ShouldWait()) })
	}
}

// stepEnds holds, for each step of quiet-1 of tnc-rollout, when its last items were
// decided, in ms after the submission.
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

// trainerDone returns when a trainer has all results, given when they are listed
// and when it polls first. It polls each half second and sends a request unless one
// is in flight. A request is answered by the next listing, at most after a second.
func trainerDone(listed []time.Duration, first time.Duration) time.Duration {
	const pollInterval, requestTimeout = 500 * time.Millisecond, time.Second
	read, requestedAt := 0, time.Duration(-1)
	for now := first; ; now += pollInterval {
		if requestedAt >= 0 {
			at := requestedAt
			if read >= len(listed) || listed[read] > requestedAt {
				at = requestedAt + requestTimeout
				if read < len(listed) {
					at = min(at, listed[read])
				}
			}
			if at < now {
				for read < len(listed) && listed[read] <= at {
					read++
				}
				requestedAt = -1
			}
		}
		if read == len(listed) {
			return now
		}
		if requestedAt < 0 {
			requestedAt = now
		}
	}
}

// Guards against last results that are listed one by one, which delays the trainer
// by a poll. Compares when it has the whole step with and without ShouldWait.
func TestReplayLastResults(t *testing.T) {
	const writeInterval, steps = 40 * time.Millisecond, 50
	replay := func(together bool) time.Duration {
		var sum time.Duration
		for _, at := range stepEnds {
			for offset := range time.Duration(steps) {
				step := make([]time.Duration, len(at))
				for i := range at {
					step[i] = at[i] * time.Millisecond
				}
				sum += trainerDone(listings(step, together, writeInterval), 310*time.Millisecond+offset*10*time.Millisecond) - step[len(step)-1]
			}
		}
		return sum / time.Duration(len(stepEnds)*steps)
	}
	with, without := replay(true), replay(false)
	t.Logf("the trainer has the step after: together %v, one by one %v", with, without)
	require.Less(t, with, without-100*time.Millisecond, "a fifth of a poll interval is saved")
}

// listings returns when each result is listed. The bounds of the remaining times are
// exact, as for the longest items of a step, which end when they reach the bound.
func listings(ends []time.Duration, together bool, writeInterval time.Duration) []time.Duration {
	out := slices.Clone(ends)
	last := ends[len(ends)-1]
	for at, end := range ends {
		for now := end; now < last; now += writeInterval {
			left := make([]time.Duration, len(ends))
			for i := range ends {
				left[i] = max(ends[i]-now, 0)
			}
			pr := batch.Progress{Remaining: left, Required: len(left), Waited: now - end}
			if !together || !pr.ShouldWait() {
				break
			}
			out[at] = min(now+writeInterval, last)
		}
	}
	return out
}
