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
	ga := limit.Limiter{MinWindow: 1, MaxWindow: 1, Depth: 10}
	require.Equal(t, limit.Admit, ga.Offer(start, item(1, "a", core.Normal, time.Hour)).Action)
	for _, it := range []limit.Item{
		item(2, "a", core.Low, time.Minute), item(3, "a", core.Normal, 2*time.Minute), item(4, "a", core.Normal, time.Minute),
		item(5, "b", core.Normal, time.Hour), item(6, "b", core.High, time.Hour),
	} {
		require.Equal(t, limit.Enqueue, ga.Offer(start, it).Action)
	}
	var order []uint64
	tenant := "a"
	for range 5 {
		granted := ga.Release(start, tenant, limit.Failed, 0).Admitted
		require.Len(t, granted, 1)
		order = append(order, granted[0])
		tenant = map[uint64]string{2: "a", 3: "a", 4: "a", 5: "b", 6: "b"}[granted[0]]
	}
	require.Equal(t, []uint64{6, 4, 3, 5, 2}, order, "priority, then deadline inside the tenant with the least in flight")
}

// A tenant that floods the queue does not keep another one out.
func TestTenantFairness(t *testing.T) {
	ga := limit.Limiter{MinWindow: 4, MaxWindow: 4, Depth: 1000}
	next := uint64(0)
	tenants := map[uint64]string{}
	offer := func(tenant string) {
		next++
		tenants[next] = tenant
		ga.Offer(start, limit.Item{ID: next, Tenant: tenant, Priority: core.Normal})
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
		for _, id := range ga.Release(start, leaving, limit.Served, 0).Admitted {
			served[tenants[id]]++
			running = append(running, tenants[id])
		}
	}
	require.Equal(t, 50, served["small"])
}

func TestRefusals(t *testing.T) {
	ga := limit.Limiter{MinWindow: 1, MaxWindow: 1, Depth: 2, Jitter: func() float64 { return 0.5 }}
	require.Equal(t, limit.Admit, ga.Offer(start, item(1, "a", core.Normal, time.Hour)).Action)
	now := start
	for range 20 { // ten a second
		now = now.Add(100 * time.Millisecond)
		ga.Release(now, "a", limit.Served, 0)
		require.Equal(t, limit.Admit, ga.Offer(now, item(1, "a", core.Normal, time.Hour)).Action)
	}
	require.Equal(t, limit.Enqueue, ga.Offer(now, item(2, "a", core.Low, time.Hour)).Action)
	require.Equal(t, limit.Enqueue, ga.Offer(now, item(3, "a", core.Normal, time.Hour)).Action)

	late := ga.Offer(now, limit.Item{ID: 4, Tenant: "a", Priority: core.Normal, Deadline: now.Add(50 * time.Millisecond)})
	require.Equal(t, limit.Refuse, late.Action, "its wait would outlast its deadline")
	require.Equal(t, core.CodeQueueWait, late.Error.Code)
	require.Equal(t, core.NotRun, late.Error.Verdict)
	require.InDelta(t, 0.45, late.Error.RetryAfter.Seconds(), 0.1, "three at ten a second, half as much again by jitter")

	low := ga.Offer(now, item(5, "a", core.Low, time.Hour))
	require.Equal(t, limit.Refuse, low.Action)
	require.Equal(t, core.CodeFull, low.Error.Code)

	high := ga.Offer(now, item(6, "a", core.High, time.Hour))
	require.Equal(t, limit.Enqueue, high.Action)
	require.Equal(t, uint64(2), high.Evicted.ID, "the lowest priority makes room")
	require.Equal(t, core.NotRun, high.EvictedError.Verdict)
}

// An item whose turn comes too late for its service is refused at its turn.
func TestTooLateWhenDequeued(t *testing.T) {
	ga := limit.Limiter{MinWindow: 1, MaxWindow: 1, Depth: 10}
	ga.Offer(start, limit.Item{ID: 1, Tenant: "a"})
	for range 200 {
		ga.Release(start, "a", limit.Served, time.Second)
		ga.Offer(start, limit.Item{ID: 1, Tenant: "a"})
	}
	require.Equal(t, limit.Enqueue, ga.Offer(start, item(2, "a", core.Normal, 3*time.Second)).Action)
	require.Equal(t, limit.Enqueue, ga.Offer(start, item(3, "a", core.Normal, time.Minute)).Action)
	tu := ga.Release(start.Add(2500*time.Millisecond), "a", limit.Served, time.Second)
	require.Equal(t, []uint64{2}, tu.Late)
	require.Equal(t, []uint64{3}, tu.Admitted)
}

// An item that had its turn waits again, at the front by its deadline.
func TestRequeuedItem(t *testing.T) {
	ga := limit.Limiter{MinWindow: 1, MaxWindow: 1, Depth: 1}
	ga.Offer(start, limit.Item{ID: 1, Tenant: "a"})
	require.Equal(t, limit.Enqueue, ga.Offer(start, item(2, "a", core.Normal, time.Minute)).Action)
	require.Equal(t, limit.Refuse, ga.Offer(start, item(3, "a", core.Normal, time.Second)).Action)
	back := item(3, "a", core.Normal, time.Second)
	back.Requeued = true
	require.Equal(t, limit.Enqueue, ga.Offer(start, back).Action)
	require.Equal(t, []uint64{3}, ga.Release(start, "a", limit.Served, 0).Admitted)
}

func TestWindowAdaptsToTargets(t *testing.T) {
	ga := limit.Limiter{MinWindow: 2, MaxWindow: 8, Depth: 100}
	now := start
	for nu := range uint64(200) {
		ga.Offer(now, limit.Item{ID: nu, Tenant: "a"})
		if nu > 2 {
			now = now.Add(10 * time.Millisecond)
			ga.Release(now, "a", limit.Served, 0)
		}
	}
	require.Equal(t, 8.0, ga.Window())
	for range 50 {
		now = now.Add(time.Second)
		ga.Release(now, "a", limit.Overloaded, 0)
		ga.Offer(now, limit.Item{ID: 1000, Tenant: "a"})
	}
	require.Equal(t, 2.0, ga.Window())
	for nu := range uint64(40) {
		ga.Offer(now, limit.Item{ID: 2000 + nu, Tenant: "a"})
		now = now.Add(10 * time.Millisecond)
		ga.Release(now, "a", limit.Served, 0)
	}
	require.Greater(t, ga.Window(), 2.0)
}

// The gate never loses an item, never exceeds its bounds, and what it admits
// and grants is what it counts.
func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ga := limit.Limiter{MinWindow: 2, MaxWindow: 6, Depth: 5}
		now := start
		flight, waiting := map[uint64]limit.Item{}, map[uint64]limit.Item{}
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
				de := ga.Offer(now, it)
				if de.Action == limit.Admit {
					flight[it.ID] = it
				}
				if de.Action == limit.Enqueue {
					waiting[it.ID] = it
				}
				if de.Evicted != nil {
					delete(waiting, de.Evicted.ID)
				}
			case 2:
				for id, it := range flight {
					delete(flight, id)
					en := rapid.SampledFrom([]limit.Outcome{limit.Served, limit.Failed, limit.Overloaded}).Draw(rt, "end")
					tu := ga.Release(now, it.Tenant, en, time.Duration(rapid.IntRange(0, 2000).Draw(rt, "took"))*time.Millisecond)
					for _, granted := range tu.Admitted {
						flight[granted] = waiting[granted]
						delete(waiting, granted)
					}
					for _, late := range tu.Late {
						delete(waiting, late)
					}
					break
				}
			case 3:
				for id, it := range waiting {
					if !ga.Cancel(it) {
						rt.Fatal("a waiting item is not found")
					}
					delete(waiting, id)
					break
				}
			}
			if ga.InFlight() != len(flight) || ga.Queued() != len(waiting) {
				rt.Fatalf("counts %d and %d, truth %d and %d", ga.InFlight(), ga.Queued(), len(flight), len(waiting))
			}
			if ga.Queued() > 5 || ga.Window() > 6 || ga.Window() < 2 {
				rt.Fatalf("out of bounds")
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
	ga := limit.Limiter{MinWindow: 1, MaxWindow: 1, Depth: 1}
	now := time.Unix(0, 0)
	fmt.Println(ga.Offer(now, limit.Item{ID: 1}).Action)
	fmt.Println(ga.Offer(now, limit.Item{ID: 2}).Action)
	fmt.Println(ga.Offer(now, limit.Item{ID: 3}).Error.Code)
	// Output:
	// admit
	// wait
	// full
}
