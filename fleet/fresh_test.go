package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fleet"
)

type bootClock time.Duration

func (bo *bootClock) SinceBoot() time.Duration { return time.Duration(*bo) }

// A process that wakes up must not take its targets for current, whichever of its parts
// notices first, nor because of a response that was sent before the pause.
func TestFreshness(t *testing.T) {
	require.False(t, (*fleet.Freshness)(nil).Outdated())
	boot := bootClock(time.Hour)
	fr := &fleet.Freshness{Boot: &boot}
	pass := func(span time.Duration) { boot += bootClock(span) }
	fr.Tick()
	for range 20 {
		pass(200 * time.Millisecond)
		fr.Tick()
		require.False(t, fr.Outdated())
	}
	pass(5 * time.Second)
	require.True(t, fr.Outdated(), "before the next tick")
	fr.Confirm()
	require.True(t, fr.Outdated(), "the response may be from before the pause")
	fr.Confirm()
	require.False(t, fr.Outdated())

	pass(2 * time.Second)
	fr.Confirm()
	require.True(t, fr.Outdated(), "a response is the first sign of the pause")
	pass(900 * time.Millisecond)
	fr.Tick()
	pass(900 * time.Millisecond)
	fr.Tick()
	require.True(t, fr.Outdated())
	pass(900 * time.Millisecond)
	fr.Tick()
	pass(300 * time.Millisecond)
	require.False(t, fr.Outdated(), "the registry does not answer")
}
