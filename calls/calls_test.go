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

// behave is what a target does with a request.
type behave struct {
	wait   time.Duration
	err    *core.Error
	status int
	// hang never answers.
	hang bool
}

// targets answers for a whole service.
type targets struct {
	mutex  sync.Mutex
	how    map[string]behave
	asked  []string
	active map[string]int
	most   int
	// slots bounds the requests that a target runs at once; others are refused.
	slots int
}

func (ts *targets) Send(ctx context.Context, ta fleet.Target, _ calls.Request) (calls.Answer, error) {
	ts.mutex.Lock()
	ts.asked = append(ts.asked, ta.ID)
	how := ts.how[ta.ID]
	full := ts.slots > 0 && ts.active[ta.ID] >= ts.slots
	if !full {
		ts.active[ta.ID]++
		ts.most = max(ts.most, ts.active[ta.ID])
	}
	running := ts.active[ta.ID]
	ts.mutex.Unlock()
	if full {
		return calls.Answer{}, core.Refuse(core.CodeFull, "full")
	}
	defer func() {
		ts.mutex.Lock()
		defer ts.mutex.Unlock()
		ts.active[ta.ID]--
	}()
	wait := time.After(how.wait)
	if how.hang {
		wait = nil
	}
	select {
	case <-wait:
	case <-ctx.Done():
		return calls.Answer{}, core.InDoubt(core.CodeTargetLost, "left")
	}
	if how.err != nil {
		return calls.Answer{}, how.err
	}
	return calls.Answer{Status: max(how.status, 200), Stamp: "s", Running: running, Slots: 6}, nil
}

func fleetOf(count int) []fleet.Target {
	var all []fleet.Target
	for at := range count {
		all = append(all, fleet.Target{ID: fmt.Sprintf("t%d", at), Service: "desk", Addr: fmt.Sprintf("10.0.0.%d:80", at), Slots: 6})
	}
	return all
}

// caller draws targets by a fixed seed.
func caller(ts *targets, count int) *calls.Caller {
	ts.active = map[string]int{}
	bo := &calls.Board{}
	bo.Update(fleetOf(count))
	rng := rand.New(rand.NewPCG(1, 2))
	var mutex sync.Mutex
	return &calls.Caller{
		Sender: ts, Clock: core.SystemClock{}, Logger: log.NewNopLogger(), Meters: &meter.Set{}, Board: bo,
		Draw: func(below int) int {
			mutex.Lock()
			defer mutex.Unlock()
			return rng.IntN(below)
		},
	}
}

func request(kind conf.Kind, span time.Duration) calls.Request {
	return calls.Request{
		ID: "r", Deadline: time.Now().Add(span),
		Route: conf.Route{Name: "r", Kind: kind, Shares: []conf.Share{{Service: "desk", Weight: 1}}, Attempts: 2, TargetLatency: 250 * time.Millisecond},
	}
}

func TestDo(t *testing.T) {
	full := core.Refuse(core.CodeFull, "full")
	cut := core.InDoubt(core.CodeTargetLost, "cut")
	all := func(be behave) map[string]behave {
		return map[string]behave{"t0": be, "t1": be, "t2": be, "t3": be, "t4": be, "t5": be}
	}
	for _, tc := range []struct {
		name    string
		kind    conf.Kind
		how     map[string]behave
		verdict core.Verdict
		code    core.Code
		// asked bounds the targets that are asked, within the time given.
		asked  int
		within time.Duration
	}{
		{"served", conf.Idempotent, all(behave{wait: 25 * time.Millisecond}), "", "", 1, 30 * time.Millisecond},
		{"the first is slow: a second one answers", conf.Idempotent, map[string]behave{"t0": {hang: true}, "t1": {hang: true}, "t2": {hang: true}}, "", "", 2, 150 * time.Millisecond},
		{"the first cuts: a second one answers", conf.Idempotent, map[string]behave{"t0": {err: cut}, "t1": {err: cut}, "t2": {err: cut}}, "", "", 2, 150 * time.Millisecond},
		{"all cut: no more than the route permits", conf.Idempotent, all(behave{err: cut}), core.MayHaveRun, core.CodeTargetLost, 2, 10 * time.Millisecond},
		{"all full: refused at once", conf.Idempotent, all(behave{err: full}), core.NotRun, core.CodeFull, calls.MostRefusals, 10 * time.Millisecond},
		{"all hang: late", conf.Idempotent, all(behave{hang: true}), core.MayHaveRun, core.CodeDeadline, 2, time.Second},
		{"once: a cut is never repeated", conf.NonIdempotent, all(behave{err: cut}), core.MayHaveRun, core.CodeTargetLost, 1, 10 * time.Millisecond},
		{"once: no second target beside the first", conf.NonIdempotent, all(behave{hang: true}), core.MayHaveRun, core.CodeDeadline, 1, time.Second},
		{"once: a refusal leads to another target", conf.NonIdempotent, map[string]behave{"t0": {err: full}, "t1": {err: full}, "t2": {err: full}}, "", "", 4, 10 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := &targets{how: tc.how}
				ca := caller(ts, 6)
				began := time.Now()
				answer, err := ca.Do(context.Background(), request(tc.kind, time.Second))
				took := time.Since(began)
				synctest.Wait()
				require.LessOrEqual(t, len(ts.asked), tc.asked)
				require.LessOrEqual(t, took, tc.within)
				if tc.verdict == "" {
					require.Nil(t, err)
					require.Equal(t, 200, answer.Status)
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

// With too little time left no target is asked, and the refusal is true.
func TestTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := &targets{}
		ca := caller(ts, 3)
		_, err := ca.Do(context.Background(), request(conf.Idempotent, 20*time.Millisecond))
		require.NotNil(t, err)
		require.Equal(t, core.NotRun, err.Verdict)
		require.Equal(t, core.CodeDeadline, err.Code)
		require.Empty(t, ts.asked)
	})
}

// A caller that leaves takes its request off the targets at once.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := &targets{how: map[string]behave{"t0": {hang: true}, "t1": {hang: true}}}
		ca := caller(ts, 2)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(200*time.Millisecond, cancel)
		_, err := ca.Do(ctx, request(conf.Idempotent, time.Minute))
		require.NotNil(t, err)
		synctest.Wait()
		require.Equal(t, map[string]int{"t0": 0, "t1": 0}, ts.active)
	})
}

// The load pattern: scoring calls of a step come in one burst at a service that
// just holds them. They spread over the targets by load.
func TestReplayBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := &targets{slots: 6, how: map[string]behave{}}
		for at := range 6 {
			ts.how[fmt.Sprintf("t%d", at)] = behave{wait: 200 * time.Millisecond}
		}
		ca := caller(ts, 6)
		var (
			group sync.WaitGroup
			mutex sync.Mutex
			took  []time.Duration
		)
		for at := range 30 {
			group.Go(func() {
				time.Sleep(time.Duration(at) * 2 * time.Millisecond)
				began := time.Now()
				re := request(conf.Idempotent, 3*time.Second)
				re.Route.TargetLatency = time.Second
				_, err := ca.Do(context.Background(), re)
				mutex.Lock()
				defer mutex.Unlock()
				if err == nil {
					took = append(took, time.Since(began))
				}
			})
		}
		group.Wait()
		require.Len(t, took, 30, "thirty calls fit thirty-six slots")
		require.Less(t, slices.Max(took), 300*time.Millisecond)
	})
}

// A target of another region is asked when those of the own region are busy.
func TestRegionFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := &targets{how: map[string]behave{}}
		ca := caller(ts, 4)
		all := fleetOf(4)
		for at := range all {
			all[at].Distance = fleet.SameRegion
			ts.how[all[at].ID] = behave{wait: 100 * time.Millisecond}
		}
		all[0].Distance, all[1].Distance = fleet.OtherRegion, fleet.OtherRegion
		ca.Board.Update(all)
		for range 10 {
			_, err := ca.Do(context.Background(), request(conf.NonIdempotent, time.Second))
			require.Nil(t, err)
		}
		require.NotContains(t, ts.asked, "t0")
		require.NotContains(t, ts.asked, "t1")
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() {
				_, err := ca.Do(context.Background(), request(conf.NonIdempotent, time.Second))
				require.Nil(t, err)
			})
		}
		group.Wait()
		require.Contains(t, ts.asked, "t0")
		require.Contains(t, ts.asked, "t1")
	})
}

// A target that fails rests; after its rest it is asked again.
func TestRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cut := core.InDoubt(core.CodeTargetLost, "cut")
		ts := &targets{how: map[string]behave{"t0": {err: cut}, "t1": {wait: 25 * time.Millisecond}, "t2": {wait: 25 * time.Millisecond}}}
		ca := caller(ts, 3)
		for range 30 {
			_, err := ca.Do(context.Background(), request(conf.Idempotent, time.Second))
			require.Nil(t, err)
		}
		failed := 0
		for _, id := range ts.asked {
			if id == "t0" {
				failed++
			}
		}
		require.LessOrEqual(t, failed, 1)
		ts.how["t0"] = behave{wait: 25 * time.Millisecond}
		time.Sleep(5 * time.Second)
		ts.asked = nil
		var group sync.WaitGroup
		for range 6 { // at once: with a single one the same connection would do
			group.Go(func() {
				_, err := ca.Do(context.Background(), request(conf.Idempotent, time.Second))
				require.Nil(t, err)
			})
		}
		group.Wait()
		require.Contains(t, ts.asked, "t0")
	})
}

// The load pattern: a few requests a second at an entry. They keep to a target
// with an idle connection, and spread as soon as it has work.
func TestReplayFewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := &targets{how: map[string]behave{}}
		for at := range 6 {
			ts.how[fmt.Sprintf("t%d", at)] = behave{wait: 25 * time.Millisecond}
		}
		ca := caller(ts, 6)
		for range 20 {
			_, err := ca.Do(context.Background(), request(conf.Idempotent, time.Second))
			require.Nil(t, err)
			time.Sleep(500 * time.Millisecond)
		}
		slices.Sort(ts.asked)
		require.Len(t, slices.Compact(ts.asked), 1)
	})
}
