package weight_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"bilberryshelf/weight"
)

var report = flag.Bool("report", false, "print the durations of the rollouts")

// rollout simulates the loads of all targets from a weight store with a rate limit,
// in virtual time. The function start returns the time of each rank's first attempt.
type rollout struct {
	count      int
	perSec     float64
	loadTime   time.Duration
	fail       float64
	start      func(rank int) time.Duration
	attempts   int
	refused    int
	maxLoading int
	loading    int
	finished   int
	last       time.Duration
}

type attempt struct {
	at       time.Duration
	rank     int
	failures int
	done     bool
}

type attemptQueue []attempt

func (aq attemptQueue) Len() int           { return len(aq) }
func (aq attemptQueue) Less(i, j int) bool { return aq[i].at < aq[j].at }
func (aq attemptQueue) Swap(i, j int)      { aq[i], aq[j] = aq[j], aq[i] }
func (aq *attemptQueue) Push(att any)      { *aq = append(*aq, att.(attempt)) }
func (aq *attemptQueue) Pop() any {
	old := *aq
	att := old[len(old)-1]
	*aq = old[:len(old)-1]
	return att
}

func (ro *rollout) run(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 5))
	store := rate.NewLimiter(rate.Limit(ro.perSec), int(ro.perSec/4)+1)
	origin := time.Unix(0, 0)
	var queue attemptQueue
	for rank := range ro.count {
		heap.Push(&queue, attempt{at: ro.start(rank), rank: rank})
	}
	for queue.Len() > 0 {
		att := heap.Pop(&queue).(attempt)
		if att.done {
			ro.loading--
			if random.Float64() < ro.fail {
				att.failures++
				heap.Push(&queue, attempt{at: att.at + weight.Backoff(att.failures, random.Float64()), rank: att.rank, failures: att.failures})
				continue
			}
			ro.finished++
			ro.last = att.at
			continue
		}
		ro.attempts++
		if !store.AllowN(origin.Add(att.at), 1) {
			ro.refused++
			att.failures++
			heap.Push(&queue, attempt{at: att.at + weight.Backoff(att.failures, random.Float64()), rank: att.rank, failures: att.failures})
			continue
		}
		ro.loading++
		ro.maxLoading = max(ro.maxLoading, ro.loading)
		heap.Push(&queue, attempt{at: att.at + ro.loadTime, rank: att.rank, failures: att.failures, done: true})
	}
}

const (
	workers  = 5700
	perSec   = 480
	loadTime = time.Second
)

func paced() *rollout {
	pace := weight.Pace{Rate: perSec, Share: 0.25, LoadTime: loadTime, Count: workers}
	origin := time.Unix(0, 0)
	return &rollout{
		count: workers, perSec: perSec, loadTime: loadTime, fail: 0.002,
		start: func(rank int) time.Duration { return pace.Start(origin, rank).Sub(origin) },
	}
}

// New weights must be on 5,700 workers within 16 s of the announcement, if the weight
// store serves 480 loads per second and a load takes one second. Spreading the
// announcement takes up to 2 s of that, which leaves 14 s.
func TestRolloutAtSize(t *testing.T) {
	bound := time.Duration(float64(workers)/perSec*float64(time.Second)) + loadTime
	for seed := range uint64(5) {
		ro := paced()
		ro.run(seed)
		require.Equal(t, workers, ro.finished)
		require.LessOrEqual(t, ro.last, 14*time.Second)
		require.LessOrEqual(t, ro.maxLoading, workers/4, "no more than the configured share loads at once")
		require.Less(t, float64(ro.refused), 0.02*workers)
		if *report {
			t.Logf("paced: last %v, %.2f of the bound %v, %d refused, %d loading at once", ro.last, ro.last.Seconds()/bound.Seconds(), bound, ro.refused, ro.maxLoading)
		}
	}
}

// A paced rollout ends earlier than one that runs all loads one after another. It also
// ends earlier and has fewer refusals than one that starts all loads at once.
func TestRolloutBaselines(t *testing.T) {
	naive, serial := paced(), paced()
	naive.start = func(int) time.Duration { return 0 }
	serial.start = func(rank int) time.Duration { return time.Duration(rank) * loadTime }
	naive.run(1)
	serial.run(1)
	spaced := paced()
	spaced.run(1)
	require.Less(t, spaced.last, naive.last)
	require.Less(t, spaced.last, serial.last)
	require.Less(t, spaced.refused, naive.refused)
	if *report {
		t.Logf("all at once: last %v, %d refused, %d loading at once", naive.last, naive.refused, naive.maxLoading)
		t.Logf("serial: last %v", serial.last)
	}
}

func TestSpacingLimitsShare(t *testing.T) {
	pa := weight.Pace{Rate: 1000, Share: 0.1, LoadTime: time.Second, Count: 20}
	require.Equal(t, 500*time.Millisecond, pa.Spacing(), "two of twenty load at once")
	pa.Share = 0.01
	require.Equal(t, time.Second, pa.Spacing(), "at least one loads at a time")
	require.Zero(t, weight.Pace{}.Spacing())
}

func TestBackoff(t *testing.T) {
	require.Equal(t, 125*time.Millisecond, weight.Backoff(1, 0))
	require.Less(t, weight.Backoff(2, 0.5), weight.Backoff(3, 0.5))
	require.LessOrEqual(t, weight.Backoff(50, 0.999), 4*time.Second)
}

func ExamplePace() {
	pa := weight.Pace{Rate: 4, Count: 12, LoadTime: time.Second}
	fmt.Println(pa.Start(time.Unix(100, 0), 8).Unix(), pa.Total())
	// Output: 102 3.75s
}
