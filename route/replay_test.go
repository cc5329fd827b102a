package route_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/route"
)

var report = flag.Bool("report", false, "print the results of the replay")

// Random requests of an interactive service are replayed in virtual time, once with
// Choose and Health and once with round robin and plain retries. One target is three
// times slower than the others, one crashes and recovers.

const (
	replayTargets           = 12
	replayCapacity          = 16
	replayRequestsPerSecond = 90.0
	replayPrefixes          = 400
	replayCache             = 60
	replayCount             = 20000
	replayAttempts          = 3
	replayReportInterval    = 2 * time.Second
	prefillTime             = 400 * time.Millisecond
	slowTarget              = 3
	slowFactor              = 3
	crashTarget             = 5
	crashFrom               = 60 * time.Second
	crashUntil              = 100 * time.Second
)

// backend simulates the properties of a target that matter for routing.
type backend struct {
	cache            map[int]time.Duration
	running          int
	inFlight         *atomic.Int64
	reported         int
	inFlightAtReport int
	health           route.Health
}

type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (eq eventQueue) Len() int           { return len(eq) }
func (eq eventQueue) Less(i, j int) bool { return eq[i].at < eq[j].at }
func (eq eventQueue) Swap(i, j int)      { eq[i], eq[j] = eq[j], eq[i] }
func (eq *eventQueue) Push(ev any)       { *eq = append(*eq, ev.(event)) }
func (eq *eventQueue) Pop() any {
	old := *eq
	ev := old[len(old)-1]
	*eq = old[:len(old)-1]
	return ev
}

// simulation is the state of one replay.
type simulation struct {
	choosePolicy bool
	now          time.Duration
	queue        eventQueue
	backends     []*backend
	random       *rand.Rand
	next         int
	took         []time.Duration
	hits         int
	started      int
	failed       int
	retries      int
}

func simulate(choose bool) *simulation {
	si := &simulation{choosePolicy: choose, random: rand.New(rand.NewPCG(21, 21))}
	for range replayTargets {
		si.backends = append(si.backends, &backend{cache: map[int]time.Duration{}, inFlight: &atomic.Int64{}})
	}
	arrivals := rand.New(rand.NewPCG(22, 22))
	zipf := rand.NewZipf(arrivals, 1.1, 4, replayPrefixes-1)
	at := time.Duration(0)
	for range replayCount {
		at += time.Duration(arrivals.ExpFloat64() / replayRequestsPerSecond * float64(time.Second))
		prefix, length := int(zipf.Uint64()), 300*time.Millisecond+time.Duration(arrivals.IntN(600))*time.Millisecond
		arrived := at
		si.schedule(at, func() { si.attempt(arrived, prefix, length, nil) })
	}
	for at := time.Duration(0); at < 5*time.Minute; at += replayReportInterval {
		si.schedule(at, si.reportLoad)
	}
	for si.queue.Len() > 0 {
		next := heap.Pop(&si.queue).(event)
		si.now = next.at
		next.do()
	}
	slices.Sort(si.took)
	return si
}

func (si *simulation) schedule(when time.Duration, do func()) { heap.Push(&si.queue, event{when, do}) }

// reportLoad updates the reported load of all targets, as hello messages do.
func (si *simulation) reportLoad() {
	for _, ba := range si.backends {
		ba.reported, ba.inFlightAtReport = ba.running, int(ba.inFlight.Load())
	}
}

func (si *simulation) down(at int) bool {
	return at == crashTarget && si.now >= crashFrom && si.now < crashUntil
}

func (si *simulation) attempt(arrived time.Duration, prefix int, length time.Duration, tried []string) {
	at, found := si.choose(prefix, tried)
	if !found || len(tried) >= replayAttempts {
		si.failed++
		return
	}
	ba := si.backends[at]
	if si.down(at) || ba.running >= replayCapacity {
		if si.down(at) {
			ba.health.RecordFailure(origin.Add(si.now))
		}
		si.retries++
		si.schedule(si.now+5*time.Millisecond, func() { si.attempt(arrived, prefix, length, append(tried, name(at))) })
		return
	}
	si.run(at, arrived, prefix, length)
}

func (si *simulation) run(at int, arrived time.Duration, prefix int, length time.Duration) {
	ba := si.backends[at]
	_, hit := ba.cache[prefix]
	ba.cache[prefix] = si.now
	if len(ba.cache) > replayCache {
		ba.evictOldest()
	}
	first := 20 * time.Millisecond
	si.started++
	if hit {
		si.hits++
	} else {
		first += prefillTime
	}
	slow := time.Duration(1)
	if at == slowTarget {
		slow = slowFactor
	}
	ba.running++
	ba.inFlight.Add(1)
	ends := si.now + slow*(first+length)
	si.schedule(ends, func() {
		ba.running--
		ba.inFlight.Add(-1)
		ba.health.RecordAnswer(origin.Add(si.now), slow*first, si.medianLatency())
		ba.health.RecordSpeed(30 / float64(slow))
		si.took = append(si.took, si.now-arrived)
	})
}

func (ba *backend) evictOldest() {
	oldest := -1
	for pr, at := range ba.cache {
		if oldest < 0 || at < ba.cache[oldest] || (at == ba.cache[oldest] && pr < oldest) {
			oldest = pr
		}
	}
	delete(ba.cache, oldest)
}

var origin = time.Unix(0, 0)

func name(at int) string { return fmt.Sprintf("t-%02d", at) }

func (si *simulation) medianLatency() time.Duration {
	var all []time.Duration
	for _, ba := range si.backends {
		all = append(all, ba.health.Latency())
	}
	slices.Sort(all)
	return all[len(all)/2]
}

func (si *simulation) medianSpeed() float64 {
	var all []float64
	for _, ba := range si.backends {
		all = append(all, ba.health.Speed())
	}
	slices.Sort(all)
	return all[len(all)/2]
}

func (si *simulation) choose(prefix int, tried []string) (int, bool) {
	if !si.choosePolicy {
		si.next++
		return si.next % replayTargets, true
	}
	var vi route.View
	for at, ba := range si.backends {
		vi.Targets = append(vi.Targets, route.Target{
			Name: name(at), Service: "lm", Region: "r", State: core.Serving, Capacity: replayCapacity,
			Reported: ba.reported, InFlightAtReport: ba.inFlightAtReport, InFlight: ba.inFlight, TrafficShare: ba.health.TrafficShare(origin.Add(si.now), si.medianSpeed()),
		})
	}
	ta, er := route.Choose(vi, route.Query{Service: "lm", Region: "r", Tried: tried, Prefix: uint64(prefix + 1), IntN: si.random.IntN})
	if er != nil {
		return 0, false
	}
	at := slices.IndexFunc(vi.Targets, func(other route.Target) bool { return other.Name == ta.Name })
	return at, true
}

func (si *simulation) percentile(share float64) time.Duration {
	return si.took[int(share*float64(len(si.took)-1))].Round(time.Millisecond)
}

// Choose with Health must beat round robin with plain retries on the same requests, in
// latency, cache hits, failures and retries.
func TestReplayChoose(t *testing.T) {
	choose, roundRobin := simulate(true), simulate(false)
	for policy, si := range map[string]*simulation{"choose": choose, "round-robin": roundRobin} {
		require.Equal(t, replayCount, len(si.took)+si.failed)
		if *report {
			t.Logf("%-11s p50 %v p99 %v  cache hits %.0f%%  failed %.2f%%  retries %.1f%% of the load", policy, si.percentile(0.5), si.percentile(0.99),
				100*float64(si.hits)/float64(si.started), 100*float64(si.failed)/replayCount, 100*float64(si.retries)/replayCount)
		}
	}
	require.Less(t, choose.percentile(0.5), roundRobin.percentile(0.5))
	require.Less(t, choose.percentile(0.99), roundRobin.percentile(0.99))
	require.Greater(t, choose.hits, roundRobin.hits)
	require.LessOrEqual(t, choose.failed, roundRobin.failed)
	require.Less(t, choose.retries, roundRobin.retries)
}
