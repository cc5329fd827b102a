package calls

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/fleet"
)

// Requests that targets refuse for lack of capacity do not run, so the need would never
// exceed the present slots without them. Other errors must not count.
func TestDemand(t *testing.T) {
	now, ba := time.Unix(1000, 0), &Balancer{}
	ba.Update(now, []fleet.Target{{ID: "a", Service: "s", Slots: 4}, {ID: "b", Service: "s", Slots: 4}, {ID: "c", Service: "t", Slots: 4}})
	demand := func(at time.Time) [2]int {
		inFlight, waiting := ba.Demand(at, "s")
		return [2]int{inFlight, waiting}
	}
	for _, id := range []string{"a", "a", "b", "c"} {
		ba.begin(id)
	}
	ba.wait("s", 2)
	ba.wait("t", 1)
	require.Equal(t, [2]int{3, 2}, demand(now))
	ba.wait("s", -2)

	ba.stats["a"].latency = 400 * time.Millisecond
	refused := core.Refuse(core.CodeFull, "full")
	for range 10 {
		ba.refuse(now, "s", refused)
		ba.refuse(now, "s", core.Refuse(core.CodeDeadline, "late"))
		ba.refuse(now, "s", core.InDoubt(core.CodeFull, "full"))
	}
	require.Equal(t, [2]int{3, 4}, demand(now), "ten requests a second of 400 ms each")
	require.Equal(t, [2]int{3, 4}, demand(now.Add(1900*time.Millisecond)), "in the window before")
	require.Equal(t, [2]int{3, 0}, demand(now.Add(2*time.Second)))
}

// The load that a target reports includes the requests of entries that do not report theirs.
// An old one must not hold the need up.
func TestReported(t *testing.T) {
	now, ba := time.Unix(1000, 0), &Balancer{}
	ba.Update(now, []fleet.Target{{ID: "a", Service: "s", Slots: 4}, {ID: "b", Service: "s", Slots: 4}})
	ba.begin("a")
	ba.begin("a")
	ba.end(now, "a", outcome{response: Response{Running: 3, Waiting: 2, Slots: 4}}, false)
	require.Equal(t, 4, ba.Reported(now, "s"), "without the request that ended")
	require.Zero(t, ba.Reported(now.Add(maxReportAge), "s"))
}
