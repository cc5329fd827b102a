package sample_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/sample"
)

var start = time.Unix(1000, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func newStep(slots int) *sample.Step {
	sp := sample.Spec{Trainer: "t", Step: "s", Service: "lm", GroupSize: 1, MaxTokens: 10, Staleness: 1, Version: 3}
	for nu := range slots {
		sp.Prompts = append(sp.Prompts, fmt.Sprint("p", nu))
	}
	return sample.NewStep(sp)
}

func newSample(version uint64, tokens int) sample.Sample {
	return sample.Sample{Text: "x", Segments: []sample.Segment{{Version: version, Tokens: tokens}}}
}

// A slow run gets an extra run and a long run at normal speed does not. An extra
// run that could not be placed must not use up the budget.
func TestExtraRuns(t *testing.T) {
	st := newStep(20)
	st.ExtraShare, st.ExtraAfter = 0.05, 1
	jobs := st.NextJobs(start)
	require.Len(t, jobs, 20)
	for _, jo := range jobs[:18] {
		st.Finished(at(10), jo, newSample(3, 100), true)
	}
	st.Progress(jobs[18], 300) // long, at ten tokens a second
	st.Progress(jobs[19], 60)  // slow, at two
	for range 3 {
		extra := st.NextJobs(at(30))
		require.Len(t, extra, 1)
		require.Equal(t, jobs[19].Slot, extra[0].Slot)
		require.True(t, extra[0].Extra)
		st.Failed(at(30), extra[0], 0)
	}
	require.Zero(t, st.Counts().Extra)
	require.Len(t, st.NextJobs(at(31)), 1)
	require.Empty(t, st.NextJobs(at(32)), "the budget is one")
}

// A sample that is too old, in doubt or without a version must not be delivered;
// its slot is generated again under another key.
func TestOldAndInDoubtSamplesAreRegenerated(t *testing.T) {
	for name, sa := range map[string]struct {
		sample  sample.Sample
		certain bool
	}{
		"too old":         {newSample(1, 5), true},
		"in doubt":        {newSample(3, 5), false},
		"without version": {sample.Sample{Text: "x"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			st := newStep(1)
			jo := st.NextJobs(start)[0]
			require.Equal(t, uint64(2), jo.MinVersion)
			st.Finished(at(1), jo, sa.sample, sa.certain)
			tr, _, er := st.Take(sample.Take{Version: 3, Have: []sample.Slot{}})
			require.Nil(t, er)
			require.Empty(t, tr.Samples)
			again := st.NextJobs(at(2))
			require.Len(t, again, 1)
			require.NotEqual(t, st.Spec.Key(jo), st.Spec.Key(again[0]), "another run has another key")
			counts := st.Counts()
			require.Equal(t, 1, counts.TooOld+counts.InDoubt)
		})
	}
}

// A take with an unknown token must be refused unless it lists the slots that the
// trainer has.
func TestUnknownToken(t *testing.T) {
	st := newStep(2)
	_, _, er := st.Take(sample.Take{Token: "of another owner", Version: 3})
	require.Equal(t, core.CodeConflict, er.Code)
	tr, _, er := st.Take(sample.Take{Token: "of another owner", Version: 3, Have: []sample.Slot{{Group: 1}}})
	require.Nil(t, er)
	require.Equal(t, 1, tr.Remaining)
}

// Extra runs count towards the window like first runs.
func TestExtraRunsWithinWindow(t *testing.T) {
	const window = 10
	st := sample.NewStep(sample.Spec{Trainer: "t", Step: "s", Prompts: []string{"p"}, GroupSize: 20, MaxTokens: 8, Version: 1})
	st.Window, st.ExtraShare, st.ExtraAfter = window, 1, 1.5
	now := time.Unix(0, 0)
	first := st.NextJobs(now)
	require.Len(t, first, window)
	now = now.Add(time.Second)
	for _, jo := range first {
		st.Finished(now, jo, sample.Sample{Text: "x", Segments: []sample.Segment{{Version: 1, Tokens: 8}}}, true)
	}
	require.Len(t, st.NextJobs(now), window)
	now = now.Add(time.Minute) // all are stragglers
	require.Empty(t, st.NextJobs(now))
	require.Equal(t, window, st.Running())
}

func ExampleStep() {
	st := sample.NewStep(sample.Spec{
		Trainer: "chemists", Step: "s-1", Service: "blend-lm", Prompts: []string{"cyan"}, GroupSize: 2,
		MaxTokens: 8, Staleness: 1, Version: 4,
	})
	now := time.Unix(0, 0)
	for _, jo := range st.NextJobs(now) {
		st.Finished(now, jo, sample.Sample{Text: "blend", Segments: []sample.Segment{{Version: 3, Tokens: 8}}}, true)
	}
	tr, _, _ := st.Take(sample.Take{Version: 4})
	fmt.Println(len(tr.Samples), tr.Remaining)
	_, released, _ := st.Take(sample.Take{Token: tr.Token, Version: 4})
	fmt.Println(len(released), st.Complete())
	// Output:
	// 2 2
	// 2 true
}
