package place_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/place"
)

// Guards against moves in the slow periods of shared hosts, against runs that never leave
// one that is slow for long or has stopped, and against any effect of LongPace on the
// engines that are not on shared hosts.
func TestSharedHostMoveReason(t *testing.T) {
	for _, tc := range []struct {
		name           string
		moment, long   time.Duration
		silent         time.Duration
		started        bool
		want, unshared place.Reason
	}{
		{"slow now, not for long", 3 * pace, pace, 0, true, "", place.Slow},
		{"slow for long", pace, 3 * pace, 0, true, place.Slow, ""},
		{"silent for the usual timeout", pace, pace, place.StallTimeout * 3 / 2, true, "", place.Stalled},
		{"silent for the longer timeout", pace, pace, place.StallTimeout * 26 / 10, true, place.Stalled, place.Stalled},
		{"no first event for the usual timeout", pace, pace, place.FirstEventTimeout * 3 / 2, false, "", place.Stalled},
		{"no first event for the longer timeout", pace, pace, place.FirstEventTimeout * 26 / 10, false, place.Stalled, place.Stalled},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, shared := range []bool{true, false} {
				es := engines(4)
				for at := range es {
					es[at].SharedHost, es[at].LongPace = shared, pace
				}
				es[0].Pace, es[0].LongPace = tc.moment, tc.long
				want := tc.unshared
				if shared {
					want = tc.want
				}
				require.Equal(t, want, place.NewSnapshot(es).MoveReason(place.Run{
					Engine: "A", SinceLastEvent: tc.silent, Started: tc.started, RemainingEvents: 50,
				}), "shared %v", shared)
			}
		})
	}
}

// Guards against a move that ends hardly earlier, and against long items on an engine that
// is quick only now.
func TestSharedHostChoose(t *testing.T) {
	es := engines(4)
	for at := range es {
		es[at].SharedHost, es[at].LongPace = true, pace
	}
	es[0].LongPace, es[1].LongPace, es[2].LongPace, es[3].LongPace = 2*pace, pace, pace, pace
	es[1].Running, es[1].Load = es[1].Slots, float64(es[1].Slots)
	es[2].Running, es[2].Load = es[2].Slots, float64(es[2].Slots)
	move := place.Item{RemainingEvents: 20, MoveReason: place.Slow, Avoid: "A"}
	require.Equal(t, 3, place.NewSnapshot(es).Choose(move))
	move.RemainingEvents = 12
	require.Equal(t, -1, place.NewSnapshot(es).Choose(move), "it would end 0.48 s earlier, the move costs 0.1 s")
	move.RemainingEvents, es[3].LongPace = 100, pace*5/4
	require.Equal(t, -1, place.NewSnapshot(es).Choose(move), "the other engine is hardly faster")

	es = engines(4)
	for at := range es {
		es[at].SharedHost, es[at].LongPace, es[at].Pace = true, pace*5/4, pace
	}
	es[2].LongPace, es[2].Pace, es[2].Running, es[2].Load = pace, 2*pace, 5, 5
	require.Equal(t, 2, place.NewSnapshot(es).Choose(place.Item{RemainingEvents: 100}))
	for at := range es {
		es[at].SharedHost = false
	}
	require.NotEqual(t, 2, place.NewSnapshot(es).Choose(place.Item{RemainingEvents: 100}))
}
