package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fleet"
)

// A departure must hold while the registry lists the target as usual or not at all, and
// end only with another incarnation.
func TestDepartures(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second := fleet.Target{ID: "a", StartedAt: 1}, fleet.Target{ID: "a", StartedAt: 2}
	var announced []fleet.Target
	de := &fleet.Departures{OnAnnounced: func(ta fleet.Target) { announced = append(announced, ta) }}
	require.False(t, de.Departing(first))

	de.Announce(now, first)
	de.Announce(now, first)
	require.Equal(t, []fleet.Target{first}, announced, "an incarnation is reported once")
	for range 5 {
		listed := []fleet.Target{first, {ID: "b"}}
		de.Mark(now, listed)
		require.True(t, listed[0].Draining, "the registry still lists it as usual")
		require.False(t, listed[1].Draining)
		now = now.Add(time.Minute)
	}
	de.Mark(now, nil)
	now = now.Add(time.Minute)
	listed := []fleet.Target{first}
	de.Mark(now, listed)
	require.True(t, listed[0].Draining, "a list without it in between changes nothing")

	require.False(t, de.Departing(second))
	listed = []fleet.Target{second}
	de.Mark(now, listed)
	require.False(t, listed[0].Draining, "another incarnation gets work")
	require.True(t, de.Departing(first))

	de.Mark(now.Add(time.Hour), listed)
	require.False(t, de.Departing(first), "a target that is gone is forgotten in the end")
	require.False(t, (*fleet.Departures)(nil).Departing(first))
}
