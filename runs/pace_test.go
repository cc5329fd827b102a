package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fleet"
	"bilberryshelf/place"
)

// measure has one run of an engine produce events for a time at a pace, with a check each
// checkInterval, and returns the time afterwards.
func measure(ow *Owner, ru *run, now time.Time, lasts, pace time.Duration, slowdown int) time.Time {
	next := now.Add(pace)
	for end := now.Add(lasts); now.Before(end); now = now.Add(checkInterval) {
		for ; !next.After(now); next = next.Add(pace) {
			ru.add(next, Event{Version: 1, Slowdown: slowdown})
		}
		ow.updatePaces(now)
	}
	return now
}

func ownerOf(en *engine) (*Owner, *run) {
	ru := &run{engine: en, job: step(1, "a"), startedAt: start, cancel: func() {}}
	ru.item = ru.job.items[0]
	en.runs = map[*run]bool{ru: true}
	return &Owner{engines: map[string]*engine{"e": en}}, ru
}

// Guards against a slow period of a shared host that counts as its pace, and against a
// long-run pace that is lost while the engine has no runs.
func TestLongPace(t *testing.T) {
	en := newEngine(fleet.Target{ID: "e"})
	ow, ru := ownerOf(en)
	now := measure(ow, ru, start, 4*place.SharedPaceWindow, 50*time.Millisecond, 100)
	require.InDelta(t, 50, en.longPace.mean().Milliseconds(), 3)
	now = measure(ow, ru, now, 600*time.Millisecond, 125*time.Millisecond, 250)
	require.Less(t, en.longPace.mean(), 50*time.Millisecond*7/5)
	require.Greater(t, en.pace, 50*time.Millisecond*2, "the momentary pace follows the slow period")
	now = measure(ow, ru, now, 2*place.SharedPaceWindow, 125*time.Millisecond, 250)
	require.InDelta(t, 120, en.longPace.mean().Milliseconds(), 15)
	kept := en.longPace.mean()
	en.runs = nil
	ow.updatePaces(now.Add(time.Minute))
	require.Equal(t, kept, en.view(now.Add(time.Minute), "m").LongPace)
}

// Guards against any change for engines that report no slowdown.
func TestNoLongPaceWithoutSlowdown(t *testing.T) {
	en := newEngine(fleet.Target{ID: "e"})
	ow, ru := ownerOf(en)
	now := measure(ow, ru, start, time.Second, 50*time.Millisecond, 0)
	vi := en.view(now, "m")
	require.False(t, vi.SharedHost)
	require.Zero(t, vi.LongPace)
	require.Equal(t, longPace{}, en.longPace)
	require.Equal(t, paceSample{}, ru.sample)
}
