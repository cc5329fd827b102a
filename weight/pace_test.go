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

var report = flag.Bool("report", false, "print the times of the rollouts")

// rollout plays the loads of all targets against a weight store with a rate
// limit, in virtual time. Start gives the first try of each rank.
type rollout struct {
	count      int
	perSec     float64
	swap       time.Duration
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

func (tr attemptQueue) Len() int           { return len(tr) }
func (tr attemptQueue) Less(i, j int) bool { return tr[i].at < tr[j].at }
func (tr attemptQueue) Swap(i, j int)      { tr[i], tr[j] = tr[j], tr[i] }
func (tr *attemptQueue) Push(one any)      { *tr = append(*tr, one.(attempt)) }
func (tr *attemptQueue) Pop() any {
	old := *tr
	one := old[len(old)-1]
	*tr = old[:len(old)-1]
	return one
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
		tr := heap.Pop(&queue).(attempt)
		if tr.done {
			ro.loading--
			if random.Float64() < ro.fail {
				tr.failures++
				heap.Push(&queue, attempt{at: tr.at + weight.Backoff(tr.failures, random.Float64()), rank: tr.rank, failures: tr.failures})
				continue
			}
			ro.finished++
			ro.last = tr.at
			continue
		}
		ro.attempts++
		if !store.AllowN(origin.Add(tr.at), 1) {
			ro.refused++
			tr.failures++
			heap.Push(&queue, attempt{at: tr.at + weight.Backoff(tr.failures, random.Float64()), rank: tr.rank, failures: tr.failures})
			continue
		}
		ro.loading++
		ro.maxLoading = max(ro.maxLoading, ro.loading)
		heap.Push(&queue, attempt{at: tr.at + ro.swap, rank: tr.rank, failures: tr.failures, done: true})
	}
}

const (
	workers = 5700
	perSec  = 480
	swap    = time.Second
)

func paced() *rollout {
	pace := weight.Pace{Rate: perSec, Share: 0.25, LoadTime: swap, Count: workers}
	origin := time.Unix(0, 0)
	return &rollout{
		count: workers, perSec: perSec, swap: swap, fail: 0.002,
		start: func(rank int) time.Duration { return pace.Start(origin, rank).Sub(origin) },
	}
}

// New weights are on 5,700 workers within 16 s of the announcement, of which
// the spread of the announcement takes up to two, when the weight store
// serves 480 loads a second and a load takes one second.
func TestRolloutAtSize(t *testing.T) {
	bound := time.Duration(float64(workers)/perSec*float64(time.Second)) + swap
	for seed := range uint64(5) {
		ro := paced()
		ro.run(seed)
		require.Equal(t, workers, ro.finished)
		require.LessOrEqual(t, ro.last, 14*time.Second)
		require.LessOrEqual(t, ro.maxLoading, workers/4, "no more than the set share is out at once")
		require.Less(t, float64(ro.refused), 0.02*workers)
		if *report {
			t.Logf("paced: last %v, %.2f of the bound %v, %d refused, %d out at once", ro.last, ro.last.Seconds()/bound.Seconds(), bound, ro.refused, ro.maxLoading)
		}
	}
}

// What it is measured against.
func TestRolloutBaselines(t *testing.T) {
	naive, serial := paced(), paced()
	naive.start = func(int) time.Duration { return 0 }
	serial.start = func(rank int) time.Duration { return time.Duration(rank) * swap }
	naive.run(1)
	serial.run(1)
	mine := paced()
	mine.run(1)
	require.Less(t, mine.last, naive.last)
	require.Less(t, mine.last, serial.last)
	require.Less(t, mine.refused, naive.refused)
	if *report {
		t.Logf("all at once: last %v, %d refused, %d out at once", naive.last, naive.refused, naive.maxLoading)
		t.Logf("serial: last %v", serial.last)
	}
}

func TestSpacingLimitsShare(t *testing.T) {
	pa := weight.Pace{Rate: 1000, Share: 0.1, LoadTime: time.Second, Count: 20}
	require.Equal(t, 500*time.Millisecond, pa.Spacing(), "two of twenty at once")
	pa.Share = 0.01
	require.Equal(t, time.Second, pa.Spacing(), "one at once at least")
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
