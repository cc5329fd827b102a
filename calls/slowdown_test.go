package calls_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/calls"
	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/fleet"
)

// sharedTargets are targets with six slots on shared hosts. A third is always 1.3 times
// slower; 15% are 2.5 times slower at any moment, drawn anew each 600 ms.
type sharedTargets struct {
	// reports has the responses carry the slowdown.
	reports bool
	mutex   sync.Mutex
	rng     *rand.Rand
	drawnAt time.Time
	noise   map[string]int
	slots   map[string]chan struct{}
	waiting map[string]int
}

func (st *sharedTargets) slowdown(id string) int {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	if now := time.Now(); now.Sub(st.drawnAt) >= 600*time.Millisecond {
		st.drawnAt = now
		for _, ta := range testTargets(6) {
			st.noise[ta.ID] = 100
			if st.rng.Float64() < 0.15 {
				st.noise[ta.ID] = 250
			}
		}
	}
	return st.noise[id]
}

func (st *sharedTargets) Send(ctx context.Context, ta fleet.Target, _ calls.Request) (calls.Response, error) {
	slots := st.slots[ta.ID]
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return calls.Response{}, core.InDoubt(core.CodeTargetLost, "left")
	}
	defer func() { <-slots }()
	slowdown := st.slowdown(ta.ID)
	work := 30 * time.Millisecond * time.Duration(slowdown) / 100
	if ta.ID < "t2" {
		work = work * 13 / 10
	}
	select {
	case <-time.After(work):
	case <-ctx.Done():
		return calls.Response{}, core.InDoubt(core.CodeTargetLost, "left")
	}
	rs := calls.Response{Status: 200, Stamp: "s", Running: len(slots), Slots: cap(slots)}
	if st.reports {
		rs.Slowdown = st.slowdown(ta.ID)
	}
	return rs, nil
}

// burstLatencies returns the sorted latencies of bursts of 200 calls in half a second.
func burstLatencies(t *testing.T, reports bool, seed uint64) (took []time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		st := &sharedTargets{reports: reports, rng: rand.New(rand.NewPCG(seed, 3)), noise: map[string]int{}, slots: map[string]chan struct{}{}}
		for _, ta := range testTargets(6) {
			st.slots[ta.ID] = make(chan struct{}, ta.Slots)
		}
		fo := newForwarder(&fakeTargets{}, 6)
		fo.Sender = st
		var (
			mutex sync.Mutex
			group sync.WaitGroup
		)
		for at := range 20 * 200 {
			if at%200 == 0 {
				time.Sleep(time.Second)
			}
			time.Sleep(2500 * time.Microsecond)
			group.Go(func() {
				re, began := request(conf.Idempotent, 2*time.Second), time.Now()
				re.ID = fmt.Sprint(at)
				_, err := fo.Do(context.Background(), re)
				if err != nil {
					t.Errorf("call %d: %v", at, err)
				}
				mutex.Lock()
				defer mutex.Unlock()
				took = append(took, time.Since(began))
			})
		}
		group.Wait()
	})
	slices.Sort(took)
	return took
}

// Guards against scoring calls that wait at a target of a shared host that is slow now.
func TestReplayBurstOnSharedHosts(t *testing.T) {
	figures := func(reports bool) (mean, p99 time.Duration) {
		const seeds = 5
		for seed := range uint64(seeds) {
			took := burstLatencies(t, reports, seed)
			sum := time.Duration(0)
			for _, ti := range took {
				sum += ti
			}
			mean, p99 = mean+sum/time.Duration(len(took))/seeds, p99+took[len(took)*99/100]/seeds
		}
		return mean, p99
	}
	with, slowest := figures(true)
	without, slowestBefore := figures(false)
	t.Logf("mean and 99th percentile: with slowdowns %v %v, without %v %v", with, slowest, without, slowestBefore)
	require.Less(t, with, without*90/100, "without the class by slowdown, or the choice by expected latency, it is longer")
	require.LessOrEqual(t, slowest, slowestBefore)
}
