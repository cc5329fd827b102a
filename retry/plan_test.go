package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/retry"
)

// The plan returns the expected action after each of a series of reports.
func TestPlan(t *testing.T) {
	var (
		now      = time.Unix(0, 0)
		cut      = retry.Report{Event: retry.Cut, Error: core.InDoubt(core.CodeAnswerCut, "cut")}
		down     = retry.Report{Event: retry.Refused, Error: core.Refuse(core.CodeTargetDown, "down")}
		full     = retry.Report{Event: retry.Refused, Error: core.Refuse(core.CodeFull, "full")}
		outdated = retry.Report{Event: retry.Refused, Error: core.Refuse(core.CodeStaleRevision, "behind")}
		lost     = retry.Report{Event: retry.Refused, Error: core.InDoubt(core.CodeTargetLost, "lost")}
		settled  = func(state string) retry.Report { return retry.Report{Event: retry.Settled, State: state} }
		noAnswer = retry.Report{Event: retry.Unsettled}
		poisoned = retry.Report{Event: retry.Refused, Error: core.Refuse(core.CodePoison, "poison")}
	)
	for _, tc := range []struct {
		name    string
		plan    retry.Plan
		reports []retry.Report
		actions []retry.Action
		verdict core.Verdict
	}{
		{"refused everywhere", retry.Plan{AttemptsLeft: 1}, []retry.Report{down, down}, []retry.Action{retry.OtherTarget, retry.Finish}, core.NotRun},
		{"no capacity, to be queued again", retry.Plan{AttemptsLeft: 1, ResendsLeft: 1}, []retry.Report{full}, []retry.Action{retry.Finish}, core.NotRun},
		{"outdated configuration is sent again", retry.Plan{ResendsLeft: 1}, []retry.Report{outdated, outdated}, []retry.Action{retry.OtherTarget, retry.Finish}, core.NotRun},
		{"idempotent and cut", retry.Plan{Idempotent: true, AttemptsLeft: 1}, []retry.Report{cut, down}, []retry.Action{retry.OtherTarget, retry.Finish}, core.MayHaveRun},
		{"cut and never seen", retry.Plan{AttemptsLeft: 1, SettlesLeft: 1}, []retry.Report{cut, settled("forbidden"), down}, []retry.Action{retry.Settle, retry.OtherTarget, retry.Finish}, core.NotRun},
		{"cut and never seen, no attempt left", retry.Plan{SettlesLeft: 1}, []retry.Report{cut, settled("forbidden")}, []retry.Action{retry.Settle, retry.Finish}, core.NotRun},
		{"cut and unknown", retry.Plan{AttemptsLeft: 1, SettlesLeft: 1}, []retry.Report{cut, settled("unknown")}, []retry.Action{retry.Settle, retry.Finish}, core.MayHaveRun},
		{"cut and the guard does not answer", retry.Plan{AttemptsLeft: 1, SettlesLeft: 2}, []retry.Report{cut, noAnswer, noAnswer}, []retry.Action{retry.Settle, retry.Settle, retry.Finish}, core.MayHaveRun},
		{"cut and running", retry.Plan{AttemptsLeft: 1, SettlesLeft: 1}, []retry.Report{cut, settled("running")}, []retry.Action{retry.Settle, retry.Attach}, ""},
		// Found by the model at seed 64: after an attempt to join was refused, the
		// request was sent to a second target while the first one still ran it.
		{"running, then the join is refused", retry.Plan{AttemptsLeft: 2, SettlesLeft: 1}, []retry.Report{cut, settled("running"), down}, []retry.Action{retry.Settle, retry.Attach, retry.Finish}, core.MayHaveRun},
		{"ran, then the join is cut and never seen", retry.Plan{AttemptsLeft: 2, SettlesLeft: 2}, []retry.Report{cut, settled("ran"), cut, settled("forbidden"), down}, []retry.Action{retry.Settle, retry.Attach, retry.Settle, retry.Attach, retry.Finish}, core.Ran},
		{"lost on the target", retry.Plan{AttemptsLeft: 2, SettlesLeft: 1}, []retry.Report{lost}, []retry.Action{retry.Finish}, core.MayHaveRun},
		{"pinned to one target", retry.Plan{Pinned: true, AttemptsLeft: 1}, []retry.Report{down, down}, []retry.Action{retry.SameTarget, retry.Finish}, core.NotRun},
		{"poison is final", retry.Plan{Idempotent: true, AttemptsLeft: 5}, []retry.Report{poisoned}, []retry.Action{retry.Finish}, core.NotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.plan.Deadline = now.Add(time.Minute)
			var last retry.Next
			for at, re := range tc.reports {
				last = tc.plan.Next(now, re, func() bool { return true })
				require.Equal(t, tc.actions[at], last.Action, "after report %d", at)
			}
			if tc.verdict != "" {
				require.Equal(t, tc.verdict, last.Error.Verdict)
			}
		})
	}
}

// Retries stay a fixed share of the load.
func TestBudget(t *testing.T) {
	bu := retry.Budget{Share: 0.1, Max: 5}
	spent := 0
	for range 1000 {
		bu.Earn()
		if bu.Spend() {
			spent++
		}
	}
	require.InDelta(t, 100+5, spent, 1)
	require.False(t, (&retry.Budget{}).Spend())
}
