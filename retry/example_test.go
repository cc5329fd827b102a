package retry_test

import (
	"fmt"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/retry"
)

// The stream of a non-idempotent request is cut. The guard is asked with a settle
// query, and the request may be sent to another target only if the guard has never
// seen it.
func ExamplePlan() {
	now := time.Unix(0, 0)
	pl := retry.Plan{AttemptsLeft: 2, SettlesLeft: 1, Deadline: now.Add(time.Second)}
	budget := func() bool { return true }
	next := pl.Next(now, retry.Report{Event: retry.Cut, Error: core.InDoubt(core.CodeAnswerCut, "cut")}, budget)
	fmt.Println(next.Action)
	next = pl.Next(now, retry.Report{Event: retry.Settled, State: "forbidden"}, budget)
	fmt.Println(next.Action)
	// Output:
	// ask
	// elsewhere
}
