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
	cache   map[int]time.Duration
	running int
	mine    *atomic.Int64
	shown   int
	then    int
	health  route.Health
}

type due struct {
	at time.Duration
	do func()
}

type dues []due

func (du dues) Len() int           { return len(du) }
func (du dues) Less(i, j int) bool { return du[i].at < du[j].at }
func (du dues) Swap(i, j int)      { du[i], du[j] = du[j], du[i] }
func (du *dues) Push(one any)      { *du = append(*du, one.(due)) }
func (du *dues) Pop() any {
	old := *du
	one := old[len(old)-1]
	*du = old[:len(old)-1]
	return one
}

// desk is one replay.
type desk struct {
	ours     bool
	now      time.Duration
	queue    dues
	backends []*backend
	random   *rand.Rand
	turn     int
	took     []time.Duration
	hits     int
	starts   int
	failed   int
	retries  int
}

func replayDesk(ours bool) *desk {
	de := &desk{ours: ours, random: rand.New(rand.NewPCG(21, 21))}
	for range replayTargets {
		de.backends = append(de.backends, &backend{cache: map[int]time.Duration{}, mine: &atomic.Int64{}})
	}
	arrivals := rand.New(rand.NewPCG(22, 22))
	zipf := rand.NewZipf(arrivals, 1.1, 4, replayPrefixes-1)
	at := time.Duration(0)
	for range replayCount {
		at += time.Duration(arrivals.ExpFloat64() / replayRate * float64(time.Second))
		prefix, length := int(zipf.Uint64()), 300*time.Millisecond+time.Duration(arrivals.IntN(600))*time.Millisecond
		came := at
		de.at(at, func() { de.try(came, prefix, length, nil) })
	}
	for at := time.Duration(0); at < 5*time.Minute; at += replayReport {
		de.at(at, de.reports)
	}
	for de.queue.Len() > 0 {
		next := heap.Pop(&de.queue).(due)
		de.now = next.at
		next.do()
	}
	slices.Sort(de.took)
	return de
}

func (de *desk) at(when time.Duration, do func()) { heap.Push(&de.queue, due{when, do}) }

// reports brings the load of all targets, as greetings do.
func (de *desk) reports() {
	for _, ba := range de.backends {
		ba.shown, ba.then = ba.running, int(ba.mine.Load())
	}
}

func (de *desk) down(at int) bool {
	return at == crashTarget && de.now >= crashFrom && de.now < crashUntil
}

func (de *desk) try(came time.Duration, prefix int, length time.Duration, tried []string) {
	at, found := de.choose(prefix, tried)
	if !found || len(tried) >= replayTries {
		de.failed++
		return
	}
	ba := de.backends[at]
	if de.down(at) || ba.running >= replayCapacity {
		if de.down(at) {
			ba.health.Failed(origin.Add(de.now))
		}
		de.retries++
		de.at(de.now+5*time.Millisecond, func() { de.try(came, prefix, length, append(tried, name(at))) })
		return
	}
	de.run(at, came, prefix, length)
}

func (de *desk) run(at int, came time.Duration, prefix int, length time.Duration) {
	ba := de.backends[at]
	_, hit := ba.cache[prefix]
	ba.cache[prefix] = de.now
	if len(ba.cache) > replayCache {
		ba.forget()
	}
	first := 20 * time.Millisecond
	de.starts++
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
	ba.mine.Add(1)
	ends := de.now + slow*(first+length)
	de.at(ends, func() {
		ba.running--
		ba.mine.Add(-1)
		ba.health.Answered(origin.Add(de.now), slow*first, de.typicalFirst())
		ba.health.Paced(30 / float64(slow))
		de.took = append(de.took, de.now-came)
	})
}

func (ba *backend) forget() {
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

func (de *desk) typicalFirst() time.Duration {
	var all []time.Duration
	for _, ba := range de.backends {
		all = append(all, ba.health.Latency())
	}
	slices.Sort(all)
	return all[len(all)/2]
}

func (de *desk) typicalSpeed() float64 {
	var all []float64
	for _, ba := range de.backends {
		all = append(all, ba.health.Speed())
	}
	slices.Sort(all)
	return all[len(all)/2]
}

func (de *desk) choose(prefix int, tried []string) (int, bool) {
	if !de.ours {
		de.turn++
		return de.turn % replayTargets, true
	}
	var vi route.View
	for at, ba := range de.backends {
		vi.Targets = append(vi.Targets, route.Target{
			Name: name(at), Service: "lm", Region: "r", State: core.Serving, Capacity: replayCapacity,
			Reported: ba.shown, MineThen: ba.then, Mine: ba.mine, Return: ba.health.Share(origin.Add(de.now), de.typicalSpeed()),
		})
	}
	ta, er := route.Choose(vi, route.Ask{Service: "lm", Region: "r", Tried: tried, Prefix: uint64(prefix + 1), Draw: de.random.IntN})
	if er != nil {
		return 0, false
	}
	at := slices.IndexFunc(vi.Targets, func(other route.Target) bool { return other.Name == ta.Name })
	return at, true
}

func (de *desk) quantile(share float64) time.Duration {
	return de.took[int(share*float64(len(de.took)-1))].Round(time.Millisecond)
}

// The policy against turns with plain retries, same requests.
func TestReplayDesk(t *testing.T) {
	ours, turns := replayDesk(true), replayDesk(false)
	for policy, de := range map[string]*desk{"ours": ours, "turns": turns} {
		require.Equal(t, replayCount, len(de.took)+de.failed)
		if *report {
			t.Logf("%-6s p50 %v p99 %v  cache hits %.0f%%  failed %.2f%%  retries %.1f%% of the load", policy, de.quantile(0.5), de.quantile(0.99),
				100*float64(de.hits)/float64(de.starts), 100*float64(de.failed)/replayCount, 100*float64(de.retries)/replayCount)
		}
	}
	require.Less(t, ours.quantile(0.5), turns.quantile(0.5))
	require.Less(t, ours.quantile(0.99), turns.quantile(0.99))
	require.Greater(t, ours.hits, turns.hits)
	require.LessOrEqual(t, ours.failed, turns.failed)
	require.Less(t, ours.retries, turns.retries)
}
