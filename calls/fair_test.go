package calls_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/conf"
	"bilberryshelf/core"
)

// serveShare sends requests of a workspace with many callers and of one with few to targets
// that are short of capacity, and returns the part of the requests of the small one that was
// served.
func serveShare(t *testing.T, greedy, small string) float64 {
	var served, asked int
	synctest.Test(t, func(t *testing.T) {
		ts := &fakeTargets{slots: 4, behaviors: map[string]behavior{"t0": {wait: 100 * time.Millisecond}, "t1": {wait: 100 * time.Millisecond}}}
		fo := newForwarder(ts, 2)
		until := time.Now().Add(10 * time.Second)
		var group sync.WaitGroup
		call := func(workspace string, pause time.Duration) func() {
			return func() {
				for time.Now().Before(until) {
					re := request(conf.Idempotent, time.Second)
					re.Route.TargetLatency, re.Workspace = time.Second, workspace
					_, err := fo.Do(context.Background(), re)
					if workspace == small && pause > 50*time.Millisecond {
						asked++
						if err == nil {
							served++
						}
					}
					if err != nil {
						require.Equal(t, core.NotRun, err.Verdict)
						require.Positive(t, err.RetryAfter)
					}
					time.Sleep(pause)
				}
			}
		}
		for range 30 {
			group.Go(call(greedy, 10*time.Millisecond))
		}
		group.Go(call(small, 130*time.Millisecond))
		group.Wait()
	})
	return float64(served) / float64(asked)
}

// A workspace that fills the targets keeps no other one out. Without workspaces nothing
// is refused by share.
func TestFairShare(t *testing.T) {
	with, without := serveShare(t, "greedy", "small"), serveShare(t, "", "")
	t.Logf("part of the small workspace's requests that were served: %.2f, without shares %.2f", with, without)
	require.Greater(t, with, 0.7)
	require.Less(t, without, 0.5)
}

// One full target among others is no shortage, whatever a workspace has in flight.
func TestFairShareOneFullTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := &fakeTargets{behaviors: map[string]behavior{"t0": {err: core.Refuse(core.CodeFull, "full")}, "t1": {wait: time.Second}}}
		fo := newForwarder(ts, 2)
		var group sync.WaitGroup
		for range 20 {
			for _, workspace := range []string{"greedy", "greedy", "small"} {
				group.Go(func() {
					re := request(conf.NonIdempotent, 5*time.Second)
					re.Workspace = workspace
					rs, err := fo.Do(context.Background(), re)
					require.Nil(t, err)
					require.Equal(t, 200, rs.Status)
				})
			}
			time.Sleep(5 * time.Millisecond)
		}
		group.Wait()
	})
}
