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

func stepOf(slots int) *sample.Step {
	sp := sample.Spec{Trainer: "t", Step: "s", Service: "lm", GroupSize: 1, MaxTokens: 10, Staleness: 1, Version: 3}
	for nu := range slots {
		sp.Prompts = append(sp.Prompts, fmt.Sprint("p", nu))
	}
	return sample.NewStep(sp)
}

func made(version uint64, tokens int) sample.Sample {
	return sample.Sample{Text: "x", Segments: []sample.Segment{{Version: version, Tokens: tokens}}}
}

// A slow run gets a second one; a long answer at the ordinary speed does not;
// a second run that found no place does not count against the budget.
func TestExtraRuns(t *testing.T) {
	st := stepOf(20)
	st.ExtraShare, st.ExtraAfter = 0.05, 1
	jobs := st.NextJobs(start)
	require.Len(t, jobs, 20)
	for _, jo := range jobs[:18] {
		st.Finished(at(10), jo, made(3, 100), true)
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

// A sample that is too old or in doubt is not handed over but made again.
func TestOldAndInDoubtSamplesAreRegenerated(t *testing.T) {
	for name, sa := range map[string]struct {
		sample  sample.Sample
		certain bool
	}{
		"too old":         {made(1, 5), true},
		"in doubt":        {made(3, 5), false},
		"without version": {sample.Sample{Text: "x"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			st := stepOf(1)
			jo := st.NextJobs(start)[0]
			require.Equal(t, uint64(2), jo.MinVersion)
			st.Finished(at(1), jo, sa.sample, sa.certain)
			gi, _, er := st.Take(sample.Take{Version: 3, Have: []sample.Slot{}})
			require.Nil(t, er)
			require.Empty(t, gi.Samples)
			again := st.NextJobs(at(2))
			require.Len(t, again, 1)
			require.NotEqual(t, st.Spec.Key(jo), st.Spec.Key(again[0]), "another run has another key")
			counts := st.Counts()
			require.Equal(t, 1, counts.TooOld+counts.InDoubt)
		})
	}
}

// A token that nobody knows is refused unless the trainer says what it has.
func TestUnknownToken(t *testing.T) {
	st := stepOf(2)
	_, _, er := st.Take(sample.Take{Token: "of another owner", Version: 3})
	require.Equal(t, core.CodeConflict, er.Code)
	gi, _, er := st.Take(sample.Take{Token: "of another owner", Version: 3, Have: []sample.Slot{{Group: 1}}})
	require.Nil(t, er)
	require.Equal(t, 1, gi.Remaining)
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
	gi, _, _ := st.Take(sample.Take{Version: 4})
	fmt.Println(len(gi.Samples), gi.Remaining)
	_, released, _ := st.Take(sample.Take{Token: gi.Token, Version: 4})
	fmt.Println(len(released), st.Complete())
	// Output:
	// 2 2
	// 2 true
}
