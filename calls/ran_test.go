package calls_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/calls"
	"bilberryshelf/conf"
	"bilberryshelf/core"
)

// A request must be counted once if a target may have run it, however many were asked, at the
// time at which it was sent to the first that did not refuse it; otherwise not at all.
func TestRan(t *testing.T) {
	full, cut := core.Refuse(core.CodeFull, "full"), core.InDoubt(core.CodeTargetLost, "cut")
	all := func(bh behavior) map[string]behavior {
		return map[string]behavior{"t0": bh, "t1": bh, "t2": bh, "t3": bh, "t4": bh, "t5": bh}
	}
	for name, tc := range map[string]struct {
		behaviors map[string]behavior
		deferred  bool
		workspace string
		leave     time.Duration
		count     int
		// told is the time by which the request must be counted.
		told time.Duration
	}{
		"answered":                   {all(behavior{wait: 20 * time.Millisecond}), false, "w", 0, 1, 20 * time.Millisecond},
		"sent to a second target":    {all(behavior{wait: 200 * time.Millisecond}), false, "w", 0, 1, 300 * time.Millisecond},
		"all break":                  {all(behavior{err: cut}), false, "w", 0, 1, 0},
		"all refuse":                 {all(behavior{err: full}), false, "w", 0, 0, 0},
		"the caller leaves":          {all(behavior{hang: true}), false, "w", 50 * time.Millisecond, 1, 50 * time.Millisecond},
		"no answer for long":         {all(behavior{hang: true}), false, "w", 0, 1, 1500 * time.Millisecond},
		"a scoring call":             {all(behavior{}), true, "w", 0, 0, 0},
		"without a workspace":        {all(behavior{}), false, "", 0, 0, 0},
		"refused after it was asked": {all(behavior{wait: 20 * time.Millisecond, err: full}), false, "w", 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fo := newForwarder(&fakeTargets{behaviors: tc.behaviors}, 6)
				var (
					mutex   sync.Mutex
					ran     []calls.Ran
					told    time.Duration
					started = time.Now()
				)
				fo.OnRun = func(ra calls.Ran) {
					mutex.Lock()
					defer mutex.Unlock()
					ran, told = append(ran, ra), time.Since(started)
				}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if tc.leave > 0 {
					time.AfterFunc(tc.leave, cancel)
				}
				re := request(conf.Idempotent, 4*time.Second)
				re.Workspace, re.Deferred = tc.workspace, tc.deferred
				_, _ = fo.Do(ctx, re)
				synctest.Wait()
				mutex.Lock()
				defer mutex.Unlock()
				require.Len(t, ran, tc.count)
				if tc.count > 0 {
					require.Equal(t, "w", ran[0].Workspace)
					require.Less(t, ran[0].At.Sub(started), 5*time.Millisecond, "counts when it was sent")
					require.LessOrEqual(t, told, tc.told)
				}
			})
		})
	}
}

// A stream must be counted once, at its first event, also if it is resumed; one that breaks
// after it was sent counts when it was sent, and one that all targets refuse does not.
func TestRanStream(t *testing.T) {
	cut, full := core.InDoubt(core.CodeAnswerCut, "cut"), core.Refuse(core.CodeFull, "full")
	for name, tc := range map[string]struct {
		attempts []streamAttempt
		count    int
		at       time.Duration
	}{
		"resumed":       {[]streamAttempt{{err: full}, {events: 2, err: cut}, {events: 1}}, 1, 50 * time.Millisecond},
		"never started": {[]streamAttempt{{err: cut}, {err: cut}}, 1, 0},
		"refused":       {[]streamAttempt{{err: full}, {err: full}, {err: full}, {err: full}}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fo := newForwarder(&fakeTargets{}, 6)
				fo.Streamer = &fakeStreamer{attempts: tc.attempts}
				var ran []calls.Ran
				started := time.Now()
				fo.OnRun = func(ra calls.Ran) { ran = append(ran, ra) }
				re := request(conf.Stream, 4*time.Second)
				re.Workspace, re.Route.Resumable = "w", true
				_ = fo.Stream(context.Background(), re, &sink{})
				require.Len(t, ran, tc.count)
				if tc.count > 0 {
					require.InDelta(t, float64(tc.at), float64(ran[0].At.Sub(started)), float64(2*time.Millisecond))
				}
			})
		})
	}
}
