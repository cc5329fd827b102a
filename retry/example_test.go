package retry_test

import (
	"fmt"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/retry"
)

// A non-idempotent request whose answer was cut: its guard is asked, and only
// a request that was never seen there may go elsewhere.
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
