package calls_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/calls"
	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/fleet"
)

// A target that announces its departure after it was chosen, and before the request is
// sent, must not get the request: another one does. The fleet's lists still show it as
// usual.
func TestDepartureWhileDeciding(t *testing.T) {
	for _, kind := range []conf.Kind{conf.Idempotent, conf.NonIdempotent, conf.Stream} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const leaving = 6
				ts := &fakeTargets{}
				fo := newForwarder(ts, leaving+2)
				sr := &fakeStreamer{attempts: []streamAttempt{{events: 1}}}
				fo.Streamer, fo.Departures = sr, &fleet.Departures{}
				for _, ta := range testTargets(leaving) {
					fo.Departures.Announce(time.Now(), ta)
				}
				for at := range 20 {
					sr.requested, sr.afterIDs = nil, nil
					re := request(kind, 2*time.Second)
					re.ID = fmt.Sprint("r", at)
					var err *core.Error
					if kind == conf.Stream {
						err = fo.Stream(context.Background(), re, &sink{})
					} else {
						_, err = fo.Do(context.Background(), re)
					}
					require.Nil(t, err)
					ts.requested = append(ts.requested, sr.requested...)
				}
				require.Len(t, ts.requested, 20)
				for _, ta := range testTargets(leaving) {
					require.NotContains(t, ts.requested, ta.ID)
				}
			})
		})
	}
}

// When all targets leave, the request is refused at once as not run.
func TestAllTargetsLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := &fakeTargets{}
		fo := newForwarder(ts, 3)
		fo.Departures = &fleet.Departures{}
		for _, ta := range testTargets(3) {
			fo.Departures.Announce(time.Now(), ta)
		}
		started := time.Now()
		_, err := fo.Do(context.Background(), request(conf.NonIdempotent, 2*time.Second))
		require.Equal(t, core.NotRun, err.Verdict)
		require.Positive(t, err.RetryAfter)
		require.Empty(t, ts.requested)
		require.Zero(t, time.Since(started))
	})
}

// The second target of an idempotent request is chosen late: a target that announced its
// departure in the meantime must not be it.
func TestNoSecondTargetThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := &fakeTargets{behaviors: map[string]behavior{"t0": {hang: true}, "t1": {hang: true}}}
		fo := newForwarder(ts, 2)
		fo.Departures = &fleet.Departures{}
		done := make(chan *core.Error)
		go func() {
			_, err := fo.Do(context.Background(), request(conf.Idempotent, time.Second))
			done <- err
		}()
		time.Sleep(10 * time.Millisecond)
		for _, ta := range testTargets(2) {
			fo.Departures.Announce(time.Now(), ta)
		}
		require.Equal(t, core.MayHaveRun, (<-done).Verdict)
		ts.mutex.Lock()
		defer ts.mutex.Unlock()
		require.Len(t, ts.requested, 1)
	})
}

// pausedClock is a clock that jumps ahead after the given number of readings, as that of
// a process that is paused there.
type pausedClock struct {
	core.SystemClock
	readings int
}

func (pc *pausedClock) Now() time.Time {
	if pc.readings--; pc.readings < 0 {
		return time.Now().Add(10 * time.Second)
	}
	return time.Now()
}

// pauseRecorder is a Sender that counts the requests sent after the clock has jumped.
type pauseRecorder struct {
	clock      *pausedClock
	sent, late int
}

func (pr *pauseRecorder) Send(context.Context, fleet.Target, calls.Request) (calls.Response, error) {
	pr.sent++
	if pr.clock.readings < 0 {
		pr.late++
	}
	return calls.Response{Status: 200}, nil
}

// A process that is paused between any two of its steps must not send a request whose
// deadline has passed meanwhile.
func TestPauseBeforeSending(t *testing.T) {
	sent := 0
	for readings := range 12 {
		synctest.Test(t, func(t *testing.T) {
			fo := newForwarder(&fakeTargets{}, 3)
			clock := &pausedClock{readings: readings}
			pr := &pauseRecorder{clock: clock}
			fo.Clock, fo.Sender = clock, pr
			_, err := fo.Do(context.Background(), request(conf.NonIdempotent, 2*time.Second))
			require.Zero(t, pr.late, "paused after %d readings of the clock", readings)
			if pr.sent == 0 {
				require.Equal(t, core.NotRun, err.Verdict)
			}
			sent += pr.sent
		})
	}
	require.Positive(t, sent)
	require.Less(t, sent, 12)
}
