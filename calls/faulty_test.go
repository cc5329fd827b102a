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

// The load pattern: as many callers as the sound targets have slots, beside faulty targets.
// Guards against requests that go to targets which have failed again and again, since the sound
// ones are full at that moment: these end with an error that promises nothing, where a refusal
// would have sent the caller back in time.
func TestReplayFaultyTargetsBesideFullOnes(t *testing.T) {
	for _, kind := range []conf.Kind{conf.Idempotent, conf.NonIdempotent} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				broken := behavior{wait: 5 * time.Millisecond, err: core.InDoubt(core.CodeAnswerCut, "no answer")}
				ts := &fakeTargets{slots: 12, behaviors: map[string]behavior{
					"t0": {wait: 50 * time.Millisecond}, "t1": {wait: 50 * time.Millisecond}, "t2": broken, "t3": broken, "t4": broken,
				}}
				fo := newForwarder(ts, 5)
				var (
					group             sync.WaitGroup
					mutex             sync.Mutex
					served, uncertain int
				)
				started := time.Now()
				for range 24 {
					group.Go(func() {
						for time.Since(started) < 20*time.Second {
							_, err := fo.Do(context.Background(), request(kind, 2*time.Second))
							mutex.Lock()
							switch {
							case time.Since(started) < 5*time.Second: // the faulty targets are not known yet
							case err == nil:
								served++
							case err.Verdict != core.NotRun:
								uncertain++
							}
							mutex.Unlock()
							if err != nil {
								time.Sleep(max(err.RetryAfter, 20*time.Millisecond))
							}
						}
					})
				}
				group.Wait()
				t.Logf("%d served, %d without a promise", served, uncertain)
				require.Less(t, uncertain, served/50)
			})
		})
	}
}

// Guards against requests that are refused for ever since all targets have failed: without a
// sound one, those that fail are tried.
func TestFaultyTargetsAreTriedWithoutSoundOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := behavior{wait: 5 * time.Millisecond, err: core.InDoubt(core.CodeAnswerCut, "no answer")}
		ts := &fakeTargets{behaviors: map[string]behavior{"t0": broken, "t1": broken}}
		fo := newForwarder(ts, 2)
		for range 20 {
			_, err := fo.Do(context.Background(), request(conf.Idempotent, 2*time.Second))
			require.NotNil(t, err)
		}
		require.Len(t, ts.requested, 40)
		ts.behaviors["t1"] = behavior{}
		_, err := fo.Do(context.Background(), request(conf.Idempotent, 2*time.Second))
		require.Nil(t, err)
	})
}
