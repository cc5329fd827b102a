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

var report = flag.Bool("report", false, "print the measures of the replay")

// A drawn hour of desk requests is replayed in virtual time against the real
// choice of targets and their health, and against turns with plain retries.
// One target is three times slower, one crashes and comes back.

const (
	replayTargets  = 12
	replayCapacity = 16
	replayRate     = 90.0
	replayPrefixes = 400
	replayCache    = 60
	replayCount    = 20000
	replayTries    = 3
	replayReport   = 2 * time.Second
	prefillTime    = 400 * time.Millisecond
	slowTarget     = 3
	slowTimes      = 3
	crashTarget    = 5
	crashFrom      = 60 * time.Second
	crashUntil     = 100 * time.Second
)

// backend is a target reduced to what routing sees.
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

func (du eventQueue) Len() int           { return len(du) }
func (du eventQueue) Less(i, j int) bool { return du[i].at < du[j].at }
func (du eventQueue) Swap(i, j int)      { du[i], du[j] = du[j], du[i] }
func (du *eventQueue) Push(one any)      { *du = append(*du, one.(event)) }
func (du *eventQueue) Pop() any {
	old := *du
	one := old[len(old)-1]
	*du = old[:len(old)-1]
	return one
}

// simulation is one replay.
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

func simulate(ours bool) *simulation {
	de := &simulation{choosePolicy: ours, random: rand.New(rand.NewPCG(21, 21))}
	for range replayTargets {
		de.backends = append(de.backends, &backend{cache: map[int]time.Duration{}, inFlight: &atomic.Int64{}})
	}
	arrivals := rand.New(rand.NewPCG(22, 22))
	zipf := rand.NewZipf(arrivals, 1.1, 4, replayPrefixes-1)
	at := time.Duration(0)
	for range replayCount {
		at += time.Duration(arrivals.ExpFloat64() / replayRate * float64(time.Second))
		prefix, length := int(zipf.Uint64()), 300*time.Millisecond+time.Duration(arrivals.IntN(600))*time.Millisecond
		came := at
		de.schedule(at, func() { de.attempt(came, prefix, length, nil) })
	}
	for at := time.Duration(0); at < 5*time.Minute; at += replayReport {
		de.schedule(at, de.reportLoad)
	}
	for de.queue.Len() > 0 {
		next := heap.Pop(&de.queue).(event)
		de.now = next.at
		next.do()
	}
	slices.Sort(de.took)
	return de
}

func (de *simulation) schedule(when time.Duration, do func()) { heap.Push(&de.queue, event{when, do}) }

// reportLoad brings the load of all targets, as greetings do.
func (de *simulation) reportLoad() {
	for _, ba := range de.backends {
		ba.reported, ba.inFlightAtReport = ba.running, int(ba.inFlight.Load())
	}
}

func (de *simulation) down(at int) bool {
	return at == crashTarget && de.now >= crashFrom && de.now < crashUntil
}

func (de *simulation) attempt(came time.Duration, prefix int, length time.Duration, tried []string) {
	at, found := de.choose(prefix, tried)
	if !found || len(tried) >= replayTries {
		de.failed++
		return
	}
	ba := de.backends[at]
	if de.down(at) || ba.running >= replayCapacity {
		if de.down(at) {
			ba.health.RecordFailure(origin.Add(de.now))
		}
		de.retries++
		de.schedule(de.now+5*time.Millisecond, func() { de.attempt(came, prefix, length, append(tried, name(at))) })
		return
	}
	de.run(at, came, prefix, length)
}

func (de *simulation) run(at int, came time.Duration, prefix int, length time.Duration) {
	ba := de.backends[at]
	_, hit := ba.cache[prefix]
	ba.cache[prefix] = de.now
	if len(ba.cache) > replayCache {
		ba.evictOldest()
	}
	first := 20 * time.Millisecond
	de.started++
	if hit {
		de.hits++
	} else {
		first += prefillTime
	}
	slow := time.Duration(1)
	if at == slowTarget {
		slow = slowTimes
	}
	ba.running++
	ba.inFlight.Add(1)
	ends := de.now + slow*(first+length)
	de.schedule(ends, func() {
		ba.running--
		ba.inFlight.Add(-1)
		ba.health.RecordAnswer(origin.Add(de.now), slow*first, de.medianLatency())
		ba.health.RecordSpeed(30 / float64(slow))
		de.took = append(de.took, de.now-came)
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

func (de *simulation) medianLatency() time.Duration {
	var all []time.Duration
	for _, ba := range de.backends {
		all = append(all, ba.health.Latency())
	}
	slices.Sort(all)
	return all[len(all)/2]
}

func (de *simulation) medianSpeed() float64 {
	var all []float64
	for _, ba := range de.backends {
		all = append(all, ba.health.Speed())
	}
	slices.Sort(all)
	return all[len(all)/2]
}

func (de *simulation) choose(prefix int, tried []string) (int, bool) {
	if !de.choosePolicy {
		de.next++
		return de.next % replayTargets, true
	}
	var vi route.View
	for at, ba := range de.backends {
		vi.Targets = append(vi.Targets, route.Target{
			Name: name(at), Service: "lm", Region: "r", State: core.Serving, Capacity: replayCapacity,
			Reported: ba.reported, InFlightAtReport: ba.inFlightAtReport, InFlight: ba.inFlight, TrafficShare: ba.health.TrafficShare(origin.Add(de.now), de.medianSpeed()),
		})
	}
	ta, er := route.Choose(vi, route.Query{Service: "lm", Region: "r", Tried: tried, Prefix: uint64(prefix + 1), IntN: de.random.IntN})
	if er != nil {
		return 0, false
	}
	at := slices.IndexFunc(vi.Targets, func(other route.Target) bool { return other.Name == ta.Name })
	return at, true
}

func (de *simulation) percentile(share float64) time.Duration {
	return de.took[int(share*float64(len(de.took)-1))].Round(time.Millisecond)
}

// The policy against turns with plain retries, same requests.
func TestReplayDesk(t *testing.T) {
	ours, turns := simulate(true), simulate(false)
	for policy, de := range map[string]*simulation{"ours": ours, "turns": turns} {
		require.Equal(t, replayCount, len(de.took)+de.failed)
		if *report {
			t.Logf("%-6s p50 %v p99 %v  cache hits %.0f%%  failed %.2f%%  retries %.1f%% of the load", policy, de.percentile(0.5), de.percentile(0.99),
				100*float64(de.hits)/float64(de.started), 100*float64(de.failed)/replayCount, 100*float64(de.retries)/replayCount)
		}
	}
	require.Less(t, ours.percentile(0.5), turns.percentile(0.5))
	require.Less(t, ours.percentile(0.99), turns.percentile(0.99))
	require.Greater(t, ours.hits, turns.hits)
	require.LessOrEqual(t, ours.failed, turns.failed)
	require.Less(t, ours.retries, turns.retries)
}
