package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bilberryshelf/core"
	"bilberryshelf/limit"
)

var start = time.Unix(1000, 0)

func item(id uint64, tenant string, pr core.Priority, wait time.Duration) limit.Item {
	return limit.Item{ID: id, Tenant: tenant, Priority: pr, Deadline: start.Add(wait)}
}

func TestQueueOrder(t *testing.T) {
	li := limit.Limiter{MinWindow: 1, MaxWindow: 1, Depth: 10}
	require.Equal(t, limit.Admit, li.Offer(start, item(1, "a", core.Normal, time.Hour)).Action)
	for _, it := range []limit.Item{
		item(2, "a", core.Low, time.Minute), item(3, "a", core.Normal, 2*time.Minute), item(4, "a", core.Normal, time.Minute),
		item(5, "b", core.Normal, time.Hour), item(6, "b", core.High, time.Hour),
	} {
		require.Equal(t, limit.Enqueue, li.Offer(start, it).Action)
	}
	var order []uint64
	tenant := "a"
	for range 5 {
		admitted := li.Release(start, tenant, limit.Failed, 0).Admitted
		require.Len(t, admitted, 1)
		order = append(order, admitted[0])
		tenant = map[uint64]string{2: "a", 3: "a", 4: "a", 5: "b", 6: "b"}[admitted[0]]
	}
	require.Equal(t, []uint64{6, 4, 3, 5, 2}, order, "by priority, then from the tenant with the fewest in flight, then by deadline")
}

// A tenant that floods the queue does not starve another tenant.
func TestTenantFairness(t *testing.T) {
	li := limit.Limiter{MinWindow: 4, MaxWindow: 4, Depth: 1000}
	next := uint64(0)
	tenants := map[uint64]string{}
	offer := func(tenant string) {
		next++
		tenants[next] = tenant
		li.Offer(start, limit.Item{ID: next, Tenant: tenant, Priority: core.Normal})
	}
	for range 500 {
		offer("flood")
	}
	for range 50 {
		offer("small")
	}
	running := []string{"flood", "flood", "flood", "flood"}
	served := map[string]int{}
	for range 100 {
		leaving := running[0]
		running = running[1:]
		for _, id := range li.Release(start, leaving, limit.Served, 0).Admitted {
			served[tenants[id]]++
			running = append(running, tenants[id])
		}
	}
	require.Equal(t, 50, served["small"])
}

func TestRefusals(t *testing.T) {
	li := limit.Limiter{MinWindow: 1, MaxWindow: 1, Depth: 2, Jitter: func() float64 { return 0.5 }}
	require.Equal(t, limit.Admit, li.Offer(start, item(1, "a", core.Normal, time.Hour)).Action)
	now := start
	for range 20 { // ten per second
		now = now.Add(100 * time.Millisecond)
		li.Release(now, "a", limit.Served, 0)
		require.Equal(t, limit.Admit, li.Offer(now, item(1, "a", core.Normal, time.Hour)).Action)
	}
	require.Equal(t, limit.Enqueue, li.Offer(now, item(2, "a", core.Low, time.Hour)).Action)
	require.Equal(t, limit.Enqueue, li.Offer(now, item(3, "a", core.Normal, time.Hour)).Action)

	late := li.Offer(now, limit.Item{ID: 4, Tenant: "a", Priority: core.Normal, Deadline: now.Add(50 * time.Millisecond)})
	require.Equal(t, limit.Refuse, late.Action, "the expected wait exceeds its deadline")
	require.Equal(t, core.CodeQueueWait, late.Error.Code)
	require.Equal(t, core.NotRun, late.Error.Verdict)
	require.InDelta(t, 0.45, late.Error.RetryAfter.Seconds(), 0.1, "three at ten per second, and half as much again by jitter")

	low := li.Offer(now, item(5, "a", core.Low, time.Hour))
	require.Equal(t, limit.Refuse, low.Action)
	require.Equal(t, core.CodeFull, low.Error.Code)

	high := li.Offer(now, item(6, "a", core.High, time.Hour))
	require.Equal(t, limit.Enqueue, high.Action)
	require.Equal(t, uint64(2), high.Evicted.ID, "the item of the lowest priority is evicted")
	require.Equal(t, core.NotRun, high.EvictedError.Verdict)
}

// An item that leaves the queue too late to be served before its deadline is refused.
func TestTooLateWhenDequeued(t *testing.T) {
	li := limit.Limiter{MinWindow: 1, MaxWindow: 1, Depth: 10}
	li.Offer(start, limit.Item{ID: 1, Tenant: "a"})
	for range 200 {
		li.Release(start, "a", limit.Served, time.Second)
		li.Offer(start, limit.Item{ID: 1, Tenant: "a"})
	}
	require.Equal(t, limit.Enqueue, li.Offer(start, item(2, "a", core.Normal, 3*time.Second)).Action)
	require.Equal(t, limit.Enqueue, li.Offer(start, item(3, "a", core.Normal, time.Minute)).Action)
	rl := li.Release(start.Add(2500*time.Millisecond), "a", limit.Served, time.Second)
	require.Equal(t, []uint64{2}, rl.Late)
	require.Equal(t, []uint64{3}, rl.Admitted)
}

// A requeued item is accepted by a full queue and keeps its place by deadline.
func TestRequeuedItem(t *testing.T) {
	li := limit.Limiter{MinWindow: 1, MaxWindow: 1, Depth: 1}
	li.Offer(start, limit.Item{ID: 1, Tenant: "a"})
	require.Equal(t, limit.Enqueue, li.Offer(start, item(2, "a", core.Normal, time.Minute)).Action)
	require.Equal(t, limit.Refuse, li.Offer(start, item(3, "a", core.Normal, time.Second)).Action)
	back := item(3, "a", core.Normal, time.Second)
	back.Requeued = true
	require.Equal(t, limit.Enqueue, li.Offer(start, back).Action)
	require.Equal(t, []uint64{3}, li.Release(start, "a", limit.Served, 0).Admitted)
}

func TestWindowAdaptsToTargets(t *testing.T) {
	li := limit.Limiter{MinWindow: 2, MaxWindow: 8, Depth: 100}
	now := start
	for nu := range uint64(200) {
		li.Offer(now, limit.Item{ID: nu, Tenant: "a"})
		if nu > 2 {
			now = now.Add(10 * time.Millisecond)
			li.Release(now, "a", limit.Served, 0)
		}
	}
	require.Equal(t, 8.0, li.Window())
	for range 50 {
		now = now.Add(time.Second)
		li.Release(now, "a", limit.Overloaded, 0)
		li.Offer(now, limit.Item{ID: 1000, Tenant: "a"})
	}
	require.Equal(t, 2.0, li.Window())
	for nu := range uint64(40) {
		li.Offer(now, limit.Item{ID: 2000 + nu, Tenant: "a"})
		now = now.Add(10 * time.Millisecond)
		li.Release(now, "a", limit.Served, 0)
	}
	require.Greater(t, li.Window(), 2.0)
}

// The limiter never loses an item or exceeds its limits, and its counts match the items
// that it admitted and queued.
func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		li := limit.Limiter{MinWindow: 2, MaxWindow: 6, Depth: 5}
		now := start
		inFlight, waiting := map[uint64]limit.Item{}, map[uint64]limit.Item{}
		next := uint64(0)
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(rt, "do") {
			case 0, 1:
				next++
				it := limit.Item{
					ID: next, Tenant: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "tenant"),
					Priority: rapid.SampledFrom([]core.Priority{core.High, core.Normal, core.Low}).Draw(rt, "priority"),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(rt, "patience")) * time.Millisecond),
				}
				de := li.Offer(now, it)
				if de.Action == limit.Admit {
					inFlight[it.ID] = it
				}
				if de.Action == limit.Enqueue {
					waiting[it.ID] = it
				}
				if de.Evicted != nil {
					delete(waiting, de.Evicted.ID)
				}
			case 2:
				for id, it := range inFlight {
					delete(inFlight, id)
					ou := rapid.SampledFrom([]limit.Outcome{limit.Served, limit.Failed, limit.Overloaded}).Draw(rt, "end")
					rl := li.Release(now, it.Tenant, ou, time.Duration(rapid.IntRange(0, 2000).Draw(rt, "took"))*time.Millisecond)
					for _, admitted := range rl.Admitted {
						inFlight[admitted] = waiting[admitted]
						delete(waiting, admitted)
					}
					for _, late := range rl.Late {
						delete(waiting, late)
					}
					break
				}
			case 3:
				for id, it := range waiting {
					if !li.Cancel(it) {
						rt.Fatal("a waiting item was not found")
					}
					delete(waiting, id)
					break
				}
			}
			if li.InFlight() != len(inFlight) || li.Queued() != len(waiting) {
				rt.Fatalf("counts %d in flight and %d queued, want %d and %d", li.InFlight(), li.Queued(), len(inFlight), len(waiting))
			}
			if li.Queued() > 5 || li.Window() > 6 || li.Window() < 2 {
				rt.Fatalf("queue or window out of bounds")
			}
		}
	})
}

func TestRate(t *testing.T) {
	var ra limit.Rate
	now := start
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		ra.Add(now)
	}
	require.InDelta(t, 20, ra.PerSecond(now), 1.5)
	require.Less(t, ra.PerSecond(now.Add(time.Minute)), 0.1)
}

func ExampleLimiter() {
	li := limit.Limiter{MinWindow: 1, MaxWindow: 1, Depth: 1}
	now := time.Unix(0, 0)
	fmt.Println(li.Offer(now, limit.Item{ID: 1}).Action)
	fmt.Println(li.Offer(now, limit.Item{ID: 2}).Action)
	fmt.Println(li.Offer(now, limit.Item{ID: 3}).Error.Code)
	// Output:
	// admit
	// wait
	// full
}
