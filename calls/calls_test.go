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

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"bilberryshelf/calls"
	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/fleet"
	"bilberryshelf/meter"
)

// behavior is how a target responds to a request.
type behavior struct {
	wait   time.Duration
	err    *core.Error
	status int
	// hang means that the target never responds.
	hang bool
}

// fakeTargets is a Sender that simulates all targets of a service.
type fakeTargets struct {
	mutex     sync.Mutex
	behaviors map[string]behavior
	requested []string
	active    map[string]int
	maxActive int
	// slots is the number of concurrent requests per target; more are refused. Zero
	// means no limit.
	slots int
}

func (ts *fakeTargets) Send(ctx context.Context, ta fleet.Target, _ calls.Request) (calls.Response, error) {
	ts.mutex.Lock()
	ts.requested = append(ts.requested, ta.ID)
	bh := ts.behaviors[ta.ID]
	full := ts.slots > 0 && ts.active[ta.ID] >= ts.slots
	if !full {
		ts.active[ta.ID]++
		ts.maxActive = max(ts.maxActive, ts.active[ta.ID])
	}
	running := ts.active[ta.ID]
	ts.mutex.Unlock()
	if full {
		return calls.Response{}, core.Refuse(core.CodeFull, "full")
	}
	defer func() {
		ts.mutex.Lock()
		defer ts.mutex.Unlock()
		ts.active[ta.ID]--
	}()
	wait := time.After(bh.wait)
	if bh.hang {
		wait = nil
	}
	select {
	case <-wait:
	case <-ctx.Done():
		return calls.Response{}, core.InDoubt(core.CodeTargetLost, "left")
	}
	if bh.err != nil {
		return calls.Response{}, bh.err
	}
	return calls.Response{Status: max(bh.status, 200), Stamp: "s", Running: running, Slots: 6}, nil
}

func testTargets(count int) []fleet.Target {
	var all []fleet.Target
	for at := range count {
		all = append(all, fleet.Target{ID: fmt.Sprintf("t%d", at), Service: "desk", Addr: fmt.Sprintf("10.0.0.%d:80", at), Slots: 6})
	}
	return all
}

// newForwarder returns a forwarder that uses a fixed random seed.
func newForwarder(ts *fakeTargets, count int) *calls.Forwarder {
	ts.active = map[string]int{}
	ba := &calls.Balancer{}
	ba.Update(time.Now(), testTargets(count))
	rng := rand.New(rand.NewPCG(1, 2))
	var mutex sync.Mutex
	return &calls.Forwarder{
		Sender: ts, Clock: core.SystemClock{}, Logger: log.NewNopLogger(), Meters: &meter.Set{}, Balancer: ba,
		IntN: func(below int) int {
			mutex.Lock()
			defer mutex.Unlock()
			return rng.IntN(below)
		},
	}
}

func request(kind conf.Kind, timeout time.Duration) calls.Request {
	return calls.Request{
		ID: "r", Deadline: time.Now().Add(timeout),
		Route: conf.Route{Name: "r", Kind: kind, Shares: []conf.Share{{Service: "desk", Weight: 1}}, Attempts: 2, TargetLatency: 250 * time.Millisecond},
	}
}

func TestDo(t *testing.T) {
	full := core.Refuse(core.CodeFull, "full")
	cut := core.InDoubt(core.CodeTargetLost, "cut")
	all := func(bh behavior) map[string]behavior {
		return map[string]behavior{"t0": bh, "t1": bh, "t2": bh, "t3": bh, "t4": bh, "t5": bh}
	}
	for _, tc := range []struct {
		name      string
		kind      conf.Kind
		behaviors map[string]behavior
		verdict   core.Verdict
		code      core.Code
		// requested and within are upper bounds.
		requested int
		within    time.Duration
	}{
		{"served", conf.Idempotent, all(behavior{wait: 25 * time.Millisecond}), "", "", 1, 30 * time.Millisecond},
		{"the first is slow: hedged at a second one", conf.Idempotent, map[string]behavior{"t0": {hang: true}, "t1": {hang: true}, "t2": {hang: true}}, "", "", 2, 150 * time.Millisecond},
		{"the first cuts the connection: retried at a second one", conf.Idempotent, map[string]behavior{"t0": {err: cut}, "t1": {err: cut}, "t2": {err: cut}}, "", "", 2, 150 * time.Millisecond},
		{"all cut the connection: no more attempts than the route permits", conf.Idempotent, all(behavior{err: cut}), core.MayHaveRun, core.CodeTargetLost, 2, 10 * time.Millisecond},
		{"all full: refused at once", conf.Idempotent, all(behavior{err: full}), core.NotRun, core.CodeFull, calls.MaxRefusals, 10 * time.Millisecond},
		{"all hang: deadline exceeded", conf.Idempotent, all(behavior{hang: true}), core.MayHaveRun, core.CodeDeadline, 2, time.Second},
		{"non-idempotent: never retried after a cut", conf.NonIdempotent, all(behavior{err: cut}), core.MayHaveRun, core.CodeTargetLost, 1, 10 * time.Millisecond},
		{"non-idempotent: not hedged at a second target", conf.NonIdempotent, all(behavior{hang: true}), core.MayHaveRun, core.CodeDeadline, 1, time.Second},
		{"non-idempotent: a refusal leads to another target", conf.NonIdempotent, map[string]behavior{"t0": {err: full}, "t1": {err: full}, "t2": {err: full}}, "", "", 4, 10 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := &fakeTargets{behaviors: tc.behaviors}
				fo := newForwarder(ts, 6)
				started := time.Now()
				rs, err := fo.Do(context.Background(), request(tc.kind, time.Second))
				took := time.Since(started)
				synctest.Wait()
				require.LessOrEqual(t, len(ts.requested), tc.requested)
				require.LessOrEqual(t, took, tc.within)
				if tc.verdict == "" {
					require.Nil(t, err)
					require.Equal(t, 200, rs.Status)
					return
				}
				require.NotNil(t, err)
				require.Equal(t, tc.verdict, err.Verdict)
				require.Equal(t, tc.code, err.Code)
				if tc.code == core.CodeFull {
					require.Positive(t, err.RetryAfter)
				}
			})
		})
	}
}

// If the deadline is too close, no target receives the request and the verdict is not-run.
func TestDeadlineTooClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := &fakeTargets{}
		fo := newForwarder(ts, 3)
		_, err := fo.Do(context.Background(), request(conf.Idempotent, 20*time.Millisecond))
		require.NotNil(t, err)
		require.Equal(t, core.NotRun, err.Verdict)
		require.Equal(t, core.CodeDeadline, err.Code)
		require.Empty(t, ts.requested)
	})
}

// A caller that disconnects cancels its requests at the targets at once.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := &fakeTargets{behaviors: map[string]behavior{"t0": {hang: true}, "t1": {hang: true}}}
		fo := newForwarder(ts, 2)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(200*time.Millisecond, cancel)
		_, err := fo.Do(ctx, request(conf.Idempotent, time.Minute))
		require.NotNil(t, err)
		synctest.Wait()
		require.Equal(t, map[string]int{"t0": 0, "t1": 0}, ts.active)
	})
}

// Replays a burst of scoring calls of a step, 30 calls on 36 slots. None may be refused
// or wait behind another, so they must be spread by load.
func TestReplayBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := &fakeTargets{slots: 6, behaviors: map[string]behavior{}}
		for at := range 6 {
			ts.behaviors[fmt.Sprintf("t%d", at)] = behavior{wait: 200 * time.Millisecond}
		}
		fo := newForwarder(ts, 6)
		var (
			group sync.WaitGroup
			mutex sync.Mutex
			took  []time.Duration
		)
		for at := range 30 {
			group.Go(func() {
				time.Sleep(time.Duration(at) * 2 * time.Millisecond)
				started := time.Now()
				re := request(conf.Idempotent, 3*time.Second)
				re.Route.TargetLatency = time.Second
				_, err := fo.Do(context.Background(), re)
				mutex.Lock()
				defer mutex.Unlock()
				if err == nil {
					took = append(took, time.Since(started))
				}
			})
		}
		group.Wait()
		require.Len(t, took, 30, "30 calls fit 36 slots")
		require.Less(t, slices.Max(took), 300*time.Millisecond)
	})
}

// Targets of another region are used only when those of the own region are busy.
func TestOwnRegionPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := &fakeTargets{behaviors: map[string]behavior{}}
		fo := newForwarder(ts, 4)
		all := testTargets(4)
		for at := range all {
			all[at].Distance = fleet.SameRegion
			ts.behaviors[all[at].ID] = behavior{wait: 100 * time.Millisecond}
		}
		all[0].Distance, all[1].Distance = fleet.OtherRegion, fleet.OtherRegion
		fo.Update(all)
		for range 10 {
			_, err := fo.Do(context.Background(), request(conf.NonIdempotent, time.Second))
			require.Nil(t, err)
		}
		require.NotContains(t, ts.requested, "t0")
		require.NotContains(t, ts.requested, "t1")
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() {
				_, err := fo.Do(context.Background(), request(conf.NonIdempotent, time.Second))
				require.Nil(t, err)
			})
		}
		group.Wait()
		require.Contains(t, ts.requested, "t0")
		require.Contains(t, ts.requested, "t1")
	})
}

// A target that fails is avoided during its backoff and used again afterwards.
func TestBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cut := core.InDoubt(core.CodeTargetLost, "cut")
		ts := &fakeTargets{behaviors: map[string]behavior{"t0": {err: cut}, "t1": {wait: 25 * time.Millisecond}, "t2": {wait: 25 * time.Millisecond}}}
		fo := newForwarder(ts, 3)
		for range 30 {
			_, err := fo.Do(context.Background(), request(conf.Idempotent, time.Second))
			require.Nil(t, err)
		}
		failed := 0
		for _, id := range ts.requested {
			if id == "t0" {
				failed++
			}
		}
		require.LessOrEqual(t, failed, 1)
		ts.behaviors["t0"] = behavior{wait: 25 * time.Millisecond}
		time.Sleep(5 * time.Second)
		ts.requested = nil
		var group sync.WaitGroup
		for range 6 { // concurrent, since a single request would reuse a warm connection
			group.Go(func() {
				_, err := fo.Do(context.Background(), request(conf.Idempotent, time.Second))
				require.Nil(t, err)
			})
		}
		group.Wait()
		require.Contains(t, ts.requested, "t0")
	})
}

// Replays two requests per second. All must go to the one target with an idle
// connection instead of opening new ones.
func TestReplayFewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := &fakeTargets{behaviors: map[string]behavior{}}
		for at := range 6 {
			ts.behaviors[fmt.Sprintf("t%d", at)] = behavior{wait: 25 * time.Millisecond}
		}
		fo := newForwarder(ts, 6)
		for range 20 {
			_, err := fo.Do(context.Background(), request(conf.Idempotent, time.Second))
			require.Nil(t, err)
			time.Sleep(500 * time.Millisecond)
		}
		slices.Sort(ts.requested)
		require.Len(t, slices.Compact(ts.requested), 1)
	})
}
