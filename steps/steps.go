// Package steps accounts for the time of a step: where it went between the trainer's
// submission and its end of the job, from the log lines of all entries.
//
//  1. The last item of a step is the one that was decided last before the trainer ended
//     the job. The trainer waited for it, so the parts of its time are those of the step.
//  2. The account of an item is waiting (submission to its first run), running alone (its
//     events at the pace of the fastest engine), moving (from the end of a run to the
//     next), slowed (the rest of its runs: slower engines and fuller batches) and scoring.
//  3. What is left until the trainer's end is listing and the trainer's look.
package steps

import (
	"cmp"
	"slices"
	"time"
)

// Step is the account of one step. All times are durations from its submission, or parts
// of them.
type Step struct {
	Job       string
	Number    int
	Submitted time.Time
	// Ended is when the trainer ended the job; zero if it did not.
	Ended time.Duration
	// Items is the number of items, Decided how many were decided before the end.
	Items, Decided int
	// LastBegun is when the last item began to run.
	LastBegun time.Duration
	// Moves counts by reason the runs that were moved; Errored counts the errored items.
	Moves   map[string]int
	Errored int
	// Last is the account of the last item (rule 1).
	Last Item
}

// Item is the account of one item (rule 2).
type Item struct {
	ID     string
	Events int
	Runs   int
	// Done is when the item was decided.
	Done                                    time.Duration
	Waiting, Alone, Moving, Slowed, Scoring time.Duration
}

// Seen is the time from the last item to the end of the job (rule 3).
func (st Step) Seen() time.Duration {
	if st.Ended == 0 {
		return 0
	}
	return st.Ended - st.Last.Done
}

// Account returns the steps of a recording, in the order of their submission.
func Account(re *Recording) []Step {
	var out []Step
	for _, jo := range re.jobs {
		if jo.submitted.IsZero() {
			continue
		}
		out = append(out, jo.account(re.fastestPace()))
	}
	slices.SortFunc(out, func(lhs, rhs Step) int { return lhs.Submitted.Compare(rhs.Submitted) })
	return out
}

func (jo *job) account(pace time.Duration) Step {
	st := Step{Job: jo.id, Number: jo.step, Submitted: jo.submitted, Items: jo.itemCount, Moves: map[string]int{}}
	if !jo.ended.IsZero() {
		st.Ended = jo.ended.Sub(jo.submitted)
	}
	for _, it := range jo.items {
		if len(it.runs) > 0 {
			st.LastBegun = max(st.LastBegun, it.runs[0].Sub(jo.submitted))
		}
		for _, mo := range it.moves {
			st.Moves[mo.reason]++
		}
		if it.done.IsZero() || (!jo.ended.IsZero() && it.done.After(jo.ended)) {
			continue
		}
		st.Decided++
		if it.errored {
			st.Errored++
		}
		if done := it.done.Sub(jo.submitted); done > st.Last.Done {
			st.Last = it.account(jo.submitted, pace)
		}
	}
	return st
}

func (it *item) account(submitted time.Time, pace time.Duration) Item {
	out := Item{ID: it.id, Events: it.events, Runs: len(it.runs), Done: it.done.Sub(submitted), Scoring: it.scoring}
	if len(it.runs) == 0 {
		return out
	}
	out.Waiting = it.runs[0].Sub(submitted)
	for _, mo := range it.moves {
		next, _ := slices.BinarySearchFunc(it.runs, mo.at, time.Time.Compare)
		if next < len(it.runs) {
			out.Moving += it.runs[next].Sub(mo.at)
		}
	}
	out.Alone = time.Duration(it.events) * pace
	out.Slowed = max(out.Done-out.Waiting-out.Alone-out.Moving-out.Scoring, 0)
	return out
}

// fastestPace returns the pace of the fastest engine: the tenth of the recorded ones, so
// that a few short measurements do not count. It is zero if there are none.
func (re *Recording) fastestPace() time.Duration {
	if len(re.paces) == 0 {
		return 0
	}
	paces := slices.Clone(re.paces)
	slices.SortFunc(paces, cmp.Compare[time.Duration])
	return paces[len(paces)/10]
}
