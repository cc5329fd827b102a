package place_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/place"
)

// Half of the permits went to an owner that did not use them: the trainers' owners claimed
// them for the engines of each other's models.
func TestPermitsClaimedForEnginesOfOtherModels(t *testing.T) {
	es := engines(4)
	for at := range es {
		es[at].Limited = at < 3
	}
	es[0].Running, es[0].Permits = 10, 1
	es[1].OtherModel = true
	es[2].Loading = true
	sn := place.NewSnapshot(es)
	require.Equal(t, map[int]int{0: 1}, sn.PermitsWanted([]place.Item{{}, {}, {}}))
	es[2].Loading = false
	require.Equal(t, map[int]int{0: 1, 2: 3}, sn.PermitsWanted([]place.Item{{}, {}, {}}))
	require.Empty(t, sn.PermitsWanted([]place.Item{{MinVersion: 99}}))
}

// An engine without a permit is full, not gone: its items neither go to a slow engine nor to
// one that should load.
func TestPermitsDecideWhereItemsWait(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(es []place.Engine)
		want   int
	}{
		{"a permit", func(es []place.Engine) { es[0].Permits = 1 }, 0},
		{"none", func([]place.Engine) {}, -1},
		{"none, a slow one is free", func(es []place.Engine) { es[3].Pace, es[3].Limited = 3*pace, false }, -1},
		{"none, a stale one is free", func(es []place.Engine) { es[3].Stale, es[3].Limited = true, false }, -1},
		{"an engine without a limit", func(es []place.Engine) { es[3].Limited = false }, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			es := engines(4)
			for at := range es {
				es[at].Limited = true
			}
			tc.change(es)
			sn := place.NewSnapshot(es)
			at := sn.Choose(place.Item{})
			require.Equal(t, tc.want, at)
			if at >= 0 && es[at].Limited {
				sn.Assign(at, place.Item{})
				require.Equal(t, -1, sn.Choose(place.Item{}), "the permit is used up")
			}
		})
	}
}
